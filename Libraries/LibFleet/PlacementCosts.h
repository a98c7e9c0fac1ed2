#pragma once

/// What a place costs callers, in worth: of the request itself if it is late,
/// and of the streams whose pauses it stretches. Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// Passes between a prompt's reading and its first event at the caller: the
/// one in progress when it came, and the one that writes the event.
inline constexpr double kPassesToFirstEvent = 2;

/// What a second of one engine is worth when all have much to read: about what
/// short prompts earn.
inline constexpr double kWorthOfBusyEngineSecond = 8;

/// Worth that is likely lost if the first event takes this long.
double
LatenessCost(double aFirstMs, double aObjectiveMs, double aWorth);

double
LatenessCost(double aFirstMs, const placement_request& aWork);

/// Worth of the streams whose pauses this reading would stretch.
double
PauseHarm(const engine_candidate& aCandidate, double aReadingMs);

/// Worth that a prompt which is still being read likely loses if that ends so
/// late, beyond what it loses as it is.
double
PrefillDelayHarm(const prefilling_prompt& aReading, double aEndsMs);

/// The same for all that an engine reads, if it is given so much more. Of what
/// several engines read together, each counts its share.
double
EnginePrefillDelayHarm(const engine_candidate& aCandidate, double aReadingMs);

/// What writing a stream with tight pauses here costs beyond the moment: such
/// streams are to gather where no long prompts are read.
double
PackingCost(const engine_candidate& aCandidate,
            const engine_timing& aTiming,
            const placement_request& aWork);

/// What parts of this length, one on each of so many engines, take from
/// requests that come while they are read, by the share of all slots that is
/// taken now.
double
FutureRequestHarm(double aSlotsTaken, double aPartMs, std::size_t aParts);

/// The share of the engines' slots that requests take. There is at least one
/// candidate.
double
SlotUtilisation(const std::vector<engine_candidate>& aCandidates,
                const engine_timing& aTiming);

} // namespace primrose
