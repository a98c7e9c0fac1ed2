#pragma once

/// The endpoints that the platform lists, and what this process believes of
/// each from what it saw itself.

#include "LibFleet/EndpointLimits.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace primrose {

/// One endpoint as the platform's list shows it.
struct endpoint
{
  std::string mId; ///< New at each start of the endpoint.
  ip_address mAddress;
  std::string mService;
  std::string mDataCentre;
  unsigned mSlots = 1;
  bool mLeaving = false;

  bool operator==(const endpoint&) const = default;
};

/// One row of a table of the platform: a value, or that it is gone.
template<typename T>
struct row_change
{
  std::string mKey;
  std::uint64_t mRevision = 0;
  std::optional<T> mValue; ///< Nothing: the row was removed.

  bool operator==(const row_change&) const = default;
};

/// How an attempt at an endpoint ended, as far as the endpoint's health goes.
enum class endpoint_health_event : std::uint8_t
{
  Answered,           ///< A proper answer, whatever its status.
  Unreachable,        ///< No connection in time.
  ConnectionBroken,   ///< The connection broke, or the bytes were no answer.
  Silent,             ///< Nothing came for far longer than expected.
  Failed,             ///< An answer that says that the endpoint failed.
  AddressReassigned,  ///< Another endpoint has the address now.
  PrefillHelpRefused, ///< It refused to read a part of a prompt for another
                      ///< engine.
};

struct endpoint_health
{
  unsigned mBackoffFailures = 0; ///< Bad signs since the last good ones.
  double mFailures = 0;          ///< Recent share of attempts that failed.
  time_point mAvoidUntil{};      ///< Not chosen before, if there are others.
  time_point mLastFailureAt{};   ///< A bad sign, seen here or told by a peer.
  time_point mPreviousFailureAt{};

  bool operator==(const endpoint_health&) const = default;
};

struct known_endpoint
{
  endpoint mListed;
  std::uint64_t mRevision = 0;
  endpoint_health mHealth;
  endpoint_limit mLimit;
  unsigned mOutstanding = 0;    ///< This process's own attempts.
  time_point mLastReceivedAt{}; ///< When one of them last brought anything.
  /// Where this is false, other entries place; this one does only while none
  /// where it is true can be used.
  bool mPreferred = true;

  bool operator==(const known_endpoint&) const = default;
};

struct endpoint_registry
{
  std::map<std::string, known_endpoint> mEndpoints; ///< By id.
  /// Revisions of removed rows, so that a stale read does not bring back an
  /// endpoint that this process knows to be gone.
  std::unordered_map<std::string, std::uint64_t> mGone;
  std::uint64_t mNewestRevision = 0; ///< Of all rows taken so far.
};

/// What a change of the list did to an endpoint.
enum class membership_change : std::uint8_t
{
  Unchanged,
  Joined,
  Leaving,
  Left,
  Changed,
};

/// Takes one changed row. An older revision than the one held changes nothing.
membership_change
ApplyRow(endpoint_registry& aBoard, const row_change<endpoint>& aChange);

/// Takes a whole reading of the list as of `aRevision`: what is not in it and
/// was not seen later is gone. Gives the ids that left.
std::vector<std::string>
ApplySnapshot(endpoint_registry& aBoard,
              const std::vector<row_change<endpoint>>& aRows,
              std::uint64_t aRevision);

/// Takes note of how an attempt ended.
void
RecordHealthEvent(endpoint_health& aHealth,
                  endpoint_health_event aSign,
                  time_point aNow);

/// Takes note of a bad sign that another entry saw. One alone may be that
/// entry's own trouble; several within a moment are the endpoint's.
void
RecordPeerFailureReport(endpoint_health& aHealth, time_point aNow);

/// True if the endpoint may be given new work of this service.
bool
Usable(const known_endpoint& aEndpoint, std::string_view aService);

/// True if the endpoint is usable and its limit admits a request by this entry.
bool
IsAdmissible(const known_endpoint& aEndpoint,
             std::string_view aService,
             time_point aNow);

/// Time until the limit of a usable endpoint of the service, other than those
/// in `aTried`, admits a request; nullopt if there is no such endpoint.
std::optional<duration>
TimeUntilAdmissible(const endpoint_registry& aBoard,
                    std::string_view aService,
                    const std::vector<std::string>& aTried,
                    time_point aNow);

/// True if recent signs say to go elsewhere while there is an elsewhere.
bool
IsAvoided(const known_endpoint& aEndpoint, time_point aNow);

/// The least busy endpoint of a plain service that is not in `aTried`; of
/// equals, one of the same data centre, then by `aDraw` in [0, 1). Null if
/// there is none. Busy is what this process itself has outstanding there.
known_endpoint*
ChoosePlainEndpoint(endpoint_registry& aBoard,
                    std::string_view aService,
                    std::string_view aDataCentre,
                    const std::vector<std::string>& aTried,
                    time_point aNow,
                    double aDraw);

} // namespace primrose
