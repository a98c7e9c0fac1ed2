#pragma once

/// The whole gateway of one process.

#include "LibGateway/CallerConnection.h"
#include "LibGateway/GatewayRegistry.h"
#include "LibGateway/PeerGossip.h"
#include "LibGateway/PeerSnapshot.h"
#include "LibGateway/TableFollower.h"

namespace primrose {

class gateway
{
public:
  gateway(event_loop& aLoop,
          const gateway_settings& aSettings,
          const gateway_adapter& aAdapter);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  result<void> Start();
  /// Takes over what may change while the process runs; says what may not.
  void Reload(const gateway_settings& aSettings);
  /// Says "not ready", lets what is in flight end, and then quits the loop.
  void Drain();
  const gateway_state& Board() const { return mBoard; }
  /// Where callers connect, also where the system chose the port; 0 once a
  /// draining gateway has stopped listening.
  std::uint16_t CallersPort() const;
  std::uint16_t ReadinessPort() const;
  std::uint16_t MetricsPort() const;

private:
  bool Ready() const;
  /// Peers have known something newer for so long.
  void OnPeerAhead(belief aBelief, duration aPatience);
  /// Rows of the manifest's table, the oldest first.
  void OnManifestRows(const std::vector<row_change<std::string>>& aRows);
  /// Puts a manifest in force if it is newer; false if it cannot be read.
  bool ApplyManifestRow(const row_change<std::string>& aRow);
  void OnEndpointRows(const table_read_result& aReading, bool aWhole);
  void StoreEndpointRows(const std::vector<row_change<std::string>>& aRows);
  void OnListingChange(const std::string& aId, membership_change aListing);
  /// Asks one of the peers that say they know more, and another if that one
  /// gives no answer.
  void FetchRowsFromPeer();
  void ApplyPeerRows(const table_snapshot& aRows);
  table_snapshot CollectRowsForPeers() const;
  void Tick();
  void CheckDrained();
  void ServeProbe(int aSocket, bool aMetrics);

  event_loop& mLoop;
  gateway_settings mSettings;
  gateway_adapter mAdapter;
  gateway_state mBoard;
  endpoint_connection_pool mConnections;
  gossip_sender mGossipSender;
  crash_detector mCrashes;
  peer_gossip mPeers;
  snapshot_exchange mSnapshotExchange;
  gateway_context mContext;
  /// The rows as the platform had them, for peers that cannot reach it.
  std::optional<row_change<std::string>> mManifestRow;
  std::map<std::string, row_change<std::string>> mEndpointRows;
  unsigned mPeerFetchesLeft = 0;
  time_point mStatusLoggedAt{};
  std::unique_ptr<table_follower> mManifestFollower;
  std::unique_ptr<table_follower> mEndpointFollower;
  std::unique_ptr<gateway_registry> mGatewayRegistry;
  std::unique_ptr<tcp_listener> mCallers;
  std::unique_ptr<tcp_listener> mReadiness;
  std::unique_ptr<tcp_listener> mMetrics;
  std::map<caller_connection*, std::shared_ptr<caller_connection>> mOpen;
  bool mIdleConnectionsClosed = false; ///< Once, while draining.
  timer_id mTimer = 0;
};

} // namespace primrose
