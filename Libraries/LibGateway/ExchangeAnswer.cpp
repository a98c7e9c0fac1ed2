#include "LibGateway/Exchange.h"

#include "LibGossip/LibGossip.h"

#include <algorithm>

namespace primrose {

namespace {

/// Unsent bytes of a stream above which the gateway stops reading from the
/// endpoint, because the caller reads too slowly.
constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } * 1024;
/// Size above which an answer is forwarded as it arrives. Up to it, an answer
/// is kept until it is complete, so that one that breaks off can be replaced by
/// that of another endpoint.
constexpr std::size_t kMaxWholeAnswerBytes = std::size_t{ 1024 } * 1024;
/// Failed connections to endpoints after which a request is refused.
constexpr std::size_t kMaxConnectFailures = 4;
/// Refusals by helpers after which a request is refused. With a third of the
/// engines leaving without the gateway's knowledge, five selections of twelve
/// helpers find four of those.
constexpr std::size_t kMaxHelperRefusals = 5;

constexpr unsigned kFirstError = 400;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kServiceUnavailable = 503;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus < kFirstRedirect;
}

/// True unless the answer declares another media type.
bool
IsEventStream(const http_fields& aFields)
{
  const std::optional<std::string_view> type =
    FieldValue(aFields, "content-type");
  if (!type.has_value()) {
    return true;
  }
  const std::string_view essence = type->substr(0, type->find_first_of("; \t"));
  // Media types are compared like field names.
  return SameFieldName(essence, "text/event-stream");
}

} // namespace

void
exchange::UpdateEndpointHealth(const attempt& aAttempt,
                               endpoint_health_event aSign)
{
  if (known_endpoint* const known = FindEndpoint(aAttempt); known != nullptr) {
    UpdateEndpointHealth(*known, aSign);
  }
}

void
exchange::UpdateEndpointHealth(known_endpoint& aEndpoint,
                               endpoint_health_event aSign)
{
  const time_point now = mContext.mLoop.Now();
  const bool wasAvoided = IsAvoided(aEndpoint, now);
  RecordHealthEvent(aEndpoint.mHealth, aSign, now);
  if (aSign == endpoint_health_event::ConnectionBroken ||
      aSign == endpoint_health_event::Silent ||
      aSign == endpoint_health_event::Unreachable) {
    mContext.mGossipSender.AnnounceEndpointFailure(
      EngineKey(aEndpoint.mListed.mId));
  }
  if (!wasAvoided && IsAvoided(aEndpoint, now)) {
    Log(log_level::Warning,
        "endpoint_avoided",
        { { "endpoint", aEndpoint.mListed.mId },
          { "address", aEndpoint.mListed.mAddress.Text() },
          { "request", mRequestInfo.mId },
          { "strikes", aEndpoint.mHealth.mBackoffFailures },
          { "for_ms", Milliseconds(aEndpoint.mHealth.mAvoidUntil - now) } });
  }
}

known_endpoint*
exchange::FindRefusingHelper(const attempt& aAttempt)
{
  const std::string& address = aAttempt.Info().mFaultyHelperAddress;
  if (mHelperCount == 0 || address.empty()) {
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
  UpdateEndpointHealth(aHelper, endpoint_health_event::PrefillHelpRefused);
  mContext.mGossipSender.AnnounceHelpRefusal(EngineKey(aHelper.mListed.mId));
  ReleaseAttempt();
  // The engine that received the prompt did no work and may receive it again,
  // so this does not count as one of the attempts that the route allows.
  mAttemptedEndpoints.pop_back();
  mExcludedEndpoints.pop_back();
  mExcludedEndpoints.push_back(aHelper.mListed.mId);
  if (HasBegunAndMayResume()) {
    ResumeOrGiveUp(error_kind::Overloaded, aWhy);
    return;
  }
  if (++mHelperRefusals <= kMaxHelperRefusals && ConsumeRetryBudget()) {
    Retry(aWhy);
  } else {
    GiveUp(error_kind::Overloaded, aWhy);
  }
}

void
exchange::ReportUnfinishedAttempt(const attempt& aAttempt,
                                  bool aEndpointAtFault)
{
  if (aAttempt.WasSent()) {
    mContext.mCrashDetector.OnAttemptFailed({ mSuspects,
                                              aAttempt.Endpoint().mId,
                                              mAttemptHasEvents,
                                              aEndpointAtFault });
  }
}

void
exchange::RecordReportedLoad(const attempt& aAttempt)
{
  if (mService->mEngine.has_value() &&
      aAttempt.Info().mReportedRequests.has_value()) {
    SetReportedRequests(mContext.mBoard.mLedger,
                        EngineKey(aAttempt.Endpoint().mId),
                        *aAttempt.Info().mReportedRequests,
                        mContext.mLoop.Now());
  }
}

bool
exchange::IsRejectedByFullEngine(const attempt& aAttempt) const
{
  const answer_info& info = aAttempt.Info();
  // A refusal for another reason names it, and is handled as such.
  return mService->mEngine.has_value() &&
         aAttempt.Head().mStatus == kServiceUnavailable && info.mNotRun &&
         !info.mWrongEndpoint && info.mNotice == announced_notice{} &&
         !info.mLimitPerSecond.has_value() && !info.mColdTime.has_value() &&
         info.mFaultyHelperAddress.empty();
}

void
exchange::RecordFullEngine(const attempt& aAttempt)
{
  const engine_key engine = EngineKey(aAttempt.Endpoint().mId);
  const time_point now = mContext.mLoop.Now();
  // One request more than there are slots: its queue is full as well.
  const std::size_t least = mService->mEngine->mSlots + 1;
  const std::size_t known =
    RequestsOn(LoadOf(mContext.mBoard.mLedger, engine), now);
  mContext.mBoard.mMetrics.Count("gateway_full_engine_rejections_total");
  Log(log_level::Info,
      "rejected_by_full_engine",
      { { "request", mRequestInfo.mId },
        { "endpoint", aAttempt.Endpoint().mId },
        { "known_requests", known },
        { "reported_requests", aAttempt.Info().mReportedRequests.value_or(0) },
        { "slots", mService->mEngine->mSlots } });
  SetReportedRequests(
    mContext.mBoard.mLedger,
    engine,
    std::max<std::size_t>(least, aAttempt.Info().mReportedRequests.value_or(0)),
    now);
}

void
exchange::RecordEnginePace(const attempt& aAttempt, std::uint64_t aEvents)
{
  if (!mContext.mSettings.mOverload.mSpeeds || !mService->mEngine.has_value()) {
    return;
  }
  events_read read{ aEvents, std::nullopt };
  if (!mAttemptHasEvents && mHelperCount == 0) {
    read.mFirstAfter = mContext.mLoop.Now() - aAttempt.SentAt();
  }
  const std::optional<speed_report> due =
    RecordStreamEvents(mContext.mBoard,
                       mContext.mSettings.mPeers.mHost,
                       aAttempt.Endpoint().mId,
                       *mService->mEngine,
                       mEvents,
                       read,
                       mContext.mLoop.Now());
  if (due.has_value()) {
    mContext.mGossipSender.AnnounceSpeed(*due);
  }
}

void
exchange::ApplyReportedLimit(const attempt& aAttempt)
{
  const answer_info& info = aAttempt.Info();
  known_endpoint* const known = FindEndpoint(aAttempt);
  if (known == nullptr || info.mWrongEndpoint) {
    return;
  }
  endpoint_limit& current = known->mLimit;
  const bool limited = info.mLimitPerSecond.has_value();
  if (!limited && (!current.mPerSecond.has_value() ||
                   aAttempt.SentAt() < current.mObserved)) {
    // Answers on different connections can arrive out of order: the answer to a
    // request sent before the limit was last observed does not end it.
    return;
  }
  const time_point now = mContext.mLoop.Now();
  const limit_report limit{ EngineKey(known->mListed.mId),
                            info.mLimitPerSecond,
                            now };
  const bool changed = ApplyLimit(
    mContext.mBoard, mContext.mSettings.mPeers.mHost, *known, limit, now, "");
  if (MarkLimitAnnouncedIfDue(current, changed, now)) {
    mContext.mGossipSender.AnnounceLimit(limit);
  }
}

void
exchange::ApplyEndpointNotice(const attempt& aAttempt)
{
  const answer_info& info = aAttempt.Info();
  if (info.mWrongEndpoint) {
    return;
  }
  const time_point now = mContext.mLoop.Now();
  ApplyNotice(
    mContext.mBoard, aAttempt.Endpoint(), info.mNotice, mRequestInfo.mId, now);
  known_endpoint* const known = FindEndpoint(aAttempt);
  if (info.mColdTime.has_value() && known != nullptr) {
    BeginWarmUp(mContext.mBoard,
                mContext.mSettings.mPeers.mHost,
                *known,
                *info.mColdTime,
                now);
  }
}

void
exchange::RecordEndpointActivity(const attempt& aAttempt)
{
  if (known_endpoint* const known = FindEndpoint(aAttempt); known != nullptr) {
    known->mLastReceivedAt = mContext.mLoop.Now();
  }
}

void
exchange::OnAnswerHead(attempt& aAttempt)
{
  RecordEndpointActivity(aAttempt);
  RecordReportedLoad(aAttempt);
  ApplyReportedLimit(aAttempt);
  ApplyEndpointNotice(aAttempt);
  mAnswerFraming = aAttempt.Framing();
  mStreaming = mRoute->mKind == call_kind::Stream &&
               IsSuccess(aAttempt.Head().mStatus) &&
               IsEventStream(aAttempt.Head().mFields);
  if (mStreaming && !mStreamHead.has_value()) {
    mStreamHead = aAttempt.Head();
  }
}

void
exchange::OnAnswerBody(attempt& aAttempt)
{
  const std::shared_ptr<exchange> self = shared_from_this();
  if (mStreaming) {
    ForwardEvents(aAttempt);
  } else if (mForwardingLargeAnswer ||
             aAttempt.Body().size() > kMaxWholeAnswerBytes) {
    ForwardLargeAnswer(aAttempt);
  }
  if (mAttempt.get() == &aAttempt) {
    mResponse->SetUnwritten(aAttempt.Body().size());
  }
}

bool
exchange::BeginLargeAnswer(attempt& aAttempt)
{
  const unsigned status = aAttempt.Head().mStatus;
  if (mHeadWritten) {
    // The endpoint that should have resumed the stream refused.
    ReleaseAttempt();
    ResumeAfterFailure("resume_failed");
    return false;
  }
  if (status >= kFirstServerError && CanRetryElsewhere() &&
      ConsumeRetryBudget()) {
    UpdateEndpointHealth(aAttempt, endpoint_health_event::Failed);
    mMayHaveRun = true;
    ReleaseAttempt();
    Retry("status_" + std::to_string(status));
    return false;
  }
  mForwardingLargeAnswer = true;
  mContext.mLoop.Cancel(mResponseTimer);
  mFirstEventAt = mContext.mLoop.Now();
  mContext.mBoard.mMetrics.Count("gateway_large_answers_total");
  WriteHead(aAttempt.Head(), aAttempt.DeclaredLength());
  return true;
}

void
exchange::ForwardLargeAnswer(attempt& aAttempt)
{
  if (!mForwardingLargeAnswer && !BeginLargeAnswer(aAttempt)) {
    return;
  }
  if (aAttempt.Framing() == body_framing::Length) {
    mResponse->Write(aAttempt.Body());
  } else {
    std::string chunk;
    AppendChunk(chunk, aAttempt.Body());
    mResponse->Write(chunk);
  }
  aAttempt.Body().clear();
  (void)PauseForSlowCaller(aAttempt);
}

bool
exchange::PauseForSlowCaller(attempt& aAttempt)
{
  if (mResponse->Pending() <= kMaxPendingBytes) {
    return false;
  }
  mReadingPaused = true;
  aAttempt.PauseReading(true);
  mContext.mLoop.Cancel(mResponseTimer);
  return true;
}

void
exchange::ForwardEvents(attempt& aAttempt)
{
  const std::uint64_t countBefore = mCursor.Count();
  const std::string events = mCursor.TakeWholeEvents(aAttempt.Body());
  if (events.empty()) {
    return;
  }
  const time_point now = mContext.mLoop.Now();
  RecordEndpointActivity(aAttempt);
  RecordEnginePace(aAttempt, mCursor.Count() - countBefore);
  mAttemptHasEvents = true;
  mFailedResumptions = 0;
  if (!mHeadWritten) {
    mFirstEventAt = now;
    WriteHead(*mStreamHead, std::nullopt);
  } else {
    mLongestPause = std::max(mLongestPause, now - mLastEventAt);
  }
  mLastEventAt = now;
  std::string chunk;
  AppendChunk(chunk, events);
  mResponse->Write(chunk);
  if (PauseForSlowCaller(aAttempt)) {
    mEvents = {};
    return;
  }
  StartStallTimer(aAttempt);
}

void
exchange::OnResponseDrained()
{
  if (mReadingPaused && mAttempt != nullptr) {
    mReadingPaused = false;
    mAttempt->PauseReading(false);
  }
}

bool
exchange::IsBodyComplete(const attempt& aAttempt) const
{
  if (!mStreaming) {
    return true;
  }
  // An answer without a length that broke off after its head looks like an
  // empty one. Only a stream that is resumed after its last event is empty.
  const bool resumes =
    mCursor.LastId().has_value() || mRequestInfo.mLastEvent.has_value();
  const bool lacksEvents = aAttempt.Framing() == body_framing::Close &&
                           mCursor.Count() == 0 && !resumes;
  return !lacksEvents && !mCursor.IsInsideEvent(aAttempt.Body());
}

void
exchange::OnAnswerEnd(attempt& aAttempt)
{
  const std::shared_ptr<exchange> self = shared_from_this();
  const unsigned status = aAttempt.Head().mStatus;
  mContext.mCrashDetector.OnAnswered(mDigest);
  if (status < kFirstError) {
    // A failure may come from an endpoint that never began to write an answer.
    for (std::size_t i = 1; i < mSuspects.size(); ++i) {
      mContext.mCrashDetector.OnAnswered(mSuspects[i]);
    }
  }
  if (status >= kFirstServerError) {
    UpdateEndpointHealth(aAttempt, endpoint_health_event::Failed);
    if (!HasBegunAndMayResume() && CanRetryElsewhere() &&
        ConsumeRetryBudget()) {
      mMayHaveRun = true;
      ReleaseAttempt();
      Retry("status_" + std::to_string(status));
      return;
    }
  } else {
    UpdateEndpointHealth(aAttempt, endpoint_health_event::Answered);
  }
  if (mForwardingLargeAnswer) {
    EndLargeAnswer(aAttempt);
    return;
  }
  if (!mStreaming) {
    if (mHeadWritten) {
      // The endpoint that should have resumed the stream refused.
      mMayHaveRun = true;
      ReleaseAttempt();
      ResumeAfterFailure("resume_failed");
      return;
    }
    ForwardCompleteAnswer(aAttempt);
    return;
  }
  mTrailingBytes = aAttempt.Body().size();
  if (!mHeadWritten) {
    mFirstEventAt = mContext.mLoop.Now();
    WriteHead(*mStreamHead, std::nullopt);
  }
  std::string rest;
  AppendChunk(rest, aAttempt.Body());
  rest.append(kLastChunk);
  mResponse->Write(rest);
  ReleaseAttempt();
  End("answered", "");
}

void
exchange::ForwardCompleteAnswer(attempt& aAttempt)
{
  std::string body = std::move(aAttempt.Body());
  mFirstEventAt = mContext.mLoop.Now();
  WriteHead(aAttempt.Head(), body.size());
  mResponse->Write(body);
  EndForwarded(aAttempt.Head().mStatus);
}

void
exchange::EndLargeAnswer(attempt& aAttempt)
{
  if (aAttempt.Framing() != body_framing::Length) {
    mResponse->Write(kLastChunk);
  }
  EndForwarded(aAttempt.Head().mStatus);
}

void
exchange::EndForwarded(unsigned aStatus)
{
  const bool success = aStatus < kFirstError;
  ReleaseAttempt();
  End(success ? "answered" : "endpoint_failed",
      success ? "" : "status_" + std::to_string(aStatus));
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
  mResponse->Write(head);
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
      { { "request", mRequestInfo.mId },
        { "endpoint", id },
        { "digest", DigestText(mDigest) },
        { "why", aWhy },
        { "answer_begun", static_cast<int>(aAttempt.AnswerStarted()) },
        { "framing", FramingName(aAttempt.Framing()) },
        { "at_fault", aAttempt.Info().mFaultyHelperAddress },
        { "after_ms", Milliseconds(mContext.mLoop.Now() - aAttempt.SentAt()) },
        { "connect_ms",
          aAttempt.ConnectTime().has_value()
            ? Milliseconds(*aAttempt.ConnectTime())
            : -1 },
        { "last_event", mCursor.LastId().value_or(0) },
        { "trailing_bytes", aAttempt.Body().size() } });
  const bool wrongEndpoint = aAttempt.Info().mWrongEndpoint;
  ApplyEndpointNotice(aAttempt);
  switch (aEnd) {
    case attempt_end::NotConnected:
      UpdateEndpointHealth(aAttempt, endpoint_health_event::Unreachable);
      if (aAttempt.ConnectionRefused()) {
        mContext.mCrashDetector.OnEndpointCrashed(id, "refused");
      }
      ReleaseAttempt();
      mAttemptedEndpoints.pop_back();
      if (mExcludedEndpoints.size() - mAttemptedEndpoints.size() >=
            kMaxConnectFailures ||
          !mAskAgain.empty()) {
        if (HasBegunAndMayResume()) {
          ResumeAfterFailure("unreachable");
        } else {
          GiveUp(error_kind::NoEndpoint, "unreachable");
        }
        return;
      }
      Retry(aWhy);
      return;
    case attempt_end::StaleConnection:
      // Retry on the same endpoint with a new connection.
      ReportUnfinishedAttempt(aAttempt, true);
      ReleaseAttempt();
      mAttemptedEndpoints.pop_back();
      mExcludedEndpoints.pop_back();
      mNeedsNewConnection = true;
      mMayHaveRun = true;
      if (ConsumeRetryBudget()) {
        Retry(aWhy);
      } else {
        ResumeOrGiveUp(error_kind::EndpointFailed, aWhy);
      }
      return;
    case attempt_end::NotExecuted:
      RecordReportedLoad(aAttempt);
      ApplyReportedLimit(aAttempt);
      if (wrongEndpoint) {
        UpdateEndpointHealth(aAttempt,
                             endpoint_health_event::AddressReassigned);
        mContext.mCrashDetector.OnEndpointCrashed(id, "address_of_another");
      }
      if (known_endpoint* const helper = FindRefusingHelper(aAttempt);
          helper != nullptr) {
        RetryWithoutHelper(*helper, "helper_refused");
        return;
      }
      if (mContext.mSettings.mOverload.mSlots &&
          IsRejectedByFullEngine(aAttempt)) {
        RecordFullEngine(aAttempt);
        mRejectedByFullEngine = !mMayHaveRun;
      }
      ReleaseAttempt();
      if (HasBegunAndMayResume()) {
        ResumeAfterFailure(aWhy);
        return;
      }
      if (mAttemptedEndpoints.size() < mRoute->mMaxAttempts &&
          ConsumeRetryBudget()) {
        Retry(aWhy);
        return;
      }
      if (mRejectedByFullEngine) {
        RefuseAfterRejection();
        return;
      }
      GiveUp(error_kind::Overloaded, aWhy);
      return;
    case attempt_end::ConnectionLost:
    case attempt_end::Truncated:
      ReportUnfinishedAttempt(aAttempt, true);
      [[fallthrough]];
    case attempt_end::InvalidAnswer:
      UpdateEndpointHealth(aAttempt, endpoint_health_event::ConnectionBroken);
      mMayHaveRun = true;
      ReleaseAttempt();
      if (HasBegunAndMayResume()) {
        ResumeAfterFailure(aWhy);
        return;
      }
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
