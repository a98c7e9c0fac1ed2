#pragma once

/// Processes the gossip datagrams of other gateways: membership, their
/// placements, reports about endpoints, and which versions of the store's
/// tables they have.

#include "LibGossip/GossipSender.h"
#include "LibGossip/StalenessDetector.h"

namespace primrose {

/// Receives what peers report about requests that crash endpoints.
class crash_report_listener
{
public:
  virtual ~crash_report_listener() = default;
  virtual void OnPeerCrashReport(const crash_report& aReport,
                                 const std::string& aHost) = 0;
  /// Adds quarantined requests received from a peer or read from the store.
  virtual void MergeQuarantined(
    const std::vector<quarantined_request>& aQuarantined,
    const std::string& aHost) = 0;
  virtual void OnPeerCleared(request_digest aRequest,
                             const std::string& aHost) = 0;
  /// Compares a peer's hash of its quarantine with this gateway's own. If they
  /// differ, sends this gateway's quarantined requests to the peer.
  virtual void OnPeerQuarantineHash(std::uint64_t aPeerHash,
                                    const std::string& aHost) = 0;
};

class peer_gossip
{
public:
  /// Called when a peer has had a newer version for this long.
  using stale_callback = std::function<void(belief aBelief, duration aTimeout)>;
  /// Called when a datagram shows that the peer has a newer copy of a table.
  using ahead_callback = std::function<void(const std::string& aHost)>;

  peer_gossip(event_loop& aLoop,
              const gateway_settings& aSettings,
              gateway_state& aBoard,
              gossip_sender& aSender,
              crash_report_listener& aCrashReports,
              const stale_callback& aOnStale,
              ahead_callback aOnAhead);
  ~peer_gossip();
  peer_gossip(const peer_gossip&) = delete;
  peer_gossip& operator=(const peer_gossip&) = delete;

  result<void> Open();
  /// Adds hosts of gateways as candidates; they become peers once a
  /// datagram from them arrives.
  void AddHosts(const std::vector<std::string>& aHosts);

private:
  /// Removes silent peers, compares versions and sends heartbeats; runs once
  /// per `kHeartbeatInterval`.
  void RunHeartbeat();
  void OnDatagram(std::string_view aBytes, const ip_address& aFrom);
  void RemoveSilentPeers();
  /// Compares this gateway's table versions with the newest reported by peers.
  void CompareVersions(std::uint64_t aManifest,
                       std::uint64_t aOperatorRevision,
                       std::uint64_t aList);
  /// Recomputes the newest versions from the current peers, then compares.
  void CompareWithLivePeers();
  /// Applies a peer's report to the health of an endpoint; logs if the endpoint
  /// is avoided because of it.
  void ApplyEndpointUpdate(
    engine_key aEndpoint,
    const std::string& aHost,
    const std::function<void(endpoint_health&, time_point)>& aUpdate);
  /// Records that the peer is alive; sends it the initial state if it is new or
  /// has just started.
  void RecordPeer(const peer_message& aMessage, const std::string& aHost);
  /// Logs the peers that were found since the last heartbeat; their number
  /// only, if they are many.
  void LogNewPeers();
  /// Applies what the peer says of its copies of the tables, and passes it on.
  void ApplyVersions(const peer_message& aMessage, const std::string& aHost);
  void ApplyUpdates(const peer_updates& aUpdates, const std::string& aHost);
  /// Counts the ends of placements that were not announced to this gateway,
  /// or whose announcement was lost or has expired.
  void CountUnknownEnds(const peer_updates& aUpdates);
  void ApplyPeerSizes(const std::vector<size_report>& aReports,
                      const std::string& aHost);
  void ApplyCrashUpdates(const peer_message& aMessage,
                         const std::string& aHost);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_state& mBoard;
  gossip_sender& mSender;
  crash_report_listener& mCrashReports;
  std::unique_ptr<datagram_socket> mSocket;
  std::set<std::string>
    mCandidateHosts; ///< Hosts from which nothing was received yet.
  std::uint64_t mNewestPeerManifest = 0; ///< Reported by peers.
  std::uint64_t mNewestPeerOperatorRevision = 0;
  std::uint64_t mNewestPeerList = 0;
  ahead_callback mOnAhead;
  staleness_detector mManifestStaleness;
  staleness_detector mOperatorStaleness;
  staleness_detector mListStaleness;
  unsigned mHeartbeats = 0;
  std::vector<std::string> mNewPeers; ///< Found since the last heartbeat.
  timer_id mHeartbeatTimer = 0;
};

} // namespace primrose
