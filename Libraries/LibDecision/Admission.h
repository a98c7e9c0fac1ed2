#pragma once

/// Whether an entry takes a request at all: the organisation's limits.

#include "LibDecision/Limits.h"
#include "LibDecision/RequestShape.h"

#include <map>
#include <string>

namespace primrose {

/// What an organisation uses at one entry.
struct organisation_usage
{
  token_bucket mBucket;
  double mTokensInFlight = 0;
  demand_meter mDemand;

  bool operator==(const organisation_usage&) const = default;
};

/// The limits of an organisation over the whole fleet, and this entry's part.
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

/// Decides and, where it admits, books the request's tokens.
admission
Admit(organisation_usage& aUse,
      const organisation_limits& aLimits,
      tokens aTokens,
      time_point aNow);

/// The request is over: its tokens are no longer in flight.
void
ReleaseAdmittedTokens(organisation_usage& aUse, tokens aTokens);

} // namespace primrose
