#include "LibFleet/PlacementAdmission.h"

#include "LibFleet/PlacementCosts.h"

#include <algorithm>

namespace primrose {

namespace {

/// Mean backlog of the engines from which a second of prefill has the full
/// price. A prompt that arrives then waits for a quarter to two thirds of the
/// latency targets of long prompts.
constexpr double kFullBacklogMs = 1000;
/// Share of a request's worth that its caller loses when it is refused, in
/// addition to the answer itself, because the caller has to retry.
constexpr double kLostWhenRefused = 0.3;

/// Upper bound of the factor that scales the gain of a prompt whose worth is
/// above the mean of its kind.
constexpr double kMaxGainFactor = 2.5;
/// Minimum number of placed requests of a kind to compute its mean worth.
constexpr std::size_t kMinSampleSize = 4;

/// A prompt waits for a better moment if its harm exceeds this share of its
/// gain. Its price is no reason to wait, because that follows the backlog of
/// all engines, which changes more slowly.
constexpr double kMaxHarmWithoutWait = 0.6;
/// Share of its latency target for which a prompt may wait for a placement with
/// less harm. The rest is left for its prefill.
constexpr double kMaxWaitShare = 0.6;
constexpr duration kMaxWait = std::chrono::milliseconds(2500);
/// A preferred prompt waits instead of being refused while its first event is
/// expected within this share of its latency target. With more, most of the
/// largest are late; with less, too few of them are served where engines are
/// fewest.
constexpr double kMaxFirstEventShare = 0.7;

constexpr double kMsPerSecond = 1e3;

/// The mean worth of the placed requests of the same kind, that is, with the
/// same latency target and allowed pause. Falls back to the worth of the
/// request itself if there are too few.
double
MeanWorthOfKind(const engine_ledger& aLedger, const placement_request& aRequest)
{
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [key, placed] : aLedger.mPlacements) {
    if (placed.mObjective == aRequest.mObjective &&
        placed.mLongestPause == aRequest.mLongestPause) {
      sum += placed.mWorth;
      ++count;
    }
  }
  return count < kMinSampleSize ? aRequest.mWorth
                                : sum / static_cast<double>(count);
}

/// The part of the engine's backlog that is of this rank or a more urgent one,
/// by the share of such parts in all that the engine prefills.
double
BacklogOfRank(const engine_candidate& aCandidate, unsigned aRank)
{
  double all = 0;
  double urgent = 0;
  for (const prefilling_prompt& one : aCandidate.mPrefills) {
    all += one.mPartPrefillMs;
    urgent += one.mRank <= aRank ? one.mPartPrefillMs : 0;
  }
  return all > 0 ? aCandidate.mBacklogMs * (urgent / all)
                 : aCandidate.mBacklogMs;
}

/// Time since a prompt's arrival until which it may wait for a better
/// placement.
duration
MaxWait(const placement_request& aRequest)
{
  return std::min(kMaxWait,
                  FromSeconds(kMaxWaitShare * Seconds(aRequest.mObjective)));
}

/// True if a prompt that is preferred by its size may wait instead of being
/// refused. It may not wait so long that it is likely to be late, since a late
/// answer would be worth little of what others lose by it.
bool
MayWaitForItsSize(const engine_choice& aChoice,
                  const placement_request& aRequest)
{
  const double firstEventMs =
    ToMs(aRequest.mElapsed + kReevaluationInterval) + aChoice.mFirstEventMs;
  return aRequest.mSize.mPreferred &&
         firstEventMs < kMaxFirstEventShare * ToMs(aRequest.mObjective);
}

} // namespace

double
GainScale(const engine_ledger& aLedger, const placement_request& aRequest)
{
  const double byKind = std::clamp(
    aRequest.mWorth / MeanWorthOfKind(aLedger, aRequest), 1.0, kMaxGainFactor);
  const bool hasWaited = aRequest.mElapsed >= kReevaluationInterval;
  return aRequest.mSize.mGainFactor * (hasWaited ? byKind * byKind : byKind);
}

double
PrefillSecondPrice(const std::vector<engine_candidate>& aCandidates,
                   unsigned aRank)
{
  double backlog = 0;
  for (const engine_candidate& one : aCandidates) {
    backlog += BacklogOfRank(one, aRank);
  }
  const double mean = backlog / static_cast<double>(aCandidates.size());
  return kWorthOfBusyEngineSecond * std::clamp(mean / kFullBacklogMs, 0.0, 1.0);
}

void
DecideAdmission(engine_choice& aChoice,
                const placement_request& aRequest,
                double aPrefillMs,
                double aGainScale)
{
  const double maxGain = (1 + kLostWhenRefused) * aRequest.mWorth;
  aChoice.mGain = maxGain - LatenessCost(aChoice.mFirstEventMs, aRequest);
  // Prefill time grows with the square of the prompt size, the gain does not.
  // At a price for each second alone, the largest prompts of a kind would be
  // refused first. The price is therefore capped at the maximum gain of the
  // prompt, scaled by the ratio of the current backlog to a full one.
  // The cost of blocking engines for long is part of the harm instead
  // (`FutureRequestHarm`). That limits the length of the parts, while a larger
  // prompt can be divided into more of them.
  aChoice.mPrice =
    std::min(aChoice.mPrefillSecondPrice * aPrefillMs / kMsPerSecond,
             aChoice.mPrefillSecondPrice / kWorthOfBusyEngineSecond * maxGain);
  aChoice.mPrice *= aRequest.mPriceFactor;
  const bool mayWait = aRequest.mElapsed < MaxWait(aRequest);
  const bool mayWaitForItsSize =
    mayWait && MayWaitForItsSize(aChoice, aRequest);
  if (aChoice.mVerdict == placement_verdict::NoMemory && mayWaitForItsSize) {
    aChoice.mVerdict = placement_verdict::Wait;
  }
  if (aChoice.mVerdict != placement_verdict::Send) {
    return;
  }
  const bool hasWaited = aRequest.mElapsed >= kReevaluationInterval;
  const double harm = TotalHarm(aChoice.mHarm);
  const double cost = harm + aChoice.mPrice;
  const bool covered = cost <= aGainScale * aChoice.mGain;
  if (harm > aChoice.mGain * kMaxHarmWithoutWait && (covered || hasWaited) &&
      mayWait) {
    aChoice.mVerdict = placement_verdict::Wait;
  } else if (!covered) {
    aChoice.mVerdict =
      mayWaitForItsSize ? placement_verdict::Wait : placement_verdict::TurnAway;
  }
}

} // namespace primrose
