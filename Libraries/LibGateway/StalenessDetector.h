#pragma once

/// Watches whether peers know more of one belief than this entry. An entry
/// whose path to the store went silent gets no error; what its peers tell is
/// what shows that it is behind.

#include "LibGateway/GatewayState.h"

namespace primrose {

class staleness_detector
{
public:
  /// How new this entry's belief is; nothing while it has none at all, which is
  /// noticed without peers.
  using held = std::function<std::optional<std::uint64_t>()>;
  /// Called while peers know more, each time the patience is over.
  using behind = std::function<void(duration aPatience)>;

  /// `aName` stands in logs and metrics.
  staleness_detector(event_loop& aLoop,
                     gateway_state& aBoard,
                     std::string aName,
                     held aHeld,
                     behind aBehind);
  ~staleness_detector();
  staleness_detector(const staleness_detector&) = delete;
  staleness_detector& operator=(const staleness_detector&) = delete;

  /// The newest that the peers have told of that are there.
  void Told(std::uint64_t aNewest);

private:
  bool Behind() const;
  void Wait();
  void RecordCaughtUp();

  event_loop& mLoop;
  gateway_state& mBoard;
  std::string mName;
  held mHeld;
  behind mBehind;
  std::uint64_t mNewest = 0;
  std::uint64_t mVersionAtLastCheck = 0; ///< When the patience was last begun.
  unsigned mChecksWithoutProgress = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
