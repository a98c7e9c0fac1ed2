#include "LibFleet/EndpointNotices.h"

namespace primrose {

bool
AcceptsRequests(const endpoint_notice& aNotice)
{
  return !aNotice.mLeaving;
}

} // namespace primrose
