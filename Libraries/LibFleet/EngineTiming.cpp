#include "LibFleet/EngineTiming.h"

namespace primrose {

double
ReadingMs(const engine_timing& aEngine, double aPromptTokens)
{
  constexpr double kMillion = 1e6;
  const double pairs = aPromptTokens * aPromptTokens / 2 / kMillion;
  return aPromptTokens / aEngine.mTokensReadPerMs +
         pairs * aEngine.mMsPerMillionPairs;
}

double
PassMs(const engine_timing& aEngine, double aWriters, double aContextTokens)
{
  constexpr double kThousand = 1e3;
  const double step = aEngine.mStepMs + aEngine.mStepMsPerRequest * aWriters +
                      aEngine.mStepMsPerThousand * aContextTokens / kThousand;
  return step * aEngine.mStepsPerPass;
}

} // namespace primrose
