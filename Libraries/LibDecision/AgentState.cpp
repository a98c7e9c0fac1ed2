#include "LibDecision/AgentState.h"

#include <algorithm>

namespace primrose {

namespace {

/// Cached prefixes that no running sequence uses may take half of an engine's
/// memory; running sequences evict them.
constexpr tokens kCacheDivisor = 2;

bool
HoldsPrefillWork(const reservation_state& aWork)
{
  return aWork.mStage == reservation_stage::Granted ||
         aWork.mStage == reservation_stage::Prefilling;
}

std::vector<reservation_state*>
PrefillOrder(agent_state& aState)
{
  std::vector<reservation_state*> readers;
  for (auto& [attempt, work] : aState.mWork) {
    if (work.mStage == reservation_stage::Prefilling &&
        work.mPrefillTokensLeft > 0) {
      readers.push_back(&work);
    }
  }
  std::sort(
    readers.begin(),
    readers.end(),
    [](const reservation_state* aLeft, const reservation_state* aRight) {
      const request_shape& left = aLeft->mReservation.mShape;
      const request_shape& right = aRight->mReservation.mShape;
      return std::tuple(left.mLong, left.mPriority, aLeft->mArrivalOrder) <
             std::tuple(right.mLong, right.mPriority, aRight->mArrivalOrder);
    });
  return readers;
}

} // namespace

double
StepSeconds(const engine_shape& aShape,
            std::size_t aSequences,
            tokens aRead,
            tokens aResident)
{
  return aShape.mBaseStepSeconds +
         aShape.mSecondsPerSequence * static_cast<double>(aSequences) +
         static_cast<double>(aRead) / aShape.mPrefillTokensPerSecond +
         aShape.mSecondsPerResidentToken * static_cast<double>(aResident);
}

agent_state
MakeAgentState(const std::string& aModel,
               const engine_shape& aShape,
               const agent_limits& aLimits,
               time_point aNow)
{
  agent_state state;
  state.mModel = aModel;
  state.mShape = aShape;
  state.mLimits = aLimits;
  state.mCache = prefix_cache(aShape.mCapacity / kCacheDivisor);
  state.mStarted = aNow;
  state.mPrefillAdvancedAt = aNow;
  return state;
}

std::size_t
RunningSequences(const agent_state& aState)
{
  std::size_t running = 0;
  for (const auto& [attempt, work] : aState.mWork) {
    const bool inBatch = work.mReservation.mRole != hold_role::Member;
    running += work.HoldsMemory() && inBatch ? 1 : 0;
  }
  return running;
}

tokens
FreeTokens(const agent_state& aState)
{
  return aState.mShape.mCapacity -
         std::min(aState.mUsed, aState.mShape.mCapacity);
}

double
PrefillTokensLeft(const agent_state& aState, bool aLongOnly)
{
  double unread = 0;
  for (const auto& [attempt, work] : aState.mWork) {
    const bool isCounted = !aLongOnly || work.mReservation.mShape.mLong;
    unread += HoldsPrefillWork(work) && isCounted ? work.mPrefillTokensLeft : 0;
  }
  return unread;
}

double
PrefillRate(const agent_state& aState)
{
  const engine_shape& shape = aState.mShape;
  const double step =
    StepSeconds(shape, RunningSequences(aState), shape.mChunk, aState.mUsed);
  return static_cast<double>(shape.mChunk) / (step * aState.mPrefillSlowdown);
}

void
AdvancePrefill(agent_state& aState, time_point aNow)
{
  double budget =
    Seconds(aNow - aState.mPrefillAdvancedAt) * PrefillRate(aState);
  aState.mPrefillAdvancedAt = aNow;
  if (budget <= 0) {
    return;
  }
  for (reservation_state* const work : PrefillOrder(aState)) {
    const double read = std::min(budget, work->mPrefillTokensLeft);
    work->mPrefillTokensLeft -= read;
    budget -= read;
  }
}

} // namespace primrose
