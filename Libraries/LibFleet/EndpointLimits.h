#pragma once

/// The rate limit that an endpoint's answers set for all entries together, and
/// this entry's share of it.
///
/// Entries have no shared counter. A few of the entries that may place on the
/// endpoint, selected by a hash of host and endpoint, send to it with equal
/// shares; the others place elsewhere. Each entry computes its share from the
/// entries that it knows of. Part of the rate stays unused and the number of
/// senders is small at low rates, so that the limit also holds while entries
/// are cut off or starting: with twice the intended senders, the endpoint gets
/// at most 1.5 times the rate plus five requests in any four seconds.

#include "LibCore/LibCore.h"

#include <optional>
#include <string>
#include <vector>

namespace primrose {

struct endpoint_limit
{
  /// Requests per second from all entries together; nullopt if unlimited.
  std::optional<double> mPerSecond;
  /// Time of the latest answer, at any entry, that confirmed `mPerSecond`.
  time_point mObserved{};
  time_point mTold{};       ///< When this entry last sent or received it.
  double mOwnPerSecond = 0; ///< This entry's share.
  /// An entry without a share sends one probe request this long after
  /// `mObserved`, so that the end of a limit is detected even if the entries
  /// with a share have no requests to send.
  duration mProbeAfter{};
  bool mProbed = false; ///< A probe was sent after `mObserved`.
  double mTokens = 0;   ///< Tokens in the bucket at `mRefilled`.
  time_point mRefilled{};

  bool operator==(const endpoint_limit&) const = default;
};

/// Applies the rate set by an answer, or nullopt if it set none. Ignores
/// observations older than the current one. True if the rate changed.
bool
ObserveLimit(endpoint_limit& aLimit,
             const std::optional<double>& aPerSecond,
             time_point aObserved,
             time_point aNow);

/// Computes the share of the entry at `aOwnHost`. `aHosts` are the known
/// entries that may place on the endpoint. `aEntries` is the total number of
/// entries; it keeps the share from growing while peers are missing from
/// `aHosts`.
void
UpdateLimitShare(endpoint_limit& aLimit,
                 std::string_view aEndpointId,
                 const std::vector<std::string>& aHosts,
                 std::string_view aOwnHost,
                 std::size_t aEntries,
                 time_point aNow);

/// True if this entry may send a request to the endpoint now.
bool
Admits(const endpoint_limit& aLimit, time_point aNow);

/// Time until this entry may send a request if the limit does not change;
/// `duration::max()` if never.
duration
TimeUntilAdmitted(const endpoint_limit& aLimit, time_point aNow);

/// Accounts for a request sent to the endpoint.
void
TakeToken(endpoint_limit& aLimit, time_point aNow);

/// True if the limit has to be announced to the other entries, because it
/// changed or the announcement is due again; if so, records the time.
bool
MarkLimitAnnouncedIfDue(endpoint_limit& aLimit, bool aChanged, time_point aNow);

} // namespace primrose
