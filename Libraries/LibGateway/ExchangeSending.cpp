#include "LibGateway/Exchange.h"

#include <algorithm>

namespace primrose {

namespace {

/// How many times its objective an answer of a plain service may be silent
/// before it is asked for elsewhere; enough is left to be answered in time.
constexpr double kSilenceOfObjective = 0.6;
/// Times that engines may refuse to set memory aside for one request.
constexpr std::size_t kMostMemoryRefusals = 3;
/// An engine that writes sends something for each stream at each of its passes,
/// which take some tens of milliseconds, and several hundred beside long
/// reading.
constexpr duration kWorksIfHeardWithin = std::chrono::milliseconds(600);
/// Reading that explains a silence.
constexpr duration kWorthWaitingFor = std::chrono::milliseconds(100);

/// A caller that is told to come back after more than this part of the time
/// that it has left comes back at once instead, or not at all.
constexpr int kCallersPatience = 3;

constexpr double kMsPerSecond = 1e3;

std::string
IdsOf(const std::vector<known_endpoint*>& aEndpoints)
{
  std::string ids;
  for (const known_endpoint* const one : aEndpoints) {
    ids += ids.empty() ? "" : ",";
    ids += one->mListed.mId;
  }
  return ids;
}

std::vector<endpoint>
Listed(const std::vector<known_endpoint*>& aEndpoints)
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
  gateway_state& board = mContext.mBoard;
  const placement_request work = DescribeEngineWork();
  const std::optional<engine_choice> choice =
    PlaceOnEngines(board.mEndpoints,
                   board.mLedger,
                   *mService->mEngine,
                   work,
                   mExcludedEndpoints,
                   mContext.mSettings.mDataCentre,
                   mContext.mLoop.Now());
  if (!choice.has_value()) {
    return false;
  }
  // What was taken on is not turned away when it has to go on elsewhere.
  const bool takenOn = !mTried.empty();
  switch (choice->mVerdict) {
    case placement_verdict::Send:
      break;
    case placement_verdict::Wait:
      if (takenOn || board.mDraining) {
        break;
      }
      PostponePlacement(*choice);
      return true;
    case placement_verdict::TurnAway:
      if (takenOn) {
        break;
      }
      [[fallthrough]];
    case placement_verdict::NoMemory:
      TurnAway(*choice);
      return true;
  }
  TakeToken(choice->mDecodeEngine->mLimit, mContext.mLoop.Now());
  RecordPlacement(*choice, work);
  if (choice->mHolders > 0) {
    ReserveMemory(*choice);
    return true;
  }
  SendToEngines(
    choice->mDecodeEngine->mListed, Listed(choice->mPrefillHelpers), 0);
  return true;
}

duration
exchange::Objective() const
{
  return mRoute->mObjective > duration::zero() ? mRoute->mObjective
                                               : mDeadline - mBegan;
}

placement_request
exchange::DescribeEngineWork() const
{
  placement_request work;
  work.mService = mService->mName;
  work.mPromptTokens = mFacts.mPromptTokens;
  work.mAnswerTokens =
    std::min(mFacts.mMaxAnswerTokens, mService->mEngine->mMeanAnswerTokens);
  work.mObjective = Objective();
  work.mLongestPause = mRoute->mLongestPause > duration::zero()
                         ? mRoute->mLongestPause
                         : work.mObjective;
  work.mWorth = WorthOfPrompt(work.mPromptTokens);
  work.mElapsed = mContext.mLoop.Now() - mBegan;
  work.mTieBreakSeed = mContext.mBoard.mGatewayIncarnation;
  return work;
}

void
exchange::PostponePlacement(const engine_choice& aChoice)
{
  if (!mWaited) {
    mWaited = true;
    mContext.mBoard.mMetrics.Count("gateway_placements_postponed_total");
    Log(log_level::Info,
        "placement_postponed",
        { { "request", mFacts.mId },
          { "prompt_tokens", mFacts.mPromptTokens },
          { "gain", aChoice.mGain },
          { "harm", TotalHarm(aChoice.mHarm) },
          { "price", aChoice.mPrice } });
  }
  mPlacementTimer = mContext.mLoop.After(kReevaluationInterval, [this]() {
    const std::shared_ptr<exchange> self = shared_from_this();
    mPlacementTimer = 0;
    Dispatch();
  });
}

void
exchange::TurnAway(const engine_choice& aChoice)
{
  const bool fits = aChoice.mVerdict != placement_verdict::NoMemory;
  const duration after = TimeUntilAccepted(mContext.mBoard.mEndpoints,
                                           mContext.mBoard.mLedger,
                                           *mService->mEngine,
                                           DescribeEngineWork(),
                                           mContext.mSettings.mDataCentre,
                                           mContext.mLoop.Now(),
                                           Left() / kCallersPatience);
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_turned_away_total", "why", fits ? "costs" : "no_memory"));
  Log(log_level::Info,
      "turned_away",
      { { "request", mFacts.mId },
        { "prompt_tokens", mFacts.mPromptTokens },
        { "fits", static_cast<int>(fits) },
        { "helpers", aChoice.mPrefillHelpers.size() },
        { "part_ms", aChoice.mPartPrefillMs },
        { "expected_ms", aChoice.mFirstEventMs },
        { "gain", aChoice.mGain },
        { "harm", TotalHarm(aChoice.mHarm) },
        { "harm_streams", aChoice.mHarm.mStreams },
        { "harm_readings", aChoice.mHarm.mPrefills },
        { "harm_holding", aChoice.mHarm.mFutureRequests },
        { "price", aChoice.mPrice },
        { "price_of_second", aChoice.mPrefillSecondPrice },
        { "retry_after_ms", Milliseconds(after) } });
  GiveUp(error_kind::Overloaded,
         fits ? "costs_others_more" : "no_memory",
         Seconds(after));
}

void
exchange::RecordPlacement(const engine_choice& aChoice,
                          const placement_request& aWork)
{
  gateway_state& board = mContext.mBoard;
  placement placed = MakePlacement(
    aChoice,
    aWork,
    PlacementKey(board.mGatewayIncarnation, ++board.mLastPlacementNumber));
  placed.mOwner = board.mGatewayIncarnation;
  placed.mBegan = mBegan;
  placed.mExpires = mDeadline;
  AddPlacement(board.mLedger, placed, mContext.mLoop.Now());
  mContext.mGossipSender.AnnouncePlacement(placed);
  mPlacement = placed.mKey;
  mExpectedFirstEventMs = aChoice.mFirstEventMs;
  Log(log_level::Info,
      "placed",
      { { "request", mFacts.mId },
        { "route", mRoute->mName },
        { "organisation", mOrganisation },
        { "endpoint", aChoice.mDecodeEngine->mListed.mId },
        { "helpers", aChoice.mPrefillHelpers.size() },
        { "holders", aChoice.mHolders },
        { "readers", IdsOf(aChoice.mPrefillHelpers) },
        { "prompt_tokens", mFacts.mPromptTokens },
        { "part_ms", aChoice.mPartPrefillMs },
        { "expected_ms", aChoice.mFirstEventMs },
        { "waited_ms", mWaited ? Milliseconds(aWork.mElapsed) : 0 },
        { "harm", TotalHarm(aChoice.mHarm) },
        { "attempt", mTried.size() + 1 },
        { "manifest", mManifest->Manifest().mVersion } });
}

void
exchange::ReserveMemory(const engine_choice& aChoice)
{
  const std::vector<endpoint> readers = Listed(aChoice.mPrefillHelpers);
  const endpoint writer = aChoice.mDecodeEngine->mListed;
  const std::size_t holders = aChoice.mHolders;
  mMemory = std::make_shared<memory_reservation>(
    mContext.mLoop,
    mContext.mAdapter,
    mContext.mBoard,
    mContext.mSettings.mName + '-' + std::to_string(*mPlacement),
    std::vector<endpoint>(
      readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(holders)),
    aChoice.mHolderTokens);
  mMemory->Acquire(
    [weak = weak_from_this(), writer, readers, holders](bool aGranted) {
      const std::shared_ptr<exchange> self = weak.lock();
      if (self == nullptr || self->mState == state::Ended) {
        return;
      }
      if (aGranted) {
        self->SendToEngines(writer, readers, holders);
        return;
      }
      Log(log_level::Info,
          "memory_refused",
          { { "request", self->mFacts.mId }, { "holders", holders } });
      self->ReleaseAttempt();
      if (++self->mMemoryRefusals >= kMostMemoryRefusals) {
        self->GiveUp(error_kind::Overloaded, "no_memory");
        return;
      }
      self->Dispatch();
    });
}

void
exchange::SendToEngines(const endpoint& aWriter,
                        const std::vector<endpoint>& aReaders,
                        std::size_t aHolders)
{
  std::vector<prefill_helper> helpers;
  for (std::size_t i = 0; i < aReaders.size(); ++i) {
    helpers.push_back(
      { aReaders[i].mAddress, i < aHolders ? mMemory->Reservation() : "" });
  }
  StartAttempt(aWriter, helpers);
  StartResponseTimer(FirstEventTimeout(
    DescribeEngineWork(), mExpectedFirstEventMs, !aReaders.empty()));
}

bool
exchange::TrySendToPlainEndpoint()
{
  gateway_state& board = mContext.mBoard;
  known_endpoint* const chosen =
    ChoosePlainEndpoint(board.mEndpoints,
                        mService->mName,
                        mContext.mSettings.mDataCentre,
                        mExcludedEndpoints,
                        mContext.mLoop.Now(),
                        Uniform(board.mRandom));
  if (chosen == nullptr) {
    return false;
  }
  TakeToken(chosen->mLimit, mContext.mLoop.Now());
  Log(log_level::Info,
      "placed",
      { { "request", mFacts.mId },
        { "route", mRoute->mName },
        { "organisation", mOrganisation },
        { "endpoint", chosen->mListed.mId },
        { "outstanding", chosen->mOutstanding },
        { "attempt", mTried.size() + 1 },
        { "manifest", mManifest->Manifest().mVersion } });
  StartAttempt(chosen->mListed, {});
  if (mRoute->mKind == call_kind::Idempotent) {
    StartResponseTimer(FromSeconds(kSilenceOfObjective * Seconds(Objective())));
  }
  return true;
}

void
exchange::RefuseUnplaced()
{
  const std::optional<duration> wait =
    TimeUntilAdmissible(mContext.mBoard.mEndpoints,
                        mService->mName,
                        mExcludedEndpoints,
                        mContext.mLoop.Now());
  if (!wait.has_value()) {
    GiveUp(error_kind::NoEndpoint, "no_endpoint");
    return;
  }
  mContext.mBoard.mMetrics.Count("gateway_limit_refusals_total");
  const duration maxRetryAfter =
    std::max(kMinRetryAfter, Left() / kCallersPatience);
  GiveUp(error_kind::Overloaded,
         "endpoints_limited",
         Seconds(std::clamp(*wait, kMinRetryAfter, maxRetryAfter)));
}

void
exchange::StartAttempt(const endpoint& aEndpoint,
                       const std::vector<prefill_helper>& aHelpers)
{
  forwarding_info to;
  to.mEndpointId = aEndpoint.mId;
  to.mAddress = aEndpoint.mAddress;
  to.mTimeLeft = Left();
  to.mOrganisation = mOrganisation;
  to.mHelpers = aHelpers;
  to.mLastEvent =
    mCursor.LastId().has_value() ? mCursor.LastId() : mFacts.mLastEvent;
  mHelpers = aHelpers.size();
  mAttemptHasEvents = false;
  mTried.push_back(aEndpoint.mId);
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
                                       mFacts.mId);
  // A call that may not be repeated goes on a new connection: on a kept one
  // that the endpoint closes at the same moment nobody could say whether it
  // ran, and the caller would have to be told so.
  const bool fresh = mNeedsNewConnection || !IsRetryable();
  mNeedsNewConnection = false;
  mAttempt->Send(
    mContext.mAdapter.mWriteRequest(mHead, to, mBody.size()), mBody, fresh);
}

void
exchange::StartResponseTimer(duration aLimit)
{
  mContext.mLoop.Cancel(mResponseTimer);
  mResponseTimer = mContext.mLoop.After(aLimit, [this]() {
    mResponseTimer = 0;
    OnResponseTimeout();
  });
}

void
exchange::StartStallTimer(const attempt& aAttempt)
{
  if (mRoute->mLongestPause > duration::zero()) {
    StartResponseTimer(StallTimeout(mRoute->mLongestPause) +
                       PrefillBacklog(aAttempt));
  }
}

void
exchange::OnResponseTimeout()
{
  // An endpoint that is slow is still better than none at all.
  if (mAttempt == nullptr || !CanRetryElsewhere() || !ConsumeRetryBudget()) {
    return;
  }
  const duration reading = PrefillBacklog(*mAttempt);
  if (reading > kWorthWaitingFor) {
    // Placed there since: the engine is busy, not dark.
    StartResponseTimer(reading + kWorthWaitingFor);
    return;
  }
  if (IsFullButResponsive(*mAttempt)) {
    // The request waits for a slot. To avoid the engine, or to ask for the
    // prompt again elsewhere, gives the others more to do, until they are
    // silent in their turn.
    StartResponseTimer(kWorksIfHeardWithin);
    return;
  }
  LogResponseTimeout();
  Sign(*mAttempt, endpoint_health_event::Silent);
  ReportUnfinishedAttempt(*mAttempt, true);
  mMayHaveRun = mMayHaveRun || mAttempt->Sent();
  ReleaseAttempt();
  Retry("silent");
}

known_endpoint*
exchange::Known(const attempt& aAttempt) const
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
  const known_endpoint* const known = Known(aAttempt);
  const engine_load* const load = FindEngineLoad(aAttempt);
  return mService->mEngine.has_value() && known != nullptr && load != nullptr &&
         load->mDecoding.size() >= mService->mEngine->mSlots &&
         mContext.mLoop.Now() - known->mLastReceivedAt < kWorksIfHeardWithin;
}

void
exchange::LogResponseTimeout() const
{
  const time_point now = mContext.mLoop.Now();
  const known_endpoint* const known = Known(*mAttempt);
  const engine_load* const load = FindEngineLoad(*mAttempt);
  const bool heard = known != nullptr && known->mLastReceivedAt != time_point{};
  Log(log_level::Info,
      "endpoint_silent",
      { { "request", mFacts.mId },
        { "endpoint", mAttempt->Endpoint().mId },
        { "expected_ms", mExpectedFirstEventMs },
        { "waited_ms", Milliseconds(now - mAttempt->SentAt()) },
        { "events", mCursor.Count() },
        { "helpers", mHelpers },
        { "reading_left_ms", load == nullptr ? 0 : BacklogMs(*load, now) },
        { "writing", load == nullptr ? 0 : load->mDecoding.size() },
        { "own_attempts", known == nullptr ? 0 : known->mOutstanding },
        { "heard_ms",
          heard ? Milliseconds(now - known->mLastReceivedAt) : -1 } });
}

duration
exchange::PrefillBacklog(const attempt& aAttempt) const
{
  const engine_load* const load = FindEngineLoad(aAttempt);
  return load == nullptr
           ? duration::zero()
           : FromSeconds(BacklogMs(*load, mContext.mLoop.Now()) / kMsPerSecond);
}

bool
exchange::CanRetryElsewhere() const
{
  if (!IsRetryable() || mTried.size() >= mRoute->mMaxAttempts) {
    return false;
  }
  for (const auto& [id, known] : mContext.mBoard.mEndpoints.mEndpoints) {
    if (IsAdmissible(known, mService->mName, mContext.mLoop.Now()) &&
        std::find(mExcludedEndpoints.begin(), mExcludedEndpoints.end(), id) ==
          mExcludedEndpoints.end()) {
      return true;
    }
  }
  return false;
}

bool
exchange::ConsumeRetryBudget()
{
  return TakeRetry(mContext.mBoard.mRepeats[mService->mName],
                   mContext.mSettings.mRepeats,
                   EntryCount(mContext.mBoard),
                   mContext.mLoop.Now());
}

void
exchange::Retry(const std::string& aWhy)
{
  mContext.mBoard.mMetrics.Count("gateway_repeats_total");
  if (mCursor.LastId().has_value()) {
    mContext.mBoard.mMetrics.Count("gateway_resumed_total");
  }
  Log(log_level::Info,
      "retry",
      { { "request", mFacts.mId },
        { "why", aWhy },
        { "sent_to", mTried.size() },
        { "after_event", mCursor.LastId().value_or(0) },
        { "left_ms", Milliseconds(Left()) } });
  mStreaming = false;
  mCursor.Resume();
  Dispatch();
}

void
exchange::ReleaseAttempt()
{
  mContext.mLoop.Cancel(mResponseTimer);
  if (mAttempt != nullptr) {
    known_endpoint* const known = Known(*mAttempt);
    if (known != nullptr && known->mOutstanding > 0) {
      --known->mOutstanding;
    }
    mReachedEndpoint = mReachedEndpoint || mAttempt->Sent();
    mAttempt->Cancel();
    mContext.mLoop.DeleteLater(std::move(mAttempt));
    mAttempt = nullptr;
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
    }
    RemovePlacement(
      mContext.mBoard.mLedger, *mPlacement, end, mContext.mLoop.Now());
    mPlacement.reset();
  }
}

} // namespace primrose
