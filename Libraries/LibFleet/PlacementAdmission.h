#pragma once

/// Whether a long prompt is placed, waits for a better moment, or is turned
/// away. Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// What a second of reading takes from requests that come next, by how much the
/// engines have to read. There is at least one candidate.
double
PrefillSecondPrice(const std::vector<engine_candidate>& aCandidates);

/// Compares what reading this prompt gains its caller with what it takes from
/// the callers of others.
/// Sets `mGain` and `mPrice`. Changes `Send` to `TurnAway` if the harm and the
/// price exceed the gain, which counts more for prompts whose worth is above
/// the mean of their kind in `aLedger`; else to `Wait` if the harm comes close
/// to the gain and the caller has not waited for long.
void
Judge(engine_choice& aChoice,
      const engine_ledger& aLedger,
      const placement_request& aWork,
      double aReadingMs);

} // namespace primrose
