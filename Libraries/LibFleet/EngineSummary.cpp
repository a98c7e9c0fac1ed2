#include "LibFleet/EngineSummary.h"

namespace primrose {

namespace {

constexpr double kMsPerSecond = 1e3;

} // namespace

known_endpoint*
FindByKey(endpoint_registry& aRegistry, engine_key aKey)
{
  for (auto& [id, known] : aRegistry.mEndpoints) {
    if (EngineKey(id) == aKey) {
      return &known;
    }
  }
  return nullptr;
}

engine_summary
SummariseEngine(const engine_ledger& aLedger,
                engine_key aEngine,
                time_point aNow)
{
  const engine_load& load = LoadOf(aLedger, aEngine);
  engine_summary summary;
  summary.mBacklogMs = BacklogMs(load, aNow);
  summary.mDecoding = load.mDecoding.size();
  for (const placement_key key : load.mPrefilling) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed != aLedger.mPlacements.end() &&
        placed->second.mPrefillEndsAt > aNow) {
      ++summary.mPrefilling;
    }
  }
  summary.mPace = load.mPace;
  summary.mTokens = load.mTokens;
  if (load.mLastPart.has_value()) {
    summary.mLastPartMs = load.mLastPart->mPrefillMs;
    summary.mLastPartAge = aNow - load.mLastPart->mPlacedAt;
  }
  if (load.mLongestPart.has_value()) {
    summary.mLongestPartMs = load.mLongestPart->mPrefillMs;
    summary.mLongestPartAge = aNow - load.mLongestPart->mPlacedAt;
  }
  if (load.mLastRemoved.has_value()) {
    summary.mRemovalText = RemovalText(load.mLastRemoved->mWhy);
    summary.mRemovalAge = aNow - load.mLastRemoved->mAt;
  }
  return summary;
}

std::optional<busiest_engine>
BusiestEngine(const engine_ledger& aLedger,
              placement_key aPlacement,
              time_point aNow)
{
  const auto placed = aLedger.mPlacements.find(aPlacement);
  if (placed == aLedger.mPlacements.end()) {
    return std::nullopt;
  }
  std::optional<busiest_engine> busiest;
  for (const engine_key engine : placed->second.mEngines) {
    const engine_load& load = LoadOf(aLedger, engine);
    const duration remaining =
      FromSeconds(load.mPace * BacklogMs(load, aNow) / kMsPerSecond);
    if (!busiest.has_value() || remaining > busiest->mRemaining) {
      busiest = { engine, remaining };
    }
  }
  return busiest;
}

} // namespace primrose
