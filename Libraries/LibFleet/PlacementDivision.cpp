#include "LibFleet/PlacementDivision.h"

#include "LibFleet/PlacementCosts.h"
#include "LibFleet/PlacementPace.h"
#include "LibFleet/RequestRank.h"

#include <algorithm>
#include <map>

namespace primrose {

namespace {

/// Maximum number of engines for one prompt: the decode engine and its helpers.
constexpr std::size_t kMaxParts = 17;
/// Costs as shares of the prompt's worth: of each engine that it is divided
/// over, and of each latency target that passes until its parts are prefilled.
constexpr double kPartPenalty = 0.001;
constexpr double kTimePenalty = 0.05;

/// Chooses the engine that holds the prompt in memory and decodes the answer:
/// one that may decode it, then one with room, then one that is not slow, then
/// with the fewest streams whose allowed pauses are shorter, then with the most
/// free memory.
const engine_candidate*
ChooseDecodeEngine(const std::vector<const engine_candidate*>& aEngines,
                   const division_inputs& aInputs)
{
  const engine_candidate* best = nullptr;
  std::tuple<bool, bool, bool, std::size_t, double> bestRank;
  const double own = ToMs(aInputs.mRequest.mLongestPause);
  for (const engine_candidate* const one : aEngines) {
    const std::size_t shorterPauses = static_cast<std::size_t>(
      std::count_if(one->mStreams.begin(),
                    one->mStreams.end(),
                    [own](const decoding_stream& aOne) {
                      return aOne.mLongestPauseMs < own;
                    }));
    const std::tuple<bool, bool, bool, std::size_t, double> rank(
      !one->mMayDecode,
      !HasRoom(*one, aInputs.mTiming, aInputs.mRequest),
      one->mPace >= kNotablePaceRatio,
      shorterPauses,
      -one->mFreeTokens);
    if (best == nullptr || rank < bestRank) {
      best = one;
      bestRank = rank;
    }
  }
  return best;
}

/// Selects helpers to hold the part of the prompt that does not fit into the
/// memory of the decode engine.
void
AddHolders(prompt_division& aDivision, const placement_request& aRequest)
{
  const double missing = aRequest.mPromptTokens + aRequest.mAnswerTokens -
                         std::max(0.0, aDivision.mDecodeEngine->mFreeTokens);
  if (missing <= 0) {
    return;
  }
  std::vector<const engine_candidate*>& helpers = aDivision.mPrefillHelpers;
  std::sort(helpers.begin(),
            helpers.end(),
            [](const engine_candidate* aOne, const engine_candidate* aOther) {
              return aOne->mFreeTokens > aOther->mFreeTokens;
            });
  for (std::size_t holders = 1; holders <= helpers.size(); ++holders) {
    const double each = missing / static_cast<double>(holders);
    if (helpers[holders - 1]->mFreeTokens >= each) {
      aDivision.mHolders = holders;
      aDivision.mHolderTokens = each;
      return;
    }
  }
  aDivision.mFitsMemory = false;
}

/// The engines with the lowest costs of prefilling a part each. `aDelayWeight`
/// is the weight of their backlogs in the cost, and of the time by which a slow
/// engine delays the prompt.
std::vector<const engine_candidate*>
CheapestEngines(const division_inputs& aInputs,
                double aPartPrefillMs,
                std::size_t aParts,
                double aDelayWeight)
{
  using priced = std::pair<double, const engine_candidate*>;
  const double objective = ToMs(aInputs.mRequest.mObjective);
  const double parts = static_cast<double>(aParts);
  std::vector<priced> order;
  order.reserve(aInputs.mCandidates.size());
  for (const engine_candidate& one : aInputs.mCandidates) {
    const double partMs = one.mPace * aPartPrefillMs;
    const double delay =
      (one.mBacklogMs + one.mDecodePassMs + (partMs - aPartPrefillMs)) /
      objective;
    // As if the other parts were on engines with as many free slots.
    const double roomHarm =
      UrgentRoomHarm(
        aInputs.mUrgentRoom,
        parts *
          BlockedSlots(aInputs.mUrgentRoom, one, aInputs.mTiming, partMs)) /
      parts;
    order.emplace_back(PauseHarm(one, partMs, aInputs.mRequest) +
                         EnginePrefillDelayHarm(one, partMs, aInputs.mRequest) +
                         aDelayWeight * aInputs.mRequest.mWorth * delay +
                         roomHarm,
                       &one);
  }
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(aParts),
                    order.end(),
                    [](const priced& aOne, const priced& aOther) {
                      return aOne.first < aOther.first;
                    });
  std::vector<const engine_candidate*> cheapest;
  for (std::size_t i = 0; i < aParts; ++i) {
    cheapest.push_back(order[i].second);
  }
  return cheapest;
}

/// Worth that the prompts which these engines are prefilling lose if each of
/// the engines is given another part of the request. A prompt is as late as the
/// last of its engines, so it counts once, with its largest harm.
double
TotalPrefillDelayHarm(const std::vector<const engine_candidate*>& aEngines,
                      double aPartPrefillMs,
                      const placement_request& aRequest)
{
  std::map<placement_key, double> largest;
  for (const engine_candidate* const one : aEngines) {
    for (const prefilling_prompt& prompt : one->mPrefills) {
      double& harm = largest[prompt.mKey];
      const double endsMs = one->mBacklogMs + one->mPace * aPartPrefillMs;
      harm = std::max(harm,
                      RankWeight(aRequest.mClass.mRank, prompt.mRank) *
                        PrefillDelayHarm(prompt, endsMs));
    }
  }
  double sum = 0;
  for (const auto& [key, harm] : largest) {
    sum += harm;
  }
  return sum;
}

/// Duration of a pass for the cost of a division: as on the cheapest engine,
/// unless that or the decode engine is not as fast as declared.
double
PassMsForFirstEvent(const prompt_division& aDivision,
                    const engine_candidate& aCheapest)
{
  const engine_candidate& decodes = *aDivision.mDecodeEngine;
  const bool asDeclared = aCheapest.mPace == 1 && decodes.mPace == 1;
  return asDeclared ? aCheapest.mDecodePassMs : decodes.mDecodePassMs;
}

/// Weight of the prompt's own lateness compared with the harm to others. If a
/// preferred prompt were divided by less than it is admitted by, it would be
/// placed where it is late and harms little, and then be refused for the little
/// that it gains there.
double
LatenessWeight(const division_inputs& aInputs)
{
  return aInputs.mRequest.mSize.mPreferred ? aInputs.mGainScale : 1;
}

/// Divides the prompt over these engines.
prompt_division
DivideOver(const division_inputs& aInputs,
           const std::vector<const engine_candidate*>& aEngines)
{
  const placement_request& request = aInputs.mRequest;
  const double parts = static_cast<double>(aEngines.size());
  prompt_division result;
  result.mPartPrefillMs = aInputs.mPrefillMs / parts;
  result.mDecodeEngine = ChooseDecodeEngine(aEngines, aInputs);
  double paces = 0;
  double blocked = 0;
  for (const engine_candidate* const one : aEngines) {
    const double partMs = one->mPace * result.mPartPrefillMs;
    result.mHarm.mStreams += PauseHarm(*one, partMs, request);
    result.mPrefillEndsMs =
      std::max(result.mPrefillEndsMs, one->mBacklogMs + partMs);
    paces += one->mPace;
    blocked += BlockedSlots(aInputs.mUrgentRoom, *one, aInputs.mTiming, partMs);
    if (one != result.mDecodeEngine) {
      result.mPrefillHelpers.push_back(one);
    }
  }
  result.mHarm.mPrefills =
    TotalPrefillDelayHarm(aEngines, result.mPartPrefillMs, request);
  result.mHarm.mFutureRequests =
    FutureRequestHarm(aInputs.mSlotUtilisation,
                      paces / parts * result.mPartPrefillMs,
                      aEngines.size());
  result.mHarm.mUrgentRoom = UrgentRoomHarm(aInputs.mUrgentRoom, blocked);
  AddHolders(result, request);
  const double first =
    result.mPrefillEndsMs +
    kPassesToFirstEvent * PassMsForFirstEvent(result, *aEngines.front()) +
    DelayMs(request.mOwnDelay, aEngines.size());
  result.mCost =
    TotalHarm(result.mHarm) + SlowEngineCost(*result.mDecodeEngine, request) +
    LatenessWeight(aInputs) *
      LatenessCost(ToMs(request.mElapsed) + first, request) +
    request.mWorth *
      (kTimePenalty * result.mPrefillEndsMs / ToMs(request.mObjective) +
       kPartPenalty * parts);
  return result;
}

/// Replaces the most expensive engine if none of them may decode the answer.
void
AddDecodeEngine(std::vector<const engine_candidate*>& aEngines,
                const division_inputs& aInputs)
{
  const auto mayDecode = [](const engine_candidate* aOne) {
    return aOne->mMayDecode;
  };
  if (std::any_of(aEngines.begin(), aEngines.end(), mayDecode)) {
    return;
  }
  std::vector<const engine_candidate*> allowed;
  for (const engine_candidate& one : aInputs.mCandidates) {
    if (one.mMayDecode) {
      allowed.push_back(&one);
    }
  }
  aEngines.back() = ChooseDecodeEngine(allowed, aInputs);
}

/// Divides the prompt over the `aParts` cheapest engines. If they do not have
/// the memory for it, the most expensive of them is replaced by the engine with
/// the most free memory.
prompt_division
Divide(const division_inputs& aInputs, std::size_t aParts, double aDelayWeight)
{
  std::vector<const engine_candidate*> engines =
    CheapestEngines(aInputs,
                    aInputs.mPrefillMs / static_cast<double>(aParts),
                    aParts,
                    aDelayWeight);
  AddDecodeEngine(engines, aInputs);
  prompt_division result = DivideOver(aInputs, engines);
  if (result.mFitsMemory) {
    return result;
  }
  const auto most = std::max_element(
    aInputs.mCandidates.begin(),
    aInputs.mCandidates.end(),
    [](const engine_candidate& aOne, const engine_candidate& aOther) {
      return aOne.mFreeTokens < aOther.mFreeTokens;
    });
  if (std::find(engines.begin(), engines.end(), &*most) == engines.end()) {
    engines.back() = &*most;
    AddDecodeEngine(engines, aInputs);
  }
  return DivideOver(aInputs, engines);
}

/// True if the first division is better: one that fits into memory is better
/// than one that does not, whatever their costs.
bool
IsBetter(const prompt_division& aOne, const prompt_division& aOther)
{
  if (aOther.mDecodeEngine == nullptr) {
    return true;
  }
  return aOne.mFitsMemory != aOther.mFitsMemory ? aOne.mFitsMemory
                                                : aOne.mCost < aOther.mCost;
}

} // namespace

prompt_division
CheapestDivision(const division_inputs& aInputs)
{
  constexpr double kLowDelayWeight = 0.15;
  constexpr double kHighDelayWeight = 1;
  prompt_division best;
  const std::size_t maxParts = std::min(kMaxParts, aInputs.mCandidates.size());
  for (std::size_t parts = 1; parts <= maxParts; ++parts) {
    for (const double weight : { kLowDelayWeight, kHighDelayWeight }) {
      prompt_division tried = Divide(aInputs, parts, weight);
      if (IsBetter(tried, best)) {
        best = std::move(tried);
      }
    }
  }
  return best;
}

placement_harm
HarmOfDivision(const division_inputs& aInputs, const prompt_division& aDivision)
{
  std::vector<const engine_candidate*> engines = aDivision.mPrefillHelpers;
  engines.push_back(aDivision.mDecodeEngine);
  return DivideOver(aInputs, engines).mHarm;
}

} // namespace primrose
