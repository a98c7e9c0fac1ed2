#pragma once

/// An engine as the users' deployments declare theirs, for tests and
/// measurements of placement.

#include "LibFleet/EngineTiming.h"

namespace primrose {

inline engine_timing
SampleEngine()
{
  engine_timing timing;
  timing.mSlots = 16;
  timing.mMemoryTokens = 315000;
  timing.mPrefillTokensPerMs = 177;
  timing.mPrefillMsPerMillionPairs = 0.184;
  timing.mStepMs = 0.85;
  timing.mStepMsPerRequest = 0.00425;
  timing.mStepMsPerThousandTokens = 0.00285;
  timing.mStepsPerPass = 51;
  timing.mMeanAnswerTokens = 1600;
  return timing;
}

} // namespace primrose
