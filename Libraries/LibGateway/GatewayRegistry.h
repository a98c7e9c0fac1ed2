#pragma once

/// The platform's table of entries: this one leaves its address there, and
/// learns once who else has. From then on entries tell each other of others.

#include "LibGateway/GatewayBoard.h"

namespace primrose {

class entry_roll
{
public:
  /// Gets the hosts of all entries that have a row, this one's included.
  using learnt = std::function<void(const std::vector<std::string>& aHosts)>;

  entry_roll(event_loop& aLoop,
             const gateway_settings& aSettings,
             const gateway_adapter& aAdapter,
             gateway_board& aBoard,
             learnt aLearnt);
  entry_roll(const entry_roll&) = delete;
  entry_roll& operator=(const entry_roll&) = delete;

  /// Writes the row and reads the table, again and again until both are done.
  void Register();

private:
  /// Reads the table from this key on, in as many answers as it takes.
  void Learn(const std::string& aFromKey);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  const gateway_adapter& mAdapter;
  gateway_board& mBoard;
  learnt mLearnt;
  std::vector<std::string> mHosts;
  http_caller mCaller;
};

} // namespace primrose
