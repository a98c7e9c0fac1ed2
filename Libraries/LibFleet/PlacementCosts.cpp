#include "LibFleet/PlacementCosts.h"

#include <algorithm>

namespace primrose {

namespace {

/// What a pause may have beyond the reading that is known: reading that other
/// entries place at the same moment, and the wire.
constexpr double kPauseMarginMs = 30;
/// Share of a request's worth that is lost when it is late.
constexpr double kLostWhenLate = 0.75;
/// Expected share of the objective from which being late becomes likely.
constexpr double kLateFrom = 0.6;
/// Added for each further objective of delay, so that of two late places the
/// earlier one is taken.
constexpr double kLaterPenalty = 0.2;
/// Writers gathered on one engine, as a share of its slots. The rest is left
/// for what other entries place in the same moment.
constexpr double kGatheredShare = 0.75;
/// Shares of a request's worth: for starting to write on an engine that long
/// prompts could have used, and on one that they do use.
constexpr double kOpeningPenalty = 0.2;
constexpr double kMixingPenalty = 0.45;
/// For each writer more, up to the number gathered and beyond it.
constexpr double kGatherGain = 0.01;
constexpr double kCrowdPenalty = 0.13;
/// A caller leaves a stream whose next event takes longer than eight times the
/// allowed pause, or than two seconds.
constexpr double kAbandonedPauses = 8;
constexpr double kAbandonedMs = 2000;
constexpr double kMsPerSecond = 1e3;

} // namespace

double
LatenessCost(double aFirstMs, double aObjectiveMs, double aWorth)
{
  const double share = aFirstMs / aObjectiveMs;
  if (share <= kLateFrom) {
    return 0;
  }
  const double likely = share < 1 ? (share - kLateFrom) / (1 - kLateFrom)
                                  : 1 + kLaterPenalty * (share - 1);
  return kLostWhenLate * aWorth * likely;
}

double
LatenessCost(double aFirstMs, const placement_request& aWork)
{
  return LatenessCost(aFirstMs, ToMs(aWork.mObjective), aWork.mWorth);
}

double
PrefillDelayHarm(const prefilling_prompt& aReading, double aEndsMs)
{
  if (aEndsMs <= aReading.mPrefillLeftMs || aReading.mObjectiveMs <= 0) {
    return 0;
  }
  const auto cost = [&aReading](double aReadMs) {
    return LatenessCost(
      aReading.mElapsedMs + aReadMs, aReading.mObjectiveMs, aReading.mWorth);
  };
  return cost(aEndsMs) - cost(aReading.mPrefillLeftMs);
}

double
EnginePrefillDelayHarm(const engine_candidate& aCandidate, double aReadingMs)
{
  const double ends = aCandidate.mBacklogMs + aReadingMs;
  double harm = 0;
  for (const prefilling_prompt& one : aCandidate.mPrefills) {
    harm += PrefillDelayHarm(one, ends) / one.mEngines;
  }
  return harm;
}

double
PauseHarm(const engine_candidate& aCandidate, double aReadingMs)
{
  const double pause = aCandidate.mBacklogMs + aReadingMs +
                       aCandidate.mDecodePassMs + kPauseMarginMs;
  double harm = 0;
  for (const decoding_stream& one : aCandidate.mStreams) {
    if (!one.mPauseExceeded && one.mLongestPauseMs < pause) {
      harm += kLostWhenLate * one.mWorth;
    }
    if (pause >
        std::max(kAbandonedMs, kAbandonedPauses * one.mLongestPauseMs)) {
      harm += (1 - kLostWhenLate) * one.mWorth;
    }
  }
  return harm;
}

double
PackingCost(const engine_candidate& aCandidate,
            const engine_timing& aTiming,
            const placement_request& aWork)
{
  const double own = ToMs(aWork.mLongestPause);
  const bool longReading =
    aCandidate.mBacklogMs + aCandidate.mDecodePassMs + kPauseMarginMs > own ||
    std::any_of(
      aCandidate.mStreams.begin(),
      aCandidate.mStreams.end(),
      [](const decoding_stream& aOne) { return aOne.mPauseExceeded; });
  const double writers = static_cast<double>(aCandidate.mRequests);
  const double gathered = kGatheredShare * aTiming.mSlots;
  const double crowd = kCrowdPenalty * std::max(0.0, writers - gathered);
  if (longReading) {
    return kMixingPenalty * aWork.mWorth + crowd;
  }
  const std::size_t alike =
    static_cast<std::size_t>(std::count_if(aCandidate.mStreams.begin(),
                                           aCandidate.mStreams.end(),
                                           [own](const decoding_stream& aOne) {
                                             return aOne.mLongestPauseMs <= own;
                                           }));
  if (alike == 0) {
    return kOpeningPenalty * aWork.mWorth + crowd;
  }
  return writers > gathered ? crowd : -kGatherGain * writers;
}

double
FutureRequestHarm(double aSlotsTaken, double aPartMs, std::size_t aParts)
{
  // Requests that arrive during a long part are in no sum yet. The share of
  // slots taken now is the estimate of how many there will be.
  const double held = std::max(0.0, aPartMs - kAbandonedMs) / kMsPerSecond;
  return kWorthOfBusyEngineSecond * aSlotsTaken * held *
         static_cast<double>(aParts);
}

double
SlotUtilisation(const std::vector<engine_candidate>& aCandidates,
                const engine_timing& aTiming)
{
  double taken = 0;
  for (const engine_candidate& one : aCandidates) {
    taken += std::min(1.0, static_cast<double>(one.mRequests) / aTiming.mSlots);
  }
  return taken / static_cast<double>(aCandidates.size());
}

} // namespace primrose
