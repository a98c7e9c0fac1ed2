#pragma once

/// The callers that a gateway has refused and asked to return later. Refused
/// callers are given different times, so that no more of them return in a
/// second than the engines can serve.

#include "LibCore/LibCore.h"

#include <set>

namespace primrose {

struct awaited_returns
{
  std::multiset<time_point> mTimes;

  bool operator==(const awaited_returns&) const = default;
};

/// Records that a refused caller was asked to return at this time.
void
AddReturn(awaited_returns& aReturns, time_point aAt);

/// The number of callers that have yet to return. Forgets the others.
std::size_t
CountReturns(awaited_returns& aReturns, time_point aNow);

/// The Retry-After of a refusal. A time above `aMaximum` is replaced by one in
/// the second half of the time until then, which depends on `aNumber`, so that
/// callers who were refused in the same moment do not return together.
duration
BoundedRetryAfter(duration aRetryAfter,
                  duration aMaximum,
                  std::uint64_t aNumber);

} // namespace primrose
