#include "LibFleet/Quarantine.h"

#include <algorithm>
#include <array>
#include <utility>

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
/// Shorter, because a part may crash endpoints of a new release soon after it
/// was answered by the old one.
constexpr duration kPartClearedLifetime = std::chrono::seconds(1);

/// Delay before each trial. The first is short, for requests that were only in
/// flight beside the cause; if it fails, the request has crashed one endpoint
/// more.
constexpr std::array<duration, kMaxTrials> kTrialDelays = {
  std::chrono::seconds(15),
  std::chrono::minutes(10)
};

/// The same for a part of a prompt. A sound one is cleared by its first trial,
/// unless the endpoint happens to crash for another reason.
constexpr std::array<duration, kMaxTrials> kPartTrialDelays = {
  std::chrono::seconds(0),
  std::chrono::seconds(3)
};

/// Crashes under one part within this time count as one event. Endpoints that
/// fail together for another reason are detected within tens of milliseconds.
constexpr duration kPartCrashSpacing = std::chrono::milliseconds(200);
/// Parts whose last crashes are within this time of each other may have been
/// quarantined for the same crashes. Gateways exchange the times in seconds.
constexpr duration kSameCrashes = std::chrono::seconds(5);

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

/// Score that a crash adds to those of the suspect's earlier crashes.
crash_score
AddedScore(const suspected_request& aSuspect,
           const crash_report& aReport,
           time_point aNow)
{
  if (!IsPromptPart(aReport.mRequest)) {
    return ScoreOfCrash(aReport.mAnswering);
  }
  const bool isFirst = aSuspect.mScore == 0;
  return isFirst || aNow >= aSuspect.mLastCounted + kPartCrashSpacing
           ? kCrashScore
           : 0;
}

time_point
NextTrialTime(request_digest aRequest, unsigned aTrials, time_point aNow)
{
  if (aTrials >= kMaxTrials) {
    return aNow + kQuarantineLifetime;
  }
  return aNow + (IsPromptPart(aRequest) ? kPartTrialDelays.at(aTrials)
                                        : kTrialDelays.at(aTrials));
}

duration
ClearedLifetime(request_digest aRequest)
{
  return IsPromptPart(aRequest) ? kPartClearedLifetime : kClearedLifetime;
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

/// True if a part that is not among these was quarantined for the crashes of
/// one of these. A request with only these then tells which one is to blame.
bool
LacksPartOfSameCrashes(const quarantine& aQuarantine,
                       const std::vector<request_digest>& aQuarantined)
{
  for (const auto& [other, record] : aQuarantine.mHeld) {
    if (!IsPromptPart(other) ||
        std::find(aQuarantined.begin(), aQuarantined.end(), other) !=
          aQuarantined.end()) {
      continue;
    }
    for (const request_digest one : aQuarantined) {
      const duration apart =
        aQuarantine.mHeld.at(one).mLastCrash - record.mLastCrash;
      if (std::chrono::abs(apart) <= kSameCrashes) {
        return true;
      }
    }
  }
  return false;
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
    held->second.mNextTrial =
      NextTrialTime(aReport.mRequest, held->second.mTrials, aNow);
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
  const crash_score added = AddedScore(suspect, aReport, aNow);
  suspect.mReports.push_back(aReport);
  suspect.mScore += added;
  suspect.mLastCrash = aNow;
  suspect.mLastCounted = added > 0 ? aNow : suspect.mLastCounted;
  if (suspect.mScore >= kQuarantineThreshold) {
    Quarantine(aQuarantine,
               aReport.mRequest,
               { 0, NextTrialTime(aReport.mRequest, 0, aNow), aNow });
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
  const std::size_t reports = suspect == aQuarantine.mSuspects.end()
                                ? 0
                                : suspect->second.mReports.size();
  const bool held = aQuarantine.mHeld.erase(aRequest) != 0;
  aQuarantine.mSuspects.erase(aRequest);
  if (IsPromptPart(aRequest)) {
    // Only an answer after a crash counts, so it need not be remembered.
    return reports > 0 || held;
  }
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
  return reports > 1 || held;
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
                 NextTrialTime(aReceived.mRequest, aReceived.mTrials, aNow),
                 aNow - aReceived.mAge });
    return true;
  }
  held->second.mLastCrash =
    std::max(held->second.mLastCrash, aNow - aReceived.mAge);
  if (aReceived.mTrials > held->second.mTrials) {
    held->second.mTrials = aReceived.mTrials;
    held->second.mNextTrial =
      NextTrialTime(aReceived.mRequest, aReceived.mTrials, aNow);
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
    held->second.mNextTrial = NextTrialTime(aRequest, aTrial, aNow);
  }
}

void
RecordUnusedTrial(quarantine& aQuarantine, request_digest aRequest)
{
  const auto held = aQuarantine.mHeld.find(aRequest);
  if (held != aQuarantine.mHeld.end()) {
    held->second.mHasUnusedTrial = true;
  }
}

bool
TakeUnusedTrial(quarantine& aQuarantine, request_digest aRequest)
{
  const auto held = aQuarantine.mHeld.find(aRequest);
  return held != aQuarantine.mHeld.end() &&
         std::exchange(held->second.mHasUnusedTrial, false);
}

quarantine_verdict
QuarantineVerdictFor(const quarantine& aQuarantine,
                     request_digest aRequest,
                     crash_score aPending,
                     time_point aNow)
{
  const auto held = aQuarantine.mHeld.find(aRequest);
  if (held != aQuarantine.mHeld.end()) {
    const quarantine_record& record = held->second;
    const bool isDue = record.mTrials < kMaxTrials && aNow >= record.mNextTrial;
    return isDue || record.mHasUnusedTrial ? quarantine_verdict::Try
                                           : quarantine_verdict::Refuse;
  }
  if (aPending == 0 || AnsweredRecently(aQuarantine, aRequest, aNow)) {
    return quarantine_verdict::Send;
  }
  const auto suspect = aQuarantine.mSuspects.find(aRequest);
  const crash_score confirmed =
    suspect == aQuarantine.mSuspects.end() ? 0 : suspect->second.mScore;
  return confirmed + aPending >= kQuarantineThreshold
           ? quarantine_verdict::Refuse
           : quarantine_verdict::Send;
}

suspects_verdict
SuspectsVerdictFor(const quarantine& aQuarantine,
                   const std::vector<request_digest>& aSuspects,
                   crash_score aPending,
                   time_point aNow)
{
  suspects_verdict sum;
  bool mayTry = true;
  for (const request_digest suspect : aSuspects) {
    const quarantine_verdict one = QuarantineVerdictFor(
      aQuarantine, suspect, IsPromptPart(suspect) ? 0 : aPending, aNow);
    if (one != quarantine_verdict::Send) {
      mayTry = mayTry && one == quarantine_verdict::Try;
      sum.mVerdict = quarantine_verdict::Refuse;
    }
    if (aQuarantine.mHeld.contains(suspect)) {
      sum.mQuarantined.push_back(suspect);
    }
  }
  if (!sum.mQuarantined.empty() && mayTry &&
      (sum.mQuarantined.size() == 1 ||
       LacksPartOfSameCrashes(aQuarantine, sum.mQuarantined))) {
    sum.mVerdict = quarantine_verdict::Try;
  }
  return sum;
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
  return held->second.mHasUnusedTrial
           ? duration::zero()
           : std::max(duration::zero(), held->second.mNextTrial - aNow);
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
    return aElement.second + ClearedLifetime(aElement.first) <= aNow;
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
