#pragma once

/// Lets requests wait while a gateway that has just started reads the tables
/// without which it can forward nothing.

#include "LibNet/LibNet.h"

#include <functional>
#include <vector>

namespace primrose {

class startup_gate
{
public:
  explicit startup_gate(event_loop& aLoop);
  ~startup_gate();
  startup_gate(const startup_gate&) = delete;
  startup_gate& operator=(const startup_gate&) = delete;

  /// Begins to hold requests back, until `Open` is called or the tables take
  /// too long.
  void Close();
  /// The tables were read, or they will not be read soon.
  void Open();
  /// Calls `aCallback` once the gate is open, at once if it is.
  void WhenOpen(std::function<void()> aCallback);

private:
  event_loop& mLoop;
  bool mClosed = false;
  std::vector<std::function<void()>> mWaiting;
  timer_id mTimer = 0;
};

} // namespace primrose
