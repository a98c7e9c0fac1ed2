#pragma once

/// What entries pass on to an entry that cannot reach the platform: the rows
/// that they have read there. The revisions go with them, so that nothing that
/// comes this way replaces anything newer.

#include "LibGateway/GatewayState.h"

namespace primrose {

struct table_snapshot
{
  std::optional<row_change<std::string>> mManifest;
  std::vector<row_change<std::string>> mEndpoints;

  bool operator==(const table_snapshot&) const = default;
};

std::string
EncodeSnapshot(const table_snapshot& aRows);
result<table_snapshot>
DecodeSnapshot(const std::string& aBytes);

/// Serves this entry's rows to its peers and asks a peer for its own.
class snapshot_exchange
{
public:
  using held = std::function<table_snapshot()>;
  /// Nothing if the peer gave no answer that can be read.
  using received = std::function<void(const std::optional<table_snapshot>&)>;

  snapshot_exchange(event_loop& aLoop, const gateway_settings& aSettings);
  snapshot_exchange(const snapshot_exchange&) = delete;
  snapshot_exchange& operator=(const snapshot_exchange&) = delete;

  result<void> Open(held aHeld);
  /// Asks one peer; does nothing while a question is open.
  void Ask(const std::string& aHost, received aReceived);

private:
  event_loop& mLoop;
  const gateway_settings& mSettings;
  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<serial_http_client> mCaller;
  bool mFetching = false;
};

} // namespace primrose
