#pragma once

/// Registers this gateway in the platform's table of gateways and reads the
/// others from it once. Later changes of membership arrive by gossip.

#include "LibGossip/GatewayState.h"

namespace primrose {

class gateway_registry
{
public:
  /// Called with the hosts of all registered gateways, this one included.
  using loaded_callback =
    std::function<void(const std::vector<std::string>& aHosts)>;

  gateway_registry(event_loop& aLoop,
                   const gateway_settings& aSettings,
                   const store_adapter& aAdapter,
                   gateway_state& aBoard,
                   loaded_callback aOnLoaded);
  gateway_registry(const gateway_registry&) = delete;
  gateway_registry& operator=(const gateway_registry&) = delete;

  /// Writes this gateway's row and reads the table; retries each until it
  /// succeeds.
  void Register();

private:
  /// Reads the table from this key on, page by page.
  void LoadRows(const std::string& aFromKey);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  const store_adapter& mAdapter;
  gateway_state& mBoard;
  loaded_callback mOnLoaded;
  std::vector<std::string> mHosts;
  serial_http_client mCaller;
};

} // namespace primrose
