#include "LibFleet/RetryBudget.h"

#include <algorithm>

namespace primrose {

namespace {

/// Part of the bound that is spent: the rest covers entries that were killed
/// and begin a new record within the same window.
constexpr double kSpendable = 0.6;

void
Forget(std::deque<time_point>& aTimes, time_point aBefore)
{
  while (!aTimes.empty() && aTimes.front() < aBefore) {
    aTimes.pop_front();
  }
}

} // namespace

void
NoteRequest(repeat_record& aRecord, const repeat_bound& aBound, time_point aNow)
{
  Forget(aRecord.mRequests, aNow - aBound.mWindow);
  aRecord.mRequests.push_back(aNow);
}

bool
TakeRepeat(repeat_record& aRecord,
           const repeat_bound& aBound,
           std::size_t aEntries,
           time_point aNow)
{
  Forget(aRecord.mRequests, aNow - aBound.mWindow);
  Forget(aRecord.mRepeats, aNow - aBound.mWindow);
  const double share =
    aBound.mFixed / static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double allowed =
    kSpendable * (share + aBound.mPerRequest *
                            static_cast<double>(aRecord.mRequests.size()));
  if (static_cast<double>(aRecord.mRepeats.size()) + 1 > allowed) {
    return false;
  }
  aRecord.mRepeats.push_back(aNow);
  return true;
}

} // namespace primrose
