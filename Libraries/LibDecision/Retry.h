#pragma once

/// Protection against retry storms: a retry budget that only admitted requests
/// refill, and exponential back-off with full jitter.

#include "LibCore/LibCore.h"

namespace primrose {

struct retry_budget
{
  double mLevel = 0;

  bool operator==(const retry_budget&) const = default;
};

/// Upper bound of the retry budget: enough for the sudden loss of one endpoint,
/// too little to double the load of a failing fleet.
inline constexpr double kMaxSavedRetries = 20;

/// Adds the fraction of a retry that an admitted request earns.
void
EarnRetry(retry_budget& aBudget, double aPerRequest);
/// Takes one retry out of the budget; false if less than one is left.
bool
SpendRetry(retry_budget& aBudget);

/// The back-off before retry number `aAttempt` (the first retry is 1): a random
/// time between 0 and the bound, which starts at `aFirst` and doubles with each
/// retry.
duration
RetryBackoff(unsigned aAttempt, duration aFirst, random_engine& aRandom);

} // namespace primrose
