#include "LibDecision/Placement.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Of a group's memory this part stays free, since parts are cut at whole
/// blocks and the engines' own counts differ a little from the estimate.
constexpr double kUsableGroupMemory = 0.95;
/// Output tokens for which a slowed engine is charged; the true length of an
/// answer is not known when it is placed.
constexpr double kAssumedOutputTokens = 64;

void
AddUnique(std::vector<std::size_t>& aChosen, std::size_t aIndex)
{
  if (std::find(aChosen.begin(), aChosen.end(), aIndex) == aChosen.end()) {
    aChosen.push_back(aIndex);
  }
}

/// The endpoint where requests with this beginning meet, so that the prefix is
/// read once; nothing if the prompt is too short to have a mark.
std::optional<std::size_t>
PrefixAffinityTarget(const std::vector<std::string>& aNames,
                     const request_shape& aShape)
{
  if (aShape.mPrefixHashes.empty()) {
    return std::nullopt;
  }
  const std::string key = std::to_string(aShape.mPrefixHashes.front());
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
LongPoolSize(const placement_state& aMemory, std::size_t aEndpoints)
{
  const double front = std::ceil(std::max(0.0, aMemory.mLongPoolSize));
  return std::min(static_cast<std::size_t>(front), aEndpoints);
}

void
AddRandomTargets(std::vector<std::size_t>& aChosen,
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
    AddUnique(aChosen, aFirst + Below(aRandom, aEnd - aFirst));
  }
}

/// Engines over which a long prompt is spread to be read sooner. Parts that
/// are too small would gain less than the group's reservations cost.
std::size_t
ParallelPrefillEngines(const request_shape& aShape,
                       const placement_rules& aRules)
{
  constexpr tokens kMinParallelPartTokens = 16384;
  const tokens wanted =
    std::max<tokens>(1, aShape.mPromptTokens / kMinParallelPartTokens);
  return static_cast<std::size_t>(std::min<tokens>(wanted, aRules.mLongSpread));
}

double
UncontendedPrefillSeconds(const request_shape& aShape,
                          const engine_shape& aEngine)
{
  const double chunks = static_cast<double>(aShape.mPromptTokens) /
                        static_cast<double>(aEngine.mChunk);
  return chunks * StepSeconds(aEngine, 1, aEngine.mChunk, 0);
}

double
Score(const candidate& aCandidate,
      const request_shape& aShape,
      const placement_rules& aRules,
      const engine_shape& aEngine)
{
  const probe_answer& answer = aCandidate.mAnswer;
  double score = answer.mFirstTokenSeconds;
  const double idleStep = StepSeconds(aEngine, 1, 0, 0);
  if (!aShape.mLong) {
    // A short request pays for the engine's slowness with each token written.
    const double output =
      std::min(kAssumedOutputTokens, static_cast<double>(aShape.mMaxTokens));
    score +=
      aRules.mShortProtection * output * idleStep * (answer.mStepSlowdown - 1);
  } else {
    // A long prompt slows all that is running there for as long as it reads.
    const double chunkSeconds =
      static_cast<double>(aEngine.mChunk) / aEngine.mPrefillTokensPerSecond;
    const double part =
      chunkSeconds / StepSeconds(aEngine, 1, aEngine.mChunk, 0);
    score += aRules.mShortProtection *
             UncontendedPrefillSeconds(aShape, aEngine) * part *
             answer.mRunningSequences / aEngine.mLargestBatch;
  }
  return score;
}

} // namespace

bool
PacksLongPrompts(const placement_rules& aRules,
                 const placement_state& aMemory,
                 std::size_t aEndpoints)
{
  return aRules.mLongPoolSlack > 0 &&
         2 * LongPoolSize(aMemory, aEndpoints) <= aEndpoints;
}

std::vector<std::size_t>
ChooseProbeTargets(const std::vector<std::string>& aNames,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const placement_state& aMemory,
                   std::size_t aGroup,
                   random_engine& aRandom)
{
  const std::size_t count = aNames.size();
  const std::size_t wanted = std::min<std::size_t>(aRules.mProbes, count);
  std::vector<std::size_t> chosen;
  if (count == 0) {
    return chosen;
  }
  const std::size_t front = LongPoolSize(aMemory, count);
  const bool packs = PacksLongPrompts(aRules, aMemory, count);
  if (aRules.mUsePrefixAffinity) {
    const std::optional<std::size_t> home =
      PrefixAffinityTarget(aNames, aShape);
    const bool isShortAtFront = home && !aShape.mLong && packs && *home < front;
    if (home && !isShortAtFront) {
      AddUnique(chosen, *home);
    }
  }
  if (!packs) {
    AddRandomTargets(chosen, 0, count, wanted, aRandom);
    return chosen;
  }
  if (aShape.mLong) {
    const std::size_t window = std::min(count, std::max(front + 1, aGroup + 1));
    AddRandomTargets(chosen, 0, window, wanted, aRandom);
    return chosen;
  }
  const std::size_t first = front < count ? front : 0;
  AddRandomTargets(chosen, first, count, wanted, aRandom);
  AddRandomTargets(chosen, 0, count, wanted, aRandom);
  return chosen;
}

std::vector<scored_candidate>
RankCandidates(const std::vector<candidate>& aCandidates,
               const request_shape& aShape,
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
      ? aRules.mLongPoolSlack * UncontendedPrefillSeconds(aShape, aEngine)
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
UpdateLongPoolSize(placement_state& aMemory,
                   const std::vector<candidate>& aCandidates,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const engine_shape& aEngine,
                   std::size_t aGroup,
                   std::size_t aEndpoints)
{
  if (!aShape.mLong || aRules.mLongPoolSlack <= 0 || aCandidates.empty()) {
    return;
  }
  std::vector<double> waits;
  std::size_t idleInFront = 0;
  const double own = UncontendedPrefillSeconds(aShape, aEngine);
  for (const candidate& one : aCandidates) {
    if (one.mAnswer.mRefusal != refusal::None) {
      continue;
    }
    waits.push_back(one.mAnswer.mFirstTokenSeconds - own);
    const bool inFront =
      static_cast<double>(one.mIndex) < aMemory.mLongPoolSize;
    idleInFront += inFront && one.mAnswer.mLong == 0 ? 1 : 0;
  }
  std::sort(waits.begin(), waits.end());
  const double wait = waits.size() < aGroup ? INFINITY : waits[aGroup - 1];
  // Out by a tenth when long prompts wait, back by less when more engines of
  // the front stand idle than one request needs: the front does not swing
  // with each request.
  constexpr double kStepOut = 0.1;
  constexpr double kStepBack = 0.02;
  if (wait > aRules.mLongPoolSlack * own) {
    aMemory.mLongPoolSize += std::max(1.0, kStepOut * aMemory.mLongPoolSize);
  } else if (idleInFront > aGroup) {
    aMemory.mLongPoolSize -= std::max(0.1, kStepBack * aMemory.mLongPoolSize);
  }
  aMemory.mLongPoolSize =
    std::clamp(aMemory.mLongPoolSize,
               1.0,
               static_cast<double>(std::max<std::size_t>(1, aEndpoints)));
}

std::size_t
GroupSize(const request_shape& aShape,
          const placement_rules& aRules,
          tokens aEngineCapacity)
{
  const double usable =
    kUsableGroupMemory * static_cast<double>(aEngineCapacity);
  if (aEngineCapacity == 0) {
    return 1;
  }
  const bool fitsOne = aShape.MemoryTokens() <= aEngineCapacity;
  const std::size_t forMemory =
    fitsOne ? 1
            : static_cast<std::size_t>(
                std::ceil(static_cast<double>(aShape.MemoryTokens()) / usable));
  if (!aShape.mLong) {
    return forMemory;
  }
  const std::size_t parts = static_cast<std::size_t>(
    (aShape.mPromptTokens + aRules.mMaxLongPartTokens - 1) /
    aRules.mMaxLongPartTokens);
  return std::max({ forMemory,
                    std::min(parts, aRules.mMostParts),
                    ParallelPrefillEngines(aShape, aRules) });
}

request_shape
MemberShape(const request_shape& aShape, std::size_t aMembers, hold_role aRole)
{
  request_shape part = aShape;
  part.mPromptTokens = (aShape.mPromptTokens + aMembers - 1) / aMembers;
  if (aMembers > 1) {
    // A part's beginning is not the prompt's beginning.
    part.mPrefixHashes.clear();
  }
  if (aRole == hold_role::Member) {
    part.mMaxTokens = 0;
  }
  return part;
}

} // namespace primrose
