#pragma once

/// Checks whether an endpoint still accepts connections, without sending it a
/// request.

#include "LibGateway/EndpointConnectionPool.h"

namespace primrose {

enum class reachability : std::uint8_t
{
  Reached,
  Refused, ///< The host answered, but no process listens there.
  Silent,  ///< Nothing answered in time.
};

class reachability_check final : public channel_owner
{
public:
  using result_callback = std::function<void(reachability)>;

  /// Connects to the address and closes at once; `aOnResult` is called exactly
  /// once, unless the check is destroyed before, and may destroy it.
  reachability_check(event_loop& aLoop,
                     endpoint_connection_pool& aConnections,
                     const ip_address& aAddress,
                     result_callback aOnResult);
  ~reachability_check() override;
  reachability_check(const reachability_check&) = delete;
  reachability_check& operator=(const reachability_check&) = delete;

  void OnConnected(tcp_channel& aChannel) override;
  void OnInput(tcp_channel&) override {}
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  void Finish(reachability aResult);

  event_loop& mLoop;
  std::shared_ptr<tcp_channel> mChannel;
  result_callback mOnResult;
  timer_id mTimer = 0;
};

} // namespace primrose
