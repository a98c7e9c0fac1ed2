#include "LibFleet/PassIntervals.h"

#include <algorithm>
#include <utility>

namespace primrose {

namespace {

constexpr double kMsPerSecond = 1e3;
/// An interval this far below the shortest possible one is due to a late read
/// of the event before it.
constexpr double kMinPlausiblePace = 0.9 * kMinPace;

double
ToMs(duration aTime)
{
  return Seconds(aTime) * kMsPerSecond;
}

/// The longest duration that a pass without prefill has as declared. Streams
/// that only the engine's own report covers are assumed to be as large as the
/// known ones.
double
ExpectedPassMs(const engine_load& aLoad,
               const engine_timing& aTiming,
               time_point aNow)
{
  const double known =
    std::max(1.0, static_cast<double>(aLoad.mDecoding.size()));
  const double requests =
    std::max(1.0, static_cast<double>(RequestsOn(aLoad, aNow)));
  return DecodePassMs(aTiming, requests, aLoad.mTokens * requests / known);
}

/// The duration of the pass. If it is below the shortest one as declared, the
/// event before it may have been read late. The interval before it is as much
/// too long then, and the mean of both is right.
double
LengthMs(const pass_interval& aInterval, double aShortestMs)
{
  const double length = ToMs(aInterval.mLength);
  const double mean = (length + ToMs(aInterval.mBefore)) / 2;
  return std::max(length, std::min(mean, aShortestMs));
}

/// The number of samples that a pass counts as. `aPrefillShare` is the known
/// prefill over the duration of the decode steps: the larger it is, the more
/// prefill would have to be missing in the ledger to explain a long pass.
/// Passes with much prefill are also rare, so that many of them take too long.
int
SampleWeight(double aPrefillShare)
{
  constexpr double kShareOfSample = 2;
  constexpr double kMaxWeight = 3;
  return static_cast<int>(
    std::clamp(aPrefillShare / kShareOfSample, 1.0, kMaxWeight));
}

/// Declared time of the prefill that the engine may have done since this time.
double
PrefillSince(const engine_load& aLoad, time_point aSince)
{
  return std::max(0.0,
                  aLoad.mBacklogMs -
                    PrefillRate(aLoad) * ToMs(aSince - aLoad.mBacklogAt));
}

} // namespace

std::optional<pass_interval>
RecordEvents(stream_events& aStream, std::size_t aEvents, time_point aNow)
{
  if (aEvents != 1) {
    aStream = {};
    return std::nullopt;
  }
  const std::optional<time_point> last = std::exchange(aStream.mLastAt, aNow);
  if (!last.has_value()) {
    return std::nullopt;
  }
  const duration length = aNow - *last;
  const std::optional<duration> before =
    std::exchange(aStream.mLastInterval, length);
  if (!before.has_value()) {
    return std::nullopt;
  }
  return pass_interval{ length, *before };
}

bool
RecordPass(engine_load& aLoad,
           const engine_timing& aTiming,
           const pass_interval& aInterval,
           time_point aNow)
{
  engine_speed& speed = aLoad.mSpeed;
  if (aNow - speed.mSampledAt < aInterval.mLength / 2) {
    return false;
  }
  speed.mSampledAt = aNow;
  const double expected = ExpectedPassMs(aLoad, aTiming, aNow);
  const double shortest = DecodePassMs(aTiming, 1, 0);
  if (ToMs(aInterval.mLength) < kMinPlausiblePace * shortest || shortest <= 0) {
    return false;
  }
  const double length = LengthMs(aInterval, shortest);
  // The ledger may hold work that has ended, and its contexts are those at the
  // end of the answers, so a pass that is shorter than expected does not show
  // that the engine is fast.
  const double most = length / shortest;
  // A prompt is prefilled in the pass after its arrival.
  const double prefill = PrefillSince(
    aLoad, aNow - aInterval.mLength - FromSeconds(expected / kMsPerSecond));
  const double least = length / (expected + prefill);
  const double known = EstimatedPace(speed, aNow);
  if (prefill > 0 && known >= least && known <= most) {
    // A long pass that known prefill alone does not explain shows that a slow
    // engine still is, but not how slow.
    return least >= kNotablePaceRatio && ConfirmPace(speed, aNow);
  }
  for (int i = 0; i < SampleWeight(prefill / expected); ++i) {
    AddPaceSample(speed, std::clamp(1.0, least, most), aNow);
  }
  return true;
}

bool
RecordFirstEvent(engine_load& aLoad,
                 const engine_timing& aTiming,
                 duration aSinceSent,
                 time_point aNow)
{
  // The pass in progress when the prompt arrived, and the one that took it in.
  constexpr double kPasses = 2;
  engine_speed& speed = aLoad.mSpeed;
  const double expected = ExpectedPassMs(aLoad, aTiming, aNow);
  if (expected <= 0 || ToMs(aNow - speed.mSampledAt) < expected / 2) {
    return false;
  }
  const double prefill = PrefillSince(
    aLoad, aNow - aSinceSent - FromSeconds(expected / kMsPerSecond));
  const double least = ToMs(aSinceSent) / (kPasses * expected + prefill);
  if (least < kNotablePaceRatio || least <= EstimatedPace(speed, aNow)) {
    return false;
  }
  speed.mSampledAt = aNow;
  AddPaceSample(speed, least, aNow);
  return true;
}

} // namespace primrose
