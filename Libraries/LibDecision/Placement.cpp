#include "LibDecision/Placement.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Usable part of a group's memory. The rest stays free, since prompts are
/// split at whole blocks and the engines' own token counts differ a little from
/// the estimate.
constexpr double kUsableGroupMemory = 0.95;
/// Output tokens charged for an engine's slowdown; the real length of an answer
/// is not known at placement.
constexpr double kAssumedOutputTokens = 64;

void
AddUnique(std::vector<std::size_t>& aChosen, std::size_t aIndex)
{
  if (std::find(aChosen.begin(), aChosen.end(), aIndex) == aChosen.end()) {
    aChosen.push_back(aIndex);
  }
}

/// The endpoint to which rendezvous hashing assigns prompts with this prefix,
/// so that the prefix is read and cached only once. None if the prompt is too
/// short to have a prefix hash.
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
LongPoolSize(const placement_state& aState, std::size_t aEndpoints)
{
  const double poolSize = std::ceil(std::max(0.0, aState.mLongPoolSize));
  return std::min(static_cast<std::size_t>(poolSize), aEndpoints);
}

void
AddRandomTargets(std::vector<std::size_t>& aChosen,
                 std::size_t aFirst,
                 std::size_t aEnd,
                 std::size_t aWanted,
                 random_engine& aRandom)
{
  // The number of draws is bounded: when nearly the whole range is chosen
  // already, random draws mostly repeat earlier ones. A few probes less do no
  // harm.
  constexpr std::size_t kDrawsPerProbe = 4;
  const std::size_t draws = kDrawsPerProbe * aWanted;
  for (std::size_t i = 0; i < draws && aChosen.size() < aWanted; ++i) {
    AddUnique(aChosen, aFirst + Below(aRandom, aEnd - aFirst));
  }
}

/// Number of engines over which a long prompt is spread to be read sooner.
/// Parts that are too small would gain less than the group's reservations cost.
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
CandidateScore(const candidate& aCandidate,
               const request_shape& aShape,
               const placement_rules& aRules,
               const engine_shape& aEngine)
{
  const probe_answer& answer = aCandidate.mAnswer;
  double score = answer.mFirstTokenSeconds;
  const double idleStepSeconds = StepSeconds(aEngine, 1, 0, 0);
  if (!aShape.mLong) {
    // A short request is delayed by the engine's slowdown at each output
    // token.
    const double outputTokens =
      std::min(kAssumedOutputTokens, static_cast<double>(aShape.mMaxTokens));
    score += aRules.mShortProtection * outputTokens * idleStepSeconds *
             (answer.mStepSlowdown - 1);
  } else {
    // A long prompt slows every sequence running on the engine for the duration
    // of its prefill.
    const double chunkSeconds =
      static_cast<double>(aEngine.mChunk) / aEngine.mPrefillTokensPerSecond;
    const double prefillShareOfStep =
      chunkSeconds / StepSeconds(aEngine, 1, aEngine.mChunk, 0);
    score += aRules.mShortProtection *
             UncontendedPrefillSeconds(aShape, aEngine) * prefillShareOfStep *
             answer.mRunningSequences / aEngine.mLargestBatch;
  }
  return score;
}

} // namespace

bool
PacksLongPrompts(const placement_rules& aRules,
                 const placement_state& aState,
                 std::size_t aEndpoints)
{
  return aRules.mLongPoolSlack > 0 &&
         2 * LongPoolSize(aState, aEndpoints) <= aEndpoints;
}

std::vector<std::size_t>
ChooseProbeTargets(const std::vector<std::string>& aNames,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const placement_state& aState,
                   std::size_t aGroupSize,
                   random_engine& aRandom)
{
  const std::size_t count = aNames.size();
  const std::size_t wanted = std::min<std::size_t>(aRules.mProbes, count);
  std::vector<std::size_t> chosen;
  if (count == 0) {
    return chosen;
  }
  const std::size_t poolSize = LongPoolSize(aState, count);
  const bool packsLong = PacksLongPrompts(aRules, aState, count);
  if (aRules.mUsePrefixAffinity) {
    const std::optional<std::size_t> affinity =
      PrefixAffinityTarget(aNames, aShape);
    const bool isShortInLongPool =
      affinity && !aShape.mLong && packsLong && *affinity < poolSize;
    if (affinity && !isShortInLongPool) {
      AddUnique(chosen, *affinity);
    }
  }
  if (!packsLong) {
    AddRandomTargets(chosen, 0, count, wanted, aRandom);
    return chosen;
  }
  if (aShape.mLong) {
    const std::size_t range =
      std::min(count, std::max(poolSize + 1, aGroupSize + 1));
    AddRandomTargets(chosen, 0, range, wanted, aRandom);
    return chosen;
  }
  const std::size_t first = poolSize < count ? poolSize : 0;
  AddRandomTargets(chosen, first, count, wanted, aRandom);
  AddRandomTargets(chosen, 0, count, wanted, aRandom);
  return chosen;
}

std::vector<scored_candidate>
RankCandidates(const std::vector<candidate>& aCandidates,
               const request_shape& aShape,
               const placement_rules& aRules,
               const engine_shape& aEngine,
               bool aPacksLong)
{
  std::vector<scored_candidate> ranked;
  for (const candidate& one : aCandidates) {
    if (one.mAnswer.mRefusal == refusal::None) {
      ranked.push_back(
        { one.mIndex, CandidateScore(one, aShape, aRules, aEngine) });
    }
  }
  const double slack =
    aShape.mLong && aPacksLong
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
  // Of the candidates within `slack` of the best score, the first in the shared
  // order is preferred.
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
UpdateLongPoolSize(placement_state& aState,
                   const std::vector<candidate>& aCandidates,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const engine_shape& aEngine,
                   std::size_t aGroupSize,
                   std::size_t aEndpoints)
{
  if (!aShape.mLong || aRules.mLongPoolSlack <= 0 || aCandidates.empty()) {
    return;
  }
  std::vector<double> waits;
  std::size_t idleInPool = 0;
  const double ownSeconds = UncontendedPrefillSeconds(aShape, aEngine);
  for (const candidate& one : aCandidates) {
    if (one.mAnswer.mRefusal != refusal::None) {
      continue;
    }
    waits.push_back(one.mAnswer.mFirstTokenSeconds - ownSeconds);
    const bool isInPool =
      static_cast<double>(one.mIndex) < aState.mLongPoolSize;
    idleInPool += isInPool && one.mAnswer.mLong == 0 ? 1 : 0;
  }
  std::sort(waits.begin(), waits.end());
  const double wait =
    waits.size() < aGroupSize ? INFINITY : waits[aGroupSize - 1];
  // The pool grows by a tenth when long prompts wait and shrinks by less when
  // more engines of the pool are idle than one request needs, so that its size
  // does not oscillate with each request.
  constexpr double kGrowthPart = 0.1;
  constexpr double kShrinkPart = 0.02;
  if (wait > aRules.mLongPoolSlack * ownSeconds) {
    aState.mLongPoolSize += std::max(1.0, kGrowthPart * aState.mLongPoolSize);
  } else if (idleInPool > aGroupSize) {
    aState.mLongPoolSize -= std::max(0.1, kShrinkPart * aState.mLongPoolSize);
  }
  aState.mLongPoolSize =
    std::clamp(aState.mLongPoolSize,
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
    // The start of a part is not the start of the prompt, so the prefix hashes
    // do not apply.
    part.mPrefixHashes.clear();
  }
  if (aRole == hold_role::Member) {
    part.mMaxTokens = 0;
  }
  return part;
}

} // namespace primrose
