#include "LibFleet/StoreClock.h"

#include <algorithm>

namespace primrose {

store_clock
UpdatedClock(const store_clock& aClock,
             store_time aStated,
             time_point aSentAt,
             time_point aReceivedAt)
{
  const duration maxLead = aStated - aSentAt.time_since_epoch();
  const duration minLead = aStated - aReceivedAt.time_since_epoch();
  // If the leads contradict each other, the store's clock has started anew.
  if (!aClock.mMaxLead.has_value() || minLead > *aClock.mMaxLead) {
    return { maxLead };
  }
  return { std::min(*aClock.mMaxLead, maxLead) };
}

std::optional<time_point>
ToLocalTime(const store_clock& aClock, store_time aTime)
{
  if (!aClock.mMaxLead.has_value()) {
    return std::nullopt;
  }
  return time_point(aTime - *aClock.mMaxLead);
}

} // namespace primrose
