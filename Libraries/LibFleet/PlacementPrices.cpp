#include "LibFleet/PlacementPrices.h"

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
/// Writers gathered on one engine, as a share of those that it works on at
/// once. Each adds 0.4% to a step, but also its own reading; above this the
/// reading of new ones eats up the allowed pause, and what comes unforeseen is
/// shed.
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
/// What a second of one engine is worth when all have much to read: short
/// prompts earn about this.
constexpr double kWorthOfBusySecond = 8;
/// Reading that waits on the mean engine when a second is worth that much. A
/// prompt that comes then waits a quarter to two thirds of the objectives of
/// long prompts; below it most are in time, and what they take from others is
/// in the harm already. Counting engines that have anything to read, instead of
/// how much, refused 0.47 of the dossiers in bursts of them before 78 engines,
/// 0.32 so, at the same worth of all requests together.
constexpr double kFullBacklogMs = 1000;
/// Share of a request's worth that its caller loses when it is turned away,
/// beside the answer itself: it comes back and is owed an answer all the same.
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

} // namespace

double
LateCost(double aFirstMs, double aObjectiveMs, double aWorth)
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
LateCost(double aFirstMs, const engine_work& aWork)
{
  return LateCost(aFirstMs, ToMs(aWork.mObjective), aWork.mWorth);
}

double
DelayHarm(const placed_reading& aReading, double aEndsMs)
{
  if (aEndsMs <= aReading.mLeftMs || aReading.mObjectiveMs <= 0) {
    return 0;
  }
  const auto cost = [&aReading](double aReadMs) {
    return LateCost(
      aReading.mElapsedMs + aReadMs, aReading.mObjectiveMs, aReading.mWorth);
  };
  return cost(aEndsMs) - cost(aReading.mLeftMs);
}

double
ReadingHarm(const engine_candidate& aCandidate, double aReadingMs)
{
  const double ends = aCandidate.mBacklogMs + aReadingMs;
  double harm = 0;
  for (const placed_reading& one : aCandidate.mReadings) {
    harm += DelayHarm(one, ends) / one.mEngines;
  }
  return harm;
}

double
PauseHarm(const engine_candidate& aCandidate, double aReadingMs)
{
  const double pause =
    aCandidate.mBacklogMs + aReadingMs + aCandidate.mPassMs + kPauseMarginMs;
  double harm = 0;
  for (const placed_stream& one : aCandidate.mStreams) {
    if (!one.mStretched && one.mLongestPauseMs < pause) {
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
GatheringCost(const engine_candidate& aCandidate,
              const engine_timing& aTiming,
              const engine_work& aWork)
{
  const double own = ToMs(aWork.mLongestPause);
  const bool longReading =
    aCandidate.mBacklogMs + aCandidate.mPassMs + kPauseMarginMs > own ||
    std::any_of(aCandidate.mStreams.begin(),
                aCandidate.mStreams.end(),
                [](const placed_stream& aOne) { return aOne.mStretched; });
  const double writers = static_cast<double>(aCandidate.mRequests);
  const double gathered = kGatheredShare * aTiming.mSlots;
  const double crowd = kCrowdPenalty * std::max(0.0, writers - gathered);
  if (longReading) {
    return kMixingPenalty * aWork.mWorth + crowd;
  }
  const std::size_t alike = static_cast<std::size_t>(std::count_if(
    aCandidate.mStreams.begin(),
    aCandidate.mStreams.end(),
    [own](const placed_stream& aOne) { return aOne.mLongestPauseMs <= own; }));
  if (alike == 0) {
    return kOpeningPenalty * aWork.mWorth + crowd;
  }
  return writers > gathered ? crowd : -kGatherGain * writers;
}

double
PriceOfSecond(const std::vector<engine_candidate>& aCandidates)
{
  double backlog = 0;
  for (const engine_candidate& one : aCandidates) {
    backlog += one.mBacklogMs;
  }
  const double mean = backlog / static_cast<double>(aCandidates.size());
  return kWorthOfBusySecond * std::clamp(mean / kFullBacklogMs, 0.0, 1.0);
}

double
HoldingHarm(double aSlotsTaken, double aPartMs, std::size_t aParts)
{
  // Symptom: a burst of short prompts finds engines full that bore it before.
  // Those that read a long part take nothing for as long; what will come is in
  // no sum, and in a lull of reading a second seems to be worth nothing. Who
  // writes now tells how much comes.
  const double held = std::max(0.0, aPartMs - kAbandonedMs) / kMsPerSecond;
  return kWorthOfBusySecond * aSlotsTaken * held * static_cast<double>(aParts);
}

double
SlotsTaken(const std::vector<engine_candidate>& aCandidates,
           const engine_timing& aTiming)
{
  double taken = 0;
  for (const engine_candidate& one : aCandidates) {
    taken += std::min(1.0, static_cast<double>(one.mRequests) / aTiming.mSlots);
  }
  return taken / static_cast<double>(aCandidates.size());
}

double
MeanWorthOfKind(const engine_ledger& aLedger, const engine_work& aWork)
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

duration
MaxWait(const engine_work& aWork)
{
  return std::min(kMaxWait,
                  FromSeconds(kMaxWaitShare * Seconds(aWork.mObjective)));
}

void
Judge(engine_choice& aChoice,
      const engine_work& aWork,
      double aReadingMs,
      double aMeanWorth)
{
  const double mostGain = (1 + kLostWhenRefused) * aWork.mWorth;
  aChoice.mGain = mostGain - LateCost(aChoice.mFirstEventMs, aWork);
  // Reading grows with the square of a prompt, what it gains does not: priced
  // by the second alone, the largest of a kind would be rejected first. The
  // price is therefore capped at the most that the prompt can gain, scaled by
  // the ratio of the current backlog to a full one.
  // What holds engines for long is in the harm: that is a bound on the length
  // of its parts, of which there can be more.
  aChoice.mPrice =
    std::min(aChoice.mPriceOfSecond * aReadingMs / kMsPerSecond,
             aChoice.mPriceOfSecond / kWorthOfBusySecond * mostGain);
  // The harm also grows with the square of the prompt size and has no cap.
  // Scaling the gain keeps bursts from starving the largest prompts of a kind.
  const double gainFactor =
    std::clamp(aWork.mWorth / aMeanWorth, 1.0, kMaxGainFactor);
  const bool coversCost =
    aChoice.mGain * gainFactor >= TotalHarm(aChoice.mHarm) + aChoice.mPrice;
  if (aChoice.mVerdict != engine_verdict::Send) {
    return;
  }
  // A prompt that was told to wait is served in the end: a refusal would come
  // late, and the largest prompts are those that wait.
  const bool accepted = coversCost || aWork.mElapsed >= kReweighInterval;
  const bool harmful =
    TotalHarm(aChoice.mHarm) > aChoice.mGain * kUnpostponedHarm;
  if (!accepted) {
    aChoice.mVerdict = engine_verdict::TurnAway;
  } else if (harmful && aWork.mElapsed < MaxWait(aWork)) {
    aChoice.mVerdict = engine_verdict::Wait;
  }
}

} // namespace primrose
