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
  constexpr double kMsPerSecond = 1e3;
  return std::max(0.0, Seconds(aTo - aFrom) * kMsPerSecond);
}

} // namespace

double
BacklogMs(const engine_load& aLoad, time_point aNow)
{
  const double rate = aLoad.mWriters.empty() ? 1 : kReadingShareBesideWriters;
  return std::max(0.0,
                  aLoad.mBacklogMs - rate * ElapsedMs(aLoad.mBacklogAt, aNow));
}

unsigned
WriterCount(const engine_load& aLoad)
{
  unsigned count = 0;
  for (const auto& [pause, writers] : aLoad.mWriters) {
    count += writers;
  }
  return count;
}

std::optional<duration>
TightestPause(const engine_load& aLoad)
{
  if (aLoad.mWriters.empty()) {
    return std::nullopt;
  }
  return aLoad.mWriters.begin()->first;
}

void
NotePlaced(engine_ledger& aLedger, const placement& aPlaced, time_point aNow)
{
  if (aPlaced.mEngines.empty() ||
      !aLedger.mPlacements.emplace(aPlaced.mKey, aPlaced).second) {
    return;
  }
  for (const engine_key engine : aPlaced.mEngines) {
    engine_load& load = aLedger.mEngines[engine];
    load.mBacklogMs = BacklogMs(load, aNow) + aPlaced.mPartMs;
    load.mBacklogAt = aNow;
  }
  engine_load& writing = aLedger.mEngines[aPlaced.mEngines.front()];
  ++writing.mWriters[aPlaced.mLongestPause];
  writing.mTokens += aPlaced.mTokens;
}

void
NoteEnded(engine_ledger& aLedger, placement_key aKey)
{
  const auto found = aLedger.mPlacements.find(aKey);
  if (found == aLedger.mPlacements.end()) {
    return;
  }
  const placement& ended = found->second;
  engine_load& load = aLedger.mEngines[ended.mEngines.front()];
  load.mTokens = std::max(0.0, load.mTokens - ended.mTokens);
  const auto writers = load.mWriters.find(ended.mLongestPause);
  if (writers != load.mWriters.end() && --writers->second == 0) {
    load.mWriters.erase(writers);
  }
  aLedger.mPlacements.erase(found);
}

namespace {

template<typename Condition>
void
ForgetWhere(engine_ledger& aLedger, Condition&& aCondition)
{
  std::vector<placement_key> forgotten;
  for (const auto& [key, placed] : aLedger.mPlacements) {
    if (aCondition(placed)) {
      forgotten.push_back(key);
    }
  }
  for (const placement_key key : forgotten) {
    NoteEnded(aLedger, key);
  }
}

} // namespace

void
ForgetExpired(engine_ledger& aLedger, time_point aNow)
{
  ForgetWhere(aLedger, [aNow](const placement& aPlaced) {
    return aPlaced.mExpires <= aNow;
  });
}

void
ForgetOwner(engine_ledger& aLedger, std::uint64_t aOwner)
{
  ForgetWhere(aLedger, [aOwner](const placement& aPlaced) {
    return aPlaced.mOwner == aOwner;
  });
}

} // namespace primrose
