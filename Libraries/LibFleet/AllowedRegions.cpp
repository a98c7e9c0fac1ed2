#include "LibFleet/AllowedRegions.h"

#include <algorithm>
#include <iterator>

namespace primrose {

allowed_regions
Intersection(const allowed_regions& aOne, const allowed_regions& aOther)
{
  if (!aOne.has_value() || !aOther.has_value()) {
    return aOne.has_value() ? aOne : aOther;
  }
  std::vector<std::string> both;
  std::copy_if(
    aOne->begin(),
    aOne->end(),
    std::back_inserter(both),
    [&aOther](const std::string& aRegion) { return Allows(aOther, aRegion); });
  return both;
}

bool
Allows(const allowed_regions& aRegions, std::string_view aRegion)
{
  return !aRegions.has_value() ||
         (!aRegion.empty() &&
          std::find(aRegions->begin(), aRegions->end(), aRegion) !=
            aRegions->end());
}

} // namespace primrose
