#include "LibGateway/StartupGate.h"

#include <utility>

namespace primrose {

namespace {

/// Longest time for which requests wait. Callers of short prompts wait about as
/// long for an answer that is on time.
constexpr duration kMaxWait = std::chrono::milliseconds(1000);

} // namespace

startup_gate::startup_gate(event_loop& aLoop)
  : mLoop(aLoop)
{
}

startup_gate::~startup_gate()
{
  mLoop.Cancel(mTimer);
}

void
startup_gate::Close()
{
  mClosed = true;
  mTimer = mLoop.After(kMaxWait, [this]() {
    mTimer = 0;
    Open();
  });
}

void
startup_gate::Open()
{
  mClosed = false;
  mLoop.Cancel(mTimer);
  mTimer = 0;
  for (const std::function<void()>& callback : std::exchange(mWaiting, {})) {
    callback();
  }
}

void
startup_gate::WhenOpen(std::function<void()> aCallback)
{
  if (mClosed) {
    mWaiting.push_back(std::move(aCallback));
  } else {
    aCallback();
  }
}

} // namespace primrose
