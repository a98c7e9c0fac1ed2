#include "LibFleet/PlacementCosts.h"

#include "LibFleet/RequestRank.h"

#include <algorithm>

namespace primrose {

namespace {

/// Allowance in the estimate of a pause for prefill that other gateways place
/// at the same moment and for network latency.
constexpr double kPauseMarginMs = 30;
/// Additional allowance for more urgent streams. An engine prefills all parts
/// that arrive during a pass in the next one, so two of them make one pause,
/// while by the ledger the first is partly done when the second arrives.
constexpr double kUrgentPauseMarginMs = 100;
/// A request becomes likely to be late if its first event is expected after
/// this share of its latency target.
constexpr double kLateFromShare = 0.6;
/// Cost of each further latency target of delay, as a share of the cost of
/// being late, so that the earlier of two late placements is chosen.
constexpr double kFurtherDelayPenalty = 0.2;
/// Costs of a stream, as shares of its worth: on an engine without streams like
/// it, which could have prefilled long prompts, and on one that is prefilling
/// them.
constexpr double kUnpackedPenalty = 0.2;
constexpr double kMixingPenalty = 0.45;
/// Gain for each request on the engine up to `kPackedShare`, and cost of each
/// request above it.
constexpr double kPackingGain = 0.01;
constexpr double kCrowdingPenalty = 0.13;
/// A caller cancels a stream if the next event takes longer than both eight
/// times the allowed pause and two seconds.
constexpr double kAbandonAfterPauses = 8;
constexpr double kAbandonAfterMs = 2000;
constexpr double kMsPerSecond = 1e3;

} // namespace

double
LatenessCost(double aFirstMs, double aObjectiveMs, double aWorth)
{
  const double share = aFirstMs / aObjectiveMs;
  if (share <= kLateFromShare) {
    return 0;
  }
  const double likely = share < 1
                          ? (share - kLateFromShare) / (1 - kLateFromShare)
                          : 1 + kFurtherDelayPenalty * (share - 1);
  return kLostWhenLate * aWorth * likely;
}

double
LatenessCost(double aFirstMs, const placement_request& aRequest)
{
  return LatenessCost(aFirstMs, ToMs(aRequest.mObjective), aRequest.mWorth);
}

double
PrefillDelayHarm(const prefilling_prompt& aPrompt, double aEndsMs)
{
  if (aEndsMs <= aPrompt.mPrefillLeftMs || aPrompt.mObjectiveMs <= 0) {
    return 0;
  }
  const auto cost = [&aPrompt](double aPrefillEndsMs) {
    return LatenessCost(aPrompt.mElapsedMs + aPrefillEndsMs,
                        aPrompt.mObjectiveMs,
                        aPrompt.mWorth);
  };
  return cost(aEndsMs) - cost(aPrompt.mPrefillLeftMs);
}

double
EnginePrefillDelayHarm(const engine_candidate& aCandidate,
                       double aPrefillMs,
                       const placement_request& aRequest)
{
  const double ends = aCandidate.mBacklogMs + aPrefillMs;
  double harm = 0;
  for (const prefilling_prompt& one : aCandidate.mPrefills) {
    harm += RankWeight(aRequest.mClass.mRank, one.mRank) *
            PrefillDelayHarm(one, ends) / one.mEngineCount;
  }
  return harm;
}

double
PauseHarm(const engine_candidate& aCandidate,
          double aPrefillMs,
          const placement_request& aRequest)
{
  const double pause = aCandidate.mBacklogMs + aPrefillMs +
                       aCandidate.mDecodePassMs + kPauseMarginMs;
  double harm = 0;
  for (const decoding_stream& one : aCandidate.mStreams) {
    const double weight = RankWeight(aRequest.mClass.mRank, one.mRank);
    const double worth = weight * one.mWorth;
    const double allowedMs =
      one.mLongestPauseMs - (weight > 1 ? kUrgentPauseMarginMs : 0);
    if (!one.mPauseExceeded && allowedMs < pause) {
      harm += kLostWhenLate * worth;
    }
    if (pause >
        std::max(kAbandonAfterMs, kAbandonAfterPauses * one.mLongestPauseMs)) {
      harm += (1 - kLostWhenLate) * worth;
    }
  }
  return harm;
}

double
PackingCost(const engine_candidate& aCandidate,
            const engine_timing& aTiming,
            const placement_request& aRequest)
{
  const double own = ToMs(aRequest.mLongestPause);
  const bool longPrefill =
    aCandidate.mBacklogMs + aCandidate.mDecodePassMs + kPauseMarginMs > own ||
    std::any_of(
      aCandidate.mStreams.begin(),
      aCandidate.mStreams.end(),
      [](const decoding_stream& aOne) { return aOne.mPauseExceeded; });
  const double requests = static_cast<double>(aCandidate.mRequests);
  const double packed = kPackedShare * aTiming.mSlots;
  const double crowding = kCrowdingPenalty * std::max(0.0, requests - packed);
  if (longPrefill) {
    return kMixingPenalty * aRequest.mWorth + crowding;
  }
  const std::size_t alike =
    static_cast<std::size_t>(std::count_if(aCandidate.mStreams.begin(),
                                           aCandidate.mStreams.end(),
                                           [own](const decoding_stream& aOne) {
                                             return aOne.mLongestPauseMs <= own;
                                           }));
  if (alike == 0) {
    return kUnpackedPenalty * aRequest.mWorth + crowding;
  }
  return requests > packed ? crowding : -kPackingGain * requests;
}

double
FutureRequestHarm(double aSlotUtilisation,
                  double aPartPrefillMs,
                  std::size_t aParts)
{
  // The ledger does not contain requests that arrive during the prefill of a
  // long part. Their number is estimated from the current slot utilisation.
  const double blockedSeconds =
    std::max(0.0, aPartPrefillMs - kAbandonAfterMs) / kMsPerSecond;
  return kWorthOfBusyEngineSecond * aSlotUtilisation * blockedSeconds *
         static_cast<double>(aParts);
}

double
SlotUtilisation(const std::vector<engine_candidate>& aCandidates,
                const engine_timing& aTiming)
{
  double used = 0;
  for (const engine_candidate& one : aCandidates) {
    used += std::min(1.0, static_cast<double>(one.mRequests) / aTiming.mSlots);
  }
  return used / static_cast<double>(aCandidates.size());
}

} // namespace primrose
