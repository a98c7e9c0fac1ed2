#pragma once

/// Connects the use of organisations (LibFleet/OrganisationUsage) with the
/// gateway's state, and shows it to operators.

#include "LibGossip/GatewayState.h"

namespace primrose {

/// Updates the engines from which use is computed, after a change of the
/// manifest, the endpoints or the subset ring.
void
UpdateEngineCapacities(gateway_state& aState);

/// Sets the metrics of organisations.
void
SetOrganisationGauges(gateway_state& aState, time_point aNow);

/// Logs the use and the share of the heaviest organisations, one line each.
/// Logs nothing if only requests without an organisation were placed.
void
LogOrganisationUse(const gateway_state& aState, time_point aNow);

} // namespace primrose
