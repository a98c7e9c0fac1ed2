#pragma once

/// What the answers of an endpoint have announced to this gateway: that it
/// leaves, or that it accepts no requests from this gateway for some time.
///
/// The platform's list announces a leaving endpoint as well, but not while the
/// store is unreachable. A notice therefore outlives the endpoint's row, which
/// may be removed and return.

#include "LibCore/LibCore.h"

#include <string_view>

namespace primrose {

struct endpoint_notice
{
  bool mLeaving = false; ///< Until the endpoint starts again.
  time_point mRestsUntil{};

  bool operator==(const endpoint_notice&) const = default;
};

/// The time for which an endpoint asks to get no requests.
struct requested_rest
{
  duration mRest{}; ///< Zero if the value can't be read.
  /// False if the value is no number of seconds, negative, or was reduced to
  /// the maximum.
  bool mIsValid = true;

  bool operator==(const requested_rest&) const = default;
};

/// Reads the value of a Retry-After field. Dates are not supported.
requested_rest
ReadRequestedRest(std::string_view aValue);

/// The notice with a rest from now on. A rest that ends later stays.
endpoint_notice
WithRest(const endpoint_notice& aNotice, duration aRest, time_point aNow);

/// True if the endpoint accepts requests from this gateway.
bool
AcceptsRequests(const endpoint_notice& aNotice, time_point aNow);

/// Time until the endpoint accepts requests from this gateway;
/// `duration::max()` if it leaves.
duration
TimeUntilAccepting(const endpoint_notice& aNotice, time_point aNow);

} // namespace primrose
