#include "LibFleet/PlacementCandidates.h"

#include <algorithm>
#include <limits>

namespace primrose {

namespace {

/// Share of an engine's memory that placements may use. The rest is left for
/// answers that get longer than expected.
constexpr double kUsableMemoryShare = 0.95;
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
                          placed->second.mPauseExceeded,
                          placed->second.mClass.mRank });
    }
  }
  return streams;
}

std::vector<prefilling_prompt>
PrefillsOn(const engine_ledger& aLedger,
           const engine_load& aLoad,
           time_point aNow)
{
  std::vector<prefilling_prompt> prefills;
  for (const placement_key key : aLoad.mPrefilling) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed == aLedger.mPlacements.end() ||
        placed->second.mPrefillEndsAt <= aNow) {
      continue;
    }
    const placement& one = placed->second;
    prefills.push_back({ key,
                         one.mWorth,
                         ToMs(one.mObjective),
                         ToMs(aNow - one.mBegan),
                         ToMs(one.mPrefillEndsAt - aNow),
                         static_cast<double>(one.mEngines.size()),
                         one.mPartPrefillMs,
                         one.mClass.mRank });
  }
  return prefills;
}

bool
MayDecode(const placement_request& aRequest, const std::string& aId)
{
  const std::vector<std::string>& among = aRequest.mDecodeAmong;
  return among.empty() ||
         std::find(among.begin(), among.end(), aId) != among.end();
}

/// True if the request was sent to the engine before and may be sent again.
bool
IsAskedAgain(const placement_request& aRequest, const std::string& aId)
{
  return !aRequest.mDecodeAmong.empty() && MayDecode(aRequest, aId);
}

double
FreeTokens(const engine_timing& aTiming, const engine_load& aLoad)
{
  return aTiming.mMemoryTokens > 0
           ? aTiming.mMemoryTokens * kUsableMemoryShare - aLoad.mTokens
           : std::numeric_limits<double>::max();
}

} // namespace

double
ToMs(duration aTime)
{
  return Seconds(aTime) * kMsPerSecond;
}

std::vector<engine_candidate>
EngineCandidates(endpoint_registry& aRegistry,
                 const engine_ledger& aLedger,
                 const engine_timing& aTiming,
                 const placement_request& aRequest,
                 const std::vector<std::string>& aTried,
                 std::string_view aDataCentre,
                 time_point aNow)
{
  const auto usable = [&aRequest, &aTried, aNow](const std::string& aId,
                                                 const known_endpoint& aKnown) {
    return IsAdmissible(aKnown, aRequest.mScope, aNow) &&
           (IsAskedAgain(aRequest, aId) ||
            std::find(aTried.begin(), aTried.end(), aId) == aTried.end());
  };
  const bool anyPreferred = std::any_of(
    aRegistry.mEndpoints.begin(),
    aRegistry.mEndpoints.end(),
    [&usable](const auto& aEntry) {
      return aEntry.second.mPreferred && usable(aEntry.first, aEntry.second);
    });
  std::vector<engine_candidate> candidates;
  for (auto& [id, known] : aRegistry.mEndpoints) {
    if ((anyPreferred && !known.mPreferred && !IsAskedAgain(aRequest, id)) ||
        !usable(id, known)) {
      continue;
    }
    const engine_load& load = LoadOf(aLedger, EngineKey(id));
    engine_candidate one;
    one.mEndpoint = &known;
    one.mPace = load.mPace;
    one.mBacklogMs = one.mPace * BacklogMs(load, aNow);
    one.mFreeTokens = FreeTokens(aTiming, load);
    one.mStreams = StreamsOn(aLedger, load);
    one.mPrefills = PrefillsOn(aLedger, load, aNow);
    one.mRequests = RequestsOn(load, aNow);
    one.mDecodePassMs =
      one.mPace * DecodePassMs(aTiming,
                               static_cast<double>(one.mRequests + 1),
                               load.mTokens + aRequest.mPromptTokens);
    one.mAvoided = IsAvoided(known, aNow);
    one.mMayDecode = MayDecode(aRequest, id);
    one.mInOtherDataCentre = known.mListed.mDataCentre != aDataCentre;
    candidates.push_back(std::move(one));
  }
  // Engines that are avoided are left out if at least half of all remain.
  const std::size_t healthy = static_cast<std::size_t>(std::count_if(
    candidates.begin(), candidates.end(), [](const engine_candidate& aOne) {
      return !aOne.mAvoided;
    }));
  if (healthy > 0 && healthy * 2 >= candidates.size()) {
    std::erase_if(candidates, [&aRequest](const engine_candidate& aOne) {
      return aOne.mAvoided &&
             (aRequest.mDecodeAmong.empty() || !aOne.mMayDecode);
    });
  }
  return candidates;
}

bool
HasRoom(const engine_candidate& aCandidate,
        const engine_timing& aTiming,
        const placement_request& aRequest)
{
  return aCandidate.mRequests < aTiming.mSlots &&
         aCandidate.mFreeTokens >=
           aRequest.mPromptTokens + aRequest.mAnswerTokens;
}

} // namespace primrose
