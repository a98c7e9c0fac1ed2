#pragma once

/// What the gateway believes; every controller reads and writes here.

#include "LibGateway/Adapter.h"
#include "LibObserve/LibObserve.h"

#include <map>
#include <set>

namespace primrose {

/// What one process is told at its start.
struct gateway_settings
{
  std::string mName;
  std::string mDataCentre;
  ip_address mCallers;   ///< Where callers connect.
  ip_address mReadiness; ///< Where the balancer asks.
  ip_address mMetrics;   ///< Where counters are read.
  ip_address mPeers;     ///< Where other entries' datagrams arrive.
  ip_address mStore;
  std::vector<std::string> mSeeds; ///< Hosts of entries to ask first.
  duration mGrace{}; ///< Between the signal to end and the forced end.
  retry_limits mRepeats;

  bool operator==(const gateway_settings&) const = default;
};

/// Another entry, as heard from by datagram.
struct peer_state
{
  std::uint64_t mGatewayIncarnation = 0; ///< New at each of its starts.
  time_point mLastReceivedAt{};
  std::uint64_t mManifest = 0; ///< The version in force there, as it said last.
  std::uint64_t mList = 0;     ///< The newest revision of its list.

  bool operator==(const peer_state&) const = default;
};

/// The balancer takes an entry out after two probes a second apart; until then
/// it sends new connections, which a draining entry serves like any other.
inline constexpr duration kBalancerRemovalTime =
  std::chrono::milliseconds(2600);
/// Kept back from the grace for closing connections in order.
inline constexpr duration kShutdownReserve = std::chrono::milliseconds(400);

struct gateway_state
{
  time_point mStarted{};
  manifest_pointer mManifest;
  time_point mManifestAppliedAt{};
  bool mEndpointsKnown = false;
  endpoint_registry mEndpoints;
  /// The store showed the list as of this revision, whether or not a row has
  /// it.
  std::uint64_t mEndpointListRevision = 0;
  std::map<std::string, time_point>
    mStoreAnsweredAt; ///< By table, the last time.
  /// By belief, since when a peer has known something newer.
  std::map<std::string, std::optional<time_point>> mPeersAheadSince;
  engine_ledger mLedger;
  quarantine mQuarantine;
  bool mQuarantineKnown = false; ///< The platform's rows of it were read.
  subset_ring mSubsetRing;       ///< Engines as listed, entries as heard from.
  bool mSubsetRingStale = false; ///< One of the two lists has changed since.
  std::map<std::string, retry_history> mRepeats; ///< By service.
  std::map<std::string, peer_state> mPeers;      ///< By host.
  bool mGatewaysLoaded = false; ///< The platform's rows of them were read.
  std::size_t mListedGatewayCount =
    0; ///< Rows of entries, this one's included.
  std::uint64_t mGatewayIncarnation = 0;
  std::uint32_t mLastPlacementNumber = 0;
  std::size_t mOpenRequests = 0;
  bool mDraining = false;
  time_point mDrainStarted{};
  random_engine mRandom;
  metrics mMetrics;
};

/// The version in force here; 0: none yet.
std::uint64_t
CurrentManifestVersion(const gateway_state& aBoard);

/// Up to which revision this entry knows the list of endpoints.
std::uint64_t
CurrentListRevision(const gateway_state& aBoard);

std::vector<std::string>
PeerHosts(const gateway_state& aBoard);

/// Peers that say they have a newer manifest or a newer list than this entry.
std::vector<std::string>
PeersAhead(const gateway_state& aBoard);

/// Brings the ring, and what is preferred by the entry at this host, up to the
/// lists of endpoints and of peers.
void
UpdateSubsetRing(gateway_state& aBoard, const std::string& aOwnHost);

/// Entries that share the repeat budget: this one and the peers heard of, or
/// those with a row in the platform where that is more. An entry that has just
/// started and knows of nobody yet must not spend what belongs to all.
std::size_t
EntryCount(const gateway_state& aBoard);

} // namespace primrose
