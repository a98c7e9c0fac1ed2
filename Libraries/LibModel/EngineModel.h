#pragma once

/// Simulated engine. Assumptions of the model; their parameters are in
/// `engine_shape` and can be set:
/// - An engine works in steps. A step reads up to `mChunk` prompt tokens, in
///   the order of priority and then arrival, and decodes one token for each
///   sequence whose prompt has been read.
/// - The duration of a step is linear: a base time plus a time for each
///   decoding sequence, each prompt token read and each resident token.
/// - A sequence holds memory for its whole prompt and its longest answer from
///   its admission to its end. A sequence that does not fit waits in the
///   engine.
/// - Prefixes of finished prompts stay cached in free memory; the least
///   recently used are evicted first.
/// - A prompt that is spread over several engines is read by each of them in
///   equal parts. Each further engine adds `kGroupEfficiency` of its speed.

#include "LibDecision/LibDecision.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrose {

/// Part of a further engine's prefill speed that is gained when it reads parts
/// of the same prompt.
inline constexpr double kGroupEfficiency = 0.9;

struct engine_job
{
  std::string mId;
  tokens mPromptTokens = 0;
  tokens mOutputTokens = 0;  ///< Tokens that it will decode.
  tokens mReserveTokens = 0; ///< Memory tokens that it holds.
  std::vector<std::uint64_t> mPrefixHashes;
  unsigned mPriority = 1;
  /// Part of the prompt that this engine reads itself, 0 to 1.
  double mPrefillPart = 1;
  /// Only holds memory for another engine's prompt; ends only when it is
  /// cancelled.
  bool mHoldOnly = false;
  /// One part of a prompt that several engines read. After its prefill the job
  /// holds its memory: the lead until `BeginDecoding`, a member until it is
  /// cancelled.
  bool mGroupPart = false;

  bool operator==(const engine_job&) const = default;
};

enum class job_stage : std::uint8_t
{
  Waiting, ///< Not enough memory or no free slot in the batch.
  Prefilling,
  Decoding,
  Holding,
};

struct job_state
{
  engine_job mJob;
  job_stage mStage = job_stage::Waiting;
  double mPrefillTokensLeft = 0;
  tokens mTokensEmitted = 0;
  std::uint64_t mArrivalOrder = 0;

  bool operator==(const job_state&) const = default;
};

/// A token that a step decoded.
struct engine_output
{
  std::string mId;
  tokens mIndex = 0;
  bool mLast = false;
  /// Not a token: the prefill of a group's part has ended.
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
  /// The work of the current step: prompt tokens read by each job, and the jobs
  /// that decode.
  std::map<std::string, double> mStepPrefills;
  std::vector<std::string> mStepDecodes;
  /// Injected fault: multiplies the duration of every step.
  double mStepTimeFactor = 1;
  std::uint64_t mNextArrivalOrder = 0;
  std::uint64_t mSteps = 0;
  double mPrefilledTokens = 0;
  std::uint64_t mDecodedTokens = 0;
  double mBusySeconds = 0;
};

engine_model
MakeEngine(const engine_shape& aShape);

/// Submits a job. Returns false if it needs more memory than the engine has, or
/// if its id is in use.
bool
Submit(engine_model& aEngine, const engine_job& aJob, time_point aNow);
/// Ends a job at once and frees its memory; false if there is no such job.
bool
Cancel(engine_model& aEngine, const std::string& aId);
/// Starts decoding on the lead after all parts of its group have been read.
/// Returns false if the job does not exist or is not ready.
bool
BeginDecoding(engine_model& aEngine, const std::string& aId, time_point aNow);
/// If the current step has ended by `aNow`, returns its output and begins the
/// next step.
std::vector<engine_output>
Advance(engine_model& aEngine, time_point aNow);

/// Prompt tokens that wait to be read or are being read.
double
PendingPrefillTokens(const engine_model& aEngine);

} // namespace primrose
