#include "LibDecision/Limits.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Time constant of the demand average, in seconds.
constexpr double kDemandTimeConstant = 5;
/// Part of a limit that is dealt out evenly, whatever the demand.
constexpr double kEvenShare = 0.1;

} // namespace

std::optional<double>
TakeTokens(token_bucket& aBucket,
           double aAmount,
           double aRatePerSecond,
           time_point aNow)
{
  const double burst = aRatePerSecond * kBurstSeconds;
  if (!aBucket.mStarted) {
    aBucket.mStarted = true;
    aBucket.mLevel = burst;
    aBucket.mRefilledAt = aNow;
  }
  const double gained = aRatePerSecond * Seconds(aNow - aBucket.mRefilledAt);
  aBucket.mLevel = std::min(burst, aBucket.mLevel + gained);
  aBucket.mRefilledAt = aNow;
  if (aBucket.mLevel <= 0) {
    constexpr double kShortest = 0.001;
    return std::max(kShortest, -aBucket.mLevel / aRatePerSecond);
  }
  aBucket.mLevel -= aAmount;
  return std::nullopt;
}

double
ShareOfLimit(double aOwnDemand, double aOthersDemand, std::size_t aSharers)
{
  const double even =
    1.0 / static_cast<double>(std::max<std::size_t>(1, aSharers));
  const double all = aOwnDemand + aOthersDemand;
  if (all <= 0) {
    return even;
  }
  return kEvenShare * even + (1 - kEvenShare) * aOwnDemand / all;
}

void
RecordDemand(demand_meter& aMeter, double aAmount, time_point aNow)
{
  aMeter.mRate = DemandAt(aMeter, aNow) + aAmount / kDemandTimeConstant;
  aMeter.mSeen = aNow;
}

double
DemandAt(const demand_meter& aMeter, time_point aNow)
{
  const double age = Seconds(aNow - aMeter.mSeen);
  return aMeter.mRate * std::exp(-age / kDemandTimeConstant);
}

} // namespace primrose
