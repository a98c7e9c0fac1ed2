#pragma once

/// Sends this gateway's gossip datagrams: updates are batched for some
/// milliseconds and sent to the peers that they concern.

#include "LibGossip/GatewayState.h"
#include "LibGossip/PeerMessage.h"

namespace primrose {

/// The Announce functions send to the peers that prefer the engines concerned,
/// as far as the byte budget allows; the Broadcast functions send to all peers.
class gossip_sender
{
public:
  gossip_sender(event_loop& aLoop,
                const gateway_settings& aSettings,
                gateway_state& aBoard);
  ~gossip_sender();
  gossip_sender(const gossip_sender&) = delete;
  gossip_sender& operator=(const gossip_sender&) = delete;

  /// Sets the socket; nothing is sent before.
  void Open(datagram_socket& aSocket);
  void AnnouncePlacement(const placement& aPlacement);
  /// `aEngines` are those of the placement as it was announced.
  void AnnouncePlacementEnd(placement_key aKey,
                            placement_end aEnd,
                            const std::vector<engine_key>& aEngines);
  /// An engine refused to serve as a prefill helper. Peers then leave it out
  /// too, instead of being refused in turn.
  void AnnounceHelpRefusal(engine_key aEngine);
  /// An endpoint's connection broke, or it did not answer or was unreachable.
  void AnnounceEndpointFailure(engine_key aEndpoint);
  /// An endpoint's limit started, changed, was confirmed or ended.
  void AnnounceLimit(const limit_report& aLimit);
  /// This gateway measured that an engine's pace is not what its peers know.
  void AnnounceSpeed(const speed_report& aSpeed);
  /// An endpoint crashed while it ran a request. All gateways need the report,
  /// since any of them may receive the request next.
  void BroadcastCrash(const crash_report& aReport);
  /// This gateway answered a request that peers may suspect or quarantine.
  void BroadcastCleared(request_digest aRequest);
  void BroadcastQuarantined(
    const std::vector<quarantined_request>& aQuarantined);
  /// Sends these quarantined requests to one peer.
  void SendQuarantined(const std::vector<quarantined_request>& aQuarantined,
                       const std::string& aHost);
  /// Sends what is batched, then tells all peers that this gateway is leaving.
  void BroadcastLeaving();
  void SendHeartbeat(const std::string& aHost);
  /// Sends a heartbeat to all peers, or round-robin to some if they are many.
  void SendHeartbeats();
  /// Tells some peers, chosen at random, which versions of the platform's
  /// tables this gateway has and as of when they are current.
  void SpreadVersions();
  /// Sends this gateway's placements, known limits and measured paces to a new
  /// peer.
  void SendInitialState(const std::string& aHost);

private:
  void Flush();
  /// Sends the batch after this delay, or earlier if an earlier time is already
  /// scheduled.
  void ScheduleFlush(duration aDelay);
  void FlushBroadcast();
  void ScheduleBroadcast();
  /// The batch goes to the peers that prefer any of these engines.
  void AddBatchEngines(const std::vector<engine_key>& aEngines);
  /// As many of these hosts as the byte budget allows, drawn at random.
  std::vector<std::string> ChooseRecipients(
    const std::vector<std::string>& aHosts,
    std::size_t aBytes);
  /// A message with only the fields that every datagram has.
  peer_message NewMessage() const;
  /// What this gateway reports of the prompts of its callers by size.
  std::vector<size_report> OwnSizes() const;
  std::string EncodeHeartbeat(bool aListsHosts, bool aReportsSizes);
  void Send(const std::string& aBytes, const std::string& aHost);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_state& mBoard;
  datagram_socket* mSocket = nullptr;
  peer_updates mBatch;
  std::vector<engine_key> mBatchEngines; ///< Engines that `mBatch` concerns.
  std::string mLastHeartbeatHost;
  unsigned mHeartbeats = 0;
  peer_send_budget mBudget;
  bool mLeaving = false;
  peer_updates mBroadcastBatch;
  timer_id mBroadcastTimer = 0;
  timer_id mFlushTimer = 0;
  time_point mFlushAt{};
};

} // namespace primrose
