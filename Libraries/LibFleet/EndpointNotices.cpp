#include "LibFleet/EndpointNotices.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace primrose {

namespace {

/// Bounds the effect of a faulty value.
constexpr duration kMaxRest = std::chrono::hours(1);

} // namespace

requested_rest
ReadRequestedRest(std::string_view aValue)
{
  const char* const end = aValue.data() + aValue.size();
  double seconds = 0;
  const std::from_chars_result read =
    std::from_chars(aValue.data(), end, seconds);
  if (read.ec != std::errc{} || read.ptr != end || !std::isfinite(seconds) ||
      seconds < 0) {
    return { duration::zero(), false };
  }
  if (seconds > Seconds(kMaxRest)) {
    return { kMaxRest, false };
  }
  return { FromSeconds(seconds), true };
}

endpoint_notice
WithRest(const endpoint_notice& aNotice, duration aRest, time_point aNow)
{
  return { aNotice.mLeaving, std::max(aNotice.mRestsUntil, aNow + aRest) };
}

bool
AcceptsRequests(const endpoint_notice& aNotice, time_point aNow)
{
  return !aNotice.mLeaving && aNotice.mRestsUntil <= aNow;
}

duration
TimeUntilAccepting(const endpoint_notice& aNotice, time_point aNow)
{
  return aNotice.mLeaving
           ? duration::max()
           : std::max(duration::zero(), aNotice.mRestsUntil - aNow);
}

} // namespace primrose
