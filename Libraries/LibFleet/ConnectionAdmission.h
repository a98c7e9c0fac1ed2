#pragma once

/// Bounds what a gateway takes on while most new connections come to it.
///
/// The balancer may hand most callers to one gateway for a while. A connection
/// that is closed before its request was read costs the caller one retry, which
/// reaches another gateway. One that is accepted waits behind all others. A
/// gateway that has no time left, and gets many more connections than its
/// peers, therefore closes new ones unread. While all gateways are equally
/// loaded a retry would be no better off, and all connections are accepted.
///
/// No I/O, no clock.

#include "LibCore/LibCore.h"

#include <optional>

namespace primrose {

/// Averages over about half a second.
struct connection_load
{
  double mBusyShare = 0; ///< Of the event loop's time; 1: it is never idle.
  double mPerSecond = 0; ///< New connections, also those that were closed.
  std::size_t mNewSinceUpdate = 0;

  bool operator==(const connection_load&) const = default;
};

/// Adds the time since the last update, in which the loop was busy for `aBusy`.
connection_load
UpdatedLoad(const connection_load& aLoad, duration aElapsed, duration aBusy);

enum class connection_verdict : std::uint8_t
{
  Accept,
  TooMany, ///< Close: the process has not enough descriptors.
  Surge,   ///< Close: the gateway has no time left, and its peers have.
};

/// True if the balancer sends many more connections here than to the peers.
/// `aPeersPerSecond` is the mean of new connections at these, if there are any.
bool
IsSurge(const connection_load& aLoad,
        const std::optional<double>& aPeersPerSecond);

connection_verdict
ConnectionVerdict(const connection_load& aLoad,
                  std::size_t aOpen,
                  std::size_t aMaxOpen,
                  const std::optional<double>& aPeersPerSecond);

} // namespace primrose
