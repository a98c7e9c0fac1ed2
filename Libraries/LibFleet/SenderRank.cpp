#include "LibFleet/SenderRank.h"

#include "LibCore/LibCore.h"

#include <algorithm>
#include <cmath>

namespace primrose {

std::size_t
SenderRank(std::string_view aEndpointId,
           const std::vector<std::string>& aHosts,
           std::string_view aOwnHost)
{
  if (std::find(aHosts.begin(), aHosts.end(), aOwnHost) == aHosts.end()) {
    return aHosts.size();
  }
  const std::uint64_t seed = Hash(aEndpointId);
  const std::pair<std::uint64_t, std::string_view> own(Hash(aOwnHost, seed),
                                                       aOwnHost);
  return static_cast<std::size_t>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](const std::string& aHost) {
      return std::pair<std::uint64_t, std::string_view>(Hash(aHost, seed),
                                                        aHost) < own;
    }));
}

double
SenderShare(const sender_policy& aPolicy,
            double aPerSecond,
            std::size_t aGateways,
            std::size_t aRank)
{
  const double senders = std::min(
    static_cast<double>(std::max<std::size_t>(aGateways, 1)),
    aPolicy.mMinSenders + std::floor(aPolicy.mSendersPerRate * aPerSecond));
  return static_cast<double>(aRank) < senders
           ? aPolicy.mUsedFraction * aPerSecond / senders
           : 0;
}

} // namespace primrose
