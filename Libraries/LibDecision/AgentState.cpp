#include "LibDecision/AgentState.h"

#include <algorithm>

namespace primrose {

namespace {

/// Part of an engine's memory that idle prefixes may keep; running sequences
/// push them out.
constexpr tokens kCacheDivisor = 2;

bool
HoldsPrefillWork(const reservation_state& aWork)
{
  return aWork.mStage == reservation_stage::Granted ||
         aWork.mStage == reservation_stage::Reading;
}

std::vector<reservation_state*>
PrefillOrder(agent_state& aBoard)
{
  std::vector<reservation_state*> readers;
  for (auto& [attempt, work] : aBoard.mWork) {
    if (work.mStage == reservation_stage::Reading && work.mUnread > 0) {
      readers.push_back(&work);
    }
  }
  std::sort(
    readers.begin(),
    readers.end(),
    [](const reservation_state* aLeft, const reservation_state* aRight) {
      const request_shape& left = aLeft->mReservation.mShape;
      const request_shape& right = aRight->mReservation.mShape;
      return std::tuple(left.mLong, left.mPriority, aLeft->mOrder) <
             std::tuple(right.mLong, right.mPriority, aRight->mOrder);
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
  agent_state board;
  board.mModel = aModel;
  board.mShape = aShape;
  board.mLimits = aLimits;
  board.mCache = prefix_cache(aShape.mCapacity / kCacheDivisor);
  board.mStarted = aNow;
  board.mPrefillAdvancedAt = aNow;
  return board;
}

std::size_t
RunningSequences(const agent_state& aBoard)
{
  std::size_t running = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const bool inBatch = work.mReservation.mRole != hold_role::Member;
    running += work.HoldsMemory() && inBatch ? 1 : 0;
  }
  return running;
}

tokens
FreeTokens(const agent_state& aBoard)
{
  return aBoard.mShape.mCapacity -
         std::min(aBoard.mUsed, aBoard.mShape.mCapacity);
}

double
PrefillTokensLeft(const agent_state& aBoard, bool aLongOnly)
{
  double unread = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const bool counts = !aLongOnly || work.mReservation.mShape.mLong;
    unread += HoldsPrefillWork(work) && counts ? work.mUnread : 0;
  }
  return unread;
}

double
PrefillRate(const agent_state& aBoard)
{
  const engine_shape& shape = aBoard.mShape;
  const double step =
    StepSeconds(shape, RunningSequences(aBoard), shape.mChunk, aBoard.mUsed);
  return static_cast<double>(shape.mChunk) / (step * aBoard.mPrefillSlowdown);
}

void
AdvancePrefill(agent_state& aBoard, time_point aNow)
{
  double budget =
    Seconds(aNow - aBoard.mPrefillAdvancedAt) * PrefillRate(aBoard);
  aBoard.mPrefillAdvancedAt = aNow;
  if (budget <= 0) {
    return;
  }
  for (reservation_state* const work : PrefillOrder(aBoard)) {
    const double read = std::min(budget, work->mUnread);
    work->mUnread -= read;
    budget -= read;
  }
}

} // namespace primrose
