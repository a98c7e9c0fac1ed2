#pragma once

/// Ranks of requests: how urgent a request is compared with the others of its
/// service, and how much the harm to another request counts.

#include "LibFleet/Manifest.h"
#include "LibFleet/RequestClass.h"

namespace primrose {

/// The rank of a request to this service within 0 to `kMaxRank`, by
/// `request_urgency`. Returns 0 for all requests of a service whose streams
/// have one rank. `aOrganisation` may be null.
unsigned
EffectiveRank(const manifest_index& aManifest,
              const service& aService,
              const route& aRoute,
              const organisation* aOrganisation);

/// Weight of the harm that a request of rank `aOwn` does to one of rank
/// `aOther`: more than 1 if the other is more urgent, otherwise exactly 1. An
/// urgent request is not placed where less urgent ones lose more by it.
double
RankWeight(unsigned aOwn, unsigned aOther);

/// The priorities of the manifest that are not applied as stated, at most
/// `kMaxPriorityFaults`: those that could not be read, then those that are
/// clamped.
std::vector<priority_fault>
PriorityFaults(const manifest& aManifest);

} // namespace primrose
