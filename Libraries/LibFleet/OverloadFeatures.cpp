#include "LibFleet/OverloadFeatures.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

struct named_feature
{
  std::string_view mName;
  bool overload_features::*mFlag;
};

constexpr std::array<named_feature, 7> kFeatures{ {
  { "ranks", &overload_features::mRanks },
  { "shares", &overload_features::mShares },
  { "slots", &overload_features::mSlots },
  { "speeds", &overload_features::mSpeeds },
  { "sizes", &overload_features::mSizes },
  { "room", &overload_features::mRoom },
  { "late", &overload_features::mLate },
} };

} // namespace

result<overload_features>
Without(overload_features aFeatures, const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    const auto* const found = std::find_if(
      kFeatures.begin(), kFeatures.end(), [&name](const named_feature& aOne) {
        return aOne.mName == name;
      });
    if (found == kFeatures.end()) {
      return Fail(error_kind::SettingsInvalid, "unknown feature: " + name);
    }
    aFeatures.*(found->mFlag) = false;
  }
  return aFeatures;
}

std::vector<std::string>
FeatureNames(std::string_view aList)
{
  std::vector<std::string> names;
  while (!aList.empty()) {
    const std::size_t comma = std::min(aList.find(','), aList.size());
    if (comma > 0) {
      names.emplace_back(aList.substr(0, comma));
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return names;
}

} // namespace primrose
