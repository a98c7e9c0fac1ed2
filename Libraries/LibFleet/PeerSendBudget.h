#pragma once

/// How many of the peers whom a placement concerns (LibFleet/EngineSubset) an
/// entry tells of it.
///
/// A prompt that is divided concerns more peers than a short one, so what that
/// costs is bounded by bytes. A bound on each second alone fails when it
/// matters: in a burst each entry would know a third of the placements, and
/// several would give the same engine its last slot. So what quiet seconds did
/// not need may be spent in a burst.

#include "LibCore/LibCore.h"

namespace primrose {

/// Up to so many peers, each is told, whatever it costs.
inline constexpr std::size_t kFullBroadcastPeers = 32;
/// However little is left, so many are told; what that is worth at 300 entries
/// stands in docs/CAPACITY.md.
inline constexpr std::size_t kMinRecipients = 12;

/// The peers that an entry shows at each beat that it is there.
std::size_t
PeersPerHeartbeat(std::size_t aPeers);

/// What one entry may still send; empty at the clock's epoch.
struct peer_send_budget
{
  double mBytes =
    0;              ///< Below 0 where the fewest peers cost more than is there.
  time_point mAt{}; ///< As of then.

  bool operator==(const peer_send_budget&) const = default;
};

/// The peers, out of `aPeers`, that a datagram of `aBytes` is sent to now. What
/// it costs is taken out of the budget.
std::size_t
TakeRecipientCount(peer_send_budget& aBudget,
                   std::size_t aPeers,
                   std::size_t aBytes,
                   time_point aNow);

/// Takes bytes out of the budget that were sent whatever it holds.
void
ChargePeerBytes(peer_send_budget& aBudget, std::size_t aBytes, time_point aNow);

} // namespace primrose
