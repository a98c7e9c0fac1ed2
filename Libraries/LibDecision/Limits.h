#pragma once

/// Limits of organisations over many entries without a shared counter. Each
/// entry spends from a share of its own. Shares follow demand: an entry with
/// more traffic of an organisation takes more of its limit.

#include "LibCore/LibCore.h"

#include <optional>

namespace primrose {

/// A bucket of tokens that fills at a rate. Going into debt is allowed for one
/// request (a long prompt may be larger than the burst); the debt is paid
/// before the next one is admitted.
struct token_bucket
{
  double mLevel = 0;
  time_point mRefilledAt{};
  bool mStarted = false;

  bool operator==(const token_bucket&) const = default;
};

/// Seconds of the rate that a bucket may hold.
inline constexpr double kBurstSeconds = 2;

/// Takes `aAmount` at `aNow` if the bucket is not empty; else gives the
/// seconds until it will not be.
std::optional<double>
TakeTokens(token_bucket& aBucket,
           double aAmount,
           double aRatePerSecond,
           time_point aNow);

/// An entry's part of a limit, from its own demand and what it last heard of
/// the others' (late, perhaps). A floor for each sharer lets new demand in at
/// once; the parts of all sharers add up to at most one if all know the same.
double
ShareOfLimit(double aOwnDemand, double aOthersDemand, std::size_t aSharers);

/// A decaying average of demand in units a second.
struct demand_meter
{
  double mRate = 0;
  time_point mSeen{};

  bool operator==(const demand_meter&) const = default;
};

void
RecordDemand(demand_meter& aMeter, double aAmount, time_point aNow);
double
DemandAt(const demand_meter& aMeter, time_point aNow);

} // namespace primrose
