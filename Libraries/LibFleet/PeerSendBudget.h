#pragma once

/// Byte budget for the datagrams that a gateway sends to its peers about its
/// placements. It decides how many of the peers that a placement concerns
/// (LibFleet/EngineSubset) are notified.
///
/// The limit is in bytes because a divided prompt concerns more peers than a
/// short one. A limit on each second alone was too strict in bursts: each
/// gateway received only a third of the placements, and several gateways took
/// the same engine's last slot. Unused bytes are therefore saved, as in a token
/// bucket, and may be spent in a burst.

#include "LibCore/LibCore.h"

namespace primrose {

/// With up to this many peers all are notified, whatever it costs.
inline constexpr std::size_t kFullBroadcastPeers = 32;
/// At least this many are notified, however little is left. docs/CAPACITY.md
/// has the effect with 300 gateways.
inline constexpr std::size_t kMinRecipients = 12;

/// Number of peers to which one heartbeat is sent.
std::size_t
PeersPerHeartbeat(std::size_t aPeers);

/// True if the heartbeat with this number tells what the gateway counts by size
/// (LibFleet/SizeShares). Where each heartbeat goes to all peers, every fourth
/// does, which is often compared with the time for which counts matter.
bool
CarriesSizeReports(unsigned aHeartbeat, std::size_t aPeers);

/// Bytes that one gateway may still send. A default-constructed budget is empty
/// at the clock's epoch.
struct peer_send_budget
{
  /// Negative if the minimum number of recipients cost more than was left.
  double mBytes = 0;
  time_point mAt{}; ///< When `mBytes` was computed.

  bool operator==(const peer_send_budget&) const = default;
};

/// Number of recipients, out of `aPeers`, for a datagram of `aBytes` sent now.
/// Takes their cost from the budget.
std::size_t
TakeRecipientCount(peer_send_budget& aBudget,
                   std::size_t aPeers,
                   std::size_t aBytes,
                   time_point aNow);

/// Charges bytes that were sent whatever was left of the budget.
void
ChargePeerBytes(peer_send_budget& aBudget, std::size_t aBytes, time_point aNow);

} // namespace primrose
