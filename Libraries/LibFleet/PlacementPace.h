#pragma once

/// The cost of choosing an engine that is slower than declared. Internal to
/// LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// Worth that a stream is expected to lose on this engine because the engine is
/// slower than declared, besides what a late first event costs. 0 for an engine
/// as declared.
double
SlowEngineCost(const engine_candidate& aCandidate,
               const placement_request& aRequest);

} // namespace primrose
