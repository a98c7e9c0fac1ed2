#include "LibFleet/UrgentRoom.h"

#include "LibFleet/PlacementCosts.h"
#include "LibFleet/RequestRank.h"

#include <algorithm>

namespace primrose {

namespace {

/// Free slots that are needed for each one that a more urgent request uses.
/// Bursts of urgent requests are two to three times the rate before them.
constexpr double kGrowth = 1.5;

/// Slots of the engine that an urgent request would be placed on, with this
/// prefill queued.
double
UsableSlots(const urgent_room& aRoom,
            const engine_candidate& aCandidate,
            const engine_timing& aTiming,
            double aPrefillMs)
{
  const double first = aCandidate.mBacklogMs + aPrefillMs +
                       kPassesToFirstEvent * aCandidate.mDecodePassMs;
  return first > aRoom.mPauseMs
           ? 0
           : std::max(0.0,
                      kPackedShare * aTiming.mSlots -
                        static_cast<double>(aCandidate.mRequests));
}

} // namespace

urgent_room
UrgentRoom(const std::vector<engine_candidate>& aCandidates,
           const engine_timing& aTiming,
           const placement_request& aRequest)
{
  urgent_room room;
  // A request whose rank is below its floor would otherwise be added to the
  // longest backlogs, where it delays others of its rank and is late itself.
  if (aRequest.mFloorRank.has_value()) {
    return room;
  }
  double used = 0;
  double worth = 0;
  for (const engine_candidate& one : aCandidates) {
    for (const decoding_stream& stream : one.mStreams) {
      if (stream.mRank < aRequest.mClass.mRank) {
        room.mPauseMs = used == 0
                          ? stream.mLongestPauseMs
                          : std::min(room.mPauseMs, stream.mLongestPauseMs);
        worth +=
          RankWeight(aRequest.mClass.mRank, stream.mRank) * stream.mWorth;
        ++used;
      }
    }
  }
  if (used == 0) {
    return room;
  }
  room.mNeededSlots = kGrowth * used;
  room.mLossPerSlot = kLostWhenLate * worth / used;
  for (const engine_candidate& one : aCandidates) {
    room.mFreeSlots += UsableSlots(room, one, aTiming, 0);
  }
  return room;
}

double
BlockedSlots(const urgent_room& aRoom,
             const engine_candidate& aCandidate,
             const engine_timing& aTiming,
             double aPrefillMs)
{
  return UsableSlots(aRoom, aCandidate, aTiming, 0) -
         UsableSlots(aRoom, aCandidate, aTiming, aPrefillMs);
}

double
UrgentRoomHarm(const urgent_room& aRoom, double aBlockedSlots)
{
  const auto missing = [&aRoom](double aFreeSlots) {
    return std::max(0.0, aRoom.mNeededSlots - aFreeSlots);
  };
  return aRoom.mLossPerSlot * (missing(aRoom.mFreeSlots - aBlockedSlots) -
                               missing(aRoom.mFreeSlots));
}

} // namespace primrose
