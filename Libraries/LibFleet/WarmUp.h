#pragma once

/// Limits the requests to an endpoint that is cold, that is, has just started
/// or has returned after an outage, and would crash under its usual load.
///
/// The service states how many requests a second a cold endpoint bears from all
/// gateways together. Gateways have no shared counter, so a few of those that
/// prefer the endpoint, selected by a hash of host and endpoint, send to it at
/// equal shares, and the others place elsewhere until it is warm. With an even
/// share for every gateway instead, the requests that each of hundreds of
/// gateways may send at once would exceed the rate together.
///
/// Part of the rate stays unused and the senders are few, so that twice as many
/// of them, as in a partition of the fleet into two, send at most 1.5 times the
/// rate plus five requests in any second.

#include "LibFleet/TokenBucket.h"

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

struct warm_up
{
  time_point mColdUntil{};
  token_bucket mShare; ///< This gateway's share while the endpoint is cold.

  bool operator==(const warm_up&) const = default;
};

bool
IsCold(const warm_up& aWarmUp, time_point aNow);

/// The endpoint is cold until `aUntil` or longer. An endpoint that was warm
/// gets no requests before its share is computed.
warm_up
WithColdUntil(const warm_up& aWarmUp, time_point aUntil, time_point aNow);

/// Requests a second that the gateway at `aOwnHost` may send to a cold
/// endpoint. `aHosts` are the gateways that may place on it, `aPerSecond` is
/// what it bears from all of them.
double
ColdShare(std::string_view aEndpointId,
          const std::vector<std::string>& aHosts,
          std::string_view aOwnHost,
          double aPerSecond);

/// Time until this gateway may send a request to the endpoint; zero if it is
/// warm.
duration
TimeUntilAdmitted(const warm_up& aWarmUp, time_point aNow);

/// Accounts for a request sent to the endpoint.
warm_up
WithRequestSent(const warm_up& aWarmUp, time_point aNow);

} // namespace primrose
