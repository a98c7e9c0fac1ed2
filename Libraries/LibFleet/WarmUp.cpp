#include "LibFleet/WarmUp.h"

#include "LibFleet/SenderRank.h"

#include <algorithm>

namespace primrose {

namespace {

constexpr sender_policy kSenders{ 0.6, 2, 0.125 };

} // namespace

bool
IsCold(const warm_up& aWarmUp, time_point aNow)
{
  return aWarmUp.mColdUntil > aNow;
}

warm_up
WithColdUntil(const warm_up& aWarmUp, time_point aUntil, time_point aNow)
{
  if (aUntil <= aNow) {
    return aWarmUp;
  }
  return { std::max(aWarmUp.mColdUntil, aUntil),
           IsCold(aWarmUp, aNow) ? aWarmUp.mShare
                                 : token_bucket{ 0, 0, aNow } };
}

double
ColdShare(std::string_view aEndpointId,
          const std::vector<std::string>& aHosts,
          std::string_view aOwnHost,
          double aPerSecond)
{
  return SenderShare(kSenders,
                     aPerSecond,
                     aHosts.size(),
                     SenderRank(aEndpointId, aHosts, aOwnHost));
}

duration
TimeUntilAdmitted(const warm_up& aWarmUp, time_point aNow)
{
  if (!IsCold(aWarmUp, aNow)) {
    return duration::zero();
  }
  return std::min(aWarmUp.mColdUntil - aNow,
                  TimeUntilToken(aWarmUp.mShare, aNow));
}

warm_up
WithRequestSent(const warm_up& aWarmUp, time_point aNow)
{
  return { aWarmUp.mColdUntil, WithTokenTaken(aWarmUp.mShare, aNow) };
}

} // namespace primrose
