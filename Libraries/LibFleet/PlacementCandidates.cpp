#include "LibFleet/PlacementCandidates.h"

#include <algorithm>
#include <limits>

namespace primrose {

namespace {

/// Memory that is planned with; the rest covers answers that grow.
constexpr double kUsableMemory = 0.95;
constexpr double kMsPerSecond = 1e3;

std::vector<decoding_stream>
StreamsOn(const engine_ledger& aLedger, const engine_load& aLoad)
{
  std::vector<decoding_stream> streams;
  streams.reserve(aLoad.mDecoding.size());
  for (const placement_key key : aLoad.mDecoding) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed != aLedger.mPlacements.end()) {
      streams.push_back({ ToMs(placed->second.mLongestPause),
                          placed->second.mWorth,
                          placed->second.mPauseExceeded });
    }
  }
  return streams;
}

std::vector<prefilling_prompt>
ReadingsOn(const engine_ledger& aLedger,
           const engine_load& aLoad,
           time_point aNow)
{
  std::vector<prefilling_prompt> readings;
  for (const placement_key key : aLoad.mPrefilling) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed == aLedger.mPlacements.end() ||
        placed->second.mPrefillEndsAt <= aNow) {
      continue;
    }
    const placement& one = placed->second;
    readings.push_back({ key,
                         one.mWorth,
                         ToMs(one.mObjective),
                         ToMs(aNow - one.mBegan),
                         ToMs(one.mPrefillEndsAt - aNow),
                         static_cast<double>(one.mEngines.size()) });
  }
  return readings;
}

double
FreeTokens(const engine_timing& aTiming, const engine_load& aLoad)
{
  return aTiming.mMemoryTokens > 0
           ? aTiming.mMemoryTokens * kUsableMemory - aLoad.mTokens
           : std::numeric_limits<double>::max();
}

} // namespace

double
ToMs(duration aTime)
{
  return Seconds(aTime) * kMsPerSecond;
}

std::vector<engine_candidate>
EngineCandidates(endpoint_registry& aBoard,
                 const engine_ledger& aLedger,
                 const engine_timing& aTiming,
                 const placement_request& aWork,
                 const std::vector<std::string>& aTried,
                 std::string_view aDataCentre,
                 time_point aNow)
{
  static const engine_load kIdle{};
  const auto usable = [&aWork, &aTried, aNow](const std::string& aId,
                                              const known_endpoint& aKnown) {
    return IsAdmissible(aKnown, aWork.mService, aNow) &&
           std::find(aTried.begin(), aTried.end(), aId) == aTried.end();
  };
  const bool anyPreferred = std::any_of(
    aBoard.mEndpoints.begin(),
    aBoard.mEndpoints.end(),
    [&usable](const auto& aEntry) {
      return aEntry.second.mPreferred && usable(aEntry.first, aEntry.second);
    });
  std::vector<engine_candidate> candidates;
  for (auto& [id, known] : aBoard.mEndpoints) {
    if ((anyPreferred && !known.mPreferred) || !usable(id, known)) {
      continue;
    }
    const auto found = aLedger.mEngines.find(EngineKey(id));
    const engine_load& load =
      found == aLedger.mEngines.end() ? kIdle : found->second;
    engine_candidate one;
    one.mEndpoint = &known;
    one.mBacklogMs = BacklogMs(load, aNow);
    one.mFreeTokens = FreeTokens(aTiming, load);
    one.mStreams = StreamsOn(aLedger, load);
    one.mPrefills = ReadingsOn(aLedger, load, aNow);
    one.mRequests = RequestsOn(load, aNow);
    one.mDecodePassMs = DecodePassMs(aTiming,
                                     static_cast<double>(one.mRequests + 1),
                                     load.mTokens + aWork.mPromptTokens);
    one.mAvoided = IsAvoided(known, aNow);
    one.mInOtherDataCentre = known.mListed.mDataCentre != aDataCentre;
    candidates.push_back(std::move(one));
  }
  // Engines with bad signs are left out while enough others are there.
  const std::size_t sound = static_cast<std::size_t>(std::count_if(
    candidates.begin(), candidates.end(), [](const engine_candidate& aOne) {
      return !aOne.mAvoided;
    }));
  if (sound > 0 && sound * 2 >= candidates.size()) {
    std::erase_if(candidates,
                  [](const engine_candidate& aOne) { return aOne.mAvoided; });
  }
  return candidates;
}

bool
HasRoom(const engine_candidate& aCandidate,
        const engine_timing& aTiming,
        const placement_request& aWork)
{
  return aCandidate.mRequests < aTiming.mSlots &&
         aCandidate.mFreeTokens >= aWork.mPromptTokens + aWork.mAnswerTokens;
}

} // namespace primrose
