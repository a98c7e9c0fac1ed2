#pragma once

/// Estimates of the time that an engine takes to prefill a prompt and to decode
/// an answer.

#include "LibCore/LibCore.h"

namespace primrose {

/// Performance parameters of an engine, as declared by its operator.
struct engine_timing
{
  unsigned mSlots = 1; ///< Requests that it serves concurrently.
  /// Prompt and answer tokens that fit into its memory; 0 if not declared.
  double mMemoryTokens = 0;
  double mPrefillTokensPerMs = 1; ///< Without the cost of token pairs.
  /// Added for each million pairs of a prompt token and an earlier token.
  double mPrefillMsPerMillionPairs = 0;
  double mStepMs = 0;                  ///< Base time of one decode step.
  double mStepMsPerRequest = 0;        ///< Added for each decoding request.
  double mStepMsPerThousandTokens = 0; ///< Added per 1,000 tokens of context.
  /// Decode steps in one pass of an engine that has requests to decode.
  double mStepsPerPass = 1;
  double mMeanAnswerTokens = 0;

  bool operator==(const engine_timing&) const = default;
};

/// Milliseconds that one engine takes to prefill a whole prompt alone.
double
PrefillMs(const engine_timing& aEngine, double aPromptTokens);

/// Milliseconds of one pass that decodes this number of requests, with a total
/// context of `aContextTokens`, and prefills nothing.
double
DecodePassMs(const engine_timing& aEngine,
             double aRequests,
             double aContextTokens);

/// Milliseconds that an engine takes to decode an answer of this many tokens in
/// passes of `aPassMs`. At least one pass.
double
AnswerMs(const engine_timing& aEngine, double aAnswerTokens, double aPassMs);

} // namespace primrose
