#include "LibFleet/AwaitedReturns.h"

#include <string>

namespace primrose {

namespace {

/// Bounds the memory. A gateway that has refused so many callers asks them to
/// return at the end of the time that they have anyway.
constexpr std::size_t kMaxReturns = 4096;

} // namespace

void
AddReturn(awaited_returns& aReturns, time_point aAt)
{
  if (aReturns.mTimes.size() < kMaxReturns) {
    aReturns.mTimes.insert(aAt);
  }
}

std::size_t
CountReturns(awaited_returns& aReturns, time_point aNow)
{
  std::multiset<time_point>& times = aReturns.mTimes;
  times.erase(times.begin(), times.upper_bound(aNow));
  return times.size();
}

duration
BoundedRetryAfter(duration aRetryAfter,
                  duration aMaximum,
                  std::uint64_t aNumber)
{
  if (aRetryAfter <= aMaximum) {
    return aRetryAfter;
  }
  constexpr double kHashRange = 0x1p64;
  const double position =
    static_cast<double>(Hash(std::to_string(aNumber))) / kHashRange;
  return FromSeconds(Seconds(aMaximum) * (1 + position) / 2);
}

} // namespace primrose
