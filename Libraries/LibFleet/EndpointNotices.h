#pragma once

/// What the answers of an endpoint have announced to this gateway: that it
/// leaves, or that it accepts no requests from this gateway for some time.
///
/// The platform's list announces a leaving endpoint as well, but not while the
/// store is unreachable. A notice therefore outlives the endpoint's row, which
/// may be removed and return.

#include "LibCore/LibCore.h"

namespace primrose {

struct endpoint_notice
{
  bool mLeaving = false; ///< Never taken back: the next start has another id.

  bool operator==(const endpoint_notice&) const = default;
};

/// True if the endpoint accepts requests from this gateway.
bool
AcceptsRequests(const endpoint_notice& aNotice);

} // namespace primrose
