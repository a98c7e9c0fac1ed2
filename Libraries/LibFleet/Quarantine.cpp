#include "LibFleet/Quarantine.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

/// Crashes of one request add up if each comes within this time of the one
/// before.
constexpr duration kSuspectLifetime = std::chrono::hours(1);
/// The quarantine ends this long after the last crash, so that the request may
/// be sent again.
constexpr duration kQuarantineLifetime = std::chrono::hours(24);
/// A request answered within this time is not suspected. No longer, since a new
/// release of the endpoints may crash on what the last one answered.
constexpr duration kAnswerLifetime = std::chrono::seconds(60);

/// Longer than crash reports and quarantined requests are in flight between
/// gateways.
constexpr duration kClearedLifetime = std::chrono::seconds(5);

/// Delay before each trial. The first is short, for requests that were only in
/// flight beside the cause; if it fails, the request has crashed one endpoint
/// more.
constexpr std::array<duration, kMaxTrials> kTrialDelays = {
  std::chrono::seconds(15),
  std::chrono::minutes(10)
};

/// Enough for the requests in flight on hundreds of endpoints that crash at
/// once.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxQuarantined = 1024;
/// Several times the answers of one gateway within `kAnswerLifetime`.
constexpr std::size_t kMaxAnswered = 4096;

/// Removes the element with the oldest `mLastCrash` if there are more than
/// `aMaxSize`.
template<typename Map>
void
EvictOldestIfOver(Map& aMap, std::size_t aMaxSize)
{
  if (aMap.size() <= aMaxSize) {
    return;
  }
  aMap.erase(std::min_element(
    aMap.begin(), aMap.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mLastCrash < aRight.second.mLastCrash;
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
Quarantine(quarantine& aQuarantine,
           request_digest aRequest,
           const quarantine_record& aRecord)
{
  aQuarantine.mSuspects.erase(aRequest);
  aQuarantine.mHeld[aRequest] = aRecord;
  EvictOldestIfOver(aQuarantine.mHeld, kMaxQuarantined);
}

} // namespace

crash_effect
RecordCrash(quarantine& aQuarantine,
            const crash_report& aReport,
            time_point aNow)
{
  if (AnsweredRecently(aQuarantine, aReport.mRequest, aNow)) {
    return crash_effect::Refuted;
  }
  if (aQuarantine.mCleared.contains(aReport.mRequest)) {
    return crash_effect::Nothing;
  }
  const auto held = aQuarantine.mHeld.find(aReport.mRequest);
  if (held != aQuarantine.mHeld.end()) {
    held->second.mLastCrash = aNow;
    held->second.mNextTrial = NextTrialTime(held->second.mTrials, aNow);
    return crash_effect::Recorded;
  }
  suspected_request& suspect = aQuarantine.mSuspects[aReport.mRequest];
  const bool known = std::any_of(suspect.mReports.begin(),
                                 suspect.mReports.end(),
                                 [&aReport](const crash_report& aKnown) {
                                   return aKnown.mEndpoint == aReport.mEndpoint;
                                 });
  if (known) {
    return crash_effect::Nothing;
  }
  suspect.mReports.push_back(aReport);
  suspect.mLastCrash = aNow;
  if (TotalCrashScore(suspect) >= kQuarantineThreshold) {
    Quarantine(
      aQuarantine, aReport.mRequest, { 0, NextTrialTime(0, aNow), aNow });
    return crash_effect::Held;
  }
  EvictOldestIfOver(aQuarantine.mSuspects, kMaxSuspects);
  return crash_effect::Recorded;
}

bool
RecordAnswered(quarantine& aQuarantine,
               request_digest aRequest,
               time_point aNow)
{
  const auto suspect = aQuarantine.mSuspects.find(aRequest);
  const bool suspected = suspect != aQuarantine.mSuspects.end() &&
                         suspect->second.mReports.size() > 1;
  const bool held = aQuarantine.mHeld.erase(aRequest) != 0;
  aQuarantine.mSuspects.erase(aRequest);
  aQuarantine.mAnswered[aRequest] = aNow;
  aQuarantine.mAnsweredOrder.emplace_back(aNow, aRequest);
  while (aQuarantine.mAnsweredOrder.size() > kMaxAnswered ||
         aQuarantine.mAnsweredOrder.front().first + kAnswerLifetime <= aNow) {
    const auto [time, request] = aQuarantine.mAnsweredOrder.front();
    aQuarantine.mAnsweredOrder.pop_front();
    const auto answered = aQuarantine.mAnswered.find(request);
    if (answered != aQuarantine.mAnswered.end() && answered->second == time) {
      aQuarantine.mAnswered.erase(answered);
    }
  }
  return suspected || held;
}

bool
RecordCleared(quarantine& aQuarantine, request_digest aRequest, time_point aNow)
{
  aQuarantine.mSuspects.erase(aRequest);
  aQuarantine.mCleared[aRequest] = aNow;
  return aQuarantine.mHeld.erase(aRequest) != 0;
}

bool
AnsweredRecently(const quarantine& aQuarantine,
                 request_digest aRequest,
                 time_point aNow)
{
  const auto answered = aQuarantine.mAnswered.find(aRequest);
  return answered != aQuarantine.mAnswered.end() &&
         aNow < answered->second + kAnswerLifetime;
}

bool
RecordQuarantined(quarantine& aQuarantine,
                  const quarantined_request& aReceived,
                  time_point aNow)
{
  if (aReceived.mAge >= kQuarantineLifetime ||
      AnsweredRecently(aQuarantine, aReceived.mRequest, aNow) ||
      aQuarantine.mCleared.contains(aReceived.mRequest)) {
    return false;
  }
  const auto held = aQuarantine.mHeld.find(aReceived.mRequest);
  if (held == aQuarantine.mHeld.end()) {
    Quarantine(aQuarantine,
               aReceived.mRequest,
               { aReceived.mTrials,
                 NextTrialTime(aReceived.mTrials, aNow),
                 aNow - aReceived.mAge });
    return true;
  }
  held->second.mLastCrash =
    std::max(held->second.mLastCrash, aNow - aReceived.mAge);
  if (aReceived.mTrials > held->second.mTrials) {
    held->second.mTrials = aReceived.mTrials;
    held->second.mNextTrial = NextTrialTime(aReceived.mTrials, aNow);
  }
  return false;
}

void
RecordTrial(quarantine& aQuarantine,
            request_digest aRequest,
            unsigned aTrial,
            time_point aNow)
{
  const auto held = aQuarantine.mHeld.find(aRequest);
  if (held != aQuarantine.mHeld.end() && aTrial > held->second.mTrials) {
    held->second.mTrials = aTrial;
    held->second.mNextTrial = NextTrialTime(aTrial, aNow);
  }
}

quarantine_verdict
QuarantineVerdictFor(const quarantine& aQuarantine,
                     request_digest aRequest,
                     crash_score aPending,
                     time_point aNow)
{
  const auto held = aQuarantine.mHeld.find(aRequest);
  if (held != aQuarantine.mHeld.end()) {
    return held->second.mTrials < kMaxTrials && aNow >= held->second.mNextTrial
             ? quarantine_verdict::Try
             : quarantine_verdict::Refuse;
  }
  if (aPending == 0 || AnsweredRecently(aQuarantine, aRequest, aNow)) {
    return quarantine_verdict::Send;
  }
  const auto suspect = aQuarantine.mSuspects.find(aRequest);
  const crash_score confirmed = suspect == aQuarantine.mSuspects.end()
                                  ? 0
                                  : TotalCrashScore(suspect->second);
  return confirmed + aPending >= kQuarantineThreshold
           ? quarantine_verdict::Refuse
           : quarantine_verdict::Send;
}

duration
TimeUntilTrial(const quarantine& aQuarantine,
               request_digest aRequest,
               time_point aNow)
{
  const auto held = aQuarantine.mHeld.find(aRequest);
  if (held == aQuarantine.mHeld.end()) {
    return kTrialDelays.front();
  }
  return std::max(duration::zero(), held->second.mNextTrial - aNow);
}

std::vector<quarantined_request>
QuarantinedRequests(const quarantine& aQuarantine, time_point aNow)
{
  std::vector<quarantined_request> all;
  all.reserve(aQuarantine.mHeld.size());
  for (const auto& [request, record] : aQuarantine.mHeld) {
    all.push_back({ request, record.mTrials, aNow - record.mLastCrash });
  }
  return all;
}

std::uint64_t
QuarantineChecksum(const quarantine& aQuarantine)
{
  // A sum does not depend on the iteration order.
  std::uint64_t state = 1;
  for (const auto& [request, record] : aQuarantine.mHeld) {
    state += Hash(DigestText(request), record.mTrials);
  }
  return state;
}

std::vector<request_digest>
ExpireCrashRecords(quarantine& aQuarantine, time_point aNow)
{
  std::erase_if(aQuarantine.mSuspects, [aNow](const auto& aElement) {
    return aElement.second.mLastCrash + kSuspectLifetime <= aNow;
  });
  std::erase_if(aQuarantine.mCleared, [aNow](const auto& aElement) {
    return aElement.second + kClearedLifetime <= aNow;
  });
  std::vector<request_digest> expired;
  for (const auto& [request, record] : aQuarantine.mHeld) {
    if (record.mLastCrash + kQuarantineLifetime <= aNow) {
      expired.push_back(request);
    }
  }
  for (const request_digest request : expired) {
    aQuarantine.mHeld.erase(request);
  }
  return expired;
}

} // namespace primrose
