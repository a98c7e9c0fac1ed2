#pragma once

/// The endpoints that a request may be sent to again after an attempt has
/// failed, and the delay before an endpoint is asked another time.

#include "LibFleet/Endpoints.h"

namespace primrose {

/// The attempts of a request so far.
struct request_attempts
{
  std::vector<std::string> mSentTo;   ///< Endpoints by id, repeated or not.
  std::vector<std::string> mExcluded; ///< Those, and unreachable or refusing.

  bool operator==(const request_attempts&) const = default;
};

struct retry_targets
{
  /// Endpoints that the request was sent to before, one of which is asked
  /// again. Empty if it may be sent to any endpoint that is not excluded.
  std::vector<std::string> mAgain;

  bool operator==(const retry_targets&) const = default;
};

/// The endpoints that the request may be sent to next, where a route allows
/// `aMaxEndpoints` endpoints for a request. An endpoint that refused the
/// request without executing it counts as one of them; one that is no longer
/// listed does not. If no further endpoint is allowed or available, those that
/// the request was sent to may be asked again. nullopt if there are none.
std::optional<retry_targets>
FindRetryTargets(const endpoint_registry& aRegistry,
                 const endpoint_scope& aScope,
                 const request_attempts& aAttempts,
                 unsigned aMaxEndpoints,
                 time_point aNow);

/// Delay before an endpoint is asked again after so many failed attempts in a
/// row.
duration
RetryDelay(unsigned aFailures);

} // namespace primrose
