#pragma once

/// Runs a KJ event loop inside GLib's default main context, in one thread. An
/// idle source is installed exactly while the KJ loop has events to run.

#include <kj/async.h>

#include <glib.h>

namespace primrose {

class glib_event_port final : public kj::EventPort
{
public:
  glib_event_port();
  ~glib_event_port() noexcept(false);
  glib_event_port(const glib_event_port&) = delete;
  glib_event_port& operator=(const glib_event_port&) = delete;

  bool wait() override;
  bool poll() override;
  void setRunnable(bool aRunnable) override;

  kj::EventLoop& Loop() { return mLoop; }
  kj::WaitScope& Scope() { return mScope; }

private:
  static gboolean Turn(gpointer aSelf);

  GSource* mSource = nullptr;
  kj::EventLoop mLoop;
  kj::WaitScope mScope;
};

} // namespace primrose
