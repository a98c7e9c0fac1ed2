#pragma once

/// How long an engine may say nothing before a stream is given up there and
/// asked for elsewhere. An engine whose machine went dark resets nothing; only
/// its silence shows it. Reading that the engine is known to have been given
/// comes on top of these.

#include "LibFleet/EnginePlacement.h"

namespace primrose {

/// Until the first event of a prompt that is expected after `aExpectedMs`.
duration
FirstEventPatience(const engine_work& aWork, double aExpectedMs, bool aDivided);

/// Until the platform is asked anew for a table of which a peer knows more,
/// after so many such questions that brought nothing newer. Each gives up the
/// one before, so a question must be given longer than the last: what an entry
/// missed while it was cut off may take a second to arrive on a narrow link.
duration
BehindPatience(unsigned aAskedInVain);

/// Between two events of a stream that may pause for so long.
duration
PausePatience(duration aAllowedPause);

} // namespace primrose
