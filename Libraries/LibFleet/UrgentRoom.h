#pragma once

/// The engines that less urgent prompts leave to more urgent requests: free
/// slots on engines that are not busy with long prefills. Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// The slots that are free for requests more urgent than a given rank.
struct urgent_room
{
  double mFreeSlots = 0;
  double mNeededSlots = 0; ///< 0 if no more urgent request is known.
  double mPauseMs = 0;     ///< Shortest allowed pause of those requests.
  double mLossPerSlot = 0; ///< Weighted worth that a missing slot costs.

  bool operator==(const urgent_room&) const = default;
};

/// The room for requests that are more urgent than `aRequest`, as far as the
/// candidates decode such requests.
urgent_room
UrgentRoom(const std::vector<engine_candidate>& aCandidates,
           const engine_timing& aTiming,
           const placement_request& aRequest);

/// Free slots of the engine that a prefill of this length takes from more
/// urgent requests, because they would wait too long there.
double
BlockedSlots(const urgent_room& aRoom,
             const engine_candidate& aCandidate,
             const engine_timing& aTiming,
             double aPrefillMs);

/// Weighted worth that more urgent requests are expected to lose if so many of
/// the slots in their room are taken.
double
UrgentRoomHarm(const urgent_room& aRoom, double aBlockedSlots);

} // namespace primrose
