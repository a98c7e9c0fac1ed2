#pragma once

/// What each organisation uses of the engines, computed from the placements
/// that a gateway knows.
///
/// Use is engine time: the prefill time of all parts of a prompt, and the
/// decode time of its answer divided by the slots of the engine. Amounts are
/// exponential moving averages over `kUsageWindow`. They are stored relative to
/// a reference time and grow by weight instead of decaying, so that a placement
/// updates one organisation only.
///
/// Memory is bounded: at most `kMaxTrackedOrganisations` are counted by name
/// (space-saving: a new one replaces the one with the least use). What an
/// organisation used before it was tracked belongs to the remainder. The use of
/// a tracked organisation is therefore never overestimated, and is
/// underestimated by at most 1 / `kMaxTrackedOrganisations` of the use of all.

#include "LibFleet/EngineLedger.h"
#include "LibFleet/EngineTiming.h"
#include "LibFleet/RequestClass.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Time constant of the averages. An organisation that suddenly sends many
/// short requests has to be known before its first requests, which run for 1.5
/// to 2 s, have taken all slots.
inline constexpr duration kUsageWindow = std::chrono::seconds(2);

/// With 2,000 organisations whose use falls with their place as 1/k^1.2, the
/// first 128 make up four fifths of the use. Tracking takes 5 KB.
inline constexpr std::size_t kMaxTrackedOrganisations = 128;

/// Amounts of work that has been placed, or the same for each second.
struct work_amounts
{
  double mEngineMs = 0; ///< Engine time.
  double mRequests = 0;
  double mSlotMs = 0; ///< Time for which slots are held.

  bool operator==(const work_amounts&) const = default;
};

struct tracked_organisation
{
  organisation_key mOrganisation = 0;
  /// Upper bound of the engine time: includes what the organisation may have
  /// used before it was tracked. Determines which organisation is replaced.
  double mMaxEngineMs = 0;
  work_amounts mSinceTracked;

  bool operator==(const tracked_organisation&) const = default;
};

/// What the use of an engine is computed from.
struct engine_capacity
{
  double mSlots = 1;
  double mDecodeMs = 0; ///< Duration of a typical answer.

  bool operator==(const engine_capacity&) const = default;
};

struct organisation_usage
{
  std::vector<tracked_organisation> mTracked;
  work_amounts mTotal;     ///< Of all organisations, also untracked ones.
  time_point mReference{}; ///< Amounts are relative to this time.
  double mEngines = 0;     ///< Engines whose placements are known.
  double mSlots = 0;       ///< Slots of these engines together.
  /// Requests in flight there. They show contention also where engines are
  /// slower than declared, so that less work than usual fills their slots.
  double mInFlight = 0;
  std::unordered_map<engine_key, engine_capacity> mCapacities;
  /// Of organisations whose weight is not 1.
  std::unordered_map<organisation_key, double> mWeights;

  bool operator==(const organisation_usage&) const = default;
};

/// The capacity of an engine with this timing, with half of its slots in use.
engine_capacity
CapacityOf(const engine_timing& aTiming);

/// Sets the weights of the organisations with these names.
void
SetOrganisationWeights(organisation_usage& aUsage,
                       const std::map<std::string, double>& aWeights);

/// Removes the engines, before `AddEngineCapacity` adds the current ones.
void
ClearEngineCapacities(organisation_usage& aUsage);

/// Adds an engine. `aIsKnown`: this gateway receives all placements on it.
void
AddEngineCapacity(organisation_usage& aUsage,
                  engine_key aEngine,
                  const engine_capacity& aCapacity,
                  bool aIsKnown);

/// Counts a placement from the time at which its request was received, so that
/// a placement which is announced late counts for what is left of it.
void
AddUse(organisation_usage& aUsage, const placement& aPlaced, time_point aNow);

/// Returns the use of a placement that ended before its prefill.
void
ReturnUse(organisation_usage& aUsage,
          const placement& aPlaced,
          time_point aNow);

/// Factor from the stored amounts to amounts for each second at `aNow`.
double
PerSecondFactor(const organisation_usage& aUsage, time_point aNow);

/// The tracked organisation; null if this one is not tracked.
const tracked_organisation*
FindTracked(const organisation_usage& aUsage, organisation_key aOrganisation);

/// Engine time that the organisation uses in each second, in milliseconds, as
/// far as it is known.
double
EngineMsPerSecond(const organisation_usage& aUsage,
                  organisation_key aOrganisation,
                  time_point aNow);

} // namespace primrose
