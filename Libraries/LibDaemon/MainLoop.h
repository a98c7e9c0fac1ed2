#pragma once

/// One thread, one loop: GLib's main loop with the KJ event loop inside it.

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

  /// Runs until `Quit`; gives the exit code.
  int Run();
  void Quit(int aExitCode);
  /// Ends well after a moment in which the last answers can leave.
  void QuitAfterDelay();
  /// Called at SIGTERM and SIGINT; the second signal quits at once.
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

/// Logs the failures of tasks that nobody waits for.
class task_failure_logger final : public kj::TaskSet::ErrorHandler
{
public:
  void taskFailed(kj::Exception&& aException) override;
};

} // namespace primrose
