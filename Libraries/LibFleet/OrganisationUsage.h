#pragma once

/// What each organisation uses of the engines, and whether that exceeds its
/// fair share.

#include "LibFleet/EngineLedger.h"
#include "LibFleet/EngineTiming.h"
#include "LibFleet/RequestClass.h"

namespace primrose {

/// Engine time used per organisation, as exponential moving averages.
struct organisation_usage
{
  bool operator==(const organisation_usage&) const = default;
};

/// The slots that have to stay free when a request of this organisation is
/// admitted; none if the organisation is within its share.
slot_reserve
ShareReserve(const organisation_usage& aUsage,
             organisation_key aOrganisation,
             time_point aNow);

} // namespace primrose
