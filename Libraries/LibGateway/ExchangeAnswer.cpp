#include "LibGateway/Exchange.h"

#include "LibGateway/LimitUpdates.h"

#include <algorithm>

namespace primrose {

namespace {

/// A caller that does not read may hold back this much of its stream before
/// the endpoint is no longer read from.
constexpr std::size_t kMostPending = std::size_t{ 256 } * 1024;
/// Endpoints that could not be reached, for one request, before it is refused.
constexpr std::size_t kMostUnreached = 4;
/// Helpers that refused, for one request, before it is refused: with a third of
/// the engines leaving unseen, five draws of twelve helpers find four of them.
constexpr std::size_t kMostHelperRefusals = 5;

constexpr unsigned kFirstError = 400;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstRedirect = 300;

bool
IsGood(unsigned aStatus)
{
  return aStatus < kFirstRedirect;
}

} // namespace

void
exchange::Sign(const attempt& aAttempt, endpoint_health_event aSign)
{
  if (known_endpoint* const known = Known(aAttempt); known != nullptr) {
    Sign(*known, aSign);
  }
}

void
exchange::Sign(known_endpoint& aEndpoint, endpoint_health_event aSign)
{
  const time_point now = mContext.mLoop.Now();
  const bool was = IsAvoided(aEndpoint, now);
  RecordHealthEvent(aEndpoint.mHealth, aSign, now);
  if (aSign == endpoint_health_event::ConnectionBroken ||
      aSign == endpoint_health_event::Silent ||
      aSign == endpoint_health_event::Unreachable) {
    mContext.mGossipSender.AnnounceEndpointFailure(
      EngineKey(aEndpoint.mListed.mId));
  }
  if (!was && IsAvoided(aEndpoint, now)) {
    Log(log_level::Warning,
        "endpoint_avoided",
        { { "endpoint", aEndpoint.mListed.mId },
          { "address", aEndpoint.mListed.mAddress.Text() },
          { "request", mFacts.mId },
          { "strikes", aEndpoint.mHealth.mBackoffFailures },
          { "for_ms", Milliseconds(aEndpoint.mHealth.mAvoidUntil - now) } });
  }
}

known_endpoint*
exchange::FindRefusingHelper(const attempt& aAttempt)
{
  const std::string& address = aAttempt.Facts().mFaultyHelperAddress;
  if (mHelpers == 0 || address.empty()) {
    return nullptr;
  }
  for (auto& [id, known] : mContext.mBoard.mEndpoints.mEndpoints) {
    if (id != aAttempt.Endpoint().mId &&
        known.mListed.mAddress.Text() == address) {
      return &known;
    }
  }
  return nullptr;
}

void
exchange::RetryWithoutHelper(known_endpoint& aHelper, const std::string& aWhy)
{
  Sign(aHelper, endpoint_health_event::PrefillHelpRefused);
  mContext.mGossipSender.AnnounceHelpRefusal(EngineKey(aHelper.mListed.mId));
  ReleaseAttempt();
  // The engine that was sent the prompt did nothing and may be sent it again:
  // this is none of the attempts that the route allows.
  mTried.pop_back();
  mExcludedEndpoints.pop_back();
  mExcludedEndpoints.push_back(aHelper.mListed.mId);
  if (++mHelperRefusals <= kMostHelperRefusals && ConsumeRetryBudget()) {
    Retry(aWhy);
  } else {
    GiveUp(error_kind::Overloaded, aWhy);
  }
}

void
exchange::ReportUnfinishedAttempt(const attempt& aAttempt, bool aBrokeOff)
{
  if (aAttempt.Sent()) {
    mContext.mCrashes.OnAttemptFailed(
      { mDigest, aAttempt.Endpoint().mId, mAttemptHasEvents, aBrokeOff });
  }
}

void
exchange::RecordReportedLoad(const attempt& aAttempt)
{
  if (mService->mEngine.has_value() &&
      aAttempt.Facts().mReportedRequests.has_value()) {
    SetReportedRequests(mContext.mBoard.mLedger,
                        EngineKey(aAttempt.Endpoint().mId),
                        *aAttempt.Facts().mReportedRequests,
                        mContext.mLoop.Now());
  }
}

void
exchange::ApplyReportedLimit(const attempt& aAttempt)
{
  const answer_info& facts = aAttempt.Facts();
  known_endpoint* const known = Known(aAttempt);
  if (known == nullptr || facts.mWrongEndpoint) {
    return;
  }
  endpoint_limit& current = known->mLimit;
  const bool limited = facts.mLimitPerSecond.has_value();
  if (!limited && (!current.mPerSecond.has_value() ||
                   aAttempt.SentAt() < current.mObserved)) {
    // Answers on different connections can arrive out of order: the answer to a
    // request sent before the limit was last observed does not end it.
    return;
  }
  const time_point now = mContext.mLoop.Now();
  const limit_report limit{ EngineKey(known->mListed.mId),
                            facts.mLimitPerSecond,
                            now };
  const bool changed = ApplyLimit(
    mContext.mBoard, mContext.mSettings.mPeers.mHost, *known, limit, now, "");
  if (MarkLimitAnnouncedIfDue(current, changed, now)) {
    mContext.mGossipSender.AnnounceLimit(limit);
  }
}

void
exchange::RecordEndpointActivity(const attempt& aAttempt)
{
  if (known_endpoint* const known = Known(aAttempt); known != nullptr) {
    known->mLastReceivedAt = mContext.mLoop.Now();
  }
}

void
exchange::OnAnswerHead(attempt& aAttempt)
{
  RecordEndpointActivity(aAttempt);
  RecordReportedLoad(aAttempt);
  ApplyReportedLimit(aAttempt);
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
  RecordEndpointActivity(aAttempt);
  mAttemptHasEvents = true;
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
    mContext.mLoop.Cancel(mResponseTimer);
    return;
  }
  StartStallTimer(aAttempt);
}

void
exchange::OnResponseDrained()
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
  mContext.mCrashes.OnRequestAnswered(mDigest);
  if (status >= kFirstServerError) {
    Sign(aAttempt, endpoint_health_event::Failed);
    if (CanRetryElsewhere() && ConsumeRetryBudget()) {
      mMayHaveRun = true;
      ReleaseAttempt();
      Retry("status_" + std::to_string(status));
      return;
    }
  } else {
    Sign(aAttempt, endpoint_health_event::Answered);
  }
  if (!mStreaming) {
    if (mHeadWritten) {
      // A stream that was to go on elsewhere was refused there.
      ReleaseAttempt();
      GiveUp(error_kind::StreamBroken, "resume_failed");
      return;
    }
    ForwardCompleteAnswer(aAttempt);
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
  ReleaseAttempt();
  End("answered", "");
}

void
exchange::ForwardCompleteAnswer(attempt& aAttempt)
{
  std::string body = std::move(aAttempt.Body());
  mFirstEventAt = mContext.mLoop.Now();
  WriteHead(aAttempt.Head(), body.size());
  mPort->Write(body);
  const bool good = aAttempt.Head().mStatus < kFirstError;
  const std::string why =
    good ? "" : "status_" + std::to_string(aAttempt.Head().mStatus);
  ReleaseAttempt();
  End(good ? "answered" : "endpoint_failed", why);
}

void
exchange::WriteHead(const http_head& aHead, std::optional<std::size_t> aLength)
{
  mHeadWritten = true;
  std::string head = "HTTP/1.1 " + std::to_string(aHead.mStatus) + ' ';
  head.append(ReasonPhrase(aHead.mStatus)).append("\r\n");
  for (const http_field& field : aHead.mFields) {
    if (!IsHopByHopField(aHead.mFields, field.mName)) {
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
        { "digest", DigestText(mDigest) },
        { "why", aWhy },
        { "answer_begun", static_cast<int>(aAttempt.AnswerStarted()) },
        { "at_fault", aAttempt.Facts().mFaultyHelperAddress },
        { "after_ms", Milliseconds(mContext.mLoop.Now() - aAttempt.SentAt()) },
        { "last_event", mCursor.LastId().value_or(0) } });
  const bool elsewhere = aAttempt.Facts().mWrongEndpoint;
  switch (aEnd) {
    case attempt_end::NotConnected:
      Sign(aAttempt, endpoint_health_event::Unreachable);
      if (aAttempt.ConnectionRefused()) {
        mContext.mCrashes.OnEndpointCrashed(id, "refused");
      }
      ReleaseAttempt();
      mTried.pop_back();
      if (mExcludedEndpoints.size() - mTried.size() >= kMostUnreached) {
        GiveUp(error_kind::NoEndpoint, "unreachable");
        return;
      }
      Retry(aWhy);
      return;
    case attempt_end::Stale:
      // The same endpoint, on a new connection.
      ReportUnfinishedAttempt(aAttempt, true);
      ReleaseAttempt();
      mTried.pop_back();
      mExcludedEndpoints.pop_back();
      mNeedsNewConnection = true;
      mMayHaveRun = true;
      if (ConsumeRetryBudget()) {
        Retry(aWhy);
      } else {
        GiveUp(error_kind::EndpointFailed, aWhy);
      }
      return;
    case attempt_end::NotRun:
      RecordReportedLoad(aAttempt);
      ApplyReportedLimit(aAttempt);
      if (elsewhere) {
        Sign(aAttempt, endpoint_health_event::AddressReassigned);
        mContext.mCrashes.OnEndpointCrashed(id, "address_of_another");
      }
      if (known_endpoint* const helper = FindRefusingHelper(aAttempt);
          helper != nullptr) {
        RetryWithoutHelper(*helper, "helper_refused");
        return;
      }
      ReleaseAttempt();
      if (mTried.size() < mRoute->mMaxAttempts && ConsumeRetryBudget()) {
        Retry(aWhy);
        return;
      }
      GiveUp(error_kind::Overloaded, aWhy);
      return;
    case attempt_end::ConnectionLost:
      ReportUnfinishedAttempt(aAttempt, true);
      [[fallthrough]];
    case attempt_end::Broken:
      Sign(aAttempt, endpoint_health_event::ConnectionBroken);
      mMayHaveRun = true;
      ReleaseAttempt();
      if (CanRetryElsewhere() && ConsumeRetryBudget()) {
        Retry(aWhy);
        return;
      }
      GiveUp(mHeadWritten ? error_kind::StreamBroken
                          : error_kind::EndpointFailed,
             aWhy);
      return;
  }
}

} // namespace primrose
