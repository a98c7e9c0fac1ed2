#pragma once

/// What the ledger knows of an engine that does not respond. The log line of
/// such an engine has it, so that prefill that the ledger does not know,
/// prefill that it takes for done and a dark engine can be told apart.

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"

namespace primrose {

/// The endpoint that peers identify by this key; null if it is not listed here.
known_endpoint*
FindByKey(endpoint_registry& aRegistry, engine_key aKey);

struct engine_summary
{
  double mBacklogMs = 0;       ///< See `BacklogMs`.
  std::size_t mDecoding = 0;   ///< Placements that decode there.
  std::size_t mPrefilling = 0; ///< Placements that prefill there.
  double mPace = 1;
  double mTokens = 0;     ///< Memory used by its placements.
  double mLastPartMs = 0; ///< Of the last placement; 0: none.
  duration mLastPartAge{};
  double mLongestPartMs = 0; ///< See `engine_load::mLongestPart`.
  duration mLongestPartAge{};
  std::string_view mRemovalText = "none"; ///< Why the last one was removed.
  duration mRemovalAge{};

  bool operator==(const engine_summary&) const = default;
};

engine_summary
SummariseEngine(const engine_ledger& aLedger,
                engine_key aEngine,
                time_point aNow);

/// The one of a placement's engines with the longest remaining prefill.
struct busiest_engine
{
  engine_key mEngine = 0;
  duration mRemaining{}; ///< At the engine's pace.

  bool operator==(const busiest_engine&) const = default;
};

/// No value if the placement is not in the ledger.
std::optional<busiest_engine>
BusiestEngine(const engine_ledger& aLedger,
              placement_key aPlacement,
              time_point aNow);

} // namespace primrose
