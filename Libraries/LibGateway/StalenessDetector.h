#pragma once

/// Watches whether peers know more of one belief than this entry. An entry
/// whose path to the store went silent gets no error; what its peers tell is
/// what shows that it is behind.

#include "LibGateway/GatewayBoard.h"

namespace primrose {

class belief_watch
{
public:
  /// How new this entry's belief is; nothing while it has none at all, which is
  /// noticed without peers.
  using held = std::function<std::optional<std::uint64_t>()>;
  /// Called while peers know more, each time the patience is over.
  using behind = std::function<void(duration aPatience)>;

  /// `aName` stands in logs and metrics.
  belief_watch(event_loop& aLoop,
               gateway_board& aBoard,
               std::string aName,
               held aHeld,
               behind aBehind);
  ~belief_watch();
  belief_watch(const belief_watch&) = delete;
  belief_watch& operator=(const belief_watch&) = delete;

  /// The newest that the peers have told of that are there.
  void Told(std::uint64_t aNewest);

private:
  bool Behind() const;
  void Wait();
  void NoteLevel();

  event_loop& mLoop;
  gateway_board& mBoard;
  std::string mName;
  held mHeld;
  behind mBehind;
  std::uint64_t mNewest = 0;
  std::uint64_t mHeldBefore = 0; ///< When the patience was last begun.
  unsigned mAskedInVain = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
