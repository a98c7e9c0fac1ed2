#pragma once

/// The decisions under overload that an operator can disable one by one. Each
/// has an effect only where the manifest calls for it.

#include "LibCore/LibCore.h"

#include <string>
#include <vector>

namespace primrose {

struct overload_features
{
  bool mRanks = true;  ///< More urgent requests go first.
  bool mShares = true; ///< Fair shares between organisations.
  bool mSlots = true;  ///< Requests are refused when slots run out.
  bool mSpeeds = true; ///< Placement uses the measured pace of engines.
  bool mSizes = true;  ///< The largest prompts of a kind are not starved.
  bool mRoom = true;   ///< Engines are kept for streams with short pauses.
  bool mLate = true;   ///< Late gateways take fewer callers.

  bool operator==(const overload_features&) const = default;
};

/// Disables the features with these names: ranks, shares, slots, speeds, sizes,
/// room, late. Fails if a name is unknown.
result<overload_features>
Without(overload_features aFeatures, const std::vector<std::string>& aNames);

/// Splits a list of names at its commas.
std::vector<std::string>
FeatureNames(std::string_view aList);

} // namespace primrose
