#include "LibFleet/EnginePlacement.h"

#include "LibFleet/PlacementAdmission.h"
#include "LibFleet/PlacementCosts.h"
#include "LibFleet/PlacementDivision.h"

#include <algorithm>

namespace primrose {

namespace {

/// A prompt that one engine reads within this is not divided: each part waits
/// for its engine's pass in progress, so dividing it would not end sooner.
constexpr double kWholeMs = 100;
/// For a place in another data centre: only decides between equals.
constexpr double kAwayPenalty = 0.002;
/// Worth of any request, and of each thousand tokens of its prompt.
constexpr double kBaseWorth = 0.6;
constexpr double kWorthPerThousand = 0.13;
constexpr double kThousand = 1e3;

engine_choice
PlaceWhole(const std::vector<engine_candidate>& aCandidates,
           const engine_timing& aTiming,
           const placement_request& aWork,
           double aReadingMs)
{
  const engine_candidate* best = nullptr;
  std::pair<double, std::uint64_t> bestCost;
  double bestFirst = 0;
  for (const engine_candidate& one : aCandidates) {
    const double first =
      one.mBacklogMs + aReadingMs + kPassesToFirstEvent * one.mDecodePassMs;
    const double cost = LatenessCost(first, aWork) +
                        PauseHarm(one, aReadingMs) +
                        PackingCost(one, aTiming, aWork) +
                        (HasRoom(one, aTiming, aWork) ? 0 : aWork.mWorth) +
                        (one.mInOtherDataCentre ? kAwayPenalty : 0);
    const std::pair<double, std::uint64_t> ranked(
      cost, Hash(one.mEndpoint->mListed.mId, aWork.mTieBreakSeed));
    if (best == nullptr || ranked < bestCost) {
      best = &one;
      bestCost = ranked;
      bestFirst = first;
    }
  }
  engine_choice choice;
  choice.mDecodeEngine = best->mEndpoint;
  choice.mPartPrefillMs = aReadingMs;
  choice.mFirstEventMs = bestFirst;
  choice.mHarm.mStreams = PauseHarm(*best, aReadingMs);
  return choice;
}

engine_choice
PlaceDivided(const placing& aPlacing, const engine_ledger& aLedger)
{
  const division chosen = CheapestDivision(aPlacing);
  engine_choice choice;
  choice.mVerdict =
    chosen.mFitsMemory ? placement_verdict::Send : placement_verdict::NoMemory;
  choice.mDecodeEngine = chosen.mDecodeEngine->mEndpoint;
  for (const engine_candidate* const one : chosen.mPrefillHelpers) {
    choice.mPrefillHelpers.push_back(one->mEndpoint);
  }
  choice.mHolders = chosen.mHolders;
  choice.mHolderTokens = chosen.mHolderTokens;
  choice.mPartPrefillMs = chosen.mPartPrefillMs;
  choice.mFirstEventMs =
    chosen.mPrefillEndsMs +
    kPassesToFirstEvent * chosen.mDecodeEngine->mDecodePassMs;
  choice.mHarm = chosen.mHarm;
  choice.mPrefillSecondPrice = PrefillSecondPrice(aPlacing.mCandidates);
  Judge(choice, aLedger, aPlacing.mWork, aPlacing.mPrefillMs);
  return choice;
}

} // namespace

double
TotalHarm(const placement_harm& aHarm)
{
  return aHarm.mStreams + (aHarm.mPrefills + aHarm.mFutureRequests);
}

double
WorthOfPrompt(double aPromptTokens)
{
  return kBaseWorth + kWorthPerThousand * aPromptTokens / kThousand;
}

std::optional<engine_choice>
PlaceOnEngines(endpoint_registry& aBoard,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const placement_request& aWork,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow)
{
  std::vector<engine_candidate> candidates = EngineCandidates(
    aBoard, aLedger, aTiming, aWork, aTried, aDataCentre, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double reading = PrefillMs(aTiming, aWork.mPromptTokens);
  if (reading <= kWholeMs) {
    return PlaceWhole(candidates, aTiming, aWork, reading);
  }
  if (aWork.mTieBreakSeed != 0) {
    // Engines that seem equal are not equal to others; in one order for all
    // every entry would read its long prompts on the same ones.
    const std::uint64_t seed =
      aWork.mTieBreakSeed + static_cast<std::uint64_t>(aWork.mPromptTokens);
    std::sort(
      candidates.begin(),
      candidates.end(),
      [seed](const engine_candidate& aOne, const engine_candidate& aOther) {
        return Hash(aOne.mEndpoint->mListed.mId, seed) <
               Hash(aOther.mEndpoint->mListed.mId, seed);
      });
  }
  return PlaceDivided({ candidates,
                        aTiming,
                        aWork,
                        reading,
                        SlotUtilisation(candidates, aTiming) },
                      aLedger);
}

placement
MakePlacement(const engine_choice& aChoice,
              const placement_request& aWork,
              placement_key aKey)
{
  placement placed;
  placed.mKey = aKey;
  placed.mEngines.push_back(EngineKey(aChoice.mDecodeEngine->mListed.mId));
  for (const known_endpoint* const reader : aChoice.mPrefillHelpers) {
    placed.mEngines.push_back(EngineKey(reader->mListed.mId));
  }
  placed.mPartPrefillMs = aChoice.mPartPrefillMs;
  placed.mLongestPause = aWork.mLongestPause;
  placed.mWorth = aWork.mWorth;
  placed.mObjective = aWork.mObjective;
  placed.mHolderTokens = aChoice.mHolderTokens;
  for (std::size_t i = 0; i < aChoice.mHolders; ++i) {
    placed.mHolders.push_back(placed.mEngines[i + 1]);
  }
  placed.mTokens =
    aWork.mPromptTokens + aWork.mAnswerTokens -
    static_cast<double>(aChoice.mHolders) * aChoice.mHolderTokens;
  return placed;
}

duration
TimeUntilAccepted(endpoint_registry& aBoard,
                  const engine_ledger& aLedger,
                  const engine_timing& aTiming,
                  const placement_request& aWork,
                  std::string_view aDataCentre,
                  time_point aNow,
                  duration aLongest)
{
  // Each step costs as much as a placement. A finer one would tell little,
  // since others come meanwhile.
  for (duration after = kMinRetryAfter; after < aLongest; after *= 2) {
    const std::optional<engine_choice> choice = PlaceOnEngines(
      aBoard, aLedger, aTiming, aWork, {}, aDataCentre, aNow + after);
    if (choice.has_value() && (choice->mVerdict == placement_verdict::Send ||
                               choice->mVerdict == placement_verdict::Wait)) {
      return after;
    }
  }
  return std::max(kMinRetryAfter, aLongest);
}

} // namespace primrose
