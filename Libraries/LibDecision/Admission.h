#pragma once

/// Admission control of an entry: the rate and concurrency limits of
/// organisations.

#include "LibDecision/Limits.h"
#include "LibDecision/RequestShape.h"

#include <map>
#include <string>

namespace primrose {

/// An organisation's usage at one entry.
struct organisation_usage
{
  token_bucket mBucket;
  double mTokensInFlight = 0;
  demand_meter mDemand;

  bool operator==(const organisation_usage&) const = default;
};

/// An organisation's limits over the whole fleet, and the share of them that
/// this entry may use.
struct organisation_limits
{
  double mTokensPerSecond = 0;
  double mConcurrentTokens = 0;
  double mEntryShare = 1;

  bool operator==(const organisation_limits&) const = default;
};

enum class admission_verdict : std::uint8_t
{
  Admitted,
  OverRate,
  OverConcurrency,
};

struct admission
{
  admission_verdict mVerdict = admission_verdict::Admitted;
  double mRetryAfterSeconds = 0;

  bool operator==(const admission&) const = default;
};

/// Decides about a request of `aTokens` and, if it is admitted, counts its
/// tokens.
admission
Admit(organisation_usage& aUsage,
      const organisation_limits& aLimits,
      tokens aTokens,
      time_point aNow);

/// Ends an admitted request: its tokens are no longer in flight.
void
ReleaseAdmittedTokens(organisation_usage& aUsage, tokens aTokens);

} // namespace primrose
