#pragma once

/// Which gateways read a table of the platform's store, and when.
///
/// If each gateway reads each table, the calls and bytes grow with the number
/// of gateways times the number of changes. Therefore a few gateways read, and
/// the others take changes from peers. Nothing is agreed: who reads follows
/// from a hash of the hosts, which all gateways know, and a gateway reads the
/// store itself once its copy is older than a limit, whatever the reason: all
/// readers may be dead, frozen, cut off, turned away by the store or outdated.
/// The limit grows with the rank in the same order, so that a few gateways read
/// before all do.

#include "LibCore/LibCore.h"

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// Gateways that read each table all the time. Any one of them suffices.
inline constexpr std::size_t kTableReaders = 3;

/// Rank of a gateway in the order in which gateways read a table.
std::size_t
ReaderRank(std::string_view aTable,
           const std::vector<std::string>& aHosts,
           std::string_view aOwnHost);

/// Age of its copy from which a gateway reads a table itself; zero for those
/// that read all the time. `aChangeBound` is the time within which a change has
/// to be in force at each gateway.
duration
MaxCopyAge(std::size_t aRank, std::size_t aGateways, duration aChangeBound);

/// How long the store may hold a reader's long poll. Each answer confirms that
/// the reader's copy is current, also if nothing has changed.
duration
ReaderPollWait(duration aChangeBound);

/// Peers to which a gateway passes on a change, or that its copy is current.
inline constexpr std::size_t kSpreadPeers = 4;

/// True if a confirmation that is newer by this much is passed on to peers.
bool
IsWorthSpreading(duration aNewer, duration aChangeBound);

} // namespace primrose
