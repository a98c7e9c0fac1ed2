#pragma once

/// A long prompt cut into equal parts: over how many engines, and which.
/// Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

#include <limits>

namespace primrose {

/// A prompt cut into equal parts for several engines.
struct division
{
  const engine_candidate* mDecodeEngine = nullptr;
  std::vector<const engine_candidate*> mPrefillHelpers; ///< Besides the writer.
  double mPartPrefillMs = 0;
  double mPrefillEndsMs = 0; ///< Until the last part is read.
  placement_harm mHarm;
  bool mFitsMemory = true;  ///< There is memory for it.
  std::size_t mHolders = 0; ///< Of the readers, the first so many hold memory.
  double mHolderTokens = 0;
  double mCost = std::numeric_limits<double>::infinity();
};

/// What a placement is chosen by.
struct placing
{
  const std::vector<engine_candidate>& mCandidates;
  const engine_timing& mTiming;
  const placement_request& mWork;
  double mPrefillMs = 0;       ///< Of the whole prompt on one engine.
  double mSlotUtilisation = 0; ///< The share of all engines' slots.
};

/// The cheapest of all numbers of parts; one that has memory goes before one
/// that has not. There is at least one candidate.
division
CheapestDivision(const placing& aPlacing);

} // namespace primrose
