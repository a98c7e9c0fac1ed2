#pragma once

/// What entries pass on to an entry that cannot reach the platform: the rows
/// that they have read there. The revisions go with them, so that nothing that
/// comes this way replaces anything newer.

#include "LibGateway/GatewayBoard.h"

namespace primrose {

struct believed_rows
{
  std::optional<row_change<std::string>> mManifest;
  std::vector<row_change<std::string>> mEndpoints;

  bool operator==(const believed_rows&) const = default;
};

std::string
EncodeBeliefs(const believed_rows& aRows);
result<believed_rows>
DecodeBeliefs(const std::string& aBytes);

/// Serves this entry's rows to its peers and asks a peer for its own.
class peer_beliefs
{
public:
  using held = std::function<believed_rows()>;
  /// Nothing if the peer gave no answer that can be read.
  using received = std::function<void(const std::optional<believed_rows>&)>;

  peer_beliefs(event_loop& aLoop, const gateway_settings& aSettings);
  peer_beliefs(const peer_beliefs&) = delete;
  peer_beliefs& operator=(const peer_beliefs&) = delete;

  result<void> Open(held aHeld);
  /// Asks one peer; does nothing while a question is open.
  void Ask(const std::string& aHost, received aReceived);

private:
  event_loop& mLoop;
  const gateway_settings& mSettings;
  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<http_caller> mCaller;
  bool mAsking = false;
};

} // namespace primrose
