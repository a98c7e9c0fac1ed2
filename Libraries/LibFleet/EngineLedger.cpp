#include "LibFleet/EngineLedger.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

double
ElapsedMs(time_point aFrom, time_point aTo)
{
  constexpr double kMsInSecond = 1e3;
  return std::max(0.0, Seconds(aTo - aFrom) * kMsInSecond);
}

/// Decode time of a pass with a typical number of streams. The prefill in a
/// pass is added to it.
constexpr double kTypicalDecodePassMs = 50;
/// The number of requests that an engine reported is used for this long: a
/// fifth of the duration of a short stream. Later, the ledger's own count is
/// more accurate.
constexpr duration kReportedLoadLifetime = std::chrono::milliseconds(400);
constexpr double kMsPerSecond = 1e3;
constexpr double kInflowWindowMs = Seconds(kInflowWindow) * kMsPerSecond;

/// Marks the streams whose pauses exceed their limits due to the backlog.
void
MarkExceededPauses(engine_ledger& aLedger, const engine_load& aLoad)
{
  for (const placement_key key : aLoad.mDecoding) {
    const auto found = aLedger.mPlacements.find(key);
    if (found != aLedger.mPlacements.end() &&
        Seconds(found->second.mLongestPause) * kMsPerSecond <
          aLoad.mPace * (aLoad.mBacklogMs + kTypicalDecodePassMs)) {
      found->second.mPauseExceeded = true;
    }
  }
}

/// Adds prefill time to the backlog and to the average inflow; negative for
/// prefill that is not done.
void
AddPrefillTime(engine_load& aLoad, double aMs, time_point aNow)
{
  aLoad.mBacklogMs = std::max(0.0, BacklogMs(aLoad, aNow) + aMs);
  aLoad.mBacklogAt = aNow;
  aLoad.mRecentPrefillMs =
    std::max(0.0, PrefillInflow(aLoad, aNow) * kInflowWindowMs + aMs);
  aLoad.mRecentPrefillAt = aNow;
}

/// The longest part is remembered for about as long as the longest prompts are
/// prefilled.
constexpr duration kLongestPartLifetime = std::chrono::seconds(4);

void
RecordPart(engine_load& aLoad, double aMs, time_point aNow)
{
  const placed_part part = { aMs, aNow };
  aLoad.mLastPart = part;
  if (!aLoad.mLongestPart.has_value() ||
      aMs >= aLoad.mLongestPart->mPrefillMs ||
      aNow - aLoad.mLongestPart->mPlacedAt > kLongestPartLifetime) {
    aLoad.mLongestPart = part;
  }
}

/// Adds a placement to those that the engine prefills, and delays the end of
/// all of them to the end of its backlog: an engine prefills parts for other
/// engines in last-in-first-out order, and all queued parts in one pass while
/// it decodes streams, so earlier prefills end after the new part.
void
AddPrefill(engine_ledger& aLedger,
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
  const time_point end =
    aNow + FromSeconds(aLoad.mPace * aLoad.mBacklogMs / kMsPerSecond);
  for (const placement_key key : aLoad.mPrefilling) {
    placement& prefill = aLedger.mPlacements.at(key);
    prefill.mPrefillEndsAt = std::max(prefill.mPrefillEndsAt, end);
  }
}

/// Keeps the reported number of requests current. Otherwise a full engine would
/// look full until its last report is out of date, although each end frees a
/// slot. The end of a request that was not prefilled is not subtracted, because
/// the engine may have rejected it without counting it.
void
CountPlaced(engine_load& aLoad, time_point aNow)
{
  if (aLoad.mReportedRequestCount > 0 && aNow > aLoad.mReportedAt) {
    ++aLoad.mReportedRequestCount;
  }
}

void
CountEnded(engine_load& aLoad, placement_removal aWhy)
{
  if (aLoad.mReportedRequestCount > 0 && aWhy != placement_removal::Unread) {
    --aLoad.mReportedRequestCount;
  }
}

/// The share of a placement's part that the engine has yet to prefill, in
/// declared time. It may have prefilled the rest, or been given up before.
double
RemainingPartMs(const engine_load& aLoad,
                const placement& aPlaced,
                time_point aNow)
{
  return std::min(aPlaced.mPartPrefillMs,
                  ElapsedMs(aNow, aPlaced.mPrefillEndsAt) / aLoad.mPace);
}

void
RemoveFromEngines(engine_ledger& aLedger,
                  placement_key aKey,
                  placement_removal aWhy,
                  time_point aNow)
{
  const auto found = aLedger.mPlacements.find(aKey);
  if (found == aLedger.mPlacements.end()) {
    return;
  }
  const placement& ended = found->second;
  if (aWhy == placement_removal::Unread) {
    for (const engine_key engine : ended.mEngines) {
      engine_load& load = aLedger.mEngines[engine];
      AddPrefillTime(load, -RemainingPartMs(load, ended, aNow), aNow);
    }
  }
  for (const engine_key engine : ended.mEngines) {
    engine_load& load = aLedger.mEngines[engine];
    std::erase(load.mPrefilling, aKey);
    load.mLastRemoved = { aWhy, aNow };
  }
  engine_load& load = aLedger.mEngines[ended.mEngines.front()];
  load.mTokens = std::max(0.0, load.mTokens - ended.mTokens);
  std::erase(load.mDecoding, aKey);
  CountEnded(load, aWhy);
  for (const engine_key holder : ended.mHolders) {
    double& tokens = aLedger.mEngines[holder].mTokens;
    tokens = std::max(0.0, tokens - ended.mHolderTokens);
  }
  aLedger.mPlacements.erase(found);
}

template<typename Condition>
void
RemovePlacementsIf(engine_ledger& aLedger,
                   placement_removal aWhy,
                   time_point aNow,
                   Condition&& aCondition)
{
  std::vector<placement_key> removed;
  for (const auto& [key, placed] : aLedger.mPlacements) {
    if (aCondition(placed)) {
      removed.push_back(key);
    }
  }
  for (const placement_key key : removed) {
    RemoveFromEngines(aLedger, key, aWhy, aNow);
  }
}

} // namespace

std::string_view
RemovalText(placement_removal aWhy)
{
  switch (aWhy) {
    case placement_removal::Read:
      return "read";
    case placement_removal::Unread:
      return "unread";
    case placement_removal::Expired:
      return "expired";
    case placement_removal::OwnerGone:
      return "owner_gone";
  }
  return "";
}

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

const engine_load&
LoadOf(const engine_ledger& aLedger, engine_key aEngine)
{
  static const engine_load kIdle{};
  const auto found = aLedger.mEngines.find(aEngine);
  return found == aLedger.mEngines.end() ? kIdle : found->second;
}

double
PrefillRate(const engine_load& aLoad)
{
  return (aLoad.mDecoding.empty() ? 1 : kPrefillShareWhileDecoding) /
         aLoad.mPace;
}

double
PrefillInflow(const engine_load& aLoad, time_point aNow)
{
  const double age = ElapsedMs(aLoad.mRecentPrefillAt, aNow);
  return aLoad.mRecentPrefillMs * std::exp(-age / kInflowWindowMs) /
         kInflowWindowMs;
}

double
BacklogMs(const engine_load& aLoad, time_point aNow)
{
  return std::max(0.0,
                  aLoad.mBacklogMs -
                    PrefillRate(aLoad) * ElapsedMs(aLoad.mBacklogAt, aNow));
}

bool
UpdatePace(engine_load& aLoad, time_point aNow)
{
  const double pace = PaceInForce(aLoad.mSpeed, aNow);
  if (pace == aLoad.mPace) {
    return false;
  }
  aLoad.mBacklogMs = BacklogMs(aLoad, aNow);
  aLoad.mBacklogAt = aNow;
  aLoad.mPace = pace;
  return true;
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
  const bool fresh = aNow - aLoad.mReportedAt < kReportedLoadLifetime;
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
    AddPrefillTime(load, aPlaced.mPartPrefillMs, aNow);
    MarkExceededPauses(aLedger, load);
    AddPrefill(aLedger, load, aPlaced.mKey, aNow);
    RecordPart(load, aPlaced.mPartPrefillMs, aNow);
  }
  engine_load& decodeLoad = aLedger.mEngines[aPlaced.mEngines.front()];
  decodeLoad.mDecoding.push_back(aPlaced.mKey);
  CountPlaced(decodeLoad, aNow);
  decodeLoad.mTokens += aPlaced.mTokens;
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
  RemoveFromEngines(aLedger,
                    aKey,
                    aEnd == placement_end::Read ? placement_removal::Read
                                                : placement_removal::Unread,
                    aNow);
}

void
RemoveExpiredPlacements(engine_ledger& aLedger, time_point aNow)
{
  RemovePlacementsIf(
    aLedger,
    placement_removal::Expired,
    aNow,
    [aNow](const placement& aPlaced) { return aPlaced.mExpires <= aNow; });
}

void
RemovePlacementsOfOwner(engine_ledger& aLedger,
                        std::uint64_t aOwner,
                        time_point aNow)
{
  RemovePlacementsIf(
    aLedger,
    placement_removal::OwnerGone,
    aNow,
    [aOwner](const placement& aPlaced) { return aPlaced.mOwner == aOwner; });
}

} // namespace primrose
