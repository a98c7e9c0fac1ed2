#include "History.h"

#include "LibFleet/LibFleet.h"
#include "Standin.h"

#include <algorithm>

namespace primrose::soak {

namespace {

/// How long after its time limit a request may end, as machines can be busy.
constexpr duration kEndTolerance = std::chrono::milliseconds(2500);
/// A draining gateway must still answer requests sent up to this long after
/// its SIGTERM.
constexpr duration kDrainingAcceptSpan = std::chrono::seconds(2);

constexpr double kMsPerSecond = 1e3;
/// Idle time of an engine that a burst of streams may use up.
constexpr double kMaxFreeMs = 1000;
constexpr engine_timing kDeclaredTiming{
  .mPrefillTokensPerMs = test::kDeclaredPrefillTokensPerSecond / kMsPerSecond,
  .mPrefillMsPerMillionPairs = test::kDeclaredPrefillMsPerMillionPairs
};

bool
IsServed(const request_record& aRequest)
{
  constexpr unsigned kOk = 200;
  return aRequest.mStatus == kOk && aRequest.mIsComplete;
}

bool
WasDisturbed(const soak_history& aHistory, const request_record& aRequest)
{
  for (const disturbance_span& span : aHistory.mDisturbances) {
    if (span.mGateway == aRequest.mGateway && span.mFrom <= aRequest.mEndedAt &&
        span.mTo >= aRequest.mSentAt) {
      return true;
    }
  }
  return false;
}

std::string
ExpectedStream(const std::string& aId, int aEvents)
{
  std::string text;
  for (int event = 1; event <= aEvents; ++event) {
    text += EventText(aId, event);
  }
  return text;
}

std::string
CheckAnswer(const soak_history& aHistory, const request_record& aRequest)
{
  if (aRequest.mStatus != 200) {
    return "";
  }
  if (!aRequest.mHasSeal || aRequest.mAnswerId != aRequest.mId) {
    return "a success without proof, or of another request";
  }
  const std::string expected =
    aRequest.mKind == request_kind::Stream
      ? ExpectedStream(aRequest.mId, aHistory.mEventsPerStream)
      : CallBody(aRequest.mId);
  if (aRequest.mIsComplete && aRequest.mBody != expected) {
    return "an answer that looks whole and is not";
  }
  if (!aRequest.mIsComplete &&
      expected.compare(0, aRequest.mBody.size(), aRequest.mBody) != 0) {
    return "events out of order, twice or missing";
  }
  return "";
}

std::string
CheckExecutions(const soak_history& aHistory, const request_record& aRequest)
{
  const auto found = aHistory.mExecutions.find(aRequest.mId);
  const unsigned executions =
    found == aHistory.mExecutions.end() ? 0 : found->second;
  if (aRequest.mKind != request_kind::Unsafe) {
    return "";
  }
  if (executions > 1) {
    return "ran " + std::to_string(executions) + " times";
  }
  const bool reportedNotRun =
    aRequest.mStatus == 503 || aRequest.mStatus == 429;
  return reportedNotRun && executions > 0
           ? "ran, and its caller was told it had not"
           : "";
}

std::string
CheckEndTime(const soak_history& aHistory, const request_record& aRequest)
{
  if (!aHistory.mCheckTimes) {
    return "";
  }
  const bool disturbed = WasDisturbed(aHistory, aRequest);
  if (!disturbed && aRequest.mEndedAt - aRequest.mSentAt >
                      aHistory.mTimeLimit + kEndTolerance) {
    return "did not end in time";
  }
  for (const planned_exit& end : aHistory.mPlannedExits) {
    const bool inFlight = end.mGateway == aRequest.mGateway &&
                          aRequest.mSentAt < end.mAt + kDrainingAcceptSpan &&
                          aRequest.mEndedAt > end.mAt;
    if (inFlight && !disturbed && aRequest.mBytesReceived == 0 &&
        aRequest.mStatus == 0) {
      return "lost by a planned end";
    }
  }
  return "";
}

} // namespace

std::string
CallBody(const std::string& aId)
{
  return "answer to " + aId;
}

std::string
EventText(const std::string& aId, int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + aId + "\n\n";
}

served_share
CallsServed(const soak_history& aHistory)
{
  served_share share;
  for (const request_record& request : aHistory.mRequests) {
    if (request.mKind != request_kind::Stream && request.mSoundEndpoints > 0) {
      ++share.mPossible;
      share.mServed += IsServed(request) ? 1 : 0;
    }
  }
  return share;
}

served_share
StreamsServed(const soak_history& aHistory)
{
  std::vector<request_record> streams;
  for (const request_record& request : aHistory.mRequests) {
    if (request.mKind == request_kind::Stream && request.mSoundEndpoints > 0 &&
        request.mPromptTokens <= test::kDeclaredMemoryTokens) {
      streams.push_back(request);
    }
  }
  std::ranges::sort(streams, {}, &request_record::mSentAt);
  served_share share;
  double freeMs = 0;
  time_point before{};
  for (const request_record& stream : streams) {
    const double engines = static_cast<double>(stream.mSoundEndpoints);
    freeMs = std::min(engines * kMaxFreeMs,
                      freeMs + engines * Seconds(stream.mSentAt - before) *
                                 kMsPerSecond);
    before = stream.mSentAt;
    const double workMs =
      PrefillMs(kDeclaredTiming, static_cast<double>(stream.mPromptTokens));
    if (workMs <= freeMs) {
      freeMs -= workMs;
      ++share.mPossible;
    }
    share.mServed += IsServed(stream) ? 1 : 0;
  }
  return share;
}

std::vector<guarantee_violation>
CheckHistory(const soak_history& aHistory)
{
  std::vector<guarantee_violation> violations;
  for (const request_record& request : aHistory.mRequests) {
    for (const std::string& what : { CheckAnswer(aHistory, request),
                                     CheckExecutions(aHistory, request),
                                     CheckEndTime(aHistory, request) }) {
      if (!what.empty()) {
        violations.push_back({ request.mId, what });
      }
    }
  }
  // The operators' limit for such sends.
  constexpr std::size_t kMaxLateRequests = 3;
  if (aHistory.mLateCrashingRequests > kMaxLateRequests) {
    violations.push_back(
      { "",
        "a request or part that had ended engines was sent " +
          std::to_string(aHistory.mLateCrashingRequests) + " times more" });
  }
  for (const std::string& what : aHistory.mIgnoredAnnouncements) {
    violations.push_back({ "", what });
  }
  if (aHistory.mCheckTimes) {
    for (const std::string& what : aHistory.mOtherViolations) {
      violations.push_back({ "", what });
    }
  }
  return violations;
}

} // namespace primrose::soak
