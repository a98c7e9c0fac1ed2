#pragma once

/// ASSUMPTIONS of the model, all in `engine_shape` and so settable:
/// - an engine works in steps; a step reads up to `mChunk` prompt tokens, in
///   the order of priority and then arrival, and writes one token for each
///   sequence whose prompt is read;
/// - a step's time is linear: a base, so much for each writing sequence, for
///   each prompt token read and for each resident token;
/// - a sequence holds memory for its whole prompt and its longest answer from
///   its admission to its end; one that does not fit waits in the engine;
/// - prefixes of finished prompts stay cached in memory that is free, the
///   least recently used going first;
/// - a prompt spread over several engines is read by each of them in equal
///   parts; `kGroupEfficiency` of each further engine's speed is gained.

#include "LibDecision/LibDecision.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrose {

/// What an engine gains from each further one that reads the same prompt.
inline constexpr double kGroupEfficiency = 0.9;

struct engine_job
{
  std::string mId;
  tokens mPromptTokens = 0;
  tokens mOutputTokens = 0;  ///< Tokens that it will write.
  tokens mReserveTokens = 0; ///< Memory that it holds.
  std::vector<std::uint64_t> mPrefixHashes;
  unsigned mPriority = 1;
  /// Part of the prompt's reading that this engine does itself, 0 to 1.
  double mPrefillPart = 1;
  /// Memory held for another engine's prompt; ends only by being cancelled.
  bool mHoldOnly = false;
  /// A part of a prompt that several engines read: when it is read the job
  /// holds its memory until `BeginDecoding`, or for a member until cancelled.
  bool mGroupPart = false;

  bool operator==(const engine_job&) const = default;
};

enum class job_stage : std::uint8_t
{
  Waiting, ///< Not enough memory or no place in the batch.
  Reading,
  Writing,
  Holding,
};

struct job_state
{
  engine_job mJob;
  job_stage mStage = job_stage::Waiting;
  double mUnread = 0;
  tokens mWritten = 0;
  std::uint64_t mOrder = 0;

  bool operator==(const job_state&) const = default;
};

/// A token that a step wrote.
struct engine_output
{
  std::string mId;
  tokens mIndex = 0;
  bool mLast = false;
  /// Not a token: a group's part has been read.
  bool mPartPrefilled = false;

  bool operator==(const engine_output&) const = default;
};

struct engine_model
{
  engine_shape mShape;
  std::map<std::string, job_state> mJobs;
  tokens mUsed = 0;
  prefix_cache mCache;
  std::optional<time_point> mStepEnds;
  /// What the step under way reads and writes, by job.
  std::map<std::string, double> mStepPrefills;
  std::vector<std::string> mStepDecodes;
  double mStepTimeFactor = 1; ///< A fault: every step takes so much longer.
  std::uint64_t mNextArrivalOrder = 0;
  std::uint64_t mSteps = 0;
  double mPrefilledTokens = 0;
  std::uint64_t mDecodedTokens = 0;
  double mBusySeconds = 0;
};

engine_model
MakeEngine(const engine_shape& aShape);

/// Takes a job. False: its memory is larger than the engine's, or the id is
/// taken.
bool
Submit(engine_model& aEngine, const engine_job& aJob, time_point aNow);
/// Ends a job at once and frees its memory; false if there is none.
bool
Cancel(engine_model& aEngine, const std::string& aId);
/// All parts of the group have been read: its lead writes. False if the job
/// is not there or not ready.
bool
BeginDecoding(engine_model& aEngine, const std::string& aId, time_point aNow);
/// If the time of the step under way has come, ends it, gives what it wrote
/// and begins the next.
std::vector<engine_output>
Advance(engine_model& aEngine, time_point aNow);

/// Prompt tokens that wait or are being read.
double
PendingPrefillTokens(const engine_model& aEngine);

} // namespace primrose
