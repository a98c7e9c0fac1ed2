#include "LibGateway/Exchange.h"

#include <algorithm>
#include <utility>

namespace primrose {

namespace {

/// Response timeout of a plain service (one without engines), as a multiple of
/// the latency target. It leaves enough time for an answer from another
/// endpoint.
constexpr double kResponseTimeoutFactor = 0.6;
/// Refused memory reservations after which a request is refused.
constexpr std::size_t kMaxMemoryRefusals = 3;
/// An engine that decodes sends data for each stream at every decoding step. A
/// step takes some tens of milliseconds, and several hundred beside a long
/// prefill.
constexpr duration kResponsiveWindow = std::chrono::milliseconds(600);
/// A prefill backlog that is long enough to explain why an endpoint does not
/// respond.
constexpr duration kMinPrefillBacklog = std::chrono::milliseconds(100);

constexpr double kMsPerSecond = 1e3;

duration
ResponsiveWindow(double aPace)
{
  return aPace <= 1 ? kResponsiveWindow
                    : FromSeconds(aPace * Seconds(kResponsiveWindow));
}

std::string
JoinIds(const std::vector<known_endpoint*>& aEndpoints)
{
  std::string ids;
  for (const known_endpoint* const one : aEndpoints) {
    ids += ids.empty() ? "" : ",";
    ids += one->mListed.mId;
  }
  return ids;
}

std::vector<endpoint>
ToEndpoints(const std::vector<known_endpoint*>& aEndpoints)
{
  std::vector<endpoint> listed;
  listed.reserve(aEndpoints.size());
  for (const known_endpoint* const one : aEndpoints) {
    listed.push_back(one->mListed);
  }
  return listed;
}

} // namespace

bool
exchange::TrySendToEngines()
{
  gateway_state& shared = mContext.mBoard;
  RecordSizeOffer();
  const placement_request work = DescribeEngineWork();
  const std::optional<engine_choice> choice =
    PlaceOnEngines(shared.mEndpoints,
                   shared.mLedger,
                   *mService->mEngine,
                   work,
                   mExcludedEndpoints,
                   mContext.mSettings.mDataCentre,
                   mContext.mLoop.Now());
  if (!choice.has_value()) {
    if (work.mRejectedByFullEngine) {
      RefuseAfterRejection();
    }
    return work.mRejectedByFullEngine;
  }
  if (choice->mVerdict != placement_verdict::Send && MayWaitForRoom()) {
    PostponePlacement(*choice);
    return true;
  }
  // A request that was accepted before is not refused when it has to be retried
  // on another engine.
  const bool alreadyAccepted = !mAttemptedEndpoints.empty();
  switch (choice->mVerdict) {
    case placement_verdict::Send:
      break;
    case placement_verdict::Wait:
      if (alreadyAccepted || shared.mDraining) {
        break;
      }
      PostponePlacement(*choice);
      return true;
    case placement_verdict::TurnAway:
      if (alreadyAccepted) {
        break;
      }
      [[fallthrough]];
    case placement_verdict::NoMemory:
      if (HasBegunAndMayResume()) {
        PostponePlacement(*choice);
        return true;
      }
      RefuseOverloaded(*choice, work);
      return true;
    case placement_verdict::NoSlot:
      RecordSizeOutcome(work, false);
      RefuseWithoutSlot(choice->mSlotRefusal);
      return true;
  }
  RecordRequestSent(*choice->mDecodeEngine, mContext.mLoop.Now());
  RecordPlacement(*choice, work);
  if (choice->mHolders > 0) {
    ReserveMemory(*choice);
    return true;
  }
  SendToEngines(
    choice->mDecodeEngine->mListed, ToEndpoints(choice->mPrefillHelpers), 0);
  return true;
}

duration
exchange::LatencyTarget() const
{
  return mRoute->mObjective > duration::zero() ? mRoute->mObjective
                                               : mDeadline - mStarted;
}

endpoint_scope
exchange::Scope() const
{
  return { mService->mName, mRegions };
}

placement_request
exchange::DescribePrompt() const
{
  placement_request work;
  work.mScope = Scope();
  work.mPromptTokens = mRequestInfo.mPromptTokens;
  work.mAnswerTokens = std::min(mRequestInfo.mMaxAnswerTokens,
                                mService->mEngine->mMeanAnswerTokens);
  work.mObjective = LatencyTarget();
  work.mLongestPause = mRoute->mLongestPause > duration::zero()
                         ? mRoute->mLongestPause
                         : work.mObjective;
  work.mWorth = WorthOfPrompt(work.mPromptTokens);
  work.mElapsed = mContext.mLoop.Now() - mStarted;
  work.mTieBreakSeed = mContext.mBoard.mGatewayIncarnation;
  work.mClass = mClass;
  return work;
}

void
exchange::PostponePlacement(const engine_choice& aChoice)
{
  if (!mPostponed) {
    mPostponed = true;
    mContext.mBoard.mMetrics.Count("gateway_placements_postponed_total");
    Log(log_level::Info,
        "placement_postponed",
        { { "request", mRequestInfo.mId },
          { "prompt_tokens", mRequestInfo.mPromptTokens },
          { "gain", aChoice.mGain },
          { "harm", TotalHarm(aChoice.mHarm) },
          { "price", aChoice.mPrice } });
  }
  DispatchLater();
}

void
exchange::DispatchLater()
{
  mPlacementTimer = mContext.mLoop.After(kReevaluationInterval, [this]() {
    const std::shared_ptr<exchange> self = shared_from_this();
    mPlacementTimer = 0;
    Dispatch();
  });
}

void
exchange::RecordPlacement(const engine_choice& aChoice,
                          const placement_request& aWork)
{
  gateway_state& shared = mContext.mBoard;
  RecordSizeOutcome(aWork, true);
  placement placed = MakePlacement(
    aChoice,
    aWork,
    PlacementKey(shared.mGatewayIncarnation, ++shared.mLastPlacementNumber));
  placed.mOwner = shared.mGatewayIncarnation;
  placed.mBegan = mStarted;
  placed.mExpires = mDeadline;
  AddPlacement(shared.mLedger, placed, mContext.mLoop.Now());
  if (mContext.mSettings.mOverload.mShares) {
    AddUse(shared.mUsage, placed, mContext.mLoop.Now());
  }
  mContext.mGossipSender.AnnouncePlacement(placed);
  mPlacement = placed.mKey;
  mExpectedFirstEventMs = aChoice.mFirstEventMs;
  mRankForwarded = placed.mClass.mRank;
  Log(log_level::Info,
      "placed",
      { { "request", mRequestInfo.mId },
        { "route", mRoute->mName },
        { "organisation", mOrganisation },
        { "rank", RankText(mClass.mRank) },
        { "placed_as_rank", RankText(placed.mClass.mRank) },
        { "endpoint", aChoice.mDecodeEngine->mListed.mId },
        { "helpers", aChoice.mPrefillHelpers.size() },
        { "holders", aChoice.mHolders },
        { "readers", JoinIds(aChoice.mPrefillHelpers) },
        { "prompt_tokens", mRequestInfo.mPromptTokens },
        { "part_ms", aChoice.mPartPrefillMs },
        { "expected_ms", aChoice.mFirstEventMs },
        { "waited_ms", mPostponed ? Milliseconds(aWork.mElapsed) : 0 },
        { "harm", TotalHarm(aChoice.mHarm) },
        { "size_class", SizeClassName(aWork.mSize.mClass) },
        { "sizes_known", aWork.mSize.mSizes },
        { "size_share", aWork.mSize.mClassShare },
        { "kind_share", aWork.mSize.mKindShare },
        { "size_factor", aWork.mSize.mGainFactor },
        { "attempt", mAttemptedEndpoints.size() + 1 },
        { "manifest", mManifest->Manifest().mVersion },
        { "list_revision", CurrentListRevision(mContext.mBoard) },
        { "list_age_ms",
          CopyAgeMs(
            mContext.mBoard, belief::Endpoints, mContext.mLoop.Now()) } });
  CountRankDecision(true);
}

void
exchange::ReserveMemory(const engine_choice& aChoice)
{
  const std::vector<endpoint> helpers = ToEndpoints(aChoice.mPrefillHelpers);
  const endpoint decodeEngine = aChoice.mDecodeEngine->mListed;
  const std::size_t reservedCount = aChoice.mHolders;
  mMemory = std::make_shared<memory_reservation>(
    mContext.mLoop,
    mContext.mAdapter,
    mContext.mBoard,
    mContext.mSettings.mName + '-' + std::to_string(*mPlacement),
    mRequestInfo.mId,
    std::vector<endpoint>(helpers.begin(),
                          helpers.begin() +
                            static_cast<std::ptrdiff_t>(reservedCount)),
    aChoice.mHolderTokens);
  mMemory->Acquire(
    [weak = weak_from_this(), decodeEngine, helpers, reservedCount](
      bool aGranted) {
      const std::shared_ptr<exchange> self = weak.lock();
      if (self == nullptr || self->mState == state::Ended) {
        return;
      }
      if (aGranted && self->AllAcceptRequests(decodeEngine, helpers)) {
        self->SendToEngines(decodeEngine, helpers, reservedCount);
        return;
      }
      Log(log_level::Info,
          "memory_refused",
          { { "request", self->mRequestInfo.mId },
            { "holders", reservedCount },
            { "granted", static_cast<int>(aGranted) } });
      self->ReleaseAttempt();
      if (self->HasBegunAndMayResume()) {
        self->DispatchLater();
        return;
      }
      if (++self->mMemoryRefusals >= kMaxMemoryRefusals) {
        self->GiveUp(error_kind::Overloaded, "no_memory");
        return;
      }
      self->Dispatch();
    });
}

bool
exchange::AllAcceptRequests(const endpoint& aDecodeEngine,
                            const std::vector<endpoint>& aHelpers) const
{
  const endpoint_registry& registry = mContext.mBoard.mEndpoints;
  const auto accepts = [&registry,
                        now = mContext.mLoop.Now()](const endpoint& aEndpoint) {
    const auto known = registry.mEndpoints.find(aEndpoint.mId);
    return known != registry.mEndpoints.end() && TakesNewWork(known->second) &&
           AcceptsRequests(known->second.mNotice, now);
  };
  return accepts(aDecodeEngine) &&
         std::all_of(aHelpers.begin(), aHelpers.end(), accepts);
}

void
exchange::SendToEngines(const endpoint& aDecodeEngine,
                        const std::vector<endpoint>& aHelpers,
                        std::size_t aReservedCount)
{
  std::vector<prefill_helper> helpers;
  for (std::size_t i = 0; i < aHelpers.size(); ++i) {
    helpers.push_back({ aHelpers[i].mAddress,
                        i < aReservedCount ? mMemory->Reservation() : "" });
  }
  StartAttempt(aDecodeEngine, helpers);
  mTimeoutPace = EnginePace(*mAttempt);
  StartResponseTimer(FirstEventTimeout(
    DescribePrompt(), mExpectedFirstEventMs, !aHelpers.empty(), mTimeoutPace));
}

bool
exchange::TrySendToPlainEndpoint()
{
  gateway_state& shared = mContext.mBoard;
  known_endpoint* const chosen =
    ChoosePlainEndpoint(shared.mEndpoints,
                        Scope(),
                        mContext.mSettings.mDataCentre,
                        mExcludedEndpoints,
                        mContext.mLoop.Now(),
                        Uniform(shared.mRandom));
  if (chosen == nullptr) {
    return false;
  }
  RecordRequestSent(*chosen, mContext.mLoop.Now());
  Log(log_level::Info,
      "placed",
      { { "request", mRequestInfo.mId },
        { "route", mRoute->mName },
        { "organisation", mOrganisation },
        { "rank", RankText(mClass.mRank) },
        { "endpoint", chosen->mListed.mId },
        { "outstanding", chosen->mOutstanding },
        { "attempt", mAttemptedEndpoints.size() + 1 },
        { "manifest", mManifest->Manifest().mVersion },
        { "list_revision", CurrentListRevision(mContext.mBoard) },
        { "list_age_ms",
          CopyAgeMs(
            mContext.mBoard, belief::Endpoints, mContext.mLoop.Now()) } });
  StartAttempt(chosen->mListed, {});
  if (mRoute->mKind == call_kind::Idempotent) {
    StartResponseTimer(
      FromSeconds(kResponseTimeoutFactor * Seconds(LatencyTarget())));
  }
  return true;
}

std::string_view
exchange::ReasonForNoEndpoint() const
{
  const time_point now = mContext.mLoop.Now();
  bool evacuated = false;
  bool elsewhere = false;
  bool resting = false;
  bool cold = false;
  bool limited = false;
  for (const auto& [id, known] : mContext.mBoard.mEndpoints.mEndpoints) {
    if (known.mListed.mService != mService->mName || IsLeaving(known)) {
      continue;
    }
    if (!Allows(mRegions, known.mListed.mRegion)) {
      elsewhere = true;
    } else if (known.mEvacuated) {
      evacuated = true;
    } else {
      resting = resting || !AcceptsRequests(known.mNotice, now);
      cold = cold || IsCold(known.mWarmUp, now);
      limited = limited || known.mLimit.mPerSecond.has_value();
    }
  }
  return resting     ? "endpoints_rest"
         : limited   ? "endpoints_limited"
         : cold      ? "endpoints_cold"
         : evacuated ? "endpoints_evacuated"
         : elsewhere ? "no_endpoint_in_allowed_regions"
                     : "no_endpoint";
}

void
exchange::RefuseUnplaced()
{
  const std::string_view reason = ReasonForNoEndpoint();
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_unplaced_total", "why", reason));
  const std::optional<duration> retryAfter = RetryAfterOfService();
  if (!retryAfter.has_value()) {
    GiveUp(error_kind::NoEndpoint, std::string(reason));
    return;
  }
  GiveUp(error_kind::Overloaded, std::string(reason), Seconds(*retryAfter));
}

std::optional<duration>
exchange::RetryAfterOfService() const
{
  const std::optional<duration> wait = TimeUntilAdmissible(
    mContext.mBoard.mEndpoints, Scope(), {}, mContext.mLoop.Now());
  if (!wait.has_value() || *wait <= duration::zero()) {
    return std::nullopt;
  }
  return std::clamp(*wait, kMinRetryAfter, MaxRetryAfter());
}

void
exchange::StartAttempt(const endpoint& aEndpoint,
                       const std::vector<prefill_helper>& aHelpers)
{
  forwarding_info forwarded;
  forwarded.mEndpointId = aEndpoint.mId;
  forwarded.mAddress = aEndpoint.mAddress;
  forwarded.mTimeLeft = TimeLeft();
  forwarded.mOrganisation = mOrganisation;
  forwarded.mHelpers = aHelpers;
  forwarded.mLastEvent =
    mCursor.LastId().has_value() ? mCursor.LastId() : mRequestInfo.mLastEvent;
  if (mRanked) {
    forwarded.mRank = mRankForwarded;
  }
  mHelperCount = aHelpers.size();
  mAttemptHasEvents = false;
  mEvents = {};
  mAttemptedEndpoints.push_back(aEndpoint.mId);
  mExcludedEndpoints.push_back(aEndpoint.mId);
  const auto known = mContext.mBoard.mEndpoints.mEndpoints.find(aEndpoint.mId);
  if (known != mContext.mBoard.mEndpoints.mEndpoints.end()) {
    ++known->second.mOutstanding;
  }
  mContext.mBoard.mMetrics.Count("gateway_sends_total");
  mAttempt = std::make_shared<attempt>(mContext.mLoop,
                                       mContext.mConnections,
                                       mContext.mAdapter,
                                       *this,
                                       aEndpoint,
                                       mRequestInfo.mId);
  // A call that must not be repeated is sent on a new connection. If the
  // endpoint closed a reused connection at the same moment, it would be unknown
  // whether the call was executed, and the caller would get an error that says
  // so.
  const bool newConnection = mNeedsNewConnection || !IsRetryable();
  mNeedsNewConnection = false;
  mAttempt->Send(
    mContext.mAdapter.mWriteRequest(mHead, forwarded, mBody.size()),
    mBody,
    newConnection);
}

void
exchange::StartResponseTimer(duration aLimit)
{
  mContext.mLoop.Cancel(mResponseTimer);
  mResponseTimeout = aLimit;
  mResponseTimer = mContext.mLoop.After(aLimit, [this]() {
    mResponseTimer = 0;
    OnResponseTimeout();
  });
}

void
exchange::StartStallTimer(const attempt& aAttempt)
{
  if (mRoute->mLongestPause > duration::zero()) {
    mTimeoutPace = EnginePace(aAttempt);
    StartResponseTimer(StallTimeout(mRoute->mLongestPause, mTimeoutPace) +
                       PrefillBacklog(aAttempt));
  }
}

void
exchange::OnResponseTimeout()
{
  if (mAttempt == nullptr || WaitForBusyEngine()) {
    return;
  }
  if (!CanRetryElsewhere() || !ConsumeRetryBudget()) {
    // Keep waiting for the slow endpoint until there is an alternative.
    StartResponseTimer(mResponseTimeout);
    return;
  }
  LogResponseTimeout();
  UpdateEndpointHealth(*mAttempt, endpoint_health_event::Silent);
  ReportUnfinishedAttempt(*mAttempt, true);
  mMayHaveRun = mMayHaveRun || mAttempt->WasSent();
  ReleaseAttempt();
  mAskAgain.clear();
  Retry("silent");
}

bool
exchange::WaitForBusyEngine()
{
  const duration backlog = PrefillBacklog(*mAttempt);
  if (backlog > kMinPrefillBacklog) {
    // Other prompts were placed there in the meantime: the engine is busy, not
    // unresponsive.
    StartResponseTimer(backlog + kMinPrefillBacklog);
    return true;
  }
  if (ExtendForSlowEngine()) {
    return true;
  }
  if (IsFullButResponsive(*mAttempt)) {
    // The request waits for a slot. Avoiding the engine, or prefilling the
    // prompt again elsewhere, would add load to the other engines until they
    // time out as well.
    StartResponseTimer(ResponsiveWindow(EnginePace(*mAttempt)));
    return true;
  }
  return false;
}

double
exchange::EnginePace(const attempt& aAttempt) const
{
  const engine_load* const load = FindEngineLoad(aAttempt);
  return load == nullptr ? 1 : load->mPace;
}

bool
exchange::ExtendForSlowEngine()
{
  const double pace = EnginePace(*mAttempt);
  if (pace <= mTimeoutPace || !DiffersNotably(pace, mTimeoutPace)) {
    return false;
  }
  const double more = pace / std::exchange(mTimeoutPace, pace) - 1;
  StartResponseTimer(FromSeconds(more * Seconds(mResponseTimeout)));
  return true;
}

known_endpoint*
exchange::FindEndpoint(const attempt& aAttempt) const
{
  const auto known =
    mContext.mBoard.mEndpoints.mEndpoints.find(aAttempt.Endpoint().mId);
  return known == mContext.mBoard.mEndpoints.mEndpoints.end() ? nullptr
                                                              : &known->second;
}

const engine_load*
exchange::FindEngineLoad(const attempt& aAttempt) const
{
  const engine_ledger& ledger = mContext.mBoard.mLedger;
  const auto load = ledger.mEngines.find(EngineKey(aAttempt.Endpoint().mId));
  return load == ledger.mEngines.end() ? nullptr : &load->second;
}

bool
exchange::IsFullButResponsive(const attempt& aAttempt) const
{
  const known_endpoint* const known = FindEndpoint(aAttempt);
  const engine_load* const load = FindEngineLoad(aAttempt);
  return mService->mEngine.has_value() && known != nullptr && load != nullptr &&
         load->mDecoding.size() >= mService->mEngine->mSlots &&
         mContext.mLoop.Now() - known->mLastReceivedAt <
           ResponsiveWindow(load->mPace);
}

void
exchange::LogResponseTimeout() const
{
  const time_point now = mContext.mLoop.Now();
  const engine_ledger& ledger = mContext.mBoard.mLedger;
  const known_endpoint* const known = FindEndpoint(*mAttempt);
  const engine_summary engine =
    SummariseEngine(ledger, EngineKey(mAttempt->Endpoint().mId), now);
  const busiest_engine busiest =
    mPlacement.has_value()
      ? BusiestEngine(ledger, *mPlacement, now).value_or(busiest_engine{})
      : busiest_engine{};
  const known_endpoint* const busiestKnown =
    FindByKey(mContext.mBoard.mEndpoints, busiest.mEngine);
  const bool hasBeenHeard =
    known != nullptr && known->mLastReceivedAt != time_point{};
  Log(
    log_level::Info,
    "endpoint_silent",
    { { "request", mRequestInfo.mId },
      { "endpoint", mAttempt->Endpoint().mId },
      { "expected_ms", mExpectedFirstEventMs },
      { "waited_ms", Milliseconds(now - mAttempt->SentAt()) },
      { "events", mCursor.Count() },
      { "helpers", mHelperCount },
      { "reading_left_ms", engine.mBacklogMs },
      { "writing", engine.mDecoding },
      { "pace", engine.mPace },
      { "own_attempts", known == nullptr ? 0 : known->mOutstanding },
      { "heard_ms",
        hasBeenHeard ? Milliseconds(now - known->mLastReceivedAt) : -1 },
      { "preferred", static_cast<int>(known == nullptr || known->mPreferred) },
      { "reading", engine.mPrefilling },
      { "tokens", engine.mTokens },
      { "memory_tokens",
        mService->mEngine.has_value() ? mService->mEngine->mMemoryTokens : 0 },
      { "last_part_ms", engine.mLastPartMs },
      { "last_part_age_ms", Milliseconds(engine.mLastPartAge) },
      { "longest_part_ms", engine.mLongestPartMs },
      { "longest_part_age_ms", Milliseconds(engine.mLongestPartAge) },
      { "removed_why", engine.mRemovalText },
      { "removed_age_ms", Milliseconds(engine.mRemovalAge) },
      { "busiest_reader",
        busiestKnown == nullptr ? "" : busiestKnown->mListed.mId },
      { "busiest_left_ms", Milliseconds(busiest.mRemaining) } });
}

duration
exchange::PrefillBacklog(const attempt& aAttempt) const
{
  const time_point now = mContext.mLoop.Now();
  // The first event of a divided prompt follows its last part.
  if (!mAttemptHasEvents && mPlacement.has_value()) {
    const std::optional<busiest_engine> busiest =
      BusiestEngine(mContext.mBoard.mLedger, *mPlacement, now);
    if (busiest.has_value()) {
      return busiest->mRemaining;
    }
  }
  const engine_load* const load = FindEngineLoad(aAttempt);
  return load == nullptr
           ? duration::zero()
           : FromSeconds(load->mPace * BacklogMs(*load, now) / kMsPerSecond);
}

void
exchange::ReleaseAttempt()
{
  mContext.mLoop.Cancel(mResponseTimer);
  if (mAttempt != nullptr) {
    known_endpoint* const known = FindEndpoint(*mAttempt);
    if (known != nullptr && known->mOutstanding > 0) {
      --known->mOutstanding;
    }
    mReachedEndpoint = mReachedEndpoint || mAttempt->WasSent();
    mConnectTime = mAttempt->ConnectTime();
    mAttempt->Cancel();
    mContext.mLoop.DeleteLater(std::move(mAttempt));
    mAttempt = nullptr;
    if (mResponse != nullptr) {
      mResponse->SetUnwritten(0);
    }
  }
  if (mMemory != nullptr) {
    mMemory->Release();
    mMemory = nullptr;
  }
  if (mPlacement.has_value()) {
    const placement_end end =
      mAttemptHasEvents ? placement_end::Read : placement_end::Unread;
    const auto placed = mContext.mBoard.mLedger.mPlacements.find(*mPlacement);
    if (placed != mContext.mBoard.mLedger.mPlacements.end()) {
      mContext.mGossipSender.AnnouncePlacementEnd(
        *mPlacement, end, placed->second.mEngines);
      if (end == placement_end::Unread) {
        ReturnUse(mContext.mBoard.mUsage, placed->second, mContext.mLoop.Now());
      }
    }
    RemovePlacement(
      mContext.mBoard.mLedger, *mPlacement, end, mContext.mLoop.Now());
    mPlacement.reset();
  }
}

} // namespace primrose
