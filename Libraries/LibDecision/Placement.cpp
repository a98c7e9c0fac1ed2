#include "LibDecision/Placement.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Of a group's memory this part stays free, since parts are cut at whole
/// blocks and the engines' own counts differ a little from the estimate.
constexpr double kGroupHeadroom = 0.95;
/// Output tokens for which a slowed engine is charged; the true length of an
/// answer is not known when it is placed.
constexpr double kChargedOutputTokens = 64;

void
AddOnce(std::vector<std::size_t>& aChosen, std::size_t aIndex)
{
  if (std::find(aChosen.begin(), aChosen.end(), aIndex) == aChosen.end()) {
    aChosen.push_back(aIndex);
  }
}

/// The endpoint where requests with this beginning meet, so that the prefix is
/// read once; nothing if the prompt is too short to have a mark.
std::optional<std::size_t>
HomeOfPrefix(const std::vector<std::string>& aNames, const work_shape& aShape)
{
  if (aShape.mMarks.empty()) {
    return std::nullopt;
  }
  const std::string key = std::to_string(aShape.mMarks.front());
  std::size_t best = 0;
  std::uint64_t bestWeight = 0;
  for (std::size_t i = 0; i < aNames.size(); ++i) {
    const std::uint64_t weight = RendezvousWeight(key, aNames[i]);
    if (weight >= bestWeight) {
      best = i;
      bestWeight = weight;
    }
  }
  return best;
}

std::size_t
WholeFront(const placement_memory& aMemory, std::size_t aEndpoints)
{
  const double front = std::ceil(std::max(0.0, aMemory.mLongFront));
  return std::min(static_cast<std::size_t>(front), aEndpoints);
}

void
AddRandom(std::vector<std::size_t>& aChosen,
          std::size_t aFirst,
          std::size_t aEnd,
          std::size_t aWanted,
          random_engine& aRandom)
{
  // Bounded: with nearly all of the range chosen already, random draws would
  // repeat themselves; a few less probes do no harm.
  constexpr std::size_t kDrawsPerProbe = 4;
  const std::size_t draws = kDrawsPerProbe * aWanted;
  for (std::size_t i = 0; i < draws && aChosen.size() < aWanted; ++i) {
    AddOnce(aChosen, aFirst + Below(aRandom, aEnd - aFirst));
  }
}

/// Engines over which a long prompt is spread to be read sooner. Parts that
/// are too small would gain less than the group's reservations cost.
std::size_t
SpreadFor(const work_shape& aShape, const placement_rules& aRules)
{
  constexpr tokens kSmallestPart = 16384;
  const tokens wanted =
    std::max<tokens>(1, aShape.mPromptTokens / kSmallestPart);
  return static_cast<std::size_t>(std::min<tokens>(wanted, aRules.mLongSpread));
}

double
OwnReadingSeconds(const work_shape& aShape, const engine_shape& aEngine)
{
  const double chunks = static_cast<double>(aShape.mPromptTokens) /
                        static_cast<double>(aEngine.mChunk);
  return chunks * StepSeconds(aEngine, 1, aEngine.mChunk, 0);
}

double
Score(const candidate& aCandidate,
      const work_shape& aShape,
      const placement_rules& aRules,
      const engine_shape& aEngine)
{
  const probe_answer& answer = aCandidate.mAnswer;
  double score = answer.mFirstTokenSeconds;
  const double idleStep = StepSeconds(aEngine, 1, 0, 0);
  if (!aShape.mLong) {
    // A short request pays for the engine's slowness with each token written.
    const double output =
      std::min(kChargedOutputTokens, static_cast<double>(aShape.mMaxTokens));
    score +=
      aRules.mShortProtection * output * idleStep * (answer.mSlowdown - 1);
  } else {
    // A long prompt slows all that is running there for as long as it reads.
    const double chunkSeconds =
      static_cast<double>(aEngine.mChunk) / aEngine.mPrefillTokensPerSecond;
    const double part =
      chunkSeconds / StepSeconds(aEngine, 1, aEngine.mChunk, 0);
    score += aRules.mShortProtection * OwnReadingSeconds(aShape, aEngine) *
             part * answer.mRunning / aEngine.mLargestBatch;
  }
  return score;
}

} // namespace

bool
PacksLong(const placement_rules& aRules,
          const placement_memory& aMemory,
          std::size_t aEndpoints)
{
  return aRules.mFrontSlack > 0 &&
         2 * WholeFront(aMemory, aEndpoints) <= aEndpoints;
}

std::vector<std::size_t>
ChooseToProbe(const std::vector<std::string>& aNames,
              const work_shape& aShape,
              const placement_rules& aRules,
              const placement_memory& aMemory,
              std::size_t aGroup,
              random_engine& aRandom)
{
  const std::size_t count = aNames.size();
  const std::size_t wanted = std::min<std::size_t>(aRules.mProbes, count);
  std::vector<std::size_t> chosen;
  if (count == 0) {
    return chosen;
  }
  const std::size_t front = WholeFront(aMemory, count);
  const bool packs = PacksLong(aRules, aMemory, count);
  if (aRules.mUseCache) {
    const std::optional<std::size_t> home = HomeOfPrefix(aNames, aShape);
    const bool isShortAtFront = home && !aShape.mLong && packs && *home < front;
    if (home && !isShortAtFront) {
      AddOnce(chosen, *home);
    }
  }
  if (!packs) {
    AddRandom(chosen, 0, count, wanted, aRandom);
    return chosen;
  }
  if (aShape.mLong) {
    const std::size_t window = std::min(count, std::max(front + 1, aGroup + 1));
    AddRandom(chosen, 0, window, wanted, aRandom);
    return chosen;
  }
  const std::size_t first = front < count ? front : 0;
  AddRandom(chosen, first, count, wanted, aRandom);
  AddRandom(chosen, 0, count, wanted, aRandom);
  return chosen;
}

std::vector<scored_candidate>
RankCandidates(const std::vector<candidate>& aCandidates,
               const work_shape& aShape,
               const placement_rules& aRules,
               const engine_shape& aEngine,
               bool aPacks)
{
  std::vector<scored_candidate> ranked;
  for (const candidate& one : aCandidates) {
    if (one.mAnswer.mRefusal == refusal::None) {
      ranked.push_back({ one.mIndex, Score(one, aShape, aRules, aEngine) });
    }
  }
  const double slack =
    aShape.mLong && aPacks
      ? aRules.mFrontSlack * OwnReadingSeconds(aShape, aEngine)
      : 0;
  std::sort(ranked.begin(),
            ranked.end(),
            [](const scored_candidate& aLeft, const scored_candidate& aRight) {
              return aLeft.mScore < aRight.mScore;
            });
  if (slack <= 0 || ranked.empty()) {
    return ranked;
  }
  // Among those nearly as good as the best, the first of the order is taken.
  const double bound = ranked.front().mScore + slack;
  const auto end =
    std::find_if(ranked.begin(), ranked.end(), [&](const auto& aOne) {
      return aOne.mScore > bound;
    });
  std::sort(ranked.begin(),
            end,
            [](const scored_candidate& aLeft, const scored_candidate& aRight) {
              return aLeft.mIndex < aRight.mIndex;
            });
  return ranked;
}

void
LearnFront(placement_memory& aMemory,
           const std::vector<candidate>& aCandidates,
           const work_shape& aShape,
           const placement_rules& aRules,
           const engine_shape& aEngine,
           std::size_t aGroup,
           std::size_t aEndpoints)
{
  if (!aShape.mLong || aRules.mFrontSlack <= 0 || aCandidates.empty()) {
    return;
  }
  std::vector<double> waits;
  std::size_t idleInFront = 0;
  const double own = OwnReadingSeconds(aShape, aEngine);
  for (const candidate& one : aCandidates) {
    if (one.mAnswer.mRefusal != refusal::None) {
      continue;
    }
    waits.push_back(one.mAnswer.mFirstTokenSeconds - own);
    const bool inFront = static_cast<double>(one.mIndex) < aMemory.mLongFront;
    idleInFront += inFront && one.mAnswer.mLong == 0 ? 1 : 0;
  }
  std::sort(waits.begin(), waits.end());
  const double wait = waits.size() < aGroup ? INFINITY : waits[aGroup - 1];
  // Out by a tenth when long prompts wait, back by less when more engines of
  // the front stand idle than one request needs: the front does not swing
  // with each request.
  constexpr double kStepOut = 0.1;
  constexpr double kStepBack = 0.02;
  if (wait > aRules.mFrontSlack * own) {
    aMemory.mLongFront += std::max(1.0, kStepOut * aMemory.mLongFront);
  } else if (idleInFront > aGroup) {
    aMemory.mLongFront -= std::max(0.1, kStepBack * aMemory.mLongFront);
  }
  aMemory.mLongFront =
    std::clamp(aMemory.mLongFront,
               1.0,
               static_cast<double>(std::max<std::size_t>(1, aEndpoints)));
}

std::size_t
GroupSize(const work_shape& aShape,
          const placement_rules& aRules,
          tokens aEngineCapacity)
{
  const double usable = kGroupHeadroom * static_cast<double>(aEngineCapacity);
  if (aEngineCapacity == 0) {
    return 1;
  }
  const bool fitsOne = aShape.Need() <= aEngineCapacity;
  const std::size_t forMemory =
    fitsOne ? 1
            : static_cast<std::size_t>(
                std::ceil(static_cast<double>(aShape.Need()) / usable));
  if (!aShape.mLong) {
    return forMemory;
  }
  const std::size_t parts = static_cast<std::size_t>(
    (aShape.mPromptTokens + aRules.mLongPart - 1) / aRules.mLongPart);
  return std::max({ forMemory,
                    std::min(parts, aRules.mMostParts),
                    SpreadFor(aShape, aRules) });
}

work_shape
MemberShape(const work_shape& aShape, std::size_t aMembers, hold_role aRole)
{
  work_shape part = aShape;
  part.mPromptTokens = (aShape.mPromptTokens + aMembers - 1) / aMembers;
  if (aMembers > 1) {
    // A part's beginning is not the prompt's beginning.
    part.mMarks.clear();
  }
  if (aRole == hold_role::Member) {
    part.mMaxTokens = 0;
  }
  return part;
}

} // namespace primrose
