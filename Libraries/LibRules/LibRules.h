#pragma once

/// LibRules: converts values of the settings tree into the structs that
/// LibDecision takes. The daemons and the experiments use the same functions,
/// so an experiment measures the configuration that runs in production.

#include "LibDecision/LibDecision.h"
#include "LibSettings/LibSettings.h"

namespace primrose {

engine_shape
EngineShapeFor(const model_settings& aModel);
agent_limits
LimitsOf(const policy& aPolicy);
placement_rules
PlacementRulesFor(const policy& aPolicy);

} // namespace primrose
