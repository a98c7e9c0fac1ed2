#include "LibGateway/Exchange.h"

#include "LibGossip/LibGossip.h"

#include <algorithm>

namespace primrose {

namespace {

/// Reserved from the caller's time for delivering the final answer.
constexpr duration kAnswerDeliveryTime = std::chrono::milliseconds(15);
/// Time limit for a route that declares none. Longer than the limits of the
/// routes in both deployments.
constexpr duration kDefaultTimeLimit = std::chrono::seconds(30);
/// Retry-After of refusals, in seconds: when no endpoint is available, before a
/// manifest is known, and while draining.
constexpr double kRetryAfterNoEndpoint = 0.3;
constexpr double kRetryAfterNoManifest = 0.5;
constexpr double kRetryAfterDraining = 0.05;

/// Statuses that leave open whether the request was executed.
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

/// Parts of one prompt that are suspects, so that a crash makes few reports.
constexpr std::size_t kMaxSuspectParts = 64;

/// The request, then the parts of its prompt that others may share.
std::vector<request_digest>
SuspectsOf(request_digest aRequest, const std::vector<std::string>& aParts)
{
  std::vector<request_digest> suspects = { aRequest };
  for (const std::string& part : aParts) {
    const request_digest digest = DigestOfPromptPart(part);
    const bool known =
      std::find(suspects.begin(), suspects.end(), digest) != suspects.end();
    if (!known && suspects.size() <= kMaxSuspectParts) {
      suspects.push_back(digest);
    }
  }
  return suspects;
}

} // namespace

exchange::exchange(const gateway_context& aContext,
                   response_writer& aResponse,
                   http_head aHead,
                   std::string aBody)
  : mContext(aContext)
  , mResponse(&aResponse)
  , mHead(std::move(aHead))
  , mBody(std::move(aBody))
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
  return mHead.mKeepAlive && !mContext.mBoard.mDraining &&
         !mContext.mBoard.mRotation.mResting;
}

duration
exchange::TimeLeft() const
{
  return mDeadline - mContext.mLoop.Now();
}

void
exchange::Start()
{
  mStarted = mContext.mLoop.Now();
  ++mContext.mBoard.mOpenRequests;
  mContext.mStartupGate.WhenOpen([weak = weak_from_this()]() {
    const std::shared_ptr<exchange> self = weak.lock();
    if (self != nullptr && self->mState != state::Ended) {
      self->Begin();
    }
  });
}

void
exchange::Begin()
{
  mManifest = mContext.mBoard.mManifest;
  if (!Admit()) {
    return;
  }
  RecordRequestForRetries(mContext.mBoard.mRepeats[mService->mName],
                          mContext.mSettings.mRepeats,
                          mStarted);
  mDeadlineTimer = mContext.mLoop.After(TimeLeft(), [this]() {
    mDeadlineTimer = 0;
    OnDeadline();
  });
  mContext.mCrashDetector.WhenQuarantineLoaded([weak = weak_from_this()]() {
    const std::shared_ptr<exchange> self = weak.lock();
    if (self != nullptr && self->mState != state::Ended) {
      self->DispatchUnlessQuarantined();
    }
  });
}

void
exchange::DispatchUnlessQuarantined()
{
  const suspects_verdict verdict = mContext.mCrashDetector.Verdict(mSuspects);
  switch (verdict.mVerdict) {
    case quarantine_verdict::Send:
      Dispatch();
      return;
    case quarantine_verdict::Refuse:
      RefuseQuarantined(verdict);
      return;
    case quarantine_verdict::Try:
      break;
  }
  mContext.mCrashDetector.ClaimTrials(
    verdict.mQuarantined, [weak = weak_from_this(), verdict](bool aGranted) {
      const std::shared_ptr<exchange> self = weak.lock();
      if (self == nullptr || self->mState == state::Ended) {
        return;
      }
      if (!aGranted) {
        self->RefuseQuarantined(verdict);
        return;
      }
      self->mTrialOf = verdict.mQuarantined;
      self->Dispatch();
    });
}

void
exchange::RefuseQuarantined(const suspects_verdict& aVerdict)
{
  mContext.mBoard.mMetrics.Count("gateway_quarantine_refusals_total");
  // Of a request, if only crashes that are not confirmed yet refused it.
  const request_digest decisive =
    aVerdict.mQuarantined.empty() ? mDigest : aVerdict.mQuarantined.back();
  const std::vector<std::string>& parts = mRequestInfo.mSharedPromptParts;
  const auto part =
    std::find_if(parts.begin(), parts.end(), [decisive](const auto& aPart) {
      return DigestOfPromptPart(aPart) == decisive;
    });
  Log(log_level::Info,
      "request_held",
      { { "request", mRequestInfo.mId },
        { "because_of", DigestText(decisive) },
        { "part", part == parts.end() ? "" : *part },
        { "held", aVerdict.mQuarantined.size() } });
  const duration wait =
    TimeUntilTrial(mContext.mBoard.mQuarantine, decisive, mContext.mLoop.Now());
  GiveUp(error_kind::Quarantined,
         IsPromptPart(decisive) ? "part_ends_endpoints" : "ends_endpoints",
         std::max(Seconds(wait), Seconds(kMinRetryAfter)));
}

bool
exchange::Admit()
{
  const outcome<request_info> parsed = Capture<request_info>(
    [this]() { return mContext.mAdapter.mReadRequest(mHead); });
  if (!parsed) {
    Answer(parsed.mFailure);
    return false;
  }
  mRequestInfo = *parsed.mValue;
  if (mManifest == nullptr) {
    Refuse(
      error_kind::StoreUnavailable, "no_manifest_yet", kRetryAfterNoManifest);
    return false;
  }
  mRoute = mManifest->FindRoute(mRequestInfo.mHost, mHead.mTarget);
  if (mRoute == nullptr || mRoute->mServices.empty()) {
    Answer({ error_kind::NotFound, "no route", ran_state::No, std::nullopt });
    return false;
  }
  mRegions = mRoute->mRegions;
  if (!Authenticate()) {
    return false;
  }
  mDigest =
    DigestOf({ mRequestInfo.mHost, mHead.mTarget, mOrganisation, mBody });
  mSuspects = SuspectsOf(mDigest, mRequestInfo.mSharedPromptParts);
  mService = mManifest->FindService(
    ChooseService(*mRoute, Uniform(mContext.mBoard.mRandom)));
  if (mService == nullptr) {
    Answer({ error_kind::NotFound, "no service", ran_state::No, std::nullopt });
    return false;
  }
  Classify();
  duration limit =
    mRoute->mTimeout > duration::zero() ? mRoute->mTimeout : kDefaultTimeLimit;
  if (mRequestInfo.mTimeLeft.has_value()) {
    mWaitedBefore =
      TimeWaitedBefore(mContext.mBoard.mStatedLimits[mRoute->mName],
                       *mRequestInfo.mTimeLeft,
                       mStarted);
    limit = std::min(limit, *mRequestInfo.mTimeLeft - kAnswerDeliveryTime);
  }
  mDeadline = mStarted + limit;
  if (WouldExceedDrain(limit)) {
    Refuse(error_kind::ShuttingDown, "draining", kRetryAfterDraining);
    return false;
  }
  if (TimeLeft() <= duration::zero()) {
    Refuse(
      error_kind::CannotMeetDeadline, "no_time_left", Seconds(kMinRetryAfter));
    return false;
  }
  return true;
}

bool
exchange::WouldExceedDrain(duration aLimit) const
{
  // A request that is cut off at the end of the drain period is lost to its
  // caller, while one that is refused now is served by another gateway. Callers
  // still arrive when no other gateway of their data centre is in rotation, so
  // requests that are short enough are accepted until the end.
  const gateway_state& shared = mContext.mBoard;
  if (!shared.mDraining ||
      mStarted - shared.mDrainStarted < kBalancerRemovalTime) {
    return false;
  }
  const time_point end =
    shared.mDrainStarted + mContext.mSettings.mGrace - kShutdownReserve;
  return mRoute->mKind == call_kind::Stream || mStarted + aLimit > end;
}

bool
exchange::Authenticate()
{
  if (mManifest->Manifest().mOrganisations.empty()) {
    return true;
  }
  const organisation* const owner =
    mRequestInfo.mKey.has_value() ? mManifest->OwnerOfKey(*mRequestInfo.mKey)
                                  : nullptr;
  if (owner != nullptr) {
    mOrganisation = owner->mName;
    mRegions = Intersection(mRoute->mRegions, owner->mRegions);
    return true;
  }
  if (mRoute->mAuthExempt) {
    return true;
  }
  Answer({ error_kind::Unauthenticated,
           mRequestInfo.mKey.has_value() ? "unknown key" : "no key",
           ran_state::No,
           std::nullopt });
  return false;
}

void
exchange::Classify()
{
  const organisation* const owner =
    mOrganisation.empty() ? nullptr : mManifest->OwnerOfKey(*mRequestInfo.mKey);
  if (mContext.mSettings.mOverload.mRanks) {
    mRanked = !mManifest->RanksOf(mService->mName).empty();
    mClass.mRank = EffectiveRank(*mManifest, *mService, *mRoute, owner);
    mRankForwarded = mClass.mRank;
  }
  if (mContext.mSettings.mOverload.mShares) {
    mClass.mOrganisation = OrganisationKey(mOrganisation);
  }
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
  // The request may have become quarantined since it was sent last, because it
  // ended a third endpoint: under this gateway, or when another caller sent it
  // through another gateway. A quarantine trial is sent only once.
  const suspects_verdict verdict = mContext.mCrashDetector.Verdict(mSuspects);
  const bool mayBeSent = !mTrialOf.empty()
                           ? !mReachedEndpoint
                           : verdict.mVerdict == quarantine_verdict::Send;
  if (!mayBeSent) {
    RefuseQuarantined(verdict);
    return;
  }
  const bool chosen = mService->mEngine.has_value() ? TrySendToEngines()
                                                    : TrySendToPlainEndpoint();
  if (chosen) {
    return;
  }
  if (HasBegunAndMayResume()) {
    PostponeRetry(error_kind::NoEndpoint, std::string(ReasonForNoEndpoint()));
    return;
  }
  RefuseUnplaced();
}

void
exchange::OnDeadline()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  mMayHaveRun = mMayHaveRun || (mAttempt != nullptr && mAttempt->WasSent());
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
  const double usual = aKind == error_kind::NoEndpoint
                         ? kRetryAfterNoEndpoint
                         : Seconds(kMinRetryAfter);
  const std::optional<duration> service = RetryAfterOfService();
  GiveUp(aKind, aWhy, service.has_value() ? Seconds(*service) : usual);
}

void
exchange::GiveUp(error_kind aKind, const std::string& aWhy, double aRetryAfter)
{
  if (mHeadWritten) {
    mResponse->Abort();
    mResponse = nullptr;
    End("cut", aWhy);
    return;
  }
  if (!mMayHaveRun) {
    const unsigned status = AnswerFor(aKind).mStatus;
    const bool meansNotExecuted =
      status != kBadGateway && status != kGatewayTimeout;
    Refuse(
      meansNotExecuted ? aKind : error_kind::Overloaded, aWhy, aRetryAfter);
    return;
  }
  // The request may have been executed, so the answer must not claim otherwise.
  const bool deadlinePassed = aKind == error_kind::DeadlineExceeded;
  Answer({ deadlinePassed ? aKind : error_kind::EndpointFailed,
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
  mResponse->Write(
    mContext.mAdapter.mWriteFailure(aFailure, mRequestInfo.mId, KeepAlive()));
  mContext.mBoard.mMetrics.Count(Labelled(
    "gateway_failures_total", "kind", AnswerFor(aFailure.mKind).mName));
  End(aFailure.mRan == ran_state::No ? "refused" : "failed",
      std::string(AnswerFor(aFailure.mKind).mName) + ":" + aFailure.mMessage);
}

void
exchange::OnCallerDisconnected()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  mResponse = nullptr;
  if (mAttempt != nullptr) {
    ReportUnfinishedAttempt(*mAttempt, false);
  }
  ReleaseAttempt();
  End("caller_left", "");
}

void
exchange::OnAnswerMemoryExhausted()
{
  const std::shared_ptr<exchange> self = shared_from_this();
  if (mAttempt != nullptr) {
    mMayHaveRun = mMayHaveRun || mAttempt->WasSent();
    ReportUnfinishedAttempt(*mAttempt, false);
  }
  ReleaseAttempt();
  GiveUp(mHeadWritten ? error_kind::StreamBroken : error_kind::EndpointFailed,
         "answer_memory");
}

void
exchange::End(std::string_view aOutcome, const std::string& aWhy)
{
  if (mState == state::Ended) {
    return;
  }
  mState = state::Ended;
  if (!mReachedEndpoint) {
    mContext.mCrashDetector.ReturnTrials(mTrialOf);
  }
  --mContext.mBoard.mOpenRequests;
  mContext.mLoop.Cancel(mDeadlineTimer);
  mContext.mLoop.Cancel(mResponseTimer);
  mContext.mLoop.Cancel(mPlacementTimer);
  const time_point now = mContext.mLoop.Now();
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_requests_total", "outcome", aOutcome));
  mContext.mBoard.mMetrics.Observe("gateway_request_seconds",
                                   Seconds(now - mStarted));
  if (aOutcome == "answered" && mRoute->mKind == call_kind::Stream) {
    CountStream(mContext.mBoard.mMetrics,
                { mFirstEventAt - mStarted,
                  LatencyTarget(),
                  mLongestPause,
                  mRoute->mLongestPause });
  }
  Log(
    aOutcome == "answered" || aOutcome == "caller_left" ? log_level::Info
                                                        : log_level::Warning,
    "request",
    { { "request", mRequestInfo.mId },
      { "route", mRoute == nullptr ? "" : mRoute->mName },
      { "kind", mRoute == nullptr ? "" : KindName(mRoute->mKind) },
      { "organisation", mOrganisation },
      { "digest", DigestText(mDigest) },
      { "outcome", aOutcome },
      { "why", aWhy },
      { "endpoint",
        mAttemptedEndpoints.empty() ? "" : mAttemptedEndpoints.back() },
      { "sent_to", mAttemptedEndpoints.size() },
      { "helpers", mHelperCount },
      { "prompt_tokens", mRequestInfo.mPromptTokens },
      { "expected_ms", mExpectedFirstEventMs },
      { "first_ms",
        mHeadWritten ? Milliseconds(mFirstEventAt - mStarted) : -1 },
      { "longest_pause_ms", Milliseconds(mLongestPause) },
      { "events", mCursor.Count() },
      { "framing", FramingName(mAnswerFraming) },
      { "trailing_bytes", mTrailingBytes },
      { "total_ms", Milliseconds(now - mStarted) },
      { "manifest", mManifest == nullptr ? 0 : mManifest->Manifest().mVersion },
      { "manifest_age_ms",
        mManifest == nullptr
          ? -1
          : Milliseconds(now - mContext.mBoard.mManifestAppliedAt) },
      { "operators_revision", CurrentOperatorRevision(mContext.mBoard) },
      { "operators_age_ms", CopyAgeMs(mContext.mBoard, belief::Operator, now) },
      { "connect_ms",
        mConnectTime.has_value() ? Milliseconds(*mConnectTime) : -1 } });
  response_writer* const port = mResponse;
  mResponse = nullptr;
  if (port != nullptr) {
    port->Finish(KeepAlive());
  }
}

} // namespace primrose
