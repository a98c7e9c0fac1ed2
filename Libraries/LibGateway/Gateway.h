#pragma once

/// The whole gateway of one process.

#include "LibGateway/CallerConnection.h"
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
  /// Says "not ready", lets what is in flight end, and then quits the loop.
  void Drain();
  const gateway_board& Board() const { return mBoard; }
  /// Where callers connect, also where the system chose the port; 0 once a
  /// draining gateway has stopped listening.
  std::uint16_t CallersPort() const;
  std::uint16_t ReadinessPort() const;

private:
  bool Ready() const;
  void OnManifestRow(const row_change<std::string>& aRow);
  void OnEndpoints(const table_reading& aReading, bool aWhole);
  void NoteListing(const std::string& aId, listing aListing);
  void Register();
  void LearnEntries();
  void Tick();
  void CheckDrained();
  void AnswerProbe(int aSocket, bool aMetrics);

  event_loop& mLoop;
  gateway_settings mSettings;
  gateway_adapter mAdapter;
  gateway_board mBoard;
  endpoint_connections mConnections;
  peer_news mPeers;
  gateway_context mContext;
  std::unique_ptr<table_follower> mManifestFollower;
  std::unique_ptr<table_follower> mEndpointFollower;
  std::unique_ptr<http_caller> mRegistrar;
  std::unique_ptr<tcp_listener> mCallers;
  std::unique_ptr<tcp_listener> mReadiness;
  std::unique_ptr<tcp_listener> mMetrics;
  std::map<caller_connection*, std::shared_ptr<caller_connection>> mOpen;
  time_point mDrainBegan{};
  timer_id mTimer = 0;
};

} // namespace primrose
