#pragma once

/// Admission control for long prompts: whether one is placed now, waits for a
/// better moment, or is refused. Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// The factor on the gain of a prompt when it is compared with its cost. It is
/// above 1 for a prompt whose worth is above the mean of its kind in `aLedger`:
/// harm grows with the square of the prompt size and has no cap, so without
/// scaling the largest prompts of a kind would starve in bursts. The ratio is
/// squared for a prompt that has waited, since the largest are those that wait.
/// It includes the size preference of the request.
double
GainScale(const engine_ledger& aLedger, const placement_request& aRequest);

/// Worth that a second of prefill takes from requests that arrive next,
/// estimated from the mean backlog of requests that are at least as urgent as
/// `aRank`. Requires at least one candidate.
double
PrefillSecondPrice(const std::vector<engine_candidate>& aCandidates,
                   unsigned aRank);

/// Compares the gain of serving the prompt to its caller with the cost to other
/// callers. Sets `mGain` and `mPrice`. Changes `Send` to `TurnAway` if the sum
/// of harm and price exceeds the gain, scaled by `aGainScale` (see
/// `GainScale`). Changes `Send` to `Wait` if the harm comes close to the gain
/// and the request has not waited for long. One that is preferred by its size
/// waits before it is refused.
void
DecideAdmission(engine_choice& aChoice,
                const placement_request& aRequest,
                double aPrefillMs,
                double aGainScale);

} // namespace primrose
