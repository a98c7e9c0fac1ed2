#include "LibGateway/Exchange.h"

#include <algorithm>

namespace primrose {

namespace {

/// Retry-After is at most the caller's remaining time divided by this. A caller
/// that is given a longer delay retries at once instead, or not at all.
constexpr int kMaxRetryAfterDivisor = 3;

} // namespace

placement_request
exchange::DescribeEngineWork() const
{
  placement_request work = DescribePrompt();
  const unsigned rank = PlacementRank();
  if (rank != mClass.mRank) {
    work.mFloorRank = rank;
  }
  work.mSlotReserve = SlotReserve();
  work.mPriceFactor = PrefillPriceFactor(
    mContext.mBoard.mUsage, mClass.mOrganisation, mContext.mLoop.Now());
  work.mWaitedBefore = mWaitedBefore;
  work.mRequestNumber = Hash(mRequestInfo.mId);
  work.mGateways = std::min(EntryCount(mContext.mBoard), kFullBroadcastPeers);
  work.mAwaitedReturns = CountReturns(
    mContext.mBoard.mAwaitedReturns[mService->mName], mContext.mLoop.Now());
  work.mAwaitsRoom = MayWaitForRoom();
  work.mDecodeAmong = mAskAgain;
  work.mRejectedByFullEngine = mRejectedByFullEngine && !mMayHaveRun;
  if (mContext.mSettings.mOverload.mLate) {
    work.mOwnDelay =
      OwnDelay(mContext.mBoard.mLateness, mContext.mSettings.mCoreShare);
  }
  // A gateway that drains sends what should wait, so nothing may be told to
  // wait for memory.
  if (IsDecidedBySize() && !mContext.mBoard.mDraining) {
    work.mSize = SizePreference(mContext.mBoard.mSizeShares,
                                SizeKind(work),
                                work.mPromptTokens,
                                mContext.mLoop.Now());
  }
  return work;
}

duration
exchange::MaxRetryAfter() const
{
  return std::max(kMinRetryAfter, TimeLeft() / kMaxRetryAfterDivisor);
}

std::optional<slot_reserve>
exchange::SlotReserve() const
{
  if (!mContext.mSettings.mOverload.mSlots) {
    return std::nullopt;
  }
  if (mRejectedByFullEngine && !mMayHaveRun) {
    // The request did not run, so that it may still be refused. Without this,
    // it would be tried on full engines in turn.
    return slot_reserve{};
  }
  // A request that was admitted is not refused when it has to be retried on
  // another engine.
  if (!mAttemptedEndpoints.empty()) {
    return std::nullopt;
  }
  const time_point now = mContext.mLoop.Now();
  const slot_reserve share =
    ShareReserve(mContext.mBoard.mUsage, mClass.mOrganisation, now);
  if (!mRanked) {
    return share;
  }
  // What an organisation sends over its share comes after the requests of all
  // others, whatever its rank.
  const unsigned rank = share.mShare > 0
                          ? mManifest->RanksOf(mService->mName).back()
                          : PlacementRank();
  return CombinedReserve(
    share,
    RankReserve(mContext.mBoard.mEndpoints,
                mContext.mBoard.mLedger,
                Scope(),
                mService->mEngine->mSlots,
                rank,
                OrganisationsOverShare(mContext.mBoard.mUsage, now)));
}

unsigned
exchange::PlacementRank() const
{
  return mRanked && IsBelowFloor(mContext.mBoard.mDemand[mService->mName],
                                 mClass.mRank,
                                 mContext.mLoop.Now())
           ? mManifest->RanksOf(mService->mName).front()
           : mClass.mRank;
}

void
exchange::CountRankDecision(bool aAdmitted)
{
  if (!mRanked || mRankCounted) {
    return;
  }
  mRankCounted = true;
  const std::string rank = std::to_string(mClass.mRank);
  metrics& counters = mContext.mBoard.mMetrics;
  counters.Count(Labelled(aAdmitted ? "gateway_rank_admitted_total"
                                    : "gateway_rank_refused_total",
                          "rank",
                          rank));
  if (PlacementRank() != mClass.mRank) {
    counters.Count(Labelled("gateway_rank_floor_total", "rank", rank));
  }
  RecordDecision(mContext.mBoard.mDemand[mService->mName],
                 mClass.mRank,
                 EngineTimeMs(*mService->mEngine, DescribePrompt()),
                 aAdmitted,
                 mContext.mLoop.Now());
}

std::string
exchange::RankText(unsigned aRank) const
{
  return mRanked ? std::to_string(aRank) : "";
}

bool
exchange::IsDecidedBySize() const
{
  return mContext.mSettings.mOverload.mSizes && mAttemptedEndpoints.empty();
}

void
exchange::RecordSizeOffer()
{
  if (!IsDecidedBySize() || mSizeOffered) {
    return;
  }
  mSizeOffered = true;
  const placement_request work = DescribePrompt();
  RecordOffer(mContext.mBoard.mSizeShares,
              SizeKind(work),
              work.mPromptTokens,
              mContext.mLoop.Now());
}

void
exchange::RecordSizeOutcome(const placement_request& aWork, bool aAdmitted)
{
  if (!IsDecidedBySize() || mSizeDecided) {
    return;
  }
  mSizeDecided = true;
  size_shares& shares = mContext.mBoard.mSizeShares;
  const time_point now = mContext.mLoop.Now();
  if (aAdmitted) {
    RecordAdmission(shares, SizeKind(aWork), aWork.mPromptTokens, now);
  } else {
    RecordRefusal(shares, SizeKind(aWork), now);
  }
  const std::string_view outcome = aAdmitted ? "placed" : "refused";
  if (aWork.mSize.mPreferred) {
    mContext.mBoard.mMetrics.Count(
      Labelled("gateway_size_preferred_total", "outcome", outcome));
  } else if (aWork.mSize.mGainFactor < 1) {
    mContext.mBoard.mMetrics.Count(
      Labelled("gateway_size_held_back_total", "outcome", outcome));
  }
}

void
exchange::RefuseOverloaded(const engine_choice& aChoice,
                           const placement_request& aWork)
{
  const bool fits = aChoice.mVerdict != placement_verdict::NoMemory;
  RecordSizeOutcome(aWork, false);
  const duration retryAfter = TimeUntilAccepted(mContext.mBoard.mEndpoints,
                                                mContext.mBoard.mLedger,
                                                *mService->mEngine,
                                                aWork,
                                                mContext.mSettings.mDataCentre,
                                                mContext.mLoop.Now(),
                                                MaxRetryAfter());
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_turned_away_total", "why", fits ? "costs" : "no_memory"));
  Log(log_level::Info,
      "turned_away",
      { { "request", mRequestInfo.mId },
        { "rank", RankText(mClass.mRank) },
        { "placed_as_rank", RankText(PlacementRank()) },
        { "prompt_tokens", mRequestInfo.mPromptTokens },
        { "fits", static_cast<int>(fits) },
        { "helpers", aChoice.mPrefillHelpers.size() },
        { "part_ms", aChoice.mPartPrefillMs },
        { "expected_ms", aChoice.mFirstEventMs },
        { "gain", aChoice.mGain },
        { "harm", TotalHarm(aChoice.mHarm) },
        { "harm_streams", aChoice.mHarm.mStreams },
        { "harm_readings", aChoice.mHarm.mPrefills },
        { "harm_holding", aChoice.mHarm.mFutureRequests },
        { "harm_urgent_room", aChoice.mHarm.mUrgentRoom },
        { "price", aChoice.mPrice },
        { "price_of_second", aChoice.mPrefillSecondPrice },
        { "price_factor", aWork.mPriceFactor },
        { "size_class", SizeClassName(aWork.mSize.mClass) },
        { "sizes_known", aWork.mSize.mSizes },
        { "size_share", aWork.mSize.mClassShare },
        { "kind_share", aWork.mSize.mKindShare },
        { "size_factor", aWork.mSize.mGainFactor },
        { "retry_after_ms", Milliseconds(retryAfter) } });
  // Refusals for want of memory are not counted: they do not depend on the
  // rank, so the floor could not prevent them.
  if (fits) {
    CountRankDecision(false);
  }
  GiveUp(error_kind::Overloaded,
         fits ? "costs_others_more" : "no_memory",
         Seconds(retryAfter));
}

void
exchange::RefuseAfterRejection()
{
  RefuseWithoutSlot(RefusalByFullEngine(mContext.mBoard.mEndpoints,
                                        mContext.mBoard.mLedger,
                                        *mService->mEngine,
                                        DescribeEngineWork(),
                                        mContext.mSettings.mDataCentre,
                                        mContext.mLoop.Now()));
}

void
exchange::RefuseWithoutSlot(const slot_refusal& aRefusal)
{
  const time_point now = mContext.mLoop.Now();
  const duration estimate = RetryAfterOfSlots(aRefusal);
  const duration retryAfter =
    BoundedRetryAfter(std::max(kMinRetryAfter, estimate),
                      MaxRetryAfter(),
                      Hash(mRequestInfo.mId));
  AddReturn(mContext.mBoard.mAwaitedReturns[mService->mName], now + retryAfter);
  const std::string_view reason = AdmissionReasonName(aRefusal.mReason);
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_turned_away_total", "why", reason));
  Log(log_level::Info,
      "not_admitted",
      { { "request", mRequestInfo.mId },
        { "why", reason },
        { "organisation", mOrganisation },
        { "rank", RankText(mClass.mRank) },
        { "placed_as_rank", RankText(PlacementRank()) },
        { "prompt_tokens", mRequestInfo.mPromptTokens },
        { "waited_before_ms", Milliseconds(mWaitedBefore) },
        { "free_slots", aRefusal.mFreeSlots },
        { "slots", aRefusal.mSlots },
        { "reserved_slots", aRefusal.mReservedSlots },
        { "sent_to", mAttemptedEndpoints.size() },
        { "awaited_returns",
          mContext.mBoard.mAwaitedReturns[mService->mName].mTimes.size() },
        { "estimated_ms", Milliseconds(estimate) },
        { "retry_after_ms", Milliseconds(retryAfter) } });
  if (aRefusal.mReason == admission_reason::OverShare) {
    LogShare();
  }
  CountRankDecision(false);
  GiveUp(error_kind::Overloaded, std::string(reason), Seconds(retryAfter));
}

duration
exchange::RetryAfterOfSlots(const slot_refusal& aRefusal) const
{
  // The reserve applies until the organisation is within its share.
  return aRefusal.mReason == admission_reason::OverShare
           ? std::max(aRefusal.mRetryAfter,
                      TimeUntilWithinShare(mContext.mBoard.mUsage,
                                           mClass.mOrganisation,
                                           mContext.mLoop.Now()))
           : aRefusal.mRetryAfter;
}

void
exchange::LogShare() const
{
  const organisation_usage& usage = mContext.mBoard.mUsage;
  const time_point now = mContext.mLoop.Now();
  const organisation_share share = ShareOf(usage, mClass.mOrganisation, now);
  Log(log_level::Info,
      "over_share",
      { { "request", mRequestInfo.mId },
        { "organisation", mOrganisation },
        { "used_ms_per_s", share.mUsedMs },
        { "share_ms_per_s", share.mShareMs.value_or(0) },
        { "reserve", ShareReserve(usage, mClass.mOrganisation, now).mShare },
        { "within_share_ms",
          Milliseconds(
            TimeUntilWithinShare(usage, mClass.mOrganisation, now)) } });
}

} // namespace primrose
