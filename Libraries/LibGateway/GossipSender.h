#pragma once

/// What this entry tells the others by datagram: gathered for some milliseconds
/// and sent to those whom it concerns.

#include "LibGateway/GatewayState.h"
#include "LibGateway/PeerMessage.h"

namespace primrose {

class gossip_sender
{
public:
  gossip_sender(event_loop& aLoop,
                const gateway_settings& aSettings,
                gateway_state& aBoard);
  ~gossip_sender();
  gossip_sender(const gossip_sender&) = delete;
  gossip_sender& operator=(const gossip_sender&) = delete;

  /// Until then nothing is sent.
  void Open(datagram_socket& aSocket);
  void AnnouncePlacement(const placement& aPlaced);
  /// `aEngines` are those that were told when it was placed.
  void AnnouncePlacementEnd(placement_key aKey,
                            placement_end aEnd,
                            const std::vector<engine_key>& aEngines);
  /// An engine refused to read for others: those who are told leave it out too,
  /// instead of being refused in their turn.
  void AnnounceHelpRefusal(engine_key aEngine);
  /// An endpoint broke off, was silent or was not reached.
  void AnnounceEndpointFailure(engine_key aEndpoint);
  /// An endpoint's limit started, changed, was confirmed or ended.
  void AnnounceLimit(const limit_report& aLimit);
  /// An endpoint ended under a request. All entries have to know, since the
  /// request may come again at any of them.
  void BroadcastCrash(const crash_report& aReport);
  /// A request that others may hold or suspect was answered here.
  void BroadcastCleared(request_digest aRequest);
  void BroadcastQuarantined(const std::vector<quarantined_request>& aHeld);
  /// Tells one peer all that this entry holds.
  void SendQuarantined(const std::vector<quarantined_request>& aHeld,
                       const std::string& aHost);
  void BroadcastLeaving();
  /// Shows one host that this entry is there.
  void Beat(const std::string& aHost);
  /// Shows it to all peers, or to some in turn where they are many.
  void Beat();
  /// Tells a new peer what this entry has placed.
  void SendInitialState(const std::string& aHost);

private:
  void Flush();
  /// Sends what is gathered after this span, or earlier if that was asked.
  void ScheduleFlush(duration aSpan);
  void FlushBroadcast();
  void ScheduleBroadcast();
  /// What is gathered concerns those who prefer these engines.
  void Concern(const std::vector<engine_key>& aEngines);
  /// As many of these as the budget allows.
  std::vector<std::string> ChooseRecipients(
    const std::vector<std::string>& aHosts,
    std::size_t aBytes);
  peer_message Message() const;
  std::string EncodeHeartbeat(bool aNamesHosts);
  void Send(const std::string& aBytes, const std::string& aHost);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_state& mBoard;
  datagram_socket* mSocket = nullptr;
  peer_updates mGathered;                ///< Not yet told.
  std::vector<engine_key> mBatchEngines; ///< Engines of what is gathered.
  std::string mLastHeartbeatHost;        ///< The host.
  unsigned mHeartbeats = 0;
  peer_send_budget mBudget;
  bool mLeaving = false;
  peer_updates mBroadcastBatch; ///< Not yet told.
  timer_id mBroadcastTimer = 0;
  timer_id mFlushTimer = 0;
  time_point mFlushAt{};
};

} // namespace primrose
