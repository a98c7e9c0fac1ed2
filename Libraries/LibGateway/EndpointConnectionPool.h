#pragma once

/// Kept connections to endpoints: each serves one request at a time and is
/// used again while the endpoint keeps it.

#include "LibGateway/GatewayState.h"

#include <deque>

namespace primrose {

/// A connection within a region takes a few milliseconds; an endpoint that has
/// not answered by now is dark or its queue of connections is full.
inline constexpr duration kConnectTimeout = std::chrono::milliseconds(250);

class endpoint_connection_pool final : public channel_owner
{
public:
  explicit endpoint_connection_pool(event_loop& aLoop,
                                    const gateway_state& aBoard);
  ~endpoint_connection_pool() override;
  endpoint_connection_pool(const endpoint_connection_pool&) = delete;
  endpoint_connection_pool& operator=(const endpoint_connection_pool&) = delete;

  /// An idle connection to this start of the endpoint, or null.
  std::shared_ptr<tcp_channel> TakeIdle(const std::string& aId);
  /// A new connection, which is still to be made.
  std::shared_ptr<tcp_channel> Connect(const ip_address& aAddress);
  /// Gives back a connection whose answer was whole, to be kept for a while.
  void Keep(const std::string& aId,
            std::shared_ptr<tcp_channel> aChannel,
            duration aIdleTimeout);
  /// Closes the idle connections to an endpoint that is leaving or gone.
  void CloseIdle(const std::string& aId);
  void CloseExpired();

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  struct kept
  {
    std::shared_ptr<tcp_channel> mChannel;
    time_point mUntil{};
  };
  void Drop(const tcp_channel& aChannel);
  /// Idle connections that this entry may keep to one endpoint: an endpoint
  /// takes so many of all callers, and resets those beyond.
  std::size_t MaxIdleConnections(const std::string& aId) const;

  event_loop& mLoop;
  const gateway_state& mBoard;
  std::map<std::string, std::deque<kept>> mIdle;
};

} // namespace primrose
