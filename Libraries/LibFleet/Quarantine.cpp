#include "LibFleet/Quarantine.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

/// A request that ended an endpoint may come again as late as this and still
/// counts as the same trouble.
constexpr duration kSuspectLifetime = std::chrono::hours(1);
/// Held without an end or a trial for so long, it is given another chance.
constexpr duration kQuarantineLifetime = std::chrono::hours(24);
/// What was answered within such a time ends nobody. Not longer, since a new
/// release of the endpoints may fall over what the last one answered.
constexpr duration kAnswerLifetime = std::chrono::seconds(60);

/// Reports, and what entries tell each other of what they hold, are on their
/// way for less than this.
constexpr duration kClearedLifetime = std::chrono::seconds(5);

/// Before each trial. The first comes soon, for those that were only there when
/// endpoints ended; whoever fails it has ended one endpoint more.
constexpr std::array<duration, kMaxTrials> kTrialDelays = {
  std::chrono::seconds(15),
  std::chrono::minutes(10)
};

/// Requests in flight on hundreds of endpoints that end at once.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxQuarantined = 1024;
/// Answers of one entry within `kAnswerLifetime`, several times over.
constexpr std::size_t kMaxAnswered = 4096;

/// Drops the entry whose `mLast` is the oldest when there are too many.
template<typename Map>
void
EvictOldestIfOver(Map& aMap, std::size_t aMost)
{
  if (aMap.size() <= aMost) {
    return;
  }
  aMap.erase(std::min_element(
    aMap.begin(), aMap.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mLast < aOther.second.mLast;
    }));
}

crash_score
TotalCrashScore(const suspected_request& aSuspect)
{
  crash_score sum = 0;
  for (const crash_report& report : aSuspect.mReports) {
    sum += ScoreOfCrash(report.mAnswering);
  }
  return sum;
}

time_point
NextTrialTime(unsigned aTrials, time_point aNow)
{
  return aNow + (aTrials < kMaxTrials ? kTrialDelays.at(aTrials)
                                      : kQuarantineLifetime);
}

void
Hold(quarantine& aBoard,
     request_digest aRequest,
     const quarantine_record& aHold)
{
  aBoard.mSuspects.erase(aRequest);
  aBoard.mHeld[aRequest] = aHold;
  EvictOldestIfOver(aBoard.mHeld, kMaxQuarantined);
}

} // namespace

crash_effect
RecordCrash(quarantine& aBoard, const crash_report& aReport, time_point aNow)
{
  if (AnsweredRecently(aBoard, aReport.mRequest, aNow)) {
    return crash_effect::Refuted;
  }
  if (aBoard.mCleared.contains(aReport.mRequest)) {
    return crash_effect::Nothing;
  }
  const auto held = aBoard.mHeld.find(aReport.mRequest);
  if (held != aBoard.mHeld.end()) {
    held->second.mLast = aNow;
    held->second.mNextTrial = NextTrialTime(held->second.mTrials, aNow);
    return crash_effect::Recorded;
  }
  suspected_request& suspect = aBoard.mSuspects[aReport.mRequest];
  const bool known = std::any_of(suspect.mReports.begin(),
                                 suspect.mReports.end(),
                                 [&aReport](const crash_report& aOne) {
                                   return aOne.mEndpoint == aReport.mEndpoint;
                                 });
  if (known) {
    return crash_effect::Nothing;
  }
  suspect.mReports.push_back(aReport);
  suspect.mLast = aNow;
  if (TotalCrashScore(suspect) >= kQuarantineThreshold) {
    Hold(aBoard, aReport.mRequest, { 0, NextTrialTime(0, aNow), aNow });
    return crash_effect::Held;
  }
  EvictOldestIfOver(aBoard.mSuspects, kMaxSuspects);
  return crash_effect::Recorded;
}

bool
RecordAnswered(quarantine& aBoard, request_digest aRequest, time_point aNow)
{
  const auto suspect = aBoard.mSuspects.find(aRequest);
  const bool suspected =
    suspect != aBoard.mSuspects.end() && suspect->second.mReports.size() > 1;
  const bool held = aBoard.mHeld.erase(aRequest) != 0;
  aBoard.mSuspects.erase(aRequest);
  aBoard.mServed[aRequest] = aNow;
  aBoard.mAnsweredOrder.emplace_back(aNow, aRequest);
  while (aBoard.mAnsweredOrder.size() > kMaxAnswered ||
         aBoard.mAnsweredOrder.front().first + kAnswerLifetime <= aNow) {
    const auto [time, request] = aBoard.mAnsweredOrder.front();
    aBoard.mAnsweredOrder.pop_front();
    const auto served = aBoard.mServed.find(request);
    if (served != aBoard.mServed.end() && served->second == time) {
      aBoard.mServed.erase(served);
    }
  }
  return suspected || held;
}

bool
RecordCleared(quarantine& aBoard, request_digest aRequest, time_point aNow)
{
  aBoard.mSuspects.erase(aRequest);
  aBoard.mCleared[aRequest] = aNow;
  return aBoard.mHeld.erase(aRequest) != 0;
}

bool
AnsweredRecently(const quarantine& aBoard,
                 request_digest aRequest,
                 time_point aNow)
{
  const auto served = aBoard.mServed.find(aRequest);
  return served != aBoard.mServed.end() &&
         aNow < served->second + kAnswerLifetime;
}

bool
RecordQuarantined(quarantine& aBoard,
                  const quarantined_request& aHeld,
                  time_point aNow)
{
  if (aHeld.mAge >= kQuarantineLifetime ||
      AnsweredRecently(aBoard, aHeld.mRequest, aNow) ||
      aBoard.mCleared.contains(aHeld.mRequest)) {
    return false;
  }
  const auto held = aBoard.mHeld.find(aHeld.mRequest);
  if (held == aBoard.mHeld.end()) {
    Hold(
      aBoard,
      aHeld.mRequest,
      { aHeld.mTrials, NextTrialTime(aHeld.mTrials, aNow), aNow - aHeld.mAge });
    return true;
  }
  held->second.mLast = std::max(held->second.mLast, aNow - aHeld.mAge);
  if (aHeld.mTrials > held->second.mTrials) {
    held->second.mTrials = aHeld.mTrials;
    held->second.mNextTrial = NextTrialTime(aHeld.mTrials, aNow);
  }
  return false;
}

void
RecordTrial(quarantine& aBoard,
            request_digest aRequest,
            unsigned aTrial,
            time_point aNow)
{
  const auto held = aBoard.mHeld.find(aRequest);
  if (held != aBoard.mHeld.end() && aTrial > held->second.mTrials) {
    held->second.mTrials = aTrial;
    held->second.mNextTrial = NextTrialTime(aTrial, aNow);
  }
}

quarantine_verdict
QuarantineVerdictFor(const quarantine& aBoard,
                     request_digest aRequest,
                     crash_score aPending,
                     time_point aNow)
{
  const auto held = aBoard.mHeld.find(aRequest);
  if (held != aBoard.mHeld.end()) {
    return held->second.mTrials < kMaxTrials && aNow >= held->second.mNextTrial
             ? quarantine_verdict::Try
             : quarantine_verdict::Refuse;
  }
  if (aPending == 0 || AnsweredRecently(aBoard, aRequest, aNow)) {
    return quarantine_verdict::Send;
  }
  const auto suspect = aBoard.mSuspects.find(aRequest);
  const crash_score certain =
    suspect == aBoard.mSuspects.end() ? 0 : TotalCrashScore(suspect->second);
  return certain + aPending >= kQuarantineThreshold ? quarantine_verdict::Refuse
                                                    : quarantine_verdict::Send;
}

duration
TimeUntilTrial(const quarantine& aBoard,
               request_digest aRequest,
               time_point aNow)
{
  const auto held = aBoard.mHeld.find(aRequest);
  if (held == aBoard.mHeld.end()) {
    return kTrialDelays.front();
  }
  return std::max(duration::zero(), held->second.mNextTrial - aNow);
}

std::vector<quarantined_request>
QuarantinedRequests(const quarantine& aBoard, time_point aNow)
{
  std::vector<quarantined_request> all;
  all.reserve(aBoard.mHeld.size());
  for (const auto& [request, hold] : aBoard.mHeld) {
    all.push_back({ request, hold.mTrials, aNow - hold.mLast });
  }
  return all;
}

std::uint64_t
QuarantineChecksum(const quarantine& aBoard)
{
  // A sum does not depend on the order.
  std::uint64_t state = 1;
  for (const auto& [request, hold] : aBoard.mHeld) {
    state += Hash(DigestText(request), hold.mTrials);
  }
  return state;
}

std::vector<request_digest>
ExpireCrashRecords(quarantine& aBoard, time_point aNow)
{
  std::erase_if(aBoard.mSuspects, [aNow](const auto& aEntry) {
    return aEntry.second.mLast + kSuspectLifetime <= aNow;
  });
  std::erase_if(aBoard.mCleared, [aNow](const auto& aEntry) {
    return aEntry.second + kClearedLifetime <= aNow;
  });
  std::vector<request_digest> freed;
  for (const auto& [request, hold] : aBoard.mHeld) {
    if (hold.mLast + kQuarantineLifetime <= aNow) {
      freed.push_back(request);
    }
  }
  for (const request_digest request : freed) {
    aBoard.mHeld.erase(request);
  }
  return freed;
}

} // namespace primrose
