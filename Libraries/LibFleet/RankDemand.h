#pragma once

/// How often the requests of each rank are admitted: the floor below which a
/// rank is not refused, and the slots that less urgent requests leave to more
/// urgent ones.

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/EnginePlacement.h"

#include <array>

namespace primrose {

/// Time constant of the averages, and the time for which the requests of a rank
/// are taken to continue. A surge of a few seconds counts in full, and one that
/// ended half a minute ago for a twentieth.
inline constexpr duration kRankWindow = std::chrono::seconds(10);

/// A rank is below its floor if the admitted share of the engine time that it
/// requests is less than this part of the admitted share of all requests.
/// Requirement: its served share is not below 0.25 of that of all requests. The
/// rest is a margin: a rank of which every request is refused but for the floor
/// is admitted 0.30 of the time by a gateway with few requests of it, and some
/// of the admitted requests fail.
inline constexpr double kRankFloor = 0.35;

/// Requests of one rank and their engine time, as sums that decay
/// exponentially.
struct rank_demand
{
  double mRequestedMs = 0;
  double mAdmittedMs = 0;
  double mRequests = 0;
  double mAdmitted = 0; ///< Of the requests.
  time_point mAt{};     ///< Of the last request.

  bool operator==(const rank_demand&) const = default;
};

/// The requests of this gateway's own callers to one service.
struct service_demand
{
  std::array<rank_demand, kMaxRank + 1> mRanks{};
  unsigned mDecisions = 0; ///< Of all ranks, up to the number that is needed.

  bool operator==(const service_demand&) const = default;
};

/// Engine time that a request takes: its prefill, and its decode time divided
/// by the slots that share it.
double
EngineTimeMs(const engine_timing& aTiming, const placement_request& aRequest);

/// Counts the decision on a request.
void
RecordDecision(service_demand& aDemand,
               unsigned aRank,
               double aEngineTimeMs,
               bool aAdmitted,
               time_point aNow);

/// True if a request of this rank is to be treated as of the most urgent rank.
/// False until a few requests have been decided.
bool
IsBelowFloor(const service_demand& aDemand, unsigned aRank, time_point aNow);

/// The slots that a request of this rank leaves free, in proportion to the more
/// urgent requests that are in progress on the service's preferred engines.
/// Those of the organisations `aExcept` do not count: an organisation that is
/// over its share would otherwise take the slots of the others by its rank.
slot_reserve
RankReserve(const endpoint_registry& aRegistry,
            const engine_ledger& aLedger,
            const endpoint_scope& aScope,
            unsigned aSlotsOfEngine,
            unsigned aRank,
            const std::vector<organisation_key>& aExcept);

} // namespace primrose
