#include "LibFleet/RetryBudget.h"

#include <algorithm>

namespace primrose {

namespace {

/// Part of the bound that is spent: the rest covers entries that were killed
/// and begin a new record within the same window.
constexpr double kUsableFraction = 0.6;

void
Forget(std::deque<time_point>& aTimes, time_point aBefore)
{
  while (!aTimes.empty() && aTimes.front() < aBefore) {
    aTimes.pop_front();
  }
}

} // namespace

void
RecordRequestForRetries(retry_history& aRecord,
                        const retry_limits& aBound,
                        time_point aNow)
{
  Forget(aRecord.mRequests, aNow - aBound.mWindow);
  aRecord.mRequests.push_back(aNow);
}

bool
TakeRetry(retry_history& aRecord,
          const retry_limits& aBound,
          std::size_t aEntries,
          time_point aNow)
{
  Forget(aRecord.mRequests, aNow - aBound.mWindow);
  Forget(aRecord.mRepeats, aNow - aBound.mWindow);
  const double share = aBound.mRetriesPerWindow /
                       static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double allowed =
    kUsableFraction * (share + aBound.mRetriesPerRequest *
                                 static_cast<double>(aRecord.mRequests.size()));
  if (static_cast<double>(aRecord.mRepeats.size()) + 1 > allowed) {
    return false;
  }
  aRecord.mRepeats.push_back(aNow);
  return true;
}

} // namespace primrose
