#pragma once

/// How long an engine may say nothing before a stream is given up there and
/// asked for elsewhere. An engine whose machine went dark resets nothing; only
/// its silence shows it. Reading that the engine is known to have been given
/// comes on top of these.

#include "LibFleet/EnginePlacement.h"

namespace primrose {

/// Until the first event of a prompt that is expected after `aExpectedMs`.
duration
FirstEventTimeout(const placement_request& aWork,
                  double aExpectedMs,
                  bool aDivided);

/// Between two events of a stream that may pause for so long.
duration
StallTimeout(duration aAllowedPause);

} // namespace primrose
