#include "LibFleet/RetryBudget.h"

#include <algorithm>

namespace primrose {

namespace {

/// Fraction of the budget that is used. The rest covers gateways that were
/// killed and start with an empty history within the same window.
constexpr double kUsableFraction = 0.6;
/// Fraction of the usable budget that only `retry_claim::Started` may take.
constexpr double kReservedForStarted = 0.33;

void
DropBefore(std::deque<time_point>& aTimes, time_point aBefore)
{
  while (!aTimes.empty() && aTimes.front() < aBefore) {
    aTimes.pop_front();
  }
}

} // namespace

void
RecordRequestForRetries(retry_history& aHistory,
                        const retry_limits& aLimits,
                        time_point aNow)
{
  DropBefore(aHistory.mRequests, aNow - aLimits.mWindow);
  aHistory.mRequests.push_back(aNow);
}

retry_allowance
AllowanceOf(retry_history& aHistory,
            const retry_limits& aLimits,
            std::size_t aGateways,
            time_point aNow)
{
  DropBefore(aHistory.mRequests, aNow - aLimits.mWindow);
  DropBefore(aHistory.mRetries, aNow - aLimits.mWindow);
  const double share = aLimits.mRetriesPerWindow /
                       static_cast<double>(std::max<std::size_t>(aGateways, 1));
  return { aHistory.mRetries.size(),
           kUsableFraction *
             (share + aLimits.mRetriesPerRequest *
                        static_cast<double>(aHistory.mRequests.size())) };
}

bool
TakeRetry(retry_history& aHistory,
          const retry_limits& aLimits,
          std::size_t aGateways,
          retry_claim aClaim,
          time_point aNow)
{
  const retry_allowance allowance =
    AllowanceOf(aHistory, aLimits, aGateways, aNow);
  const double allowed =
    allowance.mAllowed *
    (aClaim == retry_claim::Refusable ? 1 - kReservedForStarted : 1);
  if (static_cast<double>(allowance.mUsed) + 1 > allowed) {
    return false;
  }
  aHistory.mRetries.push_back(aNow);
  return true;
}

} // namespace primrose
