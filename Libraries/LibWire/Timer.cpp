#include "LibWire/Timer.h"

#include <algorithm>
#include <glib.h>

namespace primrose {

namespace {

struct timer
{
  kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
  guint mSource = 0;

  timer() = default;
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  ~timer()
  {
    if (mSource != 0) {
      g_source_remove(mSource);
    }
  }

  static gboolean Fire(gpointer aSelf)
  {
    timer* const self = static_cast<timer*>(aSelf);
    self->mSource = 0;
    self->mFulfiller->fulfill();
    return G_SOURCE_REMOVE;
  }
};

} // namespace

kj::Promise<void>
Delay(duration aDelay)
{
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  kj::Own<timer> state = kj::heap<timer>();
  state->mFulfiller = kj::mv(pair.fulfiller);
  // Rounded up: if a timer fired too early, its owner would find that nothing
  // is due yet and set the timer again at once.
  const std::int64_t milliseconds =
    Milliseconds(aDelay + std::chrono::milliseconds(1) - duration(1));
  constexpr std::int64_t kMaxDelayMs = 86400000;
  state->mSource = g_timeout_add(
    static_cast<guint>(std::clamp<std::int64_t>(milliseconds, 0, kMaxDelayMs)),
    &timer::Fire,
    state.get());
  return pair.promise.attach(kj::mv(state));
}

} // namespace primrose
