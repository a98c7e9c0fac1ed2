#pragma once

/// Ranks of requests: how urgent a request is compared with the others of its
/// service, and what less urgent requests leave to more urgent ones.

#include "LibFleet/Manifest.h"
#include "LibFleet/RequestClass.h"

namespace primrose {

/// The rank of a request to this service: its organisation's, or else its
/// route's, within 0 to `kMaxRank`. Returns 0 for all requests of a service
/// whose streams have one rank. `aOrganisation` may be null.
unsigned
EffectiveRank(const manifest_index& aManifest,
              const service& aService,
              const route& aRoute,
              const organisation* aOrganisation);

} // namespace primrose
