#pragma once

/// Divides a long prompt into equal parts: into how many, and on which engines.
/// Internal to LibFleet.

#include "LibFleet/UrgentRoom.h"

#include <limits>

namespace primrose {

/// A prompt divided into equal parts for several engines.
struct prompt_division
{
  const engine_candidate* mDecodeEngine = nullptr;
  /// Engines that prefill parts, in addition to the decode engine.
  std::vector<const engine_candidate*> mPrefillHelpers;
  double mPartPrefillMs = 0;
  double mPrefillEndsMs = 0; ///< Time until the last part is prefilled.
  placement_harm mHarm;
  bool mFitsMemory = true;
  std::size_t mHolders = 0; ///< The first so many helpers hold memory.
  double mHolderTokens = 0;
  double mCost = std::numeric_limits<double>::infinity();
};

/// The inputs of a division.
struct division_inputs
{
  const std::vector<engine_candidate>& mCandidates;
  const engine_timing& mTiming;
  const placement_request& mRequest;
  double mPrefillMs = 0;       ///< Of the whole prompt on one engine.
  double mSlotUtilisation = 0; ///< The share of all engines' slots in use.
  urgent_room mUrgentRoom;
  double mGainScale = 1; ///< See `GainScale`.
};

/// The division with the lowest cost over all numbers of parts. Divisions that
/// fit into memory are preferred. Requires at least one candidate.
prompt_division
CheapestDivision(const division_inputs& aInputs);

/// The harm of a division of the prompt if it is placed with these inputs.
placement_harm
HarmOfDivision(const division_inputs& aInputs,
               const prompt_division& aDivision);

} // namespace primrose
