#pragma once

/// LibRules: from the settings tree's values to the structs that decisions
/// take. The daemons and the experiments use the same functions, so that what
/// is measured is what runs.

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
