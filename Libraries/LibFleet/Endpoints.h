#pragma once

/// The endpoints that the platform lists, and the health of each as observed by
/// this gateway and reported by its peers.

#include "LibFleet/AllowedRegions.h"
#include "LibFleet/EndpointLimits.h"
#include "LibFleet/EndpointNotices.h"
#include "LibFleet/WarmUp.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace primrose {

/// One endpoint as listed by the platform.
struct endpoint
{
  std::string mId;
  ip_address mAddress;
  std::string mService;
  std::string mDataCentre;
  unsigned mSlots = 1;
  bool mLeaving = false;
  std::string mRegion; ///< Empty if the data centre is not known.
  /// Time for which the endpoint said that it stays cold, as of its row.
  duration mColdTime{};
  /// Unix time of its start in milliseconds, if the row states it. An endpoint
  /// may start again under its id.
  std::optional<std::int64_t> mBorn;

  bool operator==(const endpoint&) const = default;
};

/// A change of one row in a table of the platform: its new value, or its
/// removal.
template<typename T>
struct row_change
{
  std::string mKey;
  std::uint64_t mRevision = 0;
  std::optional<T> mValue; ///< nullopt if the row was removed.

  bool operator==(const row_change&) const = default;
};

/// The outcome of an attempt, as far as it concerns the endpoint's health.
enum class endpoint_health_event : std::uint8_t
{
  Answered,           ///< A valid answer, whatever its status.
  Unreachable,        ///< No connection before the timeout.
  ConnectionBroken,   ///< The connection broke, or the answer was malformed.
  Silent,             ///< No data for much longer than expected.
  Failed,             ///< An answer that reports a failure of the endpoint.
  AddressReassigned,  ///< Another endpoint now has the address.
  PrefillHelpRefused, ///< It refused to prefill a part for another engine.
};

struct endpoint_health
{
  /// Failures since the last answer that caused the endpoint to be avoided;
  /// each lengthens the next back-off.
  unsigned mBackoffFailures = 0;
  double mFailureRate = 0;     ///< Recent share of attempts that failed.
  time_point mAvoidUntil{};    ///< Chosen before then only if no others exist.
  time_point mLastFailureAt{}; ///< Observed here or reported by a peer.
  time_point mPreviousFailureAt{};

  bool operator==(const endpoint_health&) const = default;
};

struct known_endpoint
{
  endpoint mListed;
  std::uint64_t mRevision = 0;
  endpoint_health mHealth;
  endpoint_limit mLimit;
  endpoint_notice mNotice;
  warm_up mWarmUp;
  bool mEvacuated = false;      ///< Operators evacuated its data centre.
  unsigned mOutstanding = 0;    ///< This gateway's own attempts in flight.
  time_point mLastReceivedAt{}; ///< When one of them last received data.
  /// False if the endpoint is outside this gateway's subset
  /// (LibFleet/EngineSubset). It is then used only while no preferred endpoint
  /// can be.
  bool mPreferred = true;

  bool operator==(const known_endpoint&) const = default;
};

/// What answers of an endpoint announced before its row was removed.
struct kept_notice
{
  endpoint_notice mNotice;
  std::optional<std::int64_t> mBorn; ///< Of the endpoint that announced it.

  bool operator==(const kept_notice&) const = default;
};

/// The endpoints that a request may be sent to.
struct endpoint_scope
{
  std::string mService;
  allowed_regions mRegions;

  bool operator==(const endpoint_scope&) const = default;
};

struct endpoint_registry
{
  std::map<std::string, known_endpoint> mEndpoints; ///< By id.
  /// Revisions of removed rows. They prevent a stale table read from restoring
  /// an endpoint whose removal was already applied.
  std::unordered_map<std::string, std::uint64_t> mGone;
  /// Notices of endpoints in `mGone`, for those whose rows return.
  std::unordered_map<std::string, kept_notice> mNoticesOfGone;
  std::uint64_t mNewestRevision = 0; ///< Of all rows applied so far.
  /// All removals after this revision are in `mGone`; nullopt before the first
  /// snapshot.
  std::optional<std::uint64_t> mRemovalsSince;
};

/// The effect of a row change on an endpoint.
enum class membership_change : std::uint8_t
{
  Unchanged,
  Joined,
  Leaving,
  Left,
  Restarted, ///< Started again under its id.
  Changed,
};

/// Applies one changed row. Ignores a revision that is not newer than the known
/// one. Of an endpoint that started again, nothing is kept that was observed
/// before.
membership_change
ApplyRow(endpoint_registry& aRegistry, const row_change<endpoint>& aChange);

/// Applies a snapshot of the whole table as of `aRevision`. Removes endpoints
/// that are missing from it, except those with a newer revision. Returns the
/// ids of the removed endpoints.
std::vector<std::string>
ApplySnapshot(endpoint_registry& aRegistry,
              const std::vector<row_change<endpoint>>& aRows,
              std::uint64_t aRevision);

/// Revision of the newest row of the endpoint that was applied, or of its
/// removal; 0 if none is known.
std::uint64_t
AppliedRevision(const endpoint_registry& aRegistry, const std::string& aId);

/// Where to keep what an answer of this endpoint announces: with its row or,
/// while that is gone, for its return. `aEndpoint` is the endpoint as it was
/// listed when the request was sent. Null if it has started again since, or was
/// never listed.
endpoint_notice*
FindNotice(endpoint_registry& aRegistry, const endpoint& aEndpoint);

/// Updates the health of an endpoint with the outcome of an attempt.
void
RecordHealthEvent(endpoint_health& aHealth,
                  endpoint_health_event aEvent,
                  time_point aNow);

/// Updates the health of an endpoint with a failure reported by a peer. A
/// single report may be caused by the peer itself; several within a short time
/// indicate that the endpoint is at fault.
void
RecordPeerFailureReport(endpoint_health& aHealth, time_point aNow);

/// True if the platform lists the endpoint as leaving or one of its answers
/// said so.
bool
IsLeaving(const known_endpoint& aEndpoint);

/// True if the endpoint may be given new work of any kind: it neither leaves
/// nor is evacuated.
bool
TakesNewWork(const known_endpoint& aEndpoint);

/// True if the endpoint may be given new work of this service.
bool
IsUsable(const known_endpoint& aEndpoint, std::string_view aService);

/// True if the endpoint takes new work and the request may be sent to it.
bool
IsInScope(const known_endpoint& aEndpoint, const endpoint_scope& aScope);

/// True if the endpoint is in the scope of the request, does not rest, and its
/// limit admits a request by this gateway.
bool
IsAdmissible(const known_endpoint& aEndpoint,
             const endpoint_scope& aScope,
             time_point aNow);

/// Accounts for a request sent to the endpoint in its limits.
void
RecordRequestSent(known_endpoint& aEndpoint, time_point aNow);

/// Time until an endpoint in the scope, other than those in `aTried`, is
/// admissible; nullopt if there is no such endpoint.
std::optional<duration>
TimeUntilAdmissible(const endpoint_registry& aRegistry,
                    const endpoint_scope& aScope,
                    const std::vector<std::string>& aTried,
                    time_point aNow);

/// True if the endpoint is to be avoided, because of recent failures, while
/// there are others.
bool
IsAvoided(const known_endpoint& aEndpoint, time_point aNow);

/// Chooses the endpoint of a plain service with the fewest outstanding attempts
/// of this gateway, except those in `aTried`. Ties are broken in favour of the
/// same data centre, then by `aRandom` in [0, 1). Returns null if there is
/// none.
known_endpoint*
ChoosePlainEndpoint(endpoint_registry& aRegistry,
                    const endpoint_scope& aScope,
                    std::string_view aDataCentre,
                    const std::vector<std::string>& aTried,
                    time_point aNow,
                    double aRandom);

} // namespace primrose
