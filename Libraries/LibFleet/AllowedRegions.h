#pragma once

/// Restriction of requests to regions.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// Regions whose endpoints may serve a request; nullopt: any region.
using allowed_regions = std::optional<std::vector<std::string>>;

/// The regions that both allow.
allowed_regions
Intersection(const allowed_regions& aOne, const allowed_regions& aOther);

/// An endpoint whose region is not known (empty) is only allowed where any
/// region is.
bool
Allows(const allowed_regions& aRegions, std::string_view aRegion);

} // namespace primrose
