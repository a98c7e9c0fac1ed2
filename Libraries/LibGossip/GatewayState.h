#pragma once

/// State that all components of a gateway process share, read and update.

#include "LibGossip/StoreAdapter.h"
#include "LibObserve/LibObserve.h"

#include <array>
#include <map>
#include <set>

namespace primrose {

/// Settings of a gateway process.
struct gateway_settings
{
  std::string mName;
  std::string mDataCentre;
  std::map<std::string, std::string> mRegions; ///< By data centre.
  ip_address mCallers;                         ///< Listens for callers.
  ip_address mReadiness; ///< Listens for readiness probes of the balancer.
  ip_address mMetrics;   ///< Listens for scrapes of the metrics.
  ip_address mPeers;     ///< Receives datagrams from peers.
  ip_address mStore;
  std::vector<std::string> mSeeds; ///< Hosts of the first peers to contact.
  /// Callers' connections that may be open at once.
  std::size_t mMaxCallerConnections = 1024;
  /// Bytes of answers that may be held for callers, over all requests.
  std::size_t mAnswerMemoryBytes = std::size_t{ 32 } * 1024 * 1024;
  duration mGrace{}; ///< From the termination signal to the forced end.
  /// Time within which a change of the platform's tables has to be in force.
  duration mChangeBound = std::chrono::seconds(5);
  retry_limits mRepeats;
  overload_features mOverload;
  /// Weights of organisations in fair shares, by name; 1 if not stated.
  std::map<std::string, double> mOrganisationShares;
  /// Of the CPU time that the process may use; 1 is a full core.
  double mCoreShare = 1;

  bool operator==(const gateway_settings&) const = default;
};

/// A table of the platform's store of which each gateway keeps a copy.
enum class belief : std::uint8_t
{
  Operator, ///< Manifest and evacuation orders.
  Endpoints,
};
inline constexpr std::size_t kBeliefs = 2;

/// How current the copy of a table is, and who reads it.
struct table_freshness
{
  /// Time as of which the copy is known to be current, and the same by the
  /// store's clock.
  std::optional<time_point> mConfirmedAt;
  std::optional<store_time> mStoreTime;
  /// Of this gateway; see LibFleet/ReadDuty.
  std::size_t mReaderRank = 0;

  bool operator==(const table_freshness&) const = default;
};

/// Another gateway, as known from its datagrams.
struct peer_state
{
  /// Random number, new at each start of the gateway.
  std::uint64_t mGatewayIncarnation = 0;
  time_point mLastReceivedAt{};
  std::uint64_t mManifest = 0; ///< Last reported version in force.
  std::uint64_t mList = 0;     ///< Last reported endpoint list revision.
  /// Last reported revision of the operators' table; 0 if not reported.
  std::uint64_t mOperatorRevision = 0;
  unsigned mConnectionsPerSecond = 0; ///< Last reported.
  lateness_report mLateness;          ///< Last reported.

  bool operator==(const peer_state&) const = default;
};

/// The load balancer takes a gateway out of rotation after two failed probes a
/// second apart. Until then it sends new connections, which a draining gateway
/// serves normally.
inline constexpr duration kBalancerRemovalTime =
  std::chrono::milliseconds(2600);
/// Reserved from the drain period for closing connections in an orderly way.
inline constexpr duration kShutdownReserve = std::chrono::milliseconds(400);

struct gateway_state
{
  time_point mStarted{};
  manifest_pointer mManifest;
  time_point mManifestAppliedAt{};
  evacuation_orders mEvacuations;
  /// Newest revision of the rows of the operators' table that were applied.
  std::uint64_t mOperatorRowRevision = 0;
  /// Revision at which the store last showed that table; no row needs to have
  /// it.
  std::uint64_t mOperatorTableRevision = 0;
  bool mEndpointsKnown = false; ///< The endpoint list was received.
  endpoint_registry mEndpoints;
  /// Revision at which the store last showed the list; no row needs to have it.
  std::uint64_t mEndpointListRevision = 0;
  store_clock mStoreClock;
  /// Time of the last answer of the store, by table.
  std::map<std::string, time_point> mStoreAnsweredAt;
  /// Per kind of state, since when a peer has had a newer version; empty while
  /// none has.
  std::map<std::string, std::optional<time_point>> mPeersAheadSince;
  engine_ledger mLedger;
  organisation_usage mUsage;
  std::map<std::string, stated_limits> mStatedLimits; ///< By route.
  std::map<std::string, service_demand> mDemand; ///< By service with ranks.
  size_shares mSizeShares; ///< Of the prompts of this gateway's callers.
  quarantine mQuarantine;
  bool mQuarantineKnown = false; ///< The platform's table was read.
  /// Assigns each engine to the gateways that prefer it; built from the listed
  /// engines and the known gateways.
  subset_ring mSubsetRing;
  bool mSubsetRingStale = false; ///< Engines or gateways changed.
  std::map<std::string, retry_history> mRepeats; ///< By service.
  /// Callers of requests that were refused for want of slots, by service.
  std::map<std::string, awaited_returns> mAwaitedReturns;
  std::map<std::string, peer_state> mPeers;         ///< By host.
  std::array<table_freshness, kBeliefs> mFreshness; ///< By `belief`.
  bool mGatewaysLoaded = false; ///< The table of gateways was read.
  /// Rows in the table of gateways, including the row of this gateway.
  std::size_t mListedGatewayCount = 0;
  std::uint64_t mGatewayIncarnation = 0;
  std::uint32_t mLastPlacementNumber = 0;
  std::size_t mOpenRequests = 0;
  answer_memory mAnswerMemory;
  connection_load mConnectionLoad;
  duration mLateness{}; ///< Of the event loop; see `UpdatedLateness`.
  gateway_rotation mRotation;
  bool mDraining = false;
  time_point mDrainStarted{};
  random_engine mRandom;
  metrics mMetrics;
};

/// The manifest version in force; 0 if there is none yet.
std::uint64_t
CurrentManifestVersion(const gateway_state& aState);

/// The revision as of which this gateway has the operators' table.
std::uint64_t
CurrentOperatorRevision(const gateway_state& aState);

/// The newest revision of the endpoint list that this gateway has applied.
std::uint64_t
CurrentListRevision(const gateway_state& aState);

table_freshness&
FreshnessOf(gateway_state& aState, belief aTable);
const table_freshness&
FreshnessOf(const gateway_state& aState, belief aTable);

/// Newest revision of the rows of a table that this gateway has applied, or
/// knows from peers to change nothing.
std::uint64_t
RowRevision(const gateway_state& aState, belief aTable);

/// Revision as of which this gateway's copy of a table is complete.
std::uint64_t
CopyRevision(const gateway_state& aState, belief aTable);

/// Applies a peer's statement that its newest row has `aRowRevision` and was
/// current as of `aStoreTime`. Returns by how much the time has advanced as of
/// which this gateway's own copy is known to be current; zero if the statement
/// confirms nothing, because the peer or this gateway is behind, or because
/// this gateway does not know the store's clock.
duration
ConfirmCopy(gateway_state& aState,
            belief aTable,
            std::uint64_t aRowRevision,
            store_time aStoreTime,
            time_point aNow);

/// Records that this gateway's own read, sent at `aSentAt`, has made its copy
/// complete as of `aStoreTime`, if the store stated it.
void
RecordRead(gateway_state& aState,
           belief aTable,
           const std::optional<store_time>& aStoreTime,
           time_point aSentAt);

/// Time since the copy of a table is known to have been current; no value
/// before the first read.
std::optional<duration>
CopyAge(const gateway_state& aState, belief aTable, time_point aNow);

/// The same in milliseconds, as logged; -1 before the first read.
std::int64_t
CopyAgeMs(const gateway_state& aState, belief aTable, time_point aNow);

/// True if this gateway has to read the table from the store now.
bool
MustReadStore(const gateway_state& aState,
              belief aTable,
              duration aChangeBound,
              time_point aNow);

/// Recomputes which tables this gateway reads, from the known peers.
void
UpdateReaderRanks(gateway_state& aState, const std::string& aOwnHost);

/// Mean of the rates of new connections that the peers report; no value if
/// there are no peers.
std::optional<double>
PeersConnectionsPerSecond(const gateway_state& aState);

/// The same for the peers that report their lateness in this data centre.
std::optional<double>
PeersConnectionsPerSecond(const gateway_state& aState,
                          std::string_view aDataCentre);

/// The peers that report their lateness in this data centre.
std::vector<peer_lateness>
PeersLateness(const gateway_state& aState, std::string_view aDataCentre);

std::vector<std::string>
PeerHosts(const gateway_state& aState);

/// Hosts of the known peers and of this gateway, which is the last one.
std::vector<std::string>
FleetHosts(const gateway_state& aState, const std::string& aOwnHost);

/// Hosts of the peers that report a newer copy of a table of the platform.
std::vector<std::string>
PeersAhead(const gateway_state& aState);

/// Updates the subset ring, and which endpoints the gateway on this host
/// prefers, from the lists of endpoints and peers.
void
UpdateSubsetRing(gateway_state& aState, const std::string& aOwnHost);

/// The number of gateways that share the retry budget: this one and the known
/// peers, or the gateways with a row in the platform's table if those are more.
/// A gateway that has just started and knows no peers yet must not spend the
/// budget of all.
std::size_t
EntryCount(const gateway_state& aState);

} // namespace primrose
