#include "LibFleet/CallerWait.h"

#include <algorithm>

namespace primrose {

namespace {

/// A limit that callers no longer state is forgotten after one to two of these
/// intervals.
constexpr duration kInterval = std::chrono::seconds(30);
/// Callers' own limits differ by up to this share. A smaller difference does
/// not show that a caller has waited.
constexpr int kVariationDivisor = 6;

} // namespace

duration
TimeWaitedBefore(stated_limits& aLimits, duration aTimeLeft, time_point aNow)
{
  if (aNow - aLimits.mSince >= kInterval) {
    const bool previousIsRecent = aNow - aLimits.mSince < 2 * kInterval;
    aLimits = { {}, previousIsRecent ? aLimits.mLongest : duration{}, aNow };
  }
  aLimits.mLongest = std::max(aLimits.mLongest, aTimeLeft);
  const duration longest = std::max(aLimits.mLongest, aLimits.mLongestBefore);
  const duration waited = longest - aTimeLeft;
  return waited * kVariationDivisor > longest ? waited : duration::zero();
}

} // namespace primrose
