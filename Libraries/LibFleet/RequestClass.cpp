#include "LibFleet/RequestClass.h"

#include <algorithm>

namespace primrose {

organisation_key
OrganisationKey(std::string_view aName)
{
  return aName.empty() ? 0
                       : std::max<organisation_key>(
                           1, static_cast<organisation_key>(Hash(aName)));
}

slot_reserve
CombinedReserve(const slot_reserve& aOne, const slot_reserve& aOther)
{
  return { aOne.mShare + aOther.mShare,
           aOther.mShare > aOne.mShare ? aOther.mReason : aOne.mReason };
}

std::string_view
AdmissionReasonName(admission_reason aReason)
{
  switch (aReason) {
    case admission_reason::None:
      return "none";
    case admission_reason::NoFreeSlot:
      return "no_free_slot";
    case admission_reason::MoreUrgent:
      return "reserved_for_urgent";
    case admission_reason::OverShare:
      return "over_share";
    case admission_reason::AlreadyLate:
      return "reserved_for_timely";
    case admission_reason::CannotStartSoon:
      return "cannot_start_soon";
  }
  return "";
}

} // namespace primrose
