#include "LibDecision/Admission.h"

#include <algorithm>

namespace primrose {

admission
Admit(organisation_usage& aUsage,
      const organisation_limits& aLimits,
      tokens aTokens,
      time_point aNow)
{
  const double amount = static_cast<double>(aTokens);
  RecordDemand(aUsage.mDemand, amount, aNow);
  const double maxInFlight = aLimits.mConcurrentTokens * aLimits.mEntryShare;
  // One request is always allowed: a limit smaller than its prompt would
  // otherwise refuse it for ever.
  const bool isOverConcurrency =
    aUsage.mTokensInFlight > 0 && aUsage.mTokensInFlight + amount > maxInFlight;
  if (isOverConcurrency) {
    constexpr double kRetrySeconds = 1;
    return { admission_verdict::OverConcurrency, kRetrySeconds };
  }
  const std::optional<double> wait =
    TakeTokens(aUsage.mBucket,
               amount,
               aLimits.mTokensPerSecond * aLimits.mEntryShare,
               aNow);
  if (wait) {
    return { admission_verdict::OverRate, *wait };
  }
  aUsage.mTokensInFlight += amount;
  return {};
}

void
ReleaseAdmittedTokens(organisation_usage& aUsage, tokens aTokens)
{
  aUsage.mTokensInFlight =
    std::max(0.0, aUsage.mTokensInFlight - static_cast<double>(aTokens));
}

} // namespace primrose
