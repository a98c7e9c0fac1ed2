#include "LibGossip/StalenessDetector.h"

namespace primrose {

staleness_detector::staleness_detector(event_loop& aLoop,
                                       gateway_state& aBoard,
                                       std::string aName,
                                       local_version aLocalVersion,
                                       stale_callback aOnStale)
  : mLoop(aLoop)
  , mBoard(aBoard)
  , mName(std::move(aName))
  , mLocalVersion(std::move(aLocalVersion))
  , mOnStale(std::move(aOnStale))
{
}

staleness_detector::~staleness_detector()
{
  mLoop.Cancel(mTimer);
}

bool
staleness_detector::IsStale() const
{
  const std::optional<std::uint64_t> version = mLocalVersion();
  return version.has_value() && *version < mNewestPeerVersion;
}

void
staleness_detector::SetNewestPeerVersion(std::uint64_t aVersion)
{
  mNewestPeerVersion = aVersion;
  if (!IsStale()) {
    RecordCaughtUp();
    return;
  }
  std::optional<time_point>& since = mBoard.mPeersAheadSince[mName];
  since = since.value_or(mLoop.Now());
  if (mTimer == 0) {
    ScheduleCheck();
  }
}

void
staleness_detector::ScheduleCheck()
{
  const std::uint64_t version = mLocalVersion().value_or(0);
  mChecksWithoutProgress =
    version == mVersionAtLastCheck ? mChecksWithoutProgress : 0;
  mVersionAtLastCheck = version;
  // A change that a peer has just received from the store usually arrives here
  // as well. Only if it does not arrive in time, this gateway's own request
  // to the store has probably been lost.
  const duration wait = CatchUpTimeout(mChecksWithoutProgress);
  mTimer = mLoop.After(wait, [this, wait]() {
    mTimer = 0;
    if (!IsStale()) {
      RecordCaughtUp();
      return;
    }
    ++mChecksWithoutProgress;
    mOnStale(wait);
    ScheduleCheck();
  });
}

void
staleness_detector::RecordCaughtUp()
{
  std::optional<time_point>& since = mBoard.mPeersAheadSince[mName];
  // A peer receiving a change slightly earlier is normal and not logged.
  if (since.has_value() && mLoop.Now() - *since > CatchUpTimeout(0)) {
    Log(log_level::Warning,
        "belief_was_behind",
        { { "belief", mName },
          { "held", mLocalVersion().value_or(0) },
          { "behind_ms", Milliseconds(mLoop.Now() - *since) } });
  }
  since.reset();
}

} // namespace primrose
