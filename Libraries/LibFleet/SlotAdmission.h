#pragma once

/// Admission by free slots: whether an engine can begin a prompt now, and if
/// not, when one like it would be admitted. Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// Decides whether a request is admitted by the slots that are free on the
/// candidates. Requires at least one candidate. Admits every request that sets
/// neither `mSlotReserve` nor `mAwaitsRoom`.
slot_refusal
DecideSlotAdmission(const std::vector<engine_candidate>& aCandidates,
                    const engine_timing& aTiming,
                    const placement_request& aRequest);

/// The refusal of a request because no slot is free, whatever the candidates'
/// loads are known to be.
slot_refusal
RefuseForSlots(const std::vector<engine_candidate>& aCandidates,
               const engine_timing& aTiming,
               const placement_request& aRequest);

} // namespace primrose
