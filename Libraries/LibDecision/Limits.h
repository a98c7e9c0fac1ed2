#pragma once

/// Distributed rate limits without a shared counter. Each entry spends from its
/// own share of an organisation's limit. Shares follow demand: an entry that
/// gets more of an organisation's traffic takes a larger share of its limit.

#include "LibCore/LibCore.h"

#include <optional>

namespace primrose {

/// A token bucket. It may go into debt for one request, since a long prompt can
/// be larger than the burst; the debt must be refilled before the next request
/// is admitted.
struct token_bucket
{
  double mLevel = 0;
  time_point mRefilledAt{};
  bool mStarted = false;

  bool operator==(const token_bucket&) const = default;
};

/// Burst size, in seconds of the rate.
inline constexpr double kBurstSeconds = 2;

/// Takes `aAmount` at `aNow` if the bucket is not empty; otherwise returns the
/// seconds until it is no longer empty.
std::optional<double>
TakeTokens(token_bucket& aBucket,
           double aAmount,
           double aRatePerSecond,
           time_point aNow);

/// An entry's share of a limit, from its own demand and the last (possibly
/// outdated) reports of the other entries' demand. A minimum share for each
/// entry lets new demand in at once. If all entries have the same figures,
/// their shares add up to at most one.
double
ShareOfLimit(double aOwnDemand, double aOthersDemand, std::size_t aSharers);

/// An exponentially decaying average of demand, in units per second.
struct demand_meter
{
  double mRate = 0;
  time_point mUpdatedAt{};

  bool operator==(const demand_meter&) const = default;
};

void
RecordDemand(demand_meter& aMeter, double aAmount, time_point aNow);
double
DemandAt(const demand_meter& aMeter, time_point aNow);

} // namespace primrose
