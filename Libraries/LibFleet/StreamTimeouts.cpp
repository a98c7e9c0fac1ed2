#include "LibFleet/StreamTimeouts.h"

#include <algorithm>

namespace primrose {

namespace {

/// A first event may take half as long again as expected and this much more; a
/// pause so many times the allowed one, but no less than this.
constexpr double kUndividedTimeoutFactor = 1.5;
constexpr duration kShortest = std::chrono::milliseconds(600);
constexpr double kStallFactor = 2.5;
/// To read a short prompt again elsewhere costs little; to read a long one
/// again costs as much as it did, so there an engine that is merely slower than
/// expected must not be given up.
constexpr double kDividedTimeoutFactor = 2;
/// A caller leaves a stream that is silent for two seconds, four objectives or
/// eight pauses, whichever is longest. Of that another engine needs a third to
/// read the prompt and begin.
constexpr duration kCallerMinTimeout = std::chrono::seconds(2);
constexpr int kCallerObjectiveFactor = 4;
constexpr int kCallerPauseFactor = 8;
constexpr double kCallerTimeoutShare = 0.65;

constexpr double kMsPerSecond = 1e3;

} // namespace

duration
FirstEventTimeout(const placement_request& aWork,
                  double aExpectedMs,
                  bool aDivided)
{
  if (aDivided) {
    return FromSeconds(kDividedTimeoutFactor * aExpectedMs / kMsPerSecond) +
           aWork.mObjective;
  }
  const duration callers =
    std::max({ kCallerMinTimeout,
               kCallerObjectiveFactor * aWork.mObjective,
               kCallerPauseFactor * aWork.mLongestPause });
  return std::min(
    FromSeconds(kUndividedTimeoutFactor * aExpectedMs / kMsPerSecond) +
      kShortest,
    FromSeconds(kCallerTimeoutShare * Seconds(callers)));
}

duration
StallTimeout(duration aAllowedPause)
{
  return std::max(FromSeconds(kStallFactor * Seconds(aAllowedPause)),
                  kShortest);
}

} // namespace primrose
