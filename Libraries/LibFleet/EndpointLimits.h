#pragma once

/// The rate limit that an endpoint's answers set for all gateways together, and
/// this gateway's share of it.
///
/// Gateways have no shared counter. A few of the gateways that may place on the
/// endpoint, selected by a hash of host and endpoint, send to it with equal
/// shares; the others place elsewhere. Each gateway computes its share from the
/// gateways in its membership list. Part of the rate stays unused and the
/// number of senders is small at low rates, so that the limit also holds while
/// gateways are partitioned or starting: with twice the intended senders, the
/// endpoint gets at most 1.5 times the rate plus five requests in any four
/// seconds.

#include "LibFleet/TokenBucket.h"

#include <optional>
#include <string>
#include <vector>

namespace primrose {

struct endpoint_limit
{
  /// Requests per second from all gateways together; nullopt if unlimited.
  std::optional<double> mPerSecond;
  /// Time of the latest answer, at any gateway, that confirmed `mPerSecond`.
  time_point mObserved{};
  /// When this gateway last sent or received an announcement of this limit.
  time_point mTold{};
  token_bucket mShare; ///< This gateway's share.
  /// A gateway without a share sends one probe request this long after
  /// `mObserved`, so that the end of a limit is detected even if the gateways
  /// with a share have no requests to send.
  duration mProbeAfter{};
  bool mProbed = false; ///< A probe was sent after `mObserved`.

  bool operator==(const endpoint_limit&) const = default;
};

/// Applies the rate set by an answer, or nullopt if it set none. Ignores
/// observations older than the current one. True if the rate changed.
bool
ObserveLimit(endpoint_limit& aLimit,
             const std::optional<double>& aPerSecond,
             time_point aObserved,
             time_point aNow);

/// Computes the share of the gateway at `aOwnHost`. `aHosts` are the known
/// gateways that may place on the endpoint. `aGateways` is the total number of
/// gateways; it keeps the share from growing while peers are missing from
/// `aHosts`.
void
UpdateLimitShare(endpoint_limit& aLimit,
                 std::string_view aEndpointId,
                 const std::vector<std::string>& aHosts,
                 std::string_view aOwnHost,
                 std::size_t aGateways,
                 time_point aNow);

/// True if this gateway may send a request to the endpoint now.
bool
Admits(const endpoint_limit& aLimit, time_point aNow);

/// Time until this gateway may send a request if the limit does not change;
/// `duration::max()` if never.
duration
TimeUntilAdmitted(const endpoint_limit& aLimit, time_point aNow);

/// Accounts for a request sent to the endpoint.
void
TakeToken(endpoint_limit& aLimit, time_point aNow);

/// True if the limit has to be announced to the peers, because it changed or
/// the announcement is due again; if so, records the time.
bool
MarkLimitAnnouncedIfDue(endpoint_limit& aLimit, bool aChanged, time_point aNow);

} // namespace primrose
