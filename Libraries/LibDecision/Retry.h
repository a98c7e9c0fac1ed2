#pragma once

/// Retries that cannot become a storm: a budget that only admitted requests
/// fill, and pauses that double with full jitter.

#include "LibCore/LibCore.h"

namespace primrose {

struct retry_budget
{
  double mLevel = 0;

  bool operator==(const retry_budget&) const = default;
};

/// Retries that may be saved up; enough for one endpoint's sudden death, too
/// few to double the load of a fleet that is failing.
inline constexpr double kMaxSavedRetries = 20;

/// An admitted request earns a part of a retry.
void
EarnRetry(retry_budget& aBudget, double aPerRequest);
/// Takes one retry out of the budget; false if there is none.
bool
SpendRetry(retry_budget& aBudget);

/// The pause before attempt number `aAttempt` (the first retry is 1): uniform
/// between nothing and the first pause doubled for each attempt.
duration
RetryBackoff(unsigned aAttempt, duration aFirst, random_engine& aRandom);

} // namespace primrose
