#pragma once

/// The other entries, as their datagrams show them: who is there, what each has
/// placed where, and who knows more of the store's tables.

#include "LibGateway/CrashDetector.h"
#include "LibGateway/StalenessDetector.h"

namespace primrose {

/// What the store's tables make an entry believe.
enum class belief : std::uint8_t
{
  Manifest,
  Endpoints,
};

class peer_gossip
{
public:
  /// Called when a peer has had something newer for so long.
  using behind = std::function<void(belief aBelief, duration aPatience)>;

  peer_gossip(event_loop& aLoop,
              const gateway_settings& aSettings,
              gateway_state& aBoard,
              gossip_sender& aOutbox,
              crash_detector& aCrashes,
              const behind& aBehind);
  ~peer_gossip();
  peer_gossip(const peer_gossip&) = delete;
  peer_gossip& operator=(const peer_gossip&) = delete;

  result<void> Open();
  /// Hosts of entries that were learnt from elsewhere.
  void AddHosts(const std::vector<std::string>& aHosts);

private:
  void Beat();
  void OnDatagram(std::string_view aBytes, const ip_address& aFrom);
  void RemoveSilentPeers();
  /// Compares what this entry holds with what a peer says it holds.
  void CompareVersions(std::uint64_t aManifest, std::uint64_t aList);
  /// The same with all peers that are there.
  void CompareWithLivePeers();
  /// Takes note of what a peer told of an endpoint; logs if it is avoided for
  /// that.
  void ApplyEndpointUpdate(
    engine_key aEndpoint,
    const std::string& aHost,
    const std::function<void(endpoint_health&, time_point)>& aNote);
  /// Notes that the peer is there; greets it if it has just started.
  void RecordPeer(const peer_message& aMessage, const std::string& aHost);
  void ApplyUpdates(const peer_updates& aNews, const std::string& aHost);
  void ApplyCrashUpdates(const peer_message& aMessage,
                         const std::string& aHost);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_state& mBoard;
  gossip_sender& mGossipSender;
  crash_detector& mCrashes;
  std::unique_ptr<datagram_socket> mSocket;
  std::set<std::string> mCandidates;     ///< Hosts not heard from yet.
  std::uint64_t mNewestPeerManifest = 0; ///< That a peer has told of.
  std::uint64_t mNewestPeerList = 0;
  staleness_detector mManifestStaleness;
  staleness_detector mListStaleness;
  unsigned mHeartbeats = 0;
  timer_id mHeartbeatTimer = 0;
};

} // namespace primrose
