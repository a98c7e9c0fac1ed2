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
  request_shape mShape;
  hold_role mRole = hold_role::Whole;
  time_point mArrival;
  time_point mDeadline;
  time_point mWaitUntil;
  duration mLease{};
  double mWeight = 1;

  bool operator==(const reservation&) const = default;
};

enum class reservation_stage : std::uint8_t
{
  Waiting, ///< In the agent's queue; no memory is held.
  Granted, ///< Memory is held; the prompt has not come yet.
  Reading, ///< Given to the engine; no token has come back.
  Writing, ///< Tokens are coming.
};

/// A reservation and where it stands.
struct reservation_state
{
  reservation mReservation;
  reservation_stage mStage = reservation_stage::Waiting;
  time_point mLeaseEnd;
  time_point mGrantedAt;
  time_point mPrefillStartedAt;
  tokens mCachedTokens = 0;
  double mUnread = 0; ///< Prompt tokens believed not read yet.
  double mPredictedPrefillSeconds =
    0;                      ///< Seconds of reading, as foreseen at its start.
  std::uint64_t mOrder = 0; ///< Order of arrival at this agent.

  bool operator==(const reservation_state&) const = default;
  bool HoldsMemory() const { return mStage != reservation_stage::Waiting; }
};

/// Tunable bounds of one agent; from the settings tree.
struct agent_limits
{
  std::size_t mMaxQueueLength = 512;
  tokens mLongTokensAtOnce = 400000;
  /// Part of the memory that long prompts may hold.
  double mLongMemoryPart = 0.75;
  duration mAgeingInterval = std::chrono::seconds(20);
  /// Prompt tokens given to the engine ahead of its reading, in seconds of
  /// reading. What waits here can still be ordered, in the engine it cannot.
  double mEngineQueueSeconds = 0.25;
  /// A freshly started engine takes its full load only after this time.
  duration mSlowStartDuration = std::chrono::seconds(10);
  bool mUseFairShares = true;
  bool mUsePriorities = true;

  bool operator==(const agent_limits&) const = default;
};

struct agent_state
{
  engine_shape mShape;
  agent_limits mLimits;
  std::string mModel;
  std::map<std::string, reservation_state> mWork; ///< By attempt.
  tokens mUsed = 0; ///< Memory of all that hold some.
  prefix_cache mCache;
  bool mLeaving = false;
  bool mEngineUp = true;
  time_point mStarted;
  time_point mPrefillAdvancedAt; ///< Until when `mUnread` was worked out.
  /// Fair shares: each organisation's tokens served, over its weight, and the
  /// start tag of the last one served.
  std::map<std::string, double> mServed;
  double mVirtualTime = 0;
  /// How much slower the engine reads than its shape says (measured).
  double mPrefillSlowdown = 1;
  double mMeanMemoryHoldSeconds = 5; ///< How long memory is held, on average.
  std::uint64_t mNextArrivalOrder = 0;
};

agent_state
MakeAgentState(const std::string& aModel,
               const engine_shape& aShape,
               const agent_limits& aLimits,
               time_point aNow);

/// Sequences that occupy a place in the engine's batch.
std::size_t
RunningSequences(const agent_state& aBoard);
tokens
FreeTokens(const agent_state& aBoard);
/// Unread tokens of all work that has memory, or only of the long prompts.
double
PrefillTokensLeft(const agent_state& aBoard, bool aLongOnly);

/// Lowers `mUnread` by what the engine can have read since the last call.
void
AdvancePrefill(agent_state& aBoard, time_point aNow);

/// The rate at which the engine reads prompts while it also writes.
double
PrefillRate(const agent_state& aBoard);

} // namespace primrose
