#include "LibWire/GlibEventPort.h"

namespace primrose {

namespace {

/// Turns of the KJ loop before GLib's other sources get their chance; without
/// a bound a busy RPC connection would starve timers, which end requests.
constexpr unsigned kMaxTurnsPerDispatch = 64;

} // namespace

glib_event_port::glib_event_port()
  : mLoop(*this)
  , mScope(mLoop)
{
}

glib_event_port::~glib_event_port() noexcept(false)
{
  setRunnable(false);
}

bool
glib_event_port::wait()
{
  g_main_context_iteration(nullptr, TRUE);
  return false;
}

bool
glib_event_port::poll()
{
  g_main_context_iteration(nullptr, FALSE);
  return false;
}

void
glib_event_port::setRunnable(bool aRunnable)
{
  if (aRunnable == (mSource != nullptr)) {
    return;
  }
  if (aRunnable) {
    mSource = g_idle_source_new();
    g_source_set_priority(mSource, G_PRIORITY_DEFAULT);
    g_source_set_callback(mSource, &Turn, this, nullptr);
    g_source_attach(mSource, nullptr);
    return;
  }
  g_source_destroy(mSource);
  g_source_unref(mSource);
  mSource = nullptr;
}

gboolean
glib_event_port::Turn(gpointer aSelf)
{
  glib_event_port* const self = static_cast<glib_event_port*>(aSelf);
  GSource* const source = self->mSource;
  self->mLoop.run(kMaxTurnsPerDispatch);
  // The run may have removed this source and even installed a new one.
  return self->mSource == source ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

} // namespace primrose
