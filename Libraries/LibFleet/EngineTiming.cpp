#include "LibFleet/EngineTiming.h"

namespace primrose {

double
PrefillMs(const engine_timing& aEngine, double aPromptTokens)
{
  constexpr double kMillion = 1e6;
  const double pairs = aPromptTokens * aPromptTokens / 2 / kMillion;
  return aPromptTokens / aEngine.mPrefillTokensPerMs +
         pairs * aEngine.mPrefillMsPerMillionPairs;
}

double
DecodePassMs(const engine_timing& aEngine,
             double aWriters,
             double aContextTokens)
{
  constexpr double kThousand = 1e3;
  const double step =
    aEngine.mStepMs + aEngine.mStepMsPerRequest * aWriters +
    aEngine.mStepMsPerThousandTokens * aContextTokens / kThousand;
  return step * aEngine.mStepsPerPass;
}

} // namespace primrose
