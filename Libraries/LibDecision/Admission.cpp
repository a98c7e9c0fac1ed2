#include "LibDecision/Admission.h"

#include <algorithm>

namespace primrose {

admission
Admit(organisation_usage& aUse,
      const organisation_limits& aLimits,
      tokens aTokens,
      time_point aNow)
{
  const double amount = static_cast<double>(aTokens);
  RecordDemand(aUse.mDemand, amount, aNow);
  const double concurrent = aLimits.mConcurrentTokens * aLimits.mEntryShare;
  // One request always may be in flight: a limit smaller than a prompt would
  // otherwise refuse it for ever.
  const bool over =
    aUse.mTokensInFlight > 0 && aUse.mTokensInFlight + amount > concurrent;
  if (over) {
    constexpr double kRetrySeconds = 1;
    return { admission_verdict::OverConcurrency, kRetrySeconds };
  }
  const std::optional<double> wait = TakeTokens(
    aUse.mBucket, amount, aLimits.mTokensPerSecond * aLimits.mEntryShare, aNow);
  if (wait) {
    return { admission_verdict::OverRate, *wait };
  }
  aUse.mTokensInFlight += amount;
  return {};
}

void
ReleaseAdmittedTokens(organisation_usage& aUse, tokens aTokens)
{
  aUse.mTokensInFlight =
    std::max(0.0, aUse.mTokensInFlight - static_cast<double>(aTokens));
}

} // namespace primrose
