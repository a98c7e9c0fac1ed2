#include "LibFleet/StreamTimeouts.h"

#include <algorithm>

namespace primrose {

namespace {

/// Without a divided prefill, the first event may take half as long again as
/// expected, plus `kMinStallTimeout`. A pause may last `kStallFactor` times the
/// allowed one, and at least `kMinStallTimeout`.
constexpr double kUndividedTimeoutFactor = 1.5;
constexpr duration kMinStallTimeout = std::chrono::milliseconds(600);
constexpr double kStallFactor = 2.5;
/// With a divided prefill. Repeating the prefill of a short prompt on another
/// engine costs little, but a long one costs as much again, so an engine that
/// is merely slower than expected must not be given up.
constexpr double kDividedTimeoutFactor = 2;
constexpr duration kCallerMinTimeout = std::chrono::seconds(2);
constexpr int kCallerObjectiveFactor = 4;
constexpr int kCallerPauseFactor = 8;
/// The attempt may take this share of `CallerTimeout`; another engine needs the
/// remaining third for the prefill and the first event.
constexpr double kCallerTimeoutShare = 0.65;

constexpr double kMsPerSecond = 1e3;

/// This time on an engine of this pace. A fast engine gets no less time.
duration
Slowed(duration aTime, double aPace)
{
  return aPace <= 1 ? aTime : FromSeconds(aPace * Seconds(aTime));
}

} // namespace

duration
CallerTimeout(const placement_request& aWork)
{
  return std::max({ kCallerMinTimeout,
                    kCallerObjectiveFactor * aWork.mObjective,
                    kCallerPauseFactor * aWork.mLongestPause });
}

duration
FirstEventTimeout(const placement_request& aWork,
                  double aExpectedMs,
                  bool aDivided,
                  double aPace)
{
  if (aDivided) {
    return FromSeconds(kDividedTimeoutFactor * aExpectedMs / kMsPerSecond) +
           aWork.mObjective;
  }
  return std::min(
    FromSeconds(kUndividedTimeoutFactor * aExpectedMs / kMsPerSecond) +
      Slowed(kMinStallTimeout, aPace),
    FromSeconds(kCallerTimeoutShare * Seconds(CallerTimeout(aWork))));
}

duration
StallTimeout(duration aAllowedPause, double aPace)
{
  const duration asDeclared = std::max(
    FromSeconds(kStallFactor * Seconds(aAllowedPause)), kMinStallTimeout);
  if (aPace <= 1) {
    return asDeclared;
  }
  const duration callerTimeout =
    std::max(kCallerMinTimeout, kCallerPauseFactor * aAllowedPause);
  return std::max(
    asDeclared,
    std::min(Slowed(asDeclared, aPace),
             FromSeconds(kCallerTimeoutShare * Seconds(callerTimeout))));
}

} // namespace primrose
