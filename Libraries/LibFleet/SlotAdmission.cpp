#include "LibFleet/SlotAdmission.h"

namespace primrose {

slot_refusal
DecideSlotAdmission(const std::vector<engine_candidate>& /*aCandidates*/,
                    const engine_timing& /*aTiming*/,
                    const placement_request& /*aRequest*/)
{
  return {};
}

} // namespace primrose
