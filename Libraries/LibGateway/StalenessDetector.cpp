#include "LibGateway/StalenessDetector.h"

namespace primrose {

staleness_detector::staleness_detector(event_loop& aLoop,
                                       gateway_state& aBoard,
                                       std::string aName,
                                       held aHeld,
                                       behind aBehind)
  : mLoop(aLoop)
  , mBoard(aBoard)
  , mName(std::move(aName))
  , mHeld(std::move(aHeld))
  , mBehind(std::move(aBehind))
{
}

staleness_detector::~staleness_detector()
{
  mLoop.Cancel(mTimer);
}

bool
staleness_detector::Behind() const
{
  const std::optional<std::uint64_t> own = mHeld();
  return own.has_value() && *own < mNewest;
}

void
staleness_detector::Told(std::uint64_t aNewest)
{
  mNewest = aNewest;
  if (!Behind()) {
    RecordCaughtUp();
    return;
  }
  std::optional<time_point>& since = mBoard.mPeersAheadSince[mName];
  since = since.value_or(mLoop.Now());
  if (mTimer == 0) {
    Wait();
  }
}

void
staleness_detector::Wait()
{
  const std::uint64_t own = mHeld().value_or(0);
  mChecksWithoutProgress =
    own == mVersionAtLastCheck ? mChecksWithoutProgress : 0;
  mVersionAtLastCheck = own;
  // What a peer has just been told is on its way here too; only what does not
  // come shows that this entry's own question has gone silent.
  const duration patience = CatchUpTimeout(mChecksWithoutProgress);
  mTimer = mLoop.After(patience, [this, patience]() {
    mTimer = 0;
    if (!Behind()) {
      RecordCaughtUp();
      return;
    }
    ++mChecksWithoutProgress;
    mBehind(patience);
    Wait();
  });
}

void
staleness_detector::RecordCaughtUp()
{
  std::optional<time_point>& since = mBoard.mPeersAheadSince[mName];
  // What a peer was told a moment earlier is not worth a line.
  if (since.has_value() && mLoop.Now() - *since > CatchUpTimeout(0)) {
    Log(log_level::Warning,
        "belief_was_behind",
        { { "belief", mName },
          { "held", mHeld().value_or(0) },
          { "behind_ms", Milliseconds(mLoop.Now() - *since) } });
  }
  since.reset();
}

} // namespace primrose
