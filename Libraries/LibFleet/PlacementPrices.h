#pragma once

/// What a place costs callers, in worth: of the request itself if it is late,
/// and of the streams whose pauses it stretches. Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// Passes between a prompt's reading and its first event at the caller: the
/// one in progress when it came, and the one that writes the event.
inline constexpr double kPassesToFirstEvent = 2;

/// Worth that is likely lost if the first event takes this long.
double
LateCost(double aFirstMs, double aObjectiveMs, double aWorth);

double
LateCost(double aFirstMs, const engine_work& aWork);

/// Worth of the streams whose pauses this reading would stretch.
double
PauseHarm(const engine_candidate& aCandidate, double aReadingMs);

/// Worth that a prompt which is still being read likely loses if that ends so
/// late, beyond what it loses as it is.
double
DelayHarm(const placed_reading& aReading, double aEndsMs);

/// The same for all that an engine reads, if it is given so much more. Of what
/// several engines read together, each counts its share.
double
ReadingHarm(const engine_candidate& aCandidate, double aReadingMs);

/// What writing a stream with tight pauses here costs beyond the moment: such
/// streams are to gather where no long prompts are read.
double
GatheringCost(const engine_candidate& aCandidate,
              const engine_timing& aTiming,
              const engine_work& aWork);

/// What a second of reading takes from requests that come next, by how much the
/// engines have to read. There is at least one candidate.
double
PriceOfSecond(const std::vector<engine_candidate>& aCandidates);

/// What parts of this length, one on each of so many engines, take from
/// requests that come while they are read, by the share of all slots that is
/// taken now.
double
HoldingHarm(double aSlotsTaken, double aPartMs, std::size_t aParts);

/// The share of the engines' slots that requests take. There is at least one
/// candidate.
double
SlotsTaken(const std::vector<engine_candidate>& aCandidates,
           const engine_timing& aTiming);

/// The mean worth of the placed requests of the same kind, that is, with the
/// same objective and allowed pause. Falls back to the worth of the request
/// itself if there are too few.
double
MeanWorthOfKind(const engine_ledger& aLedger, const engine_work& aWork);

/// How long after its caller asked a prompt may wait for a better place.
duration
MaxWait(const engine_work& aWork);

/// Compares what reading this prompt gains its caller with what it takes from
/// the callers of others.
/// Sets `mGain` and `mPrice`. Changes `Send` to `TurnAway` if the harm and the
/// price exceed the gain, which counts more for prompts whose worth is above
/// `aMeanWorth`; else to `Wait` if the harm comes close to the gain, until the
/// caller has waited for `MaxWait`. A prompt that has waited is not turned away.
void
Judge(engine_choice& aChoice,
      const engine_work& aWork,
      double aReadingMs,
      double aMeanWorth);

} // namespace primrose
