#pragma once

/// The platform's table of entries: this one leaves its address there, and
/// learns once who else has. From then on entries tell each other of others.

#include "LibGateway/GatewayState.h"

namespace primrose {

class gateway_registry
{
public:
  /// Gets the hosts of all entries that have a row, this one's included.
  using learnt = std::function<void(const std::vector<std::string>& aHosts)>;

  gateway_registry(event_loop& aLoop,
                   const gateway_settings& aSettings,
                   const gateway_adapter& aAdapter,
                   gateway_state& aBoard,
                   learnt aLearnt);
  gateway_registry(const gateway_registry&) = delete;
  gateway_registry& operator=(const gateway_registry&) = delete;

  /// Writes the row and reads the table, again and again until both are done.
  void Register();

private:
  /// Reads the table from this key on, in as many answers as it takes.
  void Learn(const std::string& aFromKey);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  learnt mOnLoaded;
  std::vector<std::string> mHosts;
  serial_http_client mCaller;
};

} // namespace primrose
