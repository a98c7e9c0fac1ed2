#include "LibDaemon/MainLoop.h"

#include "LibObserve/LibObserve.h"

#include <csignal>
#include <glib-unix.h>

namespace primrose {

main_loop::main_loop()
  : mLoop(g_main_loop_new(nullptr, FALSE))
{
  // Writing to a connection that the peer closed must be an error of that
  // write, not the end of the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  mSignals[0] = g_unix_signal_add(SIGTERM, &Terminate, this);
  mSignals[1] = g_unix_signal_add(SIGINT, &Terminate, this);
}

main_loop::~main_loop()
{
  for (const unsigned source : mSignals) {
    g_source_remove(source);
  }
  g_main_loop_unref(mLoop);
}

int
main_loop::Run()
{
  g_main_loop_run(mLoop);
  return mExitCode;
}

void
main_loop::Quit(int aExitCode)
{
  mExitCode = aExitCode;
  g_main_loop_quit(mLoop);
}

void
main_loop::QuitAfterDelay()
{
  constexpr guint kQuitDelayMs = 500;
  g_timeout_add(kQuitDelayMs, &OnQuitDelayElapsed, this);
}

int
main_loop::OnQuitDelayElapsed(void* aSelf)
{
  static_cast<main_loop*>(aSelf)->Quit(0);
  return G_SOURCE_REMOVE;
}

void
main_loop::OnTerminate(std::function<void()> aHandler)
{
  mTerminateHandler = std::move(aHandler);
}

int
main_loop::Terminate(void* aSelf)
{
  main_loop* const self = static_cast<main_loop*>(aSelf);
  if (self->mTerminating || !self->mTerminateHandler) {
    self->Quit(self->mTerminating ? 1 : 0);
    return G_SOURCE_CONTINUE;
  }
  self->mTerminating = true;
  self->mTerminateHandler();
  return G_SOURCE_CONTINUE;
}

void
task_failure_logger::taskFailed(kj::Exception&& aException)
{
  Log(log_level::Warning,
      "task_failed",
      { { "why", aException.getDescription().cStr() } });
}

} // namespace primrose
