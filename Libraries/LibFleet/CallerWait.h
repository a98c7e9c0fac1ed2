#pragma once

/// Estimates how long a caller has been waiting when its request arrives.
///
/// A caller states how long it will wait. One that returns after a refusal
/// states what is left of the time that it stated first, so the difference from
/// the longest time that is stated on the route lately is what it has waited.
/// Small differences are taken for callers' own. A caller with a much shorter
/// limit than the others of its route is taken for one that has waited, so the
/// estimate may only decide who is served first.

#include "LibCore/LibCore.h"

namespace primrose {

/// The longest times stated on a route, in two consecutive intervals.
struct stated_limits
{
  duration mLongest{};
  duration mLongestBefore{};
  time_point mSince{}; ///< Begin of the current interval.

  bool operator==(const stated_limits&) const = default;
};

/// Records the time that a request's caller has left, and estimates how long it
/// has waited before; 0 if the difference may be the caller's own.
duration
TimeWaitedBefore(stated_limits& aLimits, duration aTimeLeft, time_point aNow);

} // namespace primrose
