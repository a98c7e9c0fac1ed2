#pragma once

/// The blackboard of an agent: all it knows of its engine and of the work
/// reserved there. It is the truth about the endpoint; nobody else keeps one.

#include "LibDecision/PrefixCache.h"
#include "LibDecision/RequestShape.h"

#include <map>
#include <optional>
#include <string>

namespace primrose {

/// What an engine can do. Seconds and tokens.
struct engine_shape
{
  tokens mCapacity = 400000;
  unsigned mLargestBatch = 128;
  tokens mChunk = 1024;
  double mPrefillTokensPerSecond = 40000;
  double mBaseStepSeconds = 0.012;
  double mSecondsPerSequence = 0.00015;
  double mSecondsPerResidentToken = 5e-9;

  bool operator==(const engine_shape&) const = default;
};

/// One step's duration with so many sequences writing, tokens being read and
/// tokens resident.
double
StepSeconds(const engine_shape& aShape,
            std::size_t aSequences,
            tokens aRead,
            tokens aResident);

struct reservation
{
  std::string mRequest;
  std::string mAttempt;
  work_shape mShape;
  hold_role mRole = hold_role::Whole;
  time_point mArrival;
  time_point mDeadline;
  time_point mWaitUntil;
  duration mLease{};
  double mWeight = 1;

  bool operator==(const reservation&) const = default;
};

enum class stage : std::uint8_t
{
  Waiting, ///< In the agent's queue; no memory is held.
  Granted, ///< Memory is held; the prompt has not come yet.
  Reading, ///< Given to the engine; no token has come back.
  Writing, ///< Tokens are coming.
};

/// A reservation and where it stands.
struct held_work
{
  reservation mReservation;
  stage mStage = stage::Waiting;
  time_point mLeaseEnd;
  time_point mGrantedAt;
  time_point mReadingSince;
  tokens mCached = 0;
  double mUnread = 0;       ///< Prompt tokens believed not read yet.
  double mPredicted = 0;    ///< Seconds of reading, as foreseen at its start.
  std::uint64_t mOrder = 0; ///< Order of arrival at this agent.

  bool operator==(const held_work&) const = default;
  bool HoldsMemory() const { return mStage != stage::Waiting; }
};

/// Tunable bounds of one agent; from the settings tree.
struct agent_limits
{
  std::size_t mLongestQueue = 512;
  tokens mLongTokensAtOnce = 400000;
  /// Part of the memory that long prompts may hold.
  double mLongMemoryPart = 0.75;
  duration mAgeing = std::chrono::seconds(20);
  /// Prompt tokens given to the engine ahead of its reading, in seconds of
  /// reading. What waits here can still be ordered, in the engine it cannot.
  double mReadAheadSeconds = 0.25;
  /// A freshly started engine takes its full load only after this time.
  duration mSlowStart = std::chrono::seconds(10);
  bool mFairShares = true;
  bool mPriorities = true;

  bool operator==(const agent_limits&) const = default;
};

struct agent_board
{
  engine_shape mShape;
  agent_limits mLimits;
  std::string mModel;
  std::map<std::string, held_work> mWork; ///< By attempt.
  tokens mUsed = 0;                       ///< Memory of all that hold some.
  prefix_cache mCache;
  bool mLeaving = false;
  bool mEngineUp = true;
  time_point mStarted;
  time_point mAdvanced; ///< Until when `mUnread` was worked out.
  /// Fair shares: each organisation's tokens served, over its weight, and the
  /// start tag of the last one served.
  std::map<std::string, double> mServed;
  double mVirtualTime = 0;
  /// How much slower the engine reads than its shape says (measured).
  double mSlowness = 1;
  double mResidenceSeconds = 5; ///< How long memory is held, on average.
  std::uint64_t mNextOrder = 0;
};

agent_board
MakeAgentBoard(const std::string& aModel,
               const engine_shape& aShape,
               const agent_limits& aLimits,
               time_point aNow);

/// Sequences that occupy a place in the engine's batch.
std::size_t
RunningCount(const agent_board& aBoard);
tokens
FreeTokens(const agent_board& aBoard);
/// Unread tokens of all work that has memory, or only of the long prompts.
double
UnreadTokens(const agent_board& aBoard, bool aLongOnly);

/// Lowers `mUnread` by what the engine can have read since the last call.
void
AdvanceReading(agent_board& aBoard, time_point aNow);

/// The rate at which the engine reads prompts while it also writes.
double
ReadingRate(const agent_board& aBoard);

} // namespace primrose
