#pragma once

/// The gateway of one process: its listeners, its shared state, and the
/// components that update it.

#include "LibGateway/CallerConnection.h"
#include "LibGossip/LibGossip.h"

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
  /// Applies the settings that may change at run time and logs whether others
  /// changed, which need a restart.
  void Reload(const gateway_settings& aSettings);
  /// Reports "not ready" to probes, waits for requests in progress, and then
  /// quits the event loop.
  void Drain();
  const gateway_state& Board() const { return mBoard; }
  /// Port that callers connect to, also if the system chose it; 0 before the
  /// gateway listens.
  std::uint16_t CallersPort() const;
  std::uint16_t ReadinessPort() const;
  std::uint16_t MetricsPort() const;

private:
  bool Ready() const;
  /// Refreshes a table, because peers have reported newer state for
  /// `aWaitTime`.
  void OnPeerAhead(belief aTable, duration aWaitTime);
  /// Applies rows of the operators' table, which come oldest first. With
  /// `aIsFullTable`, evacuation orders without a row were taken back.
  void OnOperatorRows(const table_read_result& aResult, bool aIsFullTable);
  void ApplyNewestManifest(const std::vector<row_change<std::string>>& aRows);
  /// Brings the endpoints in line with changed evacuation orders.
  void ApplyEvacuationOrders(const evacuation_orders& aOrders);
  /// Rows of the endpoint table as far as they can be decoded. A row that
  /// cannot be names no endpoint, so it counts as removed.
  std::vector<row_change<endpoint>> DecodeEndpointRows(
    const std::vector<row_change<std::string>>& aRows);
  /// Applies a manifest if it is newer; returns false if it cannot be decoded.
  bool ApplyManifestRow(const row_change<std::string>& aRow);
  /// Applies rows of the endpoint table. With `aIsFullList`, endpoints without
  /// a row have left.
  void OnEndpointRows(const table_read_result& aResult, bool aIsFullList);
  /// The endpoint list is complete from now on.
  void SetEndpointsKnown();
  /// Lets requests pass that wait for the tables, if there are both.
  void OpenStartupGateIfReady();
  /// Keeps the applied rows for peers, as the platform sent them.
  void StoreEndpointRows(const std::vector<row_change<std::string>>& aRows);
  void OnListingChange(const std::string& aId, membership_change aListing);
  void LogListingChange(const std::string& aId, membership_change aListing);
  /// A datagram showed that this peer has a newer copy of a table.
  void OnDatagramFromPeerAhead(const std::string& aHost);
  /// Fetches rows from one of the peers that report newer state, and from
  /// another one if that peer does not answer.
  void FetchRowsFromPeer();
  void FetchRowsFrom(const std::string& aHost);
  void ApplyPeerRows(const table_snapshot& aRows);
  table_snapshot CollectRowsForPeers(const held_revisions& aHeld) const;
  /// Serves a caller's new connection, or closes it unread.
  void OnCallerConnection(int aSocket);
  void UpdateConnectionLoad();
  /// Measures how late this tick is, and decides whether the gateway is in
  /// rotation.
  void UpdateRotation();
  void Tick();
  void CheckDrained();
  /// Answers a readiness probe or, with `aMetrics`, a scrape of the metrics.
  void ServeProbe(int aSocket, bool aMetrics);

  event_loop& mLoop;
  gateway_settings mSettings;
  gateway_adapter mAdapter;
  gateway_state mBoard;
  endpoint_connection_pool mConnections;
  gossip_sender mGossipSender;
  crash_detector mCrashDetector;
  peer_gossip mPeerGossip;
  snapshot_exchange mSnapshotExchange;
  startup_gate mStartupGate;
  std::shared_ptr<answer_limiter> mAnswerLimiter;
  gateway_context mContext;
  /// Rows as read from the platform, served to peers that cannot reach it.
  std::optional<row_change<std::string>> mManifestRow;
  std::map<std::string, row_change<std::string>> mEndpointRows;
  unsigned mPeerFetchesLeft = 0;
  bool mKnewPeers = false; ///< `KnowsPeers` at the last tick.
  time_point mStatusLoggedAt{};
  /// Manifest that the capacities of the engines were computed from.
  manifest_pointer mCapacityManifest;
  time_point mTickDue{};
  time_point mLoadUpdatedAt{};
  duration mBusyAtUpdate{};      ///< The loop's busy time then.
  std::size_t mClosedUnread = 0; ///< Connections, since the last line on them.
  time_point mClosedUnreadLoggedAt{};
  std::unique_ptr<table_follower> mOperatorFollower;
  std::unique_ptr<table_follower> mEndpointFollower;
  std::unique_ptr<gateway_registry> mGatewayRegistry;
  std::unique_ptr<tcp_listener> mCallers;
  std::unique_ptr<tcp_listener> mReadiness;
  std::unique_ptr<tcp_listener> mMetrics;
  std::map<caller_connection*, std::shared_ptr<caller_connection>>
    mCallerConnections;
  bool mIdleConnectionsClosed = false; ///< Done once, while draining.
  timer_id mTimer = 0;
};

} // namespace primrose
