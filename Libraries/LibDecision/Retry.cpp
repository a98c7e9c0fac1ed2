#include "LibDecision/Retry.h"

#include <algorithm>

namespace primrose {

void
EarnRetry(retry_budget& aBudget, double aPerRequest)
{
  aBudget.mLevel = std::min(kMaxSavedRetries, aBudget.mLevel + aPerRequest);
}

bool
SpendRetry(retry_budget& aBudget)
{
  if (aBudget.mLevel < 1) {
    return false;
  }
  aBudget.mLevel -= 1;
  return true;
}

duration
RetryBackoff(unsigned aAttempt, duration aFirst, random_engine& aRandom)
{
  constexpr unsigned kMostDoublings = 8;
  constexpr duration kLongest = std::chrono::seconds(10);
  const unsigned doublings =
    std::min(aAttempt > 0 ? aAttempt - 1 : 0, kMostDoublings);
  const duration bound = std::min(aFirst * (1U << doublings), kLongest);
  return FromSeconds(Seconds(bound) * Uniform(aRandom));
}

} // namespace primrose
