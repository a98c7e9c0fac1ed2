#pragma once

/// What an engine takes to read a prompt and to write an answer.

#include "LibCore/LibCore.h"

namespace primrose {

/// The engine's arithmetic, as its operator declares it.
struct engine_timing
{
  unsigned mSlots = 1;      ///< Requests that it works on at once.
  double mMemoryTokens = 0; ///< Prompt and answer tokens that fit; 0: not told.
  double mPrefillTokensPerMs = 1; ///< Reading without the cost of pairs.
  double mPrefillMsPerMillionPairs =
    0;                          ///< For each token and any earlier token.
  double mStepMs = 0;           ///< One token step.
  double mStepMsPerRequest = 0; ///< Added for each request that writes.
  double mStepMsPerThousandTokens = 0; ///< Added per 1,000 tokens of context.
  double mStepsPerPass = 1;            ///< Steps of one pass that has writers.
  double mMeanAnswerTokens = 0;        ///< Mean size of an answer.

  bool operator==(const engine_timing&) const = default;
};

/// Milliseconds that one engine takes to read a whole prompt alone.
double
PrefillMs(const engine_timing& aEngine, double aPromptTokens);

/// Milliseconds of one pass that writes for these requests and reads nothing.
double
DecodePassMs(const engine_timing& aEngine,
             double aWriters,
             double aContextTokens);

} // namespace primrose
