#include "LibDecision/AgentState.h"

#include <algorithm>

namespace primrose {

namespace {

/// Part of an engine's memory that idle prefixes may keep; running sequences
/// push them out.
constexpr tokens kCacheDivisor = 2;

bool
IsReading(const held_work& aWork)
{
  return aWork.mStage == stage::Granted || aWork.mStage == stage::Reading;
}

std::vector<held_work*>
ReadersInOrder(agent_board& aBoard)
{
  std::vector<held_work*> readers;
  for (auto& [attempt, work] : aBoard.mWork) {
    if (work.mStage == stage::Reading && work.mUnread > 0) {
      readers.push_back(&work);
    }
  }
  std::sort(readers.begin(),
            readers.end(),
            [](const held_work* aLeft, const held_work* aRight) {
              const work_shape& left = aLeft->mReservation.mShape;
              const work_shape& right = aRight->mReservation.mShape;
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

agent_board
MakeAgentBoard(const std::string& aModel,
               const engine_shape& aShape,
               const agent_limits& aLimits,
               time_point aNow)
{
  agent_board board;
  board.mModel = aModel;
  board.mShape = aShape;
  board.mLimits = aLimits;
  board.mCache = prefix_cache(aShape.mCapacity / kCacheDivisor);
  board.mStarted = aNow;
  board.mAdvanced = aNow;
  return board;
}

std::size_t
RunningCount(const agent_board& aBoard)
{
  std::size_t running = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const bool inBatch = work.mReservation.mRole != hold_role::Member;
    running += work.HoldsMemory() && inBatch ? 1 : 0;
  }
  return running;
}

tokens
FreeTokens(const agent_board& aBoard)
{
  return aBoard.mShape.mCapacity -
         std::min(aBoard.mUsed, aBoard.mShape.mCapacity);
}

double
UnreadTokens(const agent_board& aBoard, bool aLongOnly)
{
  double unread = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const bool counts = !aLongOnly || work.mReservation.mShape.mLong;
    unread += IsReading(work) && counts ? work.mUnread : 0;
  }
  return unread;
}

double
ReadingRate(const agent_board& aBoard)
{
  const engine_shape& shape = aBoard.mShape;
  const double step =
    StepSeconds(shape, RunningCount(aBoard), shape.mChunk, aBoard.mUsed);
  return static_cast<double>(shape.mChunk) / (step * aBoard.mSlowness);
}

void
AdvanceReading(agent_board& aBoard, time_point aNow)
{
  double budget = Seconds(aNow - aBoard.mAdvanced) * ReadingRate(aBoard);
  aBoard.mAdvanced = aNow;
  if (budget <= 0) {
    return;
  }
  for (held_work* const work : ReadersInOrder(aBoard)) {
    const double read = std::min(budget, work->mUnread);
    work->mUnread -= read;
    budget -= read;
  }
}

} // namespace primrose
