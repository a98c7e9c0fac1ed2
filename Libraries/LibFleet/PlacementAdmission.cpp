#include "LibFleet/PlacementAdmission.h"

#include "LibFleet/PlacementCosts.h"

#include <algorithm>

namespace primrose {

namespace {

/// Reading that waits on the mean engine when a second costs the full price. A
/// prompt that comes then waits for a quarter to two thirds of the objectives
/// of long prompts.
constexpr double kFullBacklogMs = 1000;
/// Share of a request's worth that its caller loses when it is turned away,
/// beside the answer itself: it has to come back.
constexpr double kLostWhenRefused = 0.3;

/// Upper bound of the factor that scales the gain of a prompt whose worth is
/// above the mean of its kind.
constexpr double kMaxGainFactor = 2.5;
/// Placed requests of a kind that are required to compute its mean worth.
constexpr std::size_t kMinSampleSize = 4;

/// Share of its gain that a prompt may take from others without waiting for a
/// better moment. Its price is no reason to wait: that follows the backlog of
/// all engines, which changes more slowly.
constexpr double kUnpostponedHarm = 0.6;
/// Share of its objective for which a prompt waits for a place that takes less
/// from others. The rest is left for reading it.
constexpr double kMaxWaitShare = 0.6;
constexpr duration kMaxWait = std::chrono::milliseconds(2500);

constexpr double kMsPerSecond = 1e3;

/// The mean worth of the placed requests of the same kind, that is, with the
/// same objective and allowed pause. Falls back to the worth of the request
/// itself if there are too few.
double
MeanWorthOfKind(const engine_ledger& aLedger, const placement_request& aWork)
{
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [key, placed] : aLedger.mPlacements) {
    if (placed.mObjective == aWork.mObjective &&
        placed.mLongestPause == aWork.mLongestPause) {
      sum += placed.mWorth;
      ++count;
    }
  }
  return count < kMinSampleSize ? aWork.mWorth
                                : sum / static_cast<double>(count);
}

/// The gain of a prompt, scaled up if its worth is above the mean of its kind.
/// Harm grows with the square of the prompt size and has no cap: unscaled,
/// bursts would starve the largest prompts of a kind. The factor counts twice
/// for a prompt that has waited: the largest are those that wait.
double
ScaledGain(const engine_choice& aChoice,
           const engine_ledger& aLedger,
           const placement_request& aWork,
           bool aHasWaited)
{
  const double factor = std::clamp(
    aWork.mWorth / MeanWorthOfKind(aLedger, aWork), 1.0, kMaxGainFactor);
  return aChoice.mGain * (aHasWaited ? factor * factor : factor);
}

/// How long after its caller asked a prompt may wait for a better place.
duration
MaxWait(const placement_request& aWork)
{
  return std::min(kMaxWait,
                  FromSeconds(kMaxWaitShare * Seconds(aWork.mObjective)));
}

} // namespace

double
PrefillSecondPrice(const std::vector<engine_candidate>& aCandidates)
{
  double backlog = 0;
  for (const engine_candidate& one : aCandidates) {
    backlog += one.mBacklogMs;
  }
  const double mean = backlog / static_cast<double>(aCandidates.size());
  return kWorthOfBusyEngineSecond * std::clamp(mean / kFullBacklogMs, 0.0, 1.0);
}

void
Judge(engine_choice& aChoice,
      const engine_ledger& aLedger,
      const placement_request& aWork,
      double aReadingMs)
{
  const double mostGain = (1 + kLostWhenRefused) * aWork.mWorth;
  aChoice.mGain = mostGain - LatenessCost(aChoice.mFirstEventMs, aWork);
  // Reading grows with the square of a prompt, what it gains does not: priced
  // by the second alone, the largest of a kind would be rejected first. The
  // price is therefore capped at the most that the prompt can gain, scaled by
  // the ratio of the current backlog to a full one.
  // What holds engines for long is in the harm: that is a bound on the length
  // of its parts, of which there can be more.
  aChoice.mPrice =
    std::min(aChoice.mPrefillSecondPrice * aReadingMs / kMsPerSecond,
             aChoice.mPrefillSecondPrice / kWorthOfBusyEngineSecond * mostGain);
  if (aChoice.mVerdict != placement_verdict::Send) {
    return;
  }
  const bool hasWaited = aWork.mElapsed >= kReevaluationInterval;
  const double harm = TotalHarm(aChoice.mHarm);
  const double cost = harm + aChoice.mPrice;
  const bool covered = cost <= aChoice.mGain ||
                       cost <= ScaledGain(aChoice, aLedger, aWork, hasWaited);
  if (harm > aChoice.mGain * kUnpostponedHarm && (covered || hasWaited) &&
      aWork.mElapsed < MaxWait(aWork)) {
    aChoice.mVerdict = placement_verdict::Wait;
  } else if (!covered) {
    aChoice.mVerdict = placement_verdict::TurnAway;
  }
}

} // namespace primrose
