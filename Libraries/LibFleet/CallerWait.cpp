#include "LibFleet/CallerWait.h"

#include <algorithm>

namespace primrose {

namespace {

/// A limit that callers no longer state is forgotten after one to two of these
/// intervals.
constexpr duration kInterval = std::chrono::seconds(30);

} // namespace

duration
TimeWaitedBefore(stated_limits& aLimits, duration aTimeLeft, time_point aNow)
{
  if (aNow - aLimits.mSince >= kInterval) {
    const bool previousIsRecent = aNow - aLimits.mSince < 2 * kInterval;
    aLimits = { {}, previousIsRecent ? aLimits.mLongest : duration{}, aNow };
  }
  aLimits.mLongest = std::max(aLimits.mLongest, aTimeLeft);
  return std::max(aLimits.mLongest, aLimits.mLongestBefore) - aTimeLeft;
}

} // namespace primrose
