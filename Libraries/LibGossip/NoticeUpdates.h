#pragma once

/// Applies what the answers of an endpoint announce about the endpoint itself
/// to the gateway's shared state, with a log line and a metric for each.

#include "LibGossip/GatewayState.h"

namespace primrose {

/// The endpoint has said that it leaves, in its answer to `aRequest`. Nothing
/// new is sent to it until it starts again, also if its row is gone and
/// returns. `aEndpoint` is the endpoint as it was listed when the request was
/// sent.
void
ApplyLeavingNotice(gateway_state& aBoard,
                   const endpoint& aEndpoint,
                   const std::string& aRequest);

/// The endpoint has rejected `aRequest` with this value of Retry-After.
/// Nothing is sent to it for as long; an invalid value is logged and bounded.
void
ApplyRequestedRest(gateway_state& aBoard,
                   const endpoint& aEndpoint,
                   const std::string& aRetryAfter,
                   const std::string& aRequest,
                   time_point aNow);

} // namespace primrose
