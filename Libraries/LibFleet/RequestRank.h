#pragma once

/// Ranks of requests: how urgent a request is compared with the others of its
/// service, and how much the harm to another request counts.

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

/// Weight of the harm that a request of rank `aOwn` does to one of rank
/// `aOther`: exactly 1 for equal ranks, more if the other is more urgent, less
/// if it is less urgent.
double
RankWeight(unsigned aOwn, unsigned aOther);

/// The priorities of the manifest that are not applied as stated, at most
/// `kMaxPriorityFaults`: those that could not be read, then those that are
/// clamped.
std::vector<priority_fault>
PriorityFaults(const manifest& aManifest);

} // namespace primrose
