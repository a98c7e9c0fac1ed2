#pragma once

/// The state of one agent: its model of its engine and every reservation on it.
/// This state is authoritative for the endpoint; no other process keeps a copy
/// that overrides it.

#include "LibDecision/PrefixCache.h"
#include "LibDecision/RequestShape.h"

#include <map>
#include <optional>
#include <string>

namespace primrose {

/// Capacity and step time parameters of an engine, in seconds and tokens.
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

/// Duration of one engine step that decodes `aSequences` sequences and reads
/// `aRead` prompt tokens while `aResident` tokens are resident in memory.
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
  time_point mWaitUntil; ///< Removed from the queue if not granted by then.
  duration mLease{};
  double mWeight = 1; ///< Fair-share weight of the organisation.

  bool operator==(const reservation&) const = default;
};

enum class reservation_stage : std::uint8_t
{
  Waiting,    ///< In the agent's queue; holds no memory.
  Granted,    ///< Holds memory; the prompt has not arrived yet.
  Prefilling, ///< Sent to the engine, which has returned no token yet.
  Decoding,   ///< The engine returns tokens.
};

/// A reservation, its stage and its progress.
struct reservation_state
{
  reservation mReservation;
  reservation_stage mStage = reservation_stage::Waiting;
  time_point mLeaseEnd;
  time_point mGrantedAt;
  time_point mPrefillStartedAt;
  tokens mCachedTokens = 0;
  /// Estimated prompt tokens that the engine has not read yet.
  double mPrefillTokensLeft = 0;
  /// Duration of the prefill, estimated at its start.
  double mPredictedPrefillSeconds = 0;
  /// Order of arrival at this agent.
  std::uint64_t mArrivalOrder = 0;

  bool operator==(const reservation_state&) const = default;
  bool HoldsMemory() const { return mStage != reservation_stage::Waiting; }
};

/// Tunable limits of one agent. Some come from the settings tree (see
/// `LimitsOf` in LibRules), the others keep these defaults.
struct agent_limits
{
  std::size_t mMaxQueueLength = 512;
  /// Prompt tokens of long prompts that the engine may have to read at once.
  tokens mLongTokensAtOnce = 400000;
  /// Part of the engine's memory that long prompts may hold together.
  double mLongMemoryPart = 0.75;
  /// Waiting this long raises a request by one priority class.
  duration mAgeingInterval = std::chrono::seconds(20);
  /// Short prompt tokens sent to the engine ahead of its prefill, expressed as
  /// seconds of prefill. Work that waits in the agent can still be reordered,
  /// work in the engine cannot.
  double mEngineQueueSeconds = 0.25;
  /// A newly started engine takes its full load only after this time.
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
  /// Memory tokens held by all reservations that are past `Waiting`.
  tokens mUsed = 0;
  prefix_cache mCache;
  bool mLeaving = false;
  bool mEngineUp = true;
  time_point mStarted;
  /// Time up to which `mPrefillTokensLeft` is calculated.
  time_point mPrefillAdvancedAt;
  /// Start-time fair queueing. For each organisation the finish tag of its last
  /// grant: the start tag plus the granted tokens divided by its weight.
  std::map<std::string, double> mServed;
  /// Start tag of the last reservation granted.
  double mVirtualTime = 0;
  /// Measured prefill time divided by the time that `mShape` predicts.
  double mPrefillSlowdown = 1;
  /// Moving average of the time for which a reservation holds memory.
  double mMeanMemoryHoldSeconds = 5;
  std::uint64_t mNextArrivalOrder = 0;
};

agent_state
MakeAgentState(const std::string& aModel,
               const engine_shape& aShape,
               const agent_limits& aLimits,
               time_point aNow);

/// Number of sequences that occupy a slot in the engine's batch.
std::size_t
RunningSequences(const agent_state& aState);
tokens
FreeTokens(const agent_state& aState);
/// Prompt tokens that the engine has still to read for all reservations that
/// hold memory, or only for long prompts.
double
PrefillTokensLeft(const agent_state& aState, bool aLongOnly);

/// Lowers `mPrefillTokensLeft` by what the engine can have read since the last
/// call.
void
AdvancePrefill(agent_state& aState, time_point aNow);

/// Estimated prompt tokens per second that the engine reads while it also
/// decodes.
double
PrefillRate(const agent_state& aState);

} // namespace primrose
