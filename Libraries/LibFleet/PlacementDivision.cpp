#include "LibFleet/PlacementDivision.h"

#include "LibFleet/PlacementCosts.h"

#include <algorithm>
#include <map>

namespace primrose {

namespace {

/// Engines that one prompt may be divided over: the writer and its helpers.
constexpr std::size_t kMostParts = 17;
/// For each engine that a prompt is divided over, and for the time until its
/// parts are read, as shares of its worth.
constexpr double kPartPenalty = 0.001;
constexpr double kTimePenalty = 0.05;

/// The engine that keeps the prompt's memory and writes: one with room, few
/// tight streams beside it, and the most free memory.
const engine_candidate*
ChooseWriter(const std::vector<const engine_candidate*>& aEngines,
             const placing& aPlacing)
{
  const engine_candidate* best = nullptr;
  std::tuple<bool, std::size_t, double> bestRank;
  const double own = ToMs(aPlacing.mWork.mLongestPause);
  for (const engine_candidate* const one : aEngines) {
    const std::size_t tight = static_cast<std::size_t>(
      std::count_if(one->mStreams.begin(),
                    one->mStreams.end(),
                    [own](const decoding_stream& aOne) {
                      return aOne.mLongestPauseMs < own;
                    }));
    const std::tuple<bool, std::size_t, double> rank(
      !HasRoom(*one, aPlacing.mTiming, aPlacing.mWork),
      tight,
      -one->mFreeTokens);
    if (best == nullptr || rank < bestRank) {
      best = one;
      bestRank = rank;
    }
  }
  return best;
}

/// Adds memory on readers where the writer's own does not do.
void
AddHolders(division& aDivision, const placement_request& aWork)
{
  const double missing = aWork.mPromptTokens + aWork.mAnswerTokens -
                         std::max(0.0, aDivision.mDecodeEngine->mFreeTokens);
  if (missing <= 0) {
    return;
  }
  std::vector<const engine_candidate*>& readers = aDivision.mPrefillHelpers;
  std::sort(readers.begin(),
            readers.end(),
            [](const engine_candidate* aOne, const engine_candidate* aOther) {
              return aOne->mFreeTokens > aOther->mFreeTokens;
            });
  for (std::size_t holders = 1; holders <= readers.size(); ++holders) {
    const double each = missing / static_cast<double>(holders);
    if (readers[holders - 1]->mFreeTokens >= each) {
      aDivision.mHolders = holders;
      aDivision.mHolderTokens = each;
      return;
    }
  }
  aDivision.mFitsMemory = false;
}

/// The engines that are cheapest to read a part each. `aDelayWeight` prices
/// what they have to read already.
std::vector<const engine_candidate*>
CheapestEngines(const placing& aPlacing,
                double aPartMs,
                std::size_t aParts,
                double aDelayWeight)
{
  using priced = std::pair<double, const engine_candidate*>;
  const double objective = ToMs(aPlacing.mWork.mObjective);
  std::vector<priced> order;
  order.reserve(aPlacing.mCandidates.size());
  for (const engine_candidate& one : aPlacing.mCandidates) {
    const double delay = (one.mBacklogMs + one.mDecodePassMs) / objective;
    order.emplace_back(PauseHarm(one, aPartMs) +
                         EnginePrefillDelayHarm(one, aPartMs) +
                         aDelayWeight * aPlacing.mWork.mWorth * delay,
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

/// What prompts that these engines still read lose by a part more on each. A
/// prompt is as late as the last of its engines, so it counts once.
double
DelayOfOthers(const std::vector<const engine_candidate*>& aEngines,
              double aPartMs)
{
  std::map<placement_key, double> worst;
  for (const engine_candidate* const one : aEngines) {
    for (const prefilling_prompt& reading : one->mPrefills) {
      double& harm = worst[reading.mKey];
      harm =
        std::max(harm, PrefillDelayHarm(reading, one->mBacklogMs + aPartMs));
    }
  }
  double sum = 0;
  for (const auto& [key, harm] : worst) {
    sum += harm;
  }
  return sum;
}

/// The division over these engines.
division
DivideOver(const placing& aPlacing,
           const std::vector<const engine_candidate*>& aEngines)
{
  const placement_request& work = aPlacing.mWork;
  const double parts = static_cast<double>(aEngines.size());
  division made;
  made.mPartPrefillMs = aPlacing.mPrefillMs / parts;
  made.mDecodeEngine = ChooseWriter(aEngines, aPlacing);
  double wait = 0;
  for (const engine_candidate* const one : aEngines) {
    made.mHarm.mStreams += PauseHarm(*one, made.mPartPrefillMs);
    wait = std::max(wait, one->mBacklogMs);
    if (one != made.mDecodeEngine) {
      made.mPrefillHelpers.push_back(one);
    }
  }
  made.mHarm.mPrefills = DelayOfOthers(aEngines, made.mPartPrefillMs);
  made.mHarm.mFutureRequests = FutureRequestHarm(
    aPlacing.mSlotUtilisation, made.mPartPrefillMs, aEngines.size());
  made.mPrefillEndsMs = wait + made.mPartPrefillMs;
  AddHolders(made, work);
  const double first =
    made.mPrefillEndsMs + kPassesToFirstEvent * aEngines.front()->mDecodePassMs;
  made.mCost =
    TotalHarm(made.mHarm) + LatenessCost(ToMs(work.mElapsed) + first, work) +
    work.mWorth * (kTimePenalty * made.mPrefillEndsMs / ToMs(work.mObjective) +
                   kPartPenalty * parts);
  return made;
}

/// The division over so many of the cheapest engines; if they have no memory
/// for the prompt, with the engine that has most of it in the dearest one's
/// place.
division
Divide(const placing& aPlacing, std::size_t aParts, double aDelayWeight)
{
  std::vector<const engine_candidate*> engines =
    CheapestEngines(aPlacing,
                    aPlacing.mPrefillMs / static_cast<double>(aParts),
                    aParts,
                    aDelayWeight);
  division made = DivideOver(aPlacing, engines);
  if (made.mFitsMemory) {
    return made;
  }
  const auto most = std::max_element(
    aPlacing.mCandidates.begin(),
    aPlacing.mCandidates.end(),
    [](const engine_candidate& aOne, const engine_candidate& aOther) {
      return aOne.mFreeTokens < aOther.mFreeTokens;
    });
  if (std::find(engines.begin(), engines.end(), &*most) == engines.end()) {
    engines.back() = &*most;
  }
  return DivideOver(aPlacing, engines);
}

/// True if the first is to be taken: one that has memory goes before one that
/// has not, whatever it costs.
bool
IsBetter(const division& aOne, const division& aOther)
{
  if (aOther.mDecodeEngine == nullptr) {
    return true;
  }
  return aOne.mFitsMemory != aOther.mFitsMemory ? aOne.mFitsMemory
                                                : aOne.mCost < aOther.mCost;
}

} // namespace

division
CheapestDivision(const placing& aPlacing)
{
  constexpr double kPatient = 0.15;
  constexpr double kHasty = 1;
  division best;
  const std::size_t most = std::min(kMostParts, aPlacing.mCandidates.size());
  for (std::size_t parts = 1; parts <= most; ++parts) {
    for (const double weight : { kPatient, kHasty }) {
      division tried = Divide(aPlacing, parts, weight);
      if (IsBetter(tried, best)) {
        best = std::move(tried);
      }
    }
  }
  return best;
}

} // namespace primrose
