#include "LibFleet/OrganisationUsage.h"

namespace primrose {

slot_reserve
ShareReserve(const organisation_usage& /*aUsage*/,
             organisation_key /*aOrganisation*/,
             time_point /*aNow*/)
{
  return {};
}

} // namespace primrose
