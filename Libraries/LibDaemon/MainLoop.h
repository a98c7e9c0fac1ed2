#pragma once

/// The main loop of a single-threaded program: GLib's main loop, which also
/// drives the KJ event loop.

#include "LibWire/LibWire.h"

#include <functional>

namespace primrose {

class main_loop
{
public:
  main_loop();
  ~main_loop();
  main_loop(const main_loop&) = delete;
  main_loop& operator=(const main_loop&) = delete;

  /// Runs until `Quit` and returns its exit code.
  int Run();
  void Quit(int aExitCode);
  /// Quits with exit code 0 after a short delay, so that the last answers can
  /// still be sent.
  void QuitAfterDelay();
  /// Sets the handler for the first SIGTERM or SIGINT. A second signal quits at
  /// once with exit code 1. Without a handler, a signal quits with 0.
  void OnTerminate(std::function<void()> aHandler);
  kj::WaitScope& Scope() { return mPort.Scope(); }

private:
  static int Terminate(void* aSelf);
  static int OnQuitDelayElapsed(void* aSelf);

  glib_event_port mPort;
  GMainLoop* mLoop;
  std::function<void()> mTerminateHandler;
  unsigned mSignals[2] = {};
  int mExitCode = 0;
  bool mTerminating = false;
};

/// Logs exceptions of background tasks whose results are not awaited.
class task_failure_logger final : public kj::TaskSet::ErrorHandler
{
public:
  void taskFailed(kj::Exception&& aException) override;
};

} // namespace primrose
