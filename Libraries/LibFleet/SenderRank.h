#pragma once

/// Selects the gateways that send to an endpoint which accepts few requests
/// from all gateways together.

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// Rank of a gateway among those that may place on an endpoint, in the order of
/// a hash of host and endpoint. A gateway that is not in `aHosts` is last.
std::size_t
SenderRank(std::string_view aEndpointId,
           const std::vector<std::string>& aHosts,
           std::string_view aOwnHost);

/// Part of an endpoint's rate that gateways share out, and how many of them: a
/// minimum, plus a number proportional to the rate.
struct sender_policy
{
  double mUsedFraction = 1;
  double mMinSenders = 1;
  double mSendersPerRate = 0;

  bool operator==(const sender_policy&) const = default;
};

/// The equal share of the gateway with this rank; zero if it is no sender.
double
SenderShare(const sender_policy& aPolicy,
            double aPerSecond,
            std::size_t aGateways,
            std::size_t aRank);

} // namespace primrose
