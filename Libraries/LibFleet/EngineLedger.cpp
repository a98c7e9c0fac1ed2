#include "LibFleet/EngineLedger.h"

#include <algorithm>

namespace primrose {

namespace {

/// Share of an engine's time that reading gets while requests write there: a
/// pass reads all that waits and then writes for about 50 ms.
constexpr double kReadingShareBesideWriters = 0.75;

double
ElapsedMs(time_point aFrom, time_point aTo)
{
  constexpr double kMsInSecond = 1e3;
  return std::max(0.0, Seconds(aTo - aFrom) * kMsInSecond);
}

/// The writing part of a pass with a usual number of writers; what is read in
/// one pass comes on top of it.
constexpr double kUsualPassMs = 50;
/// What an engine said of itself counts for this long: a fifth of the life of a
/// short stream, after which its own sums know more.
constexpr duration kSaidHolds = std::chrono::milliseconds(400);
constexpr double kMsPerSecond = 1e3;

/// Marks the streams that a backlog makes pause for longer than they may.
void
MarkStretched(engine_ledger& aLedger, const engine_load& aLoad)
{
  for (const placement_key key : aLoad.mDecoding) {
    const auto found = aLedger.mPlacements.find(key);
    if (found != aLedger.mPlacements.end() &&
        Seconds(found->second.mLongestPause) * kMsPerSecond <
          aLoad.mBacklogMs + kUsualPassMs) {
      found->second.mPauseExceeded = true;
    }
  }
}

void
AddBacklog(engine_load& aLoad, double aMs, time_point aNow)
{
  aLoad.mBacklogMs = std::max(0.0, BacklogMs(aLoad, aNow) + aMs);
  aLoad.mBacklogAt = aNow;
}

/// An engine reads for others what came last first, and all that waits in one
/// pass where it writes: whatever it still reads ends after the new part.
void
DelayReadings(engine_ledger& aLedger,
              engine_load& aLoad,
              placement_key aNew,
              time_point aNow)
{
  std::erase_if(aLoad.mPrefilling, [&aLedger, aNow](placement_key aKey) {
    const auto found = aLedger.mPlacements.find(aKey);
    return found == aLedger.mPlacements.end() ||
           found->second.mPrefillEndsAt <= aNow;
  });
  aLoad.mPrefilling.push_back(aNew);
  const time_point end = aNow + FromSeconds(aLoad.mBacklogMs / kMsPerSecond);
  for (const placement_key key : aLoad.mPrefilling) {
    placement& reading = aLedger.mPlacements.at(key);
    reading.mPrefillEndsAt = std::max(reading.mPrefillEndsAt, end);
  }
}

template<typename Condition>
void
ForgetWhere(engine_ledger& aLedger, time_point aNow, Condition&& aCondition)
{
  std::vector<placement_key> forgotten;
  for (const auto& [key, placed] : aLedger.mPlacements) {
    if (aCondition(placed)) {
      forgotten.push_back(key);
    }
  }
  for (const placement_key key : forgotten) {
    RemovePlacement(aLedger, key, placement_end::Read, aNow);
  }
}

} // namespace

engine_key
EngineKey(std::string_view aEndpointId)
{
  return static_cast<engine_key>(Hash(aEndpointId));
}

placement_key
PlacementKey(std::uint64_t aOwner, std::uint32_t aSequence)
{
  constexpr unsigned kHalf = 32;
  return (aOwner << kHalf) | aSequence;
}

std::uint32_t
SequenceOf(placement_key aKey)
{
  return static_cast<std::uint32_t>(aKey);
}

double
BacklogMs(const engine_load& aLoad, time_point aNow)
{
  const double rate = aLoad.mDecoding.empty() ? 1 : kReadingShareBesideWriters;
  return std::max(0.0,
                  aLoad.mBacklogMs - rate * ElapsedMs(aLoad.mBacklogAt, aNow));
}

void
SetReportedRequests(engine_ledger& aLedger,
                    engine_key aEngine,
                    std::size_t aRequests,
                    time_point aNow)
{
  engine_load& load = aLedger.mEngines[aEngine];
  load.mReportedRequestCount = aRequests;
  load.mReportedAt = aNow;
}

std::size_t
RequestsOn(const engine_load& aLoad, time_point aNow)
{
  const bool fresh = aNow - aLoad.mReportedAt < kSaidHolds;
  return std::max(aLoad.mDecoding.size(),
                  fresh ? aLoad.mReportedRequestCount : 0);
}

void
AddPlacement(engine_ledger& aLedger, const placement& aPlaced, time_point aNow)
{
  if (aPlaced.mEngines.empty() ||
      !aLedger.mPlacements.emplace(aPlaced.mKey, aPlaced).second) {
    return;
  }
  for (const engine_key engine : aPlaced.mEngines) {
    engine_load& load = aLedger.mEngines[engine];
    AddBacklog(load, aPlaced.mPartPrefillMs, aNow);
    MarkStretched(aLedger, load);
    DelayReadings(aLedger, load, aPlaced.mKey, aNow);
  }
  engine_load& writing = aLedger.mEngines[aPlaced.mEngines.front()];
  writing.mDecoding.push_back(aPlaced.mKey);
  writing.mTokens += aPlaced.mTokens;
  for (const engine_key holder : aPlaced.mHolders) {
    aLedger.mEngines[holder].mTokens += aPlaced.mHolderTokens;
  }
}

void
RemovePlacement(engine_ledger& aLedger,
                placement_key aKey,
                placement_end aEnd,
                time_point aNow)
{
  const auto found = aLedger.mPlacements.find(aKey);
  if (found == aLedger.mPlacements.end()) {
    return;
  }
  const placement& ended = found->second;
  if (aEnd == placement_end::Unread) {
    for (const engine_key engine : ended.mEngines) {
      AddBacklog(aLedger.mEngines[engine], -ended.mPartPrefillMs, aNow);
    }
  }
  for (const engine_key engine : ended.mEngines) {
    std::erase(aLedger.mEngines[engine].mPrefilling, aKey);
  }
  engine_load& load = aLedger.mEngines[ended.mEngines.front()];
  load.mTokens = std::max(0.0, load.mTokens - ended.mTokens);
  std::erase(load.mDecoding, aKey);
  for (const engine_key holder : ended.mHolders) {
    double& tokens = aLedger.mEngines[holder].mTokens;
    tokens = std::max(0.0, tokens - ended.mHolderTokens);
  }
  aLedger.mPlacements.erase(found);
}

void
RemoveExpiredPlacements(engine_ledger& aLedger, time_point aNow)
{
  ForgetWhere(aLedger, aNow, [aNow](const placement& aPlaced) {
    return aPlaced.mExpires <= aNow;
  });
}

void
RemovePlacementsOfOwner(engine_ledger& aLedger,
                        std::uint64_t aOwner,
                        time_point aNow)
{
  ForgetWhere(aLedger, aNow, [aOwner](const placement& aPlaced) {
    return aPlaced.mOwner == aOwner;
  });
}

} // namespace primrose
