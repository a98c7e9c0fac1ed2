#include "LibFleet/PlacementPace.h"

#include <algorithm>

namespace primrose {

namespace {

/// Network latency and variation of passes, allowed for in a pause.
constexpr double kPauseMarginMs = 30;
/// Share of a stream's worth that is lost if each of its pauses is too long: as
/// much as for a late first event.
constexpr double kLostByPauses = 0.75;
/// Share of a stream's worth for each time by which its answer takes longer. A
/// slot is occupied for as much longer. It keeps an equal choice on engines as
/// declared, and is less than the cost of crowding one of those with two more
/// requests.
constexpr double kLongerAnswerPenalty = 0.1;
/// Upper bound of the same, below the cost of an engine without a free slot.
constexpr double kMaxLongerAnswerCost = 0.2;

} // namespace

double
SlowEngineCost(const engine_candidate& aCandidate,
               const placement_request& aRequest)
{
  if (aCandidate.mPace <= 1) {
    return 0;
  }
  const double allowed = ToMs(aRequest.mLongestPause);
  const double pause = aCandidate.mDecodePassMs + kPauseMarginMs;
  const double asDeclared =
    aCandidate.mDecodePassMs / aCandidate.mPace + kPauseMarginMs;
  const bool tooSlow = pause > allowed && asDeclared <= allowed;
  const double longer = std::min(kLongerAnswerPenalty * (aCandidate.mPace - 1),
                                 kMaxLongerAnswerCost);
  return aRequest.mWorth * (longer + (tooSlow ? kLostByPauses : 0));
}

} // namespace primrose
