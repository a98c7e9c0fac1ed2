#pragma once

/// Detects that this gateway's copy of a store table is older than the copies
/// of its peers. A gateway that loses its network path to the store sees no
/// error; the versions that peers report by gossip show that its copy is stale.

#include "LibGossip/GatewayState.h"

namespace primrose {

class staleness_detector
{
public:
  /// Returns the version of the local copy; no value while there is no copy,
  /// since that is handled without peers.
  using local_version = std::function<std::optional<std::uint64_t>()>;
  /// Called each time the copy is found to be still stale after a waiting time.
  using stale_callback = std::function<void(duration aWaited)>;

  /// `aName` is used in logs and metrics.
  staleness_detector(event_loop& aLoop,
                     gateway_state& aBoard,
                     std::string aName,
                     local_version aLocalVersion,
                     stale_callback aOnStale);
  ~staleness_detector();
  staleness_detector(const staleness_detector&) = delete;
  staleness_detector& operator=(const staleness_detector&) = delete;

  /// Sets the newest version that any current peer has reported.
  void SetNewestPeerVersion(std::uint64_t aVersion);

private:
  bool IsStale() const;
  void ScheduleCheck();
  void RecordCaughtUp();

  event_loop& mLoop;
  gateway_state& mBoard;
  std::string mName;
  local_version mLocalVersion;
  stale_callback mOnStale;
  std::uint64_t mNewestPeerVersion = 0;
  std::uint64_t mVersionAtLastCheck = 0; ///< When the timer was last set.
  unsigned mChecksWithoutProgress = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
