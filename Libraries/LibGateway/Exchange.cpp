#include "LibGateway/Exchange.h"

#include <algorithm>

namespace primrose {

namespace {

/// A caller that does not read may hold back this much of its stream before
/// the endpoint is no longer read from.
constexpr std::size_t kMostPending = std::size_t{ 256 } * 1024;
/// Endpoints that could not be reached, for one request, before it is refused.
constexpr std::size_t kMostUnreached = 4;
/// How many times its objective an answer of a plain service may be silent
/// before it is asked for elsewhere; enough is left to be answered in time.
constexpr double kSilenceOfObjective = 0.6;
/// The same for a stream: beyond what its engines are known to have to read, a
/// first event may take half as long again as expected and this much more, and
/// a pause so many times the allowed one, but no less than this. A caller
/// leaves a short stream after two seconds of silence, so an engine that went
/// dark has to be noticed in a part of that.
constexpr double kFirstEventOfExpected = 1.5;
constexpr double kDividedOfExpected = 2;
constexpr double kStallOfPause = 2.5;
constexpr duration kShortestStall = std::chrono::milliseconds(600);
/// Times that engines may refuse to set memory aside for one request.
constexpr std::size_t kMostMemoryRefusals = 3;
/// Reading that explains a silence.
constexpr duration kWorthWaitingFor = std::chrono::milliseconds(100);
/// What the final answer needs to reach the caller in its time.
constexpr duration kAnswerTime = std::chrono::milliseconds(15);
/// When a refused caller may come back, in seconds.
constexpr double kRetryWhenListed = 0.3;
constexpr double kRetryWhenRoom = 0.25;
constexpr double kRetryWhenKnown = 0.5;
constexpr double kRetryElsewhere = 0.05;

constexpr unsigned kFirstError = 400;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstRedirect = 300;
constexpr double kMsPerSecond = 1e3;

bool
IsGood(unsigned aStatus)
{
  return aStatus < kFirstRedirect;
}

std::string_view
KindName(call_kind aKind)
{
  switch (aKind) {
    case call_kind::Idempotent:
      return "idempotent";
    case call_kind::AtMostOnce:
      return "at_most_once";
    case call_kind::Stream:
      return "stream";
  }
  return "";
}

} // namespace

exchange::exchange(const gateway_context& aContext,
                   caller_port& aPort,
                   http_head aHead,
                   std::string aBody)
  : mContext(aContext)
  , mPort(&aPort)
  , mHead(std::move(aHead))
  , mBody(std::move(aBody))
  , mManifest(aContext.mBoard.mManifest)
{
}

exchange::~exchange()
{
  mContext.mLoop.Cancel(mDeadlineTimer);
  mContext.mLoop.Cancel(mSilenceTimer);
}

bool
exchange::KeepAlive() const
{
  return mHead.mKeepAlive && !mContext.mBoard.mDraining;
}

duration
exchange::Left() const
{
  return mDeadline - mContext.mLoop.Now();
}

void
exchange::Start()
{
  mBegan = mContext.mLoop.Now();
  ++mContext.mBoard.mOpenRequests;
  if (!Admit()) {
    return;
  }
  NoteRequest(mContext.mBoard.mRepeats[mService->mName],
              mContext.mSettings.mRepeats,
              mBegan);
  mDeadlineTimer = mContext.mLoop.After(Left(), [this]() {
    mDeadlineTimer = 0;
    OnDeadline();
  });
  Dispatch();
}

bool
exchange::Admit()
{
  const outcome<request_facts> read = Capture<request_facts>(
    [this]() { return mContext.mAdapter.mReadRequest(mHead); });
  if (!read) {
    Answer(read.mFailure);
    return false;
  }
  mFacts = *read.mValue;
  if (mManifest == nullptr) {
    Refuse(error_kind::StoreUnavailable, "no_manifest_yet", kRetryWhenKnown);
    return false;
  }
  mRoute = mManifest->FindRoute(mFacts.mHost, mHead.mTarget);
  if (mRoute == nullptr || mRoute->mServices.empty()) {
    Answer({ error_kind::NotFound, "no route", ran_state::No, std::nullopt });
    return false;
  }
  if (!Authenticate()) {
    return false;
  }
  mService = mManifest->FindService(
    ChooseService(*mRoute, Uniform(mContext.mBoard.mRandom)));
  if (mService == nullptr) {
    Answer({ error_kind::NotFound, "no service", ran_state::No, std::nullopt });
    return false;
  }
  duration limit = mRoute->mTimeout;
  if (mFacts.mTimeLeft.has_value()) {
    limit = std::min(limit, *mFacts.mTimeLeft - kAnswerTime);
  }
  mDeadline = mBegan + limit;
  if (WouldOutliveDrain(limit)) {
    Refuse(error_kind::ShuttingDown, "draining", kRetryElsewhere);
    return false;
  }
  if (limit <= duration::zero()) {
    Refuse(error_kind::CannotMeetDeadline, "no_time_left", kRetryWhenRoom);
    return false;
  }
  return true;
}

bool
exchange::WouldOutliveDrain(duration aLimit) const
{
  // What is cut at the end of the grace is lost to its caller; what is refused
  // now is served elsewhere. Callers still come when no other entry of their
  // data centre is in rotation, so short calls are taken to the end.
  const gateway_board& board = mContext.mBoard;
  if (!board.mDraining || mBegan - board.mDrainBegan < kBalancerNotices) {
    return false;
  }
  const time_point end =
    board.mDrainBegan + mContext.mSettings.mGrace - kEndBeforeGrace;
  return mRoute->mKind == call_kind::Stream || mBegan + aLimit > end;
}

bool
exchange::Authenticate()
{
  if (mManifest->Manifest().mOrganisations.empty()) {
    return true;
  }
  const organisation* const owner =
    mFacts.mKey.has_value() ? mManifest->OwnerOfKey(*mFacts.mKey) : nullptr;
  if (owner != nullptr) {
    mOrganisation = owner->mName;
    return true;
  }
  if (mRoute->mWithoutKey) {
    return true;
  }
  Answer({ error_kind::Unauthenticated,
           mFacts.mKey.has_value() ? "unknown key" : "no key",
           ran_state::No,
           std::nullopt });
  return false;
}

bool
exchange::Repeatable() const
{
  return mRoute->mKind == call_kind::Idempotent ||
         (mRoute->mKind == call_kind::Stream && mRoute->mResumable);
}

void
exchange::Dispatch()
{
  const bool chosen =
    mService->mEngine.has_value() ? ChooseEngines() : ChoosePlain();
  if (!chosen) {
    GiveUp(error_kind::NoEndpoint, "no_endpoint");
  }
}

bool
exchange::ChooseEngines()
{
  gateway_board& board = mContext.mBoard;
  const time_point now = mContext.mLoop.Now();
  engine_work work;
  work.mService = mService->mName;
  work.mPromptTokens = mFacts.mPromptTokens;
  work.mAnswerTokens =
    std::min(mFacts.mMostAnswerTokens, mService->mEngine->mUsualAnswerTokens);
  work.mLongestPause = mRoute->mLongestPause > duration::zero()
                         ? mRoute->mLongestPause
                         : mRoute->mObjective;
  work.mObjective = mRoute->mObjective;
  work.mWorth = WorthOfWork(work.mPromptTokens);
  work.mOrderSeed = board.mAllTold ? 0 : board.mBoot;
  const std::optional<engine_choice> choice =
    PlaceOnEngines(board.mEndpoints,
                   board.mLedger,
                   *mService->mEngine,
                   work,
                   mPassedOver,
                   mContext.mSettings.mDataCentre,
                   now);
  if (!choice.has_value()) {
    return false;
  }
  if (choice->mVerdict != engine_verdict::Send) {
    const bool fits = choice->mVerdict != engine_verdict::NoMemory;
    Log(log_level::Info,
        "turned_away",
        { { "request", mFacts.mId },
          { "prompt_tokens", mFacts.mPromptTokens },
          { "fits", static_cast<int>(fits) },
          { "helpers", choice->mReaders.size() },
          { "part_ms", choice->mPartMs },
          { "expected_ms", choice->mFirstEventMs },
          { "harm", choice->mHarm },
          { "price_of_second", choice->mPriceOfSecond } });
    GiveUp(error_kind::Overloaded, fits ? "costs_others_more" : "no_memory");
    return true;
  }
  placement placed;
  placed.mKey = Hash(std::to_string(++board.mLastPlacement), board.mBoot);
  placed.mOwner = board.mBoot;
  placed.mEngines.push_back(Hash(choice->mWriter->mListed.mId));
  for (const known_endpoint* const reader : choice->mReaders) {
    placed.mEngines.push_back(Hash(reader->mListed.mId));
  }
  placed.mPartMs = choice->mPartMs;
  placed.mLongestPause = work.mLongestPause;
  placed.mWorth = work.mWorth;
  placed.mHolderTokens = choice->mHolderTokens;
  for (std::size_t i = 0; i < choice->mHolders; ++i) {
    placed.mHolders.push_back(placed.mEngines[i + 1]);
  }
  placed.mTokens =
    work.mPromptTokens + work.mAnswerTokens -
    static_cast<double>(choice->mHolders) * choice->mHolderTokens;
  placed.mExpires = mDeadline;
  NotePlaced(board.mLedger, placed, now);
  mContext.mPeers.TellPlaced(placed);
  mPlacement = placed.mKey;
  mExpectedMs = choice->mFirstEventMs;
  Log(log_level::Info,
      "placed",
      { { "request", mFacts.mId },
        { "route", mRoute->mName },
        { "organisation", mOrganisation },
        { "endpoint", choice->mWriter->mListed.mId },
        { "helpers", choice->mReaders.size() },
        { "holders", choice->mHolders },
        { "prompt_tokens", mFacts.mPromptTokens },
        { "part_ms", choice->mPartMs },
        { "expected_ms", choice->mFirstEventMs },
        { "harm", choice->mHarm },
        { "attempt", mTried.size() + 1 },
        { "manifest", mManifest->Manifest().mVersion } });
  if (choice->mHolders > 0) {
    SetMemoryAside(*choice);
    return true;
  }
  std::vector<endpoint> readers;
  for (const known_endpoint* const reader : choice->mReaders) {
    readers.push_back(reader->mListed);
  }
  SendToEngines(choice->mWriter->mListed, readers, 0);
  return true;
}

void
exchange::SetMemoryAside(const engine_choice& aChoice)
{
  std::vector<endpoint> readers;
  for (const known_endpoint* const reader : aChoice.mReaders) {
    readers.push_back(reader->mListed);
  }
  const endpoint writer = aChoice.mWriter->mListed;
  const std::size_t holders = aChoice.mHolders;
  mMemory = std::make_shared<memory_hold>(
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
      self->LeaveEndpoint();
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
  std::vector<reading_helper> helpers;
  for (std::size_t i = 0; i < aReaders.size(); ++i) {
    helpers.push_back(
      { aReaders[i].mAddress, i < aHolders ? mMemory->Reservation() : "" });
  }
  SendTo(aWriter, helpers);
  // To read a short prompt again elsewhere costs little; to read a long one
  // again costs as much as it did, so there an engine that is merely slower
  // than expected must not be given up.
  WatchSilence(
    aReaders.empty()
      ? FromSeconds(kFirstEventOfExpected * mExpectedMs / kMsPerSecond) +
          kShortestStall
      : FromSeconds(kDividedOfExpected * mExpectedMs / kMsPerSecond) +
          mRoute->mObjective);
}

bool
exchange::ChoosePlain()
{
  gateway_board& board = mContext.mBoard;
  known_endpoint* const chosen =
    ChoosePlainEndpoint(board.mEndpoints,
                        mService->mName,
                        mContext.mSettings.mDataCentre,
                        mPassedOver,
                        mContext.mLoop.Now(),
                        Uniform(board.mRandom));
  if (chosen == nullptr) {
    return false;
  }
  Log(log_level::Info,
      "placed",
      { { "request", mFacts.mId },
        { "route", mRoute->mName },
        { "organisation", mOrganisation },
        { "endpoint", chosen->mListed.mId },
        { "outstanding", chosen->mOutstanding },
        { "attempt", mTried.size() + 1 },
        { "manifest", mManifest->Manifest().mVersion } });
  SendTo(chosen->mListed, {});
  if (mRoute->mKind == call_kind::Idempotent) {
    WatchSilence(
      FromSeconds(kSilenceOfObjective * Seconds(mRoute->mObjective)));
  }
  return true;
}

void
exchange::SendTo(const endpoint& aEndpoint,
                 const std::vector<reading_helper>& aHelpers)
{
  forwarding to;
  to.mEndpointId = aEndpoint.mId;
  to.mAddress = aEndpoint.mAddress;
  to.mTimeLeft = Left();
  to.mOrganisation = mOrganisation;
  to.mHelpers = aHelpers;
  to.mLastEvent =
    mCursor.LastId().has_value() ? mCursor.LastId() : mFacts.mLastEvent;
  mHelpers = aHelpers.size();
  mEventsHere = false;
  mTried.push_back(aEndpoint.mId);
  mPassedOver.push_back(aEndpoint.mId);
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
  const bool fresh = mFreshNext || !Repeatable();
  mFreshNext = false;
  mAttempt->Send(
    mContext.mAdapter.mWriteRequest(mHead, to, mBody.size()), mBody, fresh);
}

void
exchange::WatchSilence(duration aLimit)
{
  mContext.mLoop.Cancel(mSilenceTimer);
  mSilenceTimer = mContext.mLoop.After(aLimit, [this]() {
    mSilenceTimer = 0;
    OnSilence();
  });
}

void
exchange::OnSilence()
{
  // An endpoint that is slow is still better than none at all.
  if (mAttempt == nullptr || !HasAlternative() || !MayRepeat()) {
    return;
  }
  const duration reading = KnownReading(*mAttempt);
  if (reading > kWorthWaitingFor) {
    // Placed there since: the engine is busy, not dark.
    WatchSilence(reading + kWorthWaitingFor);
    return;
  }
  Sign(*mAttempt, endpoint_sign::Silent);
  mMayHaveRun = mMayHaveRun || mAttempt->Sent();
  LeaveEndpoint();
  Retry("silent");
}

bool
exchange::HasAlternative() const
{
  if (!Repeatable() || mTried.size() >= mRoute->mMaxAttempts) {
    return false;
  }
  for (const auto& [id, known] : mContext.mBoard.mEndpoints.mEndpoints) {
    if (Usable(known, mService->mName) &&
        std::find(mPassedOver.begin(), mPassedOver.end(), id) ==
          mPassedOver.end()) {
      return true;
    }
  }
  return false;
}

bool
exchange::MayRepeat()
{
  return TakeRepeat(mContext.mBoard.mRepeats[mService->mName],
                    mContext.mSettings.mRepeats,
                    EntryCount(mContext.mBoard),
                    mContext.mLoop.Now());
}

void
exchange::Retry(const std::string& aWhy)
{
  mContext.mBoard.mMetrics.Count("gateway_repeats_total");
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
exchange::LeaveEndpoint()
{
  mContext.mLoop.Cancel(mSilenceTimer);
  if (mAttempt != nullptr) {
    const auto known =
      mContext.mBoard.mEndpoints.mEndpoints.find(mAttempt->Endpoint().mId);
    if (known != mContext.mBoard.mEndpoints.mEndpoints.end() &&
        known->second.mOutstanding > 0) {
      --known->second.mOutstanding;
    }
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
      mEventsHere ? placement_end::Read : placement_end::Unread;
    NoteEnded(mContext.mBoard.mLedger, *mPlacement, end, mContext.mLoop.Now());
    mContext.mPeers.TellEnded(*mPlacement, end);
    mPlacement.reset();
  }
}

void
exchange::Sign(const attempt& aAttempt, endpoint_sign aSign)
{
  const auto known =
    mContext.mBoard.mEndpoints.mEndpoints.find(aAttempt.Endpoint().mId);
  if (known == mContext.mBoard.mEndpoints.mEndpoints.end()) {
    return;
  }
  const time_point now = mContext.mLoop.Now();
  const bool was = Avoided(known->second, now);
  NoteSign(known->second.mHealth, aSign, now);
  if (!was && Avoided(known->second, now)) {
    Log(
      log_level::Warning,
      "endpoint_avoided",
      { { "endpoint", known->first },
        { "address", known->second.mListed.mAddress.Text() },
        { "request", mFacts.mId },
        { "strikes", known->second.mHealth.mStrikes },
        { "for_ms", Milliseconds(known->second.mHealth.mAvoidUntil - now) } });
  }
}

void
exchange::NoteLoad(const attempt& aAttempt)
{
  if (mService->mEngine.has_value() && aAttempt.Facts().mBusyWith.has_value()) {
    NoteSaid(mContext.mBoard.mLedger,
             Hash(aAttempt.Endpoint().mId),
             *aAttempt.Facts().mBusyWith,
             mContext.mLoop.Now());
  }
}

void
exchange::OnAnswerHead(attempt& aAttempt)
{
  NoteLoad(aAttempt);
  mStreaming =
    mRoute->mKind == call_kind::Stream && IsGood(aAttempt.Head().mStatus);
  if (mStreaming && !mStreamHead.has_value()) {
    mStreamHead = aAttempt.Head();
  }
}

void
exchange::OnAnswerBody(attempt& aAttempt)
{
  if (mStreaming) {
    ForwardEvents(aAttempt);
  }
}

void
exchange::ForwardEvents(attempt& aAttempt)
{
  const std::string events = mCursor.TakeWholeEvents(aAttempt.Body());
  if (events.empty()) {
    return;
  }
  const time_point now = mContext.mLoop.Now();
  mEventsHere = true;
  if (!mHeadWritten) {
    mFirstEventAt = now;
    WriteHead(*mStreamHead, std::nullopt);
  } else {
    mLongestPause = std::max(mLongestPause, now - mLastEventAt);
  }
  mLastEventAt = now;
  std::string chunk;
  AppendChunk(chunk, events);
  mPort->Write(chunk);
  if (mPort->Pending() > kMostPending) {
    mPaused = true;
    aAttempt.PauseReading(true);
    mContext.mLoop.Cancel(mSilenceTimer);
    return;
  }
  if (mRoute->mLongestPause > duration::zero()) {
    WatchSilence(
      std::max(FromSeconds(kStallOfPause * Seconds(mRoute->mLongestPause)),
               kShortestStall) +
      KnownReading(aAttempt));
  }
}

duration
exchange::KnownReading(const attempt& aAttempt) const
{
  const engine_ledger& ledger = mContext.mBoard.mLedger;
  const auto load = ledger.mEngines.find(Hash(aAttempt.Endpoint().mId));
  return load == ledger.mEngines.end()
           ? duration::zero()
           : FromSeconds(BacklogMs(load->second, mContext.mLoop.Now()) /
                         kMsPerSecond);
}

void
exchange::PortDrained()
{
  if (mPaused && mAttempt != nullptr) {
    mPaused = false;
    mAttempt->PauseReading(false);
  }
}

void
exchange::OnAnswerEnd(attempt& aAttempt)
{
  const std::shared_ptr<exchange> self = shared_from_this();
  const unsigned status = aAttempt.Head().mStatus;
  if (status >= kFirstServerError) {
    Sign(aAttempt, endpoint_sign::Failed);
    if (HasAlternative() && MayRepeat()) {
      mMayHaveRun = true;
      LeaveEndpoint();
      Retry("status_" + std::to_string(status));
      return;
    }
  } else {
    Sign(aAttempt, endpoint_sign::Answered);
  }
  if (!mStreaming) {
    if (mHeadWritten) {
      // A stream that was to go on elsewhere was refused there.
      LeaveEndpoint();
      GiveUp(error_kind::StreamBroken, "resume_failed");
      return;
    }
    ForwardWhole(aAttempt);
    return;
  }
  ForwardEvents(aAttempt);
  if (!mHeadWritten) {
    mFirstEventAt = mContext.mLoop.Now();
    WriteHead(*mStreamHead, std::nullopt);
  }
  std::string rest;
  AppendChunk(rest, aAttempt.Body());
  rest.append(kLastChunk);
  mPort->Write(rest);
  LeaveEndpoint();
  End("answered", "");
}

void
exchange::ForwardWhole(attempt& aAttempt)
{
  std::string body = std::move(aAttempt.Body());
  mFirstEventAt = mContext.mLoop.Now();
  WriteHead(aAttempt.Head(), body.size());
  mPort->Write(body);
  const bool good = aAttempt.Head().mStatus < kFirstError;
  const std::string why =
    good ? "" : "status_" + std::to_string(aAttempt.Head().mStatus);
  LeaveEndpoint();
  End(good ? "answered" : "endpoint_failed", why);
}

void
exchange::WriteHead(const http_head& aHead, std::optional<std::size_t> aLength)
{
  mHeadWritten = true;
  std::string head = "HTTP/1.1 " + std::to_string(aHead.mStatus) + ' ';
  head.append(ReasonPhrase(aHead.mStatus)).append("\r\n");
  for (const http_field& field : aHead.mFields) {
    if (!ConcernsOneConnection(aHead.mFields, field.mName)) {
      AppendField(head, field.mName, field.mValue);
    }
  }
  if (aLength.has_value()) {
    AppendField(head, "Content-Length", std::to_string(*aLength));
  } else {
    AppendField(head, "Transfer-Encoding", "chunked");
  }
  if (!KeepAlive()) {
    AppendField(head, "Connection", "close");
  }
  head.append("\r\n");
  mPort->Write(head);
}

void
exchange::OnAttemptEnd(attempt& aAttempt,
                       attempt_end aEnd,
                       const std::string& aWhy)
{
  const std::shared_ptr<exchange> self = shared_from_this();
  const std::string id = aAttempt.Endpoint().mId;
  Log(log_level::Info,
      "attempt_ended",
      { { "request", mFacts.mId },
        { "endpoint", id },
        { "why", aWhy },
        { "after_ms", Milliseconds(mContext.mLoop.Now() - aAttempt.SentAt()) },
        { "last_event", mCursor.LastId().value_or(0) } });
  const bool elsewhere = aAttempt.Facts().mElsewhere;
  switch (aEnd) {
    case attempt_end::Unreached:
      Sign(aAttempt, endpoint_sign::Unreachable);
      LeaveEndpoint();
      mTried.pop_back();
      if (mPassedOver.size() - mTried.size() >= kMostUnreached) {
        GiveUp(error_kind::NoEndpoint, "unreachable");
        return;
      }
      Retry(aWhy);
      return;
    case attempt_end::Stale:
      // The same endpoint, on a new connection.
      LeaveEndpoint();
      mTried.pop_back();
      mPassedOver.pop_back();
      mFreshNext = true;
      mMayHaveRun = true;
      if (MayRepeat()) {
        Retry(aWhy);
      } else {
        GiveUp(error_kind::EndpointFailed, aWhy);
      }
      return;
    case attempt_end::NotRun:
      NoteLoad(aAttempt);
      if (elsewhere) {
        Sign(aAttempt, endpoint_sign::Elsewhere);
      }
      LeaveEndpoint();
      if (mTried.size() < mRoute->mMaxAttempts && MayRepeat()) {
        Retry(aWhy);
        return;
      }
      GiveUp(error_kind::Overloaded, aWhy);
      return;
    case attempt_end::Broken:
      Sign(aAttempt, endpoint_sign::Broke);
      mMayHaveRun = true;
      LeaveEndpoint();
      if (HasAlternative() && MayRepeat()) {
        Retry(aWhy);
        return;
      }
      GiveUp(mHeadWritten ? error_kind::StreamBroken
                          : error_kind::EndpointFailed,
             aWhy);
      return;
  }
}

void
exchange::OnDeadline()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  mMayHaveRun = mMayHaveRun || (mAttempt != nullptr && mAttempt->Sent());
  LeaveEndpoint();
  GiveUp(mMayHaveRun ? error_kind::DeadlineExceeded
                     : error_kind::CannotMeetDeadline,
         "deadline");
}

void
exchange::GiveUp(error_kind aKind, const std::string& aWhy)
{
  if (mHeadWritten) {
    mPort->Cut();
    mPort = nullptr;
    End("cut", aWhy);
    return;
  }
  if (!mMayHaveRun) {
    const bool promises =
      AnswerFor(aKind).mStatus != 502 && AnswerFor(aKind).mStatus != 504;
    Refuse(promises ? aKind : error_kind::Overloaded,
           aWhy,
           aKind == error_kind::NoEndpoint ? kRetryWhenListed : kRetryWhenRoom);
    return;
  }
  // It may have run: no answer that promises the opposite may be given.
  const bool late = aKind == error_kind::DeadlineExceeded;
  Answer({ late ? aKind : error_kind::EndpointFailed,
           aWhy,
           ran_state::Unknown,
           std::nullopt });
}

void
exchange::Refuse(error_kind aKind, const std::string& aWhy, double aRetryAfter)
{
  Answer({ aKind, aWhy, ran_state::No, aRetryAfter });
}

void
exchange::Answer(const failure& aFailure)
{
  mPort->Write(
    mContext.mAdapter.mWriteFailure(aFailure, mFacts.mId, KeepAlive()));
  mContext.mBoard.mMetrics.Count(Labelled(
    "gateway_failures_total", "kind", AnswerFor(aFailure.mKind).mName));
  End(aFailure.mRan == ran_state::No ? "refused" : "failed",
      std::string(AnswerFor(aFailure.mKind).mName) + ":" + aFailure.mMessage);
}

void
exchange::CallerLeft()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  mPort = nullptr;
  LeaveEndpoint();
  End("caller_left", "");
}

void
exchange::End(std::string_view aOutcome, const std::string& aWhy)
{
  if (mState == state::Ended) {
    return;
  }
  mState = state::Ended;
  --mContext.mBoard.mOpenRequests;
  mContext.mLoop.Cancel(mDeadlineTimer);
  mContext.mLoop.Cancel(mSilenceTimer);
  const time_point now = mContext.mLoop.Now();
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_requests_total", "outcome", aOutcome));
  mContext.mBoard.mMetrics.Observe("gateway_request_seconds",
                                   Seconds(now - mBegan));
  Log(
    aOutcome == "answered" || aOutcome == "caller_left" ? log_level::Info
                                                        : log_level::Warning,
    "request",
    { { "request", mFacts.mId },
      { "route", mRoute == nullptr ? "" : mRoute->mName },
      { "kind", mRoute == nullptr ? "" : KindName(mRoute->mKind) },
      { "organisation", mOrganisation },
      { "outcome", aOutcome },
      { "why", aWhy },
      { "endpoint", mTried.empty() ? "" : mTried.back() },
      { "sent_to", mTried.size() },
      { "helpers", mHelpers },
      { "prompt_tokens", mFacts.mPromptTokens },
      { "expected_ms", mExpectedMs },
      { "first_ms", mHeadWritten ? Milliseconds(mFirstEventAt - mBegan) : -1 },
      { "longest_pause_ms", Milliseconds(mLongestPause) },
      { "events", mCursor.Count() },
      { "total_ms", Milliseconds(now - mBegan) },
      { "manifest", mManifest == nullptr ? 0 : mManifest->Manifest().mVersion },
      { "manifest_age_ms",
        mManifest == nullptr
          ? -1
          : Milliseconds(now - mContext.mBoard.mManifestSince) } });
  caller_port* const port = mPort;
  mPort = nullptr;
  if (port != nullptr) {
    port->Finish(KeepAlive());
  }
}

} // namespace primrose
