#include "LibFleet/Quarantine.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

/// A request that ended an endpoint may come again as late as this and still
/// counts as the same trouble.
constexpr duration kSuspectedFor = std::chrono::hours(1);
/// Held without an end or a trial for so long, it is given another chance.
constexpr duration kHeldFor = std::chrono::hours(24);
/// What was answered within such a time ends nobody. Not longer, since a new
/// release of the endpoints may fall over what the last one answered.
constexpr duration kServedFor = std::chrono::seconds(60);

/// Reports, and what entries tell each other of what they hold, are on their
/// way for less than this.
constexpr duration kClearedFor = std::chrono::seconds(5);

/// Before each trial. The first comes soon, for those that were only there when
/// endpoints ended; whoever fails it has ended one endpoint more.
constexpr std::array<duration, kMostTrials> kBeforeTrial = {
  std::chrono::seconds(15),
  std::chrono::minutes(10)
};

/// Requests in flight on hundreds of endpoints that end at once.
constexpr std::size_t kMostSuspects = 4096;
constexpr std::size_t kMostHeld = 1024;
/// Answers of one entry within `kServedFor`, several times over.
constexpr std::size_t kMostServed = 4096;

/// Drops the entry whose `mLast` is the oldest when there are too many.
template<typename Map>
void
DropOldestOf(Map& aMap, std::size_t aMost)
{
  if (aMap.size() <= aMost) {
    return;
  }
  aMap.erase(std::min_element(
    aMap.begin(), aMap.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mLast < aOther.second.mLast;
    }));
}

suspicion
SuspicionOf(const crash_suspect& aSuspect)
{
  suspicion sum = 0;
  for (const crash_report& report : aSuspect.mReports) {
    sum += SuspicionOfEnd(report.mAnswering);
  }
  return sum;
}

time_point
NextTrial(unsigned aTrials, time_point aNow)
{
  return aNow + (aTrials < kMostTrials ? kBeforeTrial.at(aTrials) : kHeldFor);
}

void
Hold(quarantine& aBoard, request_digest aRequest, const crash_hold& aHold)
{
  aBoard.mSuspects.erase(aRequest);
  aBoard.mHeld[aRequest] = aHold;
  DropOldestOf(aBoard.mHeld, kMostHeld);
}

} // namespace

crash_effect
NoteCrash(quarantine& aBoard, const crash_report& aReport, time_point aNow)
{
  if (ServedLately(aBoard, aReport.mRequest, aNow)) {
    return crash_effect::Refuted;
  }
  if (aBoard.mCleared.contains(aReport.mRequest)) {
    return crash_effect::Nothing;
  }
  const auto held = aBoard.mHeld.find(aReport.mRequest);
  if (held != aBoard.mHeld.end()) {
    held->second.mLast = aNow;
    held->second.mNextTrial = NextTrial(held->second.mTrials, aNow);
    return crash_effect::Noted;
  }
  crash_suspect& suspect = aBoard.mSuspects[aReport.mRequest];
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
  if (SuspicionOf(suspect) >= kHeldFrom) {
    Hold(aBoard, aReport.mRequest, { 0, NextTrial(0, aNow), aNow });
    return crash_effect::Held;
  }
  DropOldestOf(aBoard.mSuspects, kMostSuspects);
  return crash_effect::Noted;
}

bool
NoteServed(quarantine& aBoard, request_digest aRequest, time_point aNow)
{
  const auto suspect = aBoard.mSuspects.find(aRequest);
  const bool suspected =
    suspect != aBoard.mSuspects.end() && suspect->second.mReports.size() > 1;
  const bool held = aBoard.mHeld.erase(aRequest) != 0;
  aBoard.mSuspects.erase(aRequest);
  aBoard.mServed[aRequest] = aNow;
  aBoard.mServedOrder.emplace_back(aNow, aRequest);
  while (aBoard.mServedOrder.size() > kMostServed ||
         aBoard.mServedOrder.front().first + kServedFor <= aNow) {
    const auto [time, request] = aBoard.mServedOrder.front();
    aBoard.mServedOrder.pop_front();
    const auto served = aBoard.mServed.find(request);
    if (served != aBoard.mServed.end() && served->second == time) {
      aBoard.mServed.erase(served);
    }
  }
  return suspected || held;
}

bool
NoteCleared(quarantine& aBoard, request_digest aRequest, time_point aNow)
{
  aBoard.mSuspects.erase(aRequest);
  aBoard.mCleared[aRequest] = aNow;
  return aBoard.mHeld.erase(aRequest) != 0;
}

bool
ServedLately(const quarantine& aBoard, request_digest aRequest, time_point aNow)
{
  const auto served = aBoard.mServed.find(aRequest);
  return served != aBoard.mServed.end() && aNow < served->second + kServedFor;
}

bool
NoteHeld(quarantine& aBoard, const held_request& aHeld, time_point aNow)
{
  if (aHeld.mAge >= kHeldFor || ServedLately(aBoard, aHeld.mRequest, aNow) ||
      aBoard.mCleared.contains(aHeld.mRequest)) {
    return false;
  }
  const auto held = aBoard.mHeld.find(aHeld.mRequest);
  if (held == aBoard.mHeld.end()) {
    Hold(aBoard,
         aHeld.mRequest,
         { aHeld.mTrials, NextTrial(aHeld.mTrials, aNow), aNow - aHeld.mAge });
    return true;
  }
  held->second.mLast = std::max(held->second.mLast, aNow - aHeld.mAge);
  if (aHeld.mTrials > held->second.mTrials) {
    held->second.mTrials = aHeld.mTrials;
    held->second.mNextTrial = NextTrial(aHeld.mTrials, aNow);
  }
  return false;
}

void
NoteTrial(quarantine& aBoard,
          request_digest aRequest,
          unsigned aTrial,
          time_point aNow)
{
  const auto held = aBoard.mHeld.find(aRequest);
  if (held != aBoard.mHeld.end() && aTrial > held->second.mTrials) {
    held->second.mTrials = aTrial;
    held->second.mNextTrial = NextTrial(aTrial, aNow);
  }
}

quarantine_verdict
VerdictOn(const quarantine& aBoard,
          request_digest aRequest,
          suspicion aPending,
          time_point aNow)
{
  const auto held = aBoard.mHeld.find(aRequest);
  if (held != aBoard.mHeld.end()) {
    return held->second.mTrials < kMostTrials && aNow >= held->second.mNextTrial
             ? quarantine_verdict::Try
             : quarantine_verdict::Refuse;
  }
  if (aPending == 0 || ServedLately(aBoard, aRequest, aNow)) {
    return quarantine_verdict::Send;
  }
  const auto suspect = aBoard.mSuspects.find(aRequest);
  const suspicion certain =
    suspect == aBoard.mSuspects.end() ? 0 : SuspicionOf(suspect->second);
  return certain + aPending >= kHeldFrom ? quarantine_verdict::Refuse
                                         : quarantine_verdict::Send;
}

duration
UntilTrial(const quarantine& aBoard, request_digest aRequest, time_point aNow)
{
  const auto held = aBoard.mHeld.find(aRequest);
  if (held == aBoard.mHeld.end()) {
    return kBeforeTrial.front();
  }
  return std::max(duration::zero(), held->second.mNextTrial - aNow);
}

std::vector<held_request>
AllHeld(const quarantine& aBoard, time_point aNow)
{
  std::vector<held_request> all;
  all.reserve(aBoard.mHeld.size());
  for (const auto& [request, hold] : aBoard.mHeld) {
    all.push_back({ request, hold.mTrials, aNow - hold.mLast });
  }
  return all;
}

std::uint64_t
HeldState(const quarantine& aBoard)
{
  // A sum does not depend on the order.
  std::uint64_t state = 1;
  for (const auto& [request, hold] : aBoard.mHeld) {
    state += Hash(DigestText(request), hold.mTrials);
  }
  return state;
}

std::vector<request_digest>
ForgetOldCrashes(quarantine& aBoard, time_point aNow)
{
  std::erase_if(aBoard.mSuspects, [aNow](const auto& aEntry) {
    return aEntry.second.mLast + kSuspectedFor <= aNow;
  });
  std::erase_if(aBoard.mCleared, [aNow](const auto& aEntry) {
    return aEntry.second + kClearedFor <= aNow;
  });
  std::vector<request_digest> freed;
  for (const auto& [request, hold] : aBoard.mHeld) {
    if (hold.mLast + kHeldFor <= aNow) {
      freed.push_back(request);
    }
  }
  for (const request_digest request : freed) {
    aBoard.mHeld.erase(request);
  }
  return freed;
}

} // namespace primrose
