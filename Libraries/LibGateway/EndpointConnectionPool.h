#pragma once

/// Pool of keep-alive connections to endpoints. A connection serves one request
/// at a time and is reused until its idle timeout.

#include "LibGossip/LibGossip.h"

#include <deque>

namespace primrose {

/// Connecting within a region takes a few milliseconds. An endpoint that has
/// not accepted the connection by then is unresponsive or its connection
/// backlog is full.
inline constexpr duration kConnectTimeout = std::chrono::milliseconds(250);

class endpoint_connection_pool final : public channel_owner
{
public:
  explicit endpoint_connection_pool(event_loop& aLoop,
                                    const gateway_state& aState);
  ~endpoint_connection_pool() override;
  endpoint_connection_pool(const endpoint_connection_pool&) = delete;
  endpoint_connection_pool& operator=(const endpoint_connection_pool&) = delete;

  /// An idle connection to this instance of the endpoint; null if there is
  /// none.
  std::shared_ptr<tcp_channel> TakeIdle(const std::string& aId);
  /// A new connection, which is not yet established.
  std::shared_ptr<tcp_channel> Connect(const ip_address& aAddress);
  /// Returns a connection whose answer was complete to the pool.
  void PutIdle(const std::string& aId,
               std::shared_ptr<tcp_channel> aChannel,
               duration aIdleTimeout);
  /// Closes the idle connections to an endpoint that is leaving or gone.
  void CloseIdle(const std::string& aId);
  void CloseExpired();

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  struct idle_connection
  {
    std::shared_ptr<tcp_channel> mChannel;
    time_point mExpires{};
  };
  void CloseAndRemove(const tcp_channel& aChannel);
  /// Idle connections that this gateway may keep to one endpoint. An endpoint
  /// accepts a limited number of connections from all callers and resets those
  /// beyond it.
  std::size_t MaxIdleConnections(const std::string& aId) const;

  event_loop& mLoop;
  const gateway_state& mBoard;
  std::map<std::string, std::deque<idle_connection>> mIdle;
};

} // namespace primrose
