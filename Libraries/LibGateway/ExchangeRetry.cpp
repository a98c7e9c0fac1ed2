#include "LibGateway/Exchange.h"

namespace primrose {

namespace {

/// A retry waits for an engine with room for at most the time after which the
/// caller abandons the stream, divided by this. After that it is placed on the
/// best engine there is, as the caller gains nothing by waiting longer.
constexpr int kRoomWaitDivisor = 4;

} // namespace

std::optional<retry_targets>
exchange::FindTargets() const
{
  return FindRetryTargets(mContext.mBoard.mEndpoints,
                          Scope(),
                          { mAttemptedEndpoints, mExcludedEndpoints },
                          mRoute->mMaxAttempts,
                          mContext.mLoop.Now());
}

bool
exchange::HasBegunAndMayResume() const
{
  return mHeadWritten && mStreamHead.has_value() && IsRetryable() &&
         mService->mEngine.has_value() && !mForwardingLargeAnswer;
}

bool
exchange::MayWaitForRoom() const
{
  return HasBegunAndMayResume() && !mContext.mBoard.mDraining &&
         mContext.mLoop.Now() - mLastEventAt <
           CallerTimeout(DescribePrompt()) / kRoomWaitDivisor;
}

void
exchange::ResumeOrGiveUp(error_kind aKind, const std::string& aWhy)
{
  if (!HasBegunAndMayResume()) {
    GiveUp(aKind, aWhy);
    return;
  }
  const std::optional<retry_targets> targets = FindTargets();
  if (!targets.has_value()) {
    // Those that it may be sent to rest, leave or are unreachable.
    LogRetryDenied("no_endpoint");
    PostponeRetry(aKind, aWhy);
    return;
  }
  mAskAgain = targets->mAgain;
  const bool tooEarly =
    !mAskAgain.empty() && mContext.mLoop.Now() < mAskAgainAt;
  if (tooEarly || !ConsumeRetryBudget()) {
    PostponeRetry(aKind, aWhy);
    return;
  }
  Retry(aWhy);
}

void
exchange::ResumeAfterFailure(const std::string& aWhy)
{
  ++mFailedResumptions;
  mAskAgainAt = mContext.mLoop.Now() + RetryDelay(mFailedResumptions);
  ResumeOrGiveUp(error_kind::StreamBroken, aWhy);
}

void
exchange::PostponeRetry(error_kind aKind, const std::string& aWhy)
{
  if (!mRetryPostponed) {
    mRetryPostponed = true;
    mContext.mBoard.mMetrics.Count("gateway_resumptions_postponed_total");
    Log(log_level::Info,
        "resumption_postponed",
        { { "request", mRequestInfo.mId },
          { "why", aWhy },
          { "sent_to", mAttemptedEndpoints.size() },
          { "after_event", mCursor.LastId().value_or(0) },
          { "left_ms", Milliseconds(TimeLeft()) } });
  }
  mPlacementTimer =
    mContext.mLoop.After(kReevaluationInterval, [this, aKind, aWhy]() {
      const std::shared_ptr<exchange> self = shared_from_this();
      mPlacementTimer = 0;
      ResumeOrGiveUp(aKind, aWhy);
    });
}

bool
exchange::CanRetryElsewhere()
{
  if (!IsRetryable() || mForwardingLargeAnswer) {
    LogRetryDenied("not_repeatable");
    return false;
  }
  if (mAttemptedEndpoints.size() >= mRoute->mMaxAttempts) {
    LogRetryDenied("max_attempts");
    return false;
  }
  const std::optional<retry_targets> targets = FindTargets();
  if (!targets.has_value() || !targets->mAgain.empty()) {
    LogRetryDenied("no_endpoint");
    return false;
  }
  return true;
}

bool
exchange::ConsumeRetryBudget()
{
  const bool granted =
    TakeRetry(mContext.mBoard.mRepeats[mService->mName],
              mContext.mSettings.mRepeats,
              EntryCount(mContext.mBoard),
              mMayHaveRun || mAttempt != nullptr ? retry_claim::Started
                                                 : retry_claim::Refusable,
              mContext.mLoop.Now());
  if (!granted) {
    LogRetryDenied("budget");
  }
  return granted;
}

void
exchange::LogRetryDenied(std::string_view aWhy)
{
  const std::string_view answer = mHeadWritten ? "begun" : "not_begun";
  if (aWhy == mLoggedDenial) {
    return;
  }
  mLoggedDenial = aWhy;
  mContext.mBoard.mMetrics.Count(
    Labelled("gateway_retries_denied_total", "why", aWhy));
  const retry_allowance allowance =
    AllowanceOf(mContext.mBoard.mRepeats[mService->mName],
                mContext.mSettings.mRepeats,
                EntryCount(mContext.mBoard),
                mContext.mLoop.Now());
  Log(log_level::Info,
      "retry_denied",
      { { "request", mRequestInfo.mId },
        { "why", aWhy },
        { "answer", answer },
        { "sent_to", mAttemptedEndpoints.size() },
        { "max_attempts", mRoute->mMaxAttempts },
        { "retries_used", allowance.mUsed },
        { "retries_allowed", allowance.mAllowed },
        { "left_ms", Milliseconds(TimeLeft()) } });
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
      { { "request", mRequestInfo.mId },
        { "why", aWhy },
        { "sent_to", mAttemptedEndpoints.size() },
        { "after_event", mCursor.LastId().value_or(0) },
        { "left_ms", Milliseconds(TimeLeft()) } });
  mStreaming = false;
  mCursor.Resume();
  Dispatch();
}

} // namespace primrose
