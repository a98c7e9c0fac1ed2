#pragma once

/// Response timeouts of streams: how long an engine may send nothing before the
/// attempt is given up and the request sent to another engine.
///
/// When an engine's machine loses power or network, its connections are not
/// reset, so only a timeout detects it. The caller adds the time for prefill
/// that the engine is known to have been given.
///
/// `aPace` is that of the engine (LibFleet/EngineSpeed): an engine that is
/// known to be slow is given more time, as far as the caller's patience allows.

#include "LibFleet/EnginePlacement.h"

namespace primrose {

/// Time after which a caller abandons a stream without events: two seconds,
/// four times the latency target or eight times the allowed pause, whichever is
/// longest.
duration
CallerTimeout(const placement_request& aWork);

/// Timeout for the first event of a prompt that is expected after
/// `aExpectedMs`. `aDivided`: the prefill is divided over several engines.
duration
FirstEventTimeout(const placement_request& aWork,
                  double aExpectedMs,
                  bool aDivided,
                  double aPace = 1);

/// Timeout between two events of a stream that may pause for `aAllowedPause`.
duration
StallTimeout(duration aAllowedPause, double aPace = 1);

} // namespace primrose
