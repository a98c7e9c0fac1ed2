#include "LibGossip/GatewayState.h"

#include <algorithm>

namespace primrose {

std::uint64_t
CurrentManifestVersion(const gateway_state& aBoard)
{
  return aBoard.mManifest == nullptr ? 0
                                     : aBoard.mManifest->Manifest().mVersion;
}

std::uint64_t
CurrentOperatorRevision(const gateway_state& aBoard)
{
  return std::max(aBoard.mOperatorRowRevision, aBoard.mOperatorTableRevision);
}

std::uint64_t
CurrentListRevision(const gateway_state& aBoard)
{
  return std::max(aBoard.mEndpoints.mNewestRevision,
                  aBoard.mEndpointListRevision);
}

table_freshness&
FreshnessOf(gateway_state& aBoard, belief aTable)
{
  return aBoard.mFreshness.at(static_cast<std::size_t>(aTable));
}

const table_freshness&
FreshnessOf(const gateway_state& aBoard, belief aTable)
{
  return aBoard.mFreshness.at(static_cast<std::size_t>(aTable));
}

std::uint64_t
RowRevision(const gateway_state& aBoard, belief aTable)
{
  return aTable == belief::Operator ? aBoard.mOperatorRowRevision
                                    : aBoard.mEndpoints.mNewestRevision;
}

std::uint64_t
CopyRevision(const gateway_state& aBoard, belief aTable)
{
  return aTable == belief::Operator ? CurrentOperatorRevision(aBoard)
                                    : CurrentListRevision(aBoard);
}

duration
ConfirmCopy(gateway_state& aBoard,
            belief aTable,
            std::uint64_t aRowRevision,
            store_time aStoreTime,
            time_point aNow)
{
  if (aRowRevision < RowRevision(aBoard, aTable) ||
      aRowRevision > CopyRevision(aBoard, aTable)) {
    return duration::zero();
  }
  // A removal that a full read did not show has the larger revision.
  (aTable == belief::Operator ? aBoard.mOperatorRowRevision
                              : aBoard.mEndpoints.mNewestRevision) =
    aRowRevision;
  table_freshness& known = FreshnessOf(aBoard, aTable);
  const std::optional<time_point> confirmed =
    ToLocalTime(aBoard.mStoreClock, aStoreTime);
  // A time in the future is one of an earlier clock of the store.
  if (!confirmed.has_value() || *confirmed > aNow ||
      (known.mConfirmedAt.has_value() && *known.mConfirmedAt >= *confirmed)) {
    return duration::zero();
  }
  const duration newer = known.mConfirmedAt.has_value()
                           ? *confirmed - *known.mConfirmedAt
                           : duration::max();
  known.mConfirmedAt = confirmed;
  known.mStoreTime = aStoreTime;
  return newer;
}

void
RecordRead(gateway_state& aBoard,
           belief aTable,
           const std::optional<store_time>& aStoreTime,
           time_point aSentAt)
{
  table_freshness& known = FreshnessOf(aBoard, aTable);
  const std::optional<time_point> stated =
    aStoreTime.has_value() ? ToLocalTime(aBoard.mStoreClock, *aStoreTime)
                           : std::nullopt;
  known.mConfirmedAt = stated.value_or(aSentAt);
  known.mStoreTime = aStoreTime.has_value() ? aStoreTime : known.mStoreTime;
}

std::optional<duration>
CopyAge(const gateway_state& aBoard, belief aTable, time_point aNow)
{
  const std::optional<time_point>& confirmed =
    FreshnessOf(aBoard, aTable).mConfirmedAt;
  return confirmed.has_value() ? std::optional(aNow - *confirmed)
                               : std::nullopt;
}

std::int64_t
CopyAgeMs(const gateway_state& aBoard, belief aTable, time_point aNow)
{
  const std::optional<duration> age = CopyAge(aBoard, aTable, aNow);
  return age.has_value() ? Milliseconds(*age) : -1;
}

bool
MustReadStore(const gateway_state& aBoard,
              belief aTable,
              duration aChangeBound,
              time_point aNow)
{
  // Until then a gateway that has just started takes itself for one of few.
  constexpr duration kDiscoveryTime = std::chrono::seconds(1);
  const table_freshness& copy = FreshnessOf(aBoard, aTable);
  if (!copy.mConfirmedAt.has_value()) {
    return true;
  }
  const duration age = aNow - *copy.mConfirmedAt;
  if (copy.mReaderRank < kTableReaders) {
    return aNow - aBoard.mStarted >= kDiscoveryTime || age >= kDiscoveryTime;
  }
  return age >
         MaxCopyAge(copy.mReaderRank, aBoard.mPeers.size() + 1, aChangeBound);
}

void
UpdateReaderRanks(gateway_state& aBoard, const std::string& aOwnHost)
{
  const std::vector<std::string> hosts = FleetHosts(aBoard, aOwnHost);
  FreshnessOf(aBoard, belief::Operator).mReaderRank =
    ReaderRank("operators", hosts, aOwnHost);
  FreshnessOf(aBoard, belief::Endpoints).mReaderRank =
    ReaderRank("endpoints", hosts, aOwnHost);
}

std::optional<double>
PeersConnectionsPerSecond(const gateway_state& aBoard)
{
  if (aBoard.mPeers.empty()) {
    return std::nullopt;
  }
  double sum = 0;
  for (const auto& [host, peer] : aBoard.mPeers) {
    sum += peer.mConnectionsPerSecond;
  }
  return sum / static_cast<double>(aBoard.mPeers.size());
}

std::optional<double>
PeersConnectionsPerSecond(const gateway_state& aBoard,
                          std::string_view aDataCentre)
{
  const std::uint32_t dataCentre = DataCentreId(aDataCentre);
  double sum = 0;
  double peers = 0;
  for (const auto& [host, peer] : aBoard.mPeers) {
    if (peer.mLateness.mDataCentre == dataCentre) {
      sum += peer.mConnectionsPerSecond;
      ++peers;
    }
  }
  return peers > 0 ? std::optional(sum / peers) : std::nullopt;
}

std::vector<peer_lateness>
PeersLateness(const gateway_state& aBoard, std::string_view aDataCentre)
{
  const std::uint32_t dataCentre = DataCentreId(aDataCentre);
  std::vector<peer_lateness> peers;
  for (const auto& [host, peer] : aBoard.mPeers) {
    if (peer.mLateness.mDataCentre == dataCentre) {
      peers.push_back({ host, peer.mLateness.mLateness });
    }
  }
  return peers;
}

std::vector<std::string>
PeerHosts(const gateway_state& aBoard)
{
  std::vector<std::string> hosts;
  hosts.reserve(aBoard.mPeers.size());
  for (const auto& [host, peer] : aBoard.mPeers) {
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<std::string>
FleetHosts(const gateway_state& aBoard, const std::string& aOwnHost)
{
  std::vector<std::string> hosts = PeerHosts(aBoard);
  hosts.push_back(aOwnHost);
  return hosts;
}

std::vector<std::string>
PeersAhead(const gateway_state& aBoard)
{
  const std::uint64_t manifest = CurrentManifestVersion(aBoard);
  const std::uint64_t operators = CurrentOperatorRevision(aBoard);
  const std::uint64_t list = CurrentListRevision(aBoard);
  std::vector<std::string> ahead;
  for (const auto& [host, peer] : aBoard.mPeers) {
    if (peer.mManifest > manifest || peer.mOperatorRevision > operators ||
        peer.mList > list) {
      ahead.push_back(host);
    }
  }
  return ahead;
}

void
UpdateSubsetRing(gateway_state& aBoard, const std::string& aOwnHost)
{
  const std::vector<std::string> hosts = FleetHosts(aBoard, aOwnHost);
  AssignGatewayPositions(aBoard.mSubsetRing, hosts);
  AssignEnginePositions(aBoard.mSubsetRing, aBoard.mEndpoints);
  MarkPreferred(aBoard.mEndpoints, aBoard.mSubsetRing, aOwnHost);
  UpdateReaderRanks(aBoard, aOwnHost);
  aBoard.mSubsetRingStale = false;
}

std::size_t
EntryCount(const gateway_state& aBoard)
{
  constexpr std::size_t kBeforeAnyIsKnown = 64;
  if (!aBoard.mGatewaysLoaded && aBoard.mPeers.empty()) {
    return kBeforeAnyIsKnown;
  }
  return std::max(aBoard.mPeers.size() + 1, aBoard.mListedGatewayCount);
}

} // namespace primrose
