#include "LibFleet/RetryTargets.h"

#include <algorithm>
#include <set>

namespace primrose {

namespace {

constexpr duration kFirstRetryDelay = std::chrono::milliseconds(100);
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(800);

bool
Contains(const std::vector<std::string>& aIds, const std::string& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

bool
AnyOtherIsAdmissible(const endpoint_registry& aRegistry,
                     const endpoint_scope& aScope,
                     const std::vector<std::string>& aExcluded,
                     time_point aNow)
{
  return std::any_of(aRegistry.mEndpoints.begin(),
                     aRegistry.mEndpoints.end(),
                     [&aScope, &aExcluded, aNow](const auto& aEntry) {
                       return IsAdmissible(aEntry.second, aScope, aNow) &&
                              !Contains(aExcluded, aEntry.first);
                     });
}

} // namespace

std::optional<retry_targets>
FindRetryTargets(const endpoint_registry& aRegistry,
                 const endpoint_scope& aScope,
                 const request_attempts& aAttempts,
                 unsigned aMaxEndpoints,
                 time_point aNow)
{
  const std::set<std::string> sentTo(aAttempts.mSentTo.begin(),
                                     aAttempts.mSentTo.end());
  std::size_t listed = 0;
  retry_targets healthy;
  retry_targets avoided;
  for (const std::string& id : sentTo) {
    const auto known = aRegistry.mEndpoints.find(id);
    if (known == aRegistry.mEndpoints.end()) {
      continue;
    }
    ++listed;
    if (IsAdmissible(known->second, aScope, aNow)) {
      (IsAvoided(known->second, aNow) ? avoided : healthy).mAgain.push_back(id);
    }
  }
  if (listed < aMaxEndpoints &&
      AnyOtherIsAdmissible(aRegistry, aScope, aAttempts.mExcluded, aNow)) {
    return retry_targets{};
  }
  const retry_targets& again = healthy.mAgain.empty() ? avoided : healthy;
  return again.mAgain.empty() ? std::nullopt
                              : std::optional<retry_targets>(again);
}

duration
RetryDelay(unsigned aFailures)
{
  duration delay = kFirstRetryDelay;
  for (unsigned i = 1; i < aFailures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRetryDelay);
}

} // namespace primrose
