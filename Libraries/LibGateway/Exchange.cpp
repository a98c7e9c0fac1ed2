#include "LibGateway/Exchange.h"

#include "LibGateway/GatewayMetrics.h"

#include <algorithm>

namespace primrose {

namespace {

/// What the final answer needs to reach the caller in its time.
constexpr duration kAnswerTime = std::chrono::milliseconds(15);
/// For a route that declares none: above those of both deployments.
constexpr duration kUsualTimeLimit = std::chrono::seconds(30);
/// When a refused caller may come back, in seconds.
constexpr double kRetryWhenListed = 0.3;
constexpr double kRetryWhenKnown = 0.5;
constexpr double kRetryElsewhere = 0.05;

/// Statuses that leave open whether a request ran.
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

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
                   response_writer& aPort,
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
  mContext.mLoop.Cancel(mResponseTimer);
  mContext.mLoop.Cancel(mPlacementTimer);
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
  RecordRequestForRetries(mContext.mBoard.mRepeats[mService->mName],
                          mContext.mSettings.mRepeats,
                          mBegan);
  mDeadlineTimer = mContext.mLoop.After(Left(), [this]() {
    mDeadlineTimer = 0;
    OnDeadline();
  });
  mContext.mCrashes.WhenQuarantineLoaded([weak = weak_from_this()]() {
    const std::shared_ptr<exchange> self = weak.lock();
    if (self != nullptr && self->mState != state::Ended) {
      self->DispatchUnlessQuarantined();
    }
  });
}

void
exchange::DispatchUnlessQuarantined()
{
  switch (mContext.mCrashes.Verdict(mDigest)) {
    case quarantine_verdict::Send:
      Dispatch();
      return;
    case quarantine_verdict::Refuse:
      RefuseQuarantined();
      return;
    case quarantine_verdict::Try:
      break;
  }
  mContext.mCrashes.ClaimTrial(mDigest, [weak = weak_from_this()](bool aMay) {
    const std::shared_ptr<exchange> self = weak.lock();
    if (self == nullptr || self->mState == state::Ended) {
      return;
    }
    if (!aMay) {
      self->RefuseQuarantined();
      return;
    }
    self->mIsQuarantineTrial = true;
    self->Dispatch();
  });
}

void
exchange::RefuseQuarantined()
{
  mContext.mBoard.mMetrics.Count("gateway_quarantine_refusals_total");
  GiveUp(error_kind::Quarantined,
         "ends_endpoints",
         Seconds(TimeUntilTrial(
           mContext.mBoard.mQuarantine, mDigest, mContext.mLoop.Now())));
}

bool
exchange::Admit()
{
  const outcome<request_info> read = Capture<request_info>(
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
  mDigest = DigestOf({ mFacts.mHost, mHead.mTarget, mOrganisation, mBody });
  mService = mManifest->FindService(
    ChooseService(*mRoute, Uniform(mContext.mBoard.mRandom)));
  if (mService == nullptr) {
    Answer({ error_kind::NotFound, "no service", ran_state::No, std::nullopt });
    return false;
  }
  duration limit =
    mRoute->mTimeout > duration::zero() ? mRoute->mTimeout : kUsualTimeLimit;
  if (mFacts.mTimeLeft.has_value()) {
    limit = std::min(limit, *mFacts.mTimeLeft - kAnswerTime);
  }
  mDeadline = mBegan + limit;
  if (WouldExceedDrain(limit)) {
    Refuse(error_kind::ShuttingDown, "draining", kRetryElsewhere);
    return false;
  }
  if (limit <= duration::zero()) {
    Refuse(
      error_kind::CannotMeetDeadline, "no_time_left", Seconds(kMinRetryAfter));
    return false;
  }
  return true;
}

bool
exchange::WouldExceedDrain(duration aLimit) const
{
  // What is cut at the end of the grace is lost to its caller; what is refused
  // now is served elsewhere. Callers still come when no other entry of their
  // data centre is in rotation, so short calls are taken to the end.
  const gateway_state& board = mContext.mBoard;
  if (!board.mDraining || mBegan - board.mDrainStarted < kBalancerRemovalTime) {
    return false;
  }
  const time_point end =
    board.mDrainStarted + mContext.mSettings.mGrace - kShutdownReserve;
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
  if (mRoute->mAuthExempt) {
    return true;
  }
  Answer({ error_kind::Unauthenticated,
           mFacts.mKey.has_value() ? "unknown key" : "no key",
           ran_state::No,
           std::nullopt });
  return false;
}

bool
exchange::IsRetryable() const
{
  return mRoute->mKind == call_kind::Idempotent ||
         (mRoute->mKind == call_kind::Stream && mRoute->mResumable);
}

void
exchange::Dispatch()
{
  // It may have ended a third endpoint since it was sent last: here, or under
  // another caller's try at another entry. A trial is one send.
  const bool mayBeSent =
    mIsQuarantineTrial
      ? !mReachedEndpoint
      : mContext.mCrashes.Verdict(mDigest) == quarantine_verdict::Send;
  if (!mayBeSent) {
    RefuseQuarantined();
    return;
  }
  const bool chosen = mService->mEngine.has_value() ? TrySendToEngines()
                                                    : TrySendToPlainEndpoint();
  if (!chosen) {
    RefuseUnplaced();
  }
}

void
exchange::OnDeadline()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  mMayHaveRun = mMayHaveRun || (mAttempt != nullptr && mAttempt->Sent());
  if (mAttempt != nullptr) {
    ReportUnfinishedAttempt(*mAttempt, false);
  }
  ReleaseAttempt();
  GiveUp(mMayHaveRun ? error_kind::DeadlineExceeded
                     : error_kind::CannotMeetDeadline,
         "deadline");
}

void
exchange::GiveUp(error_kind aKind, const std::string& aWhy)
{
  GiveUp(aKind,
         aWhy,
         aKind == error_kind::NoEndpoint ? kRetryWhenListed
                                         : Seconds(kMinRetryAfter));
}

void
exchange::GiveUp(error_kind aKind, const std::string& aWhy, double aRetryAfter)
{
  if (mHeadWritten) {
    mPort->Cut();
    mPort = nullptr;
    End("cut", aWhy);
    return;
  }
  if (!mMayHaveRun) {
    const unsigned status = AnswerFor(aKind).mStatus;
    const bool promises = status != kBadGateway && status != kGatewayTimeout;
    Refuse(promises ? aKind : error_kind::Overloaded, aWhy, aRetryAfter);
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
exchange::OnCallerDisconnected()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  mPort = nullptr;
  if (mAttempt != nullptr) {
    ReportUnfinishedAttempt(*mAttempt, false);
  }
  ReleaseAttempt();
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
  mContext.mLoop.Cancel(mResponseTimer);
  mContext.mLoop.Cancel(mPlacementTimer);
  const time_point now = mContext.mLoop.Now();
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_requests_total", "outcome", aOutcome));
  mContext.mBoard.mMetrics.Observe("gateway_request_seconds",
                                   Seconds(now - mBegan));
  if (aOutcome == "answered" && mRoute->mKind == call_kind::Stream) {
    CountStream(mContext.mBoard.mMetrics,
                { mFirstEventAt - mBegan,
                  Objective(),
                  mLongestPause,
                  mRoute->mLongestPause });
  }
  Log(
    aOutcome == "answered" || aOutcome == "caller_left" ? log_level::Info
                                                        : log_level::Warning,
    "request",
    { { "request", mFacts.mId },
      { "route", mRoute == nullptr ? "" : mRoute->mName },
      { "kind", mRoute == nullptr ? "" : KindName(mRoute->mKind) },
      { "organisation", mOrganisation },
      { "digest", DigestText(mDigest) },
      { "outcome", aOutcome },
      { "why", aWhy },
      { "endpoint", mTried.empty() ? "" : mTried.back() },
      { "sent_to", mTried.size() },
      { "helpers", mHelpers },
      { "prompt_tokens", mFacts.mPromptTokens },
      { "expected_ms", mExpectedFirstEventMs },
      { "first_ms", mHeadWritten ? Milliseconds(mFirstEventAt - mBegan) : -1 },
      { "longest_pause_ms", Milliseconds(mLongestPause) },
      { "events", mCursor.Count() },
      { "total_ms", Milliseconds(now - mBegan) },
      { "manifest", mManifest == nullptr ? 0 : mManifest->Manifest().mVersion },
      { "manifest_age_ms",
        mManifest == nullptr
          ? -1
          : Milliseconds(now - mContext.mBoard.mManifestAppliedAt) } });
  response_writer* const port = mPort;
  mPort = nullptr;
  if (port != nullptr) {
    port->Finish(KeepAlive());
  }
}

} // namespace primrose
