#pragma once

/// Applies what the answers of an endpoint announce about the endpoint itself
/// to the gateway's shared state, with a log line and a metric for each.

#include "LibGossip/GatewayState.h"

namespace primrose {

/// What the head of an endpoint's answer announces.
struct announced_notice
{
  bool mLeaving = false; ///< It accepts no new requests until it starts again.
  /// Retry-After of a rejection, as received.
  std::optional<std::string> mRetryAfter;

  bool operator==(const announced_notice&) const = default;
};

/// Applies what the answer to `aRequest` announces, also if the endpoint's row
/// is gone and returns. An invalid Retry-After is logged and bounded.
/// `aEndpoint` is the endpoint as it was listed when the request was sent.
void
ApplyNotice(gateway_state& aBoard,
            const endpoint& aEndpoint,
            const announced_notice& aNotice,
            const std::string& aRequest,
            time_point aNow);

} // namespace primrose
