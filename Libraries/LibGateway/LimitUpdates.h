#pragma once

/// Updates the rate limits of endpoints on the gateway's board.

#include "LibGateway/GatewayState.h"
#include "LibGateway/PeerMessage.h"

namespace primrose {

/// Applies an endpoint's limit, observed by this entry (`aToldBy` empty) or
/// told by the entry at `aToldBy`. If the rate changed, recomputes the share of
/// the entry at `aOwnHost`, logs the change and returns true.
bool
ApplyLimit(gateway_state& aBoard,
           const std::string& aOwnHost,
           known_endpoint& aEndpoint,
           const limit_report& aLimit,
           time_point aNow,
           const std::string& aToldBy);

/// Recomputes this entry's shares after entries or endpoints changed.
void
UpdateLimitShares(gateway_state& aBoard,
                  const std::string& aOwnHost,
                  time_point aNow);

/// Limits in force, capped to bound the size of the datagram.
std::vector<limit_report>
KnownLimits(const gateway_state& aBoard);

} // namespace primrose
