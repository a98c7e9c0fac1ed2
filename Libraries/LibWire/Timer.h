#pragma once

/// Timers as promises, on GLib's main loop.

#include "LibCore/LibCore.h"

#include <kj/async.h>
#include <kj/debug.h>

namespace primrose {

/// Resolves after `aDelay`; dropping the promise removes the timer.
kj::Promise<void>
Delay(duration aDelay);

/// Resolves as `aPromise` does. If `aTimeout` passes first, fails with a KJ
/// exception of type OVERLOADED and drops `aPromise`.
template<typename T>
kj::Promise<T>
WithTimeout(kj::Promise<T> aPromise, duration aTimeout)
{
  return aPromise.exclusiveJoin(Delay(aTimeout).then(
    []() -> kj::Promise<T> { return KJ_EXCEPTION(OVERLOADED, "timed out"); }));
}

} // namespace primrose
