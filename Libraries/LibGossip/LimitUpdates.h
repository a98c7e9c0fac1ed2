#pragma once

/// Updates the rate limits of endpoints, and this gateway's shares of what cold
/// endpoints bear, in the gateway's shared state.

#include "LibGossip/GatewayState.h"
#include "LibGossip/PeerMessage.h"

namespace primrose {

/// Applies an endpoint's limit, observed by this gateway (`aReporter` empty) or
/// reported by the gateway at `aReporter`. If the rate changed, recomputes the
/// share of the gateway at `aOwnHost`, logs the change and returns true.
bool
ApplyLimit(gateway_state& aBoard,
           const std::string& aOwnHost,
           known_endpoint& aEndpoint,
           const limit_report& aLimit,
           time_point aNow,
           const std::string& aReporter);

/// Recomputes this gateway's shares after gateways or endpoints changed.
void
UpdateLimitShares(gateway_state& aBoard,
                  const std::string& aOwnHost,
                  time_point aNow);

/// True if this gateway knows most of its peers. Before that it has no share of
/// what cold endpoints bear.
bool
KnowsPeers(const gateway_state& aBoard, time_point aNow);

/// The endpoint has just started or returned, and is cold for this time or
/// longer.
void
BeginWarmUp(const gateway_state& aBoard,
            const std::string& aOwnHost,
            known_endpoint& aEndpoint,
            duration aColdTime,
            time_point aNow);

/// Recomputes the shares of all cold endpoints.
void
UpdateWarmUpShares(gateway_state& aBoard,
                   const std::string& aOwnHost,
                   time_point aNow);

/// Limits in force, capped to bound the size of the datagram.
std::vector<limit_report>
KnownLimits(const gateway_state& aBoard);

} // namespace primrose
