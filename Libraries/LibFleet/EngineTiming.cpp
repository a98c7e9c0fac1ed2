#include "LibFleet/EngineTiming.h"

#include <algorithm>

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
             double aRequests,
             double aContextTokens)
{
  constexpr double kThousand = 1e3;
  const double step =
    aEngine.mStepMs + aEngine.mStepMsPerRequest * aRequests +
    aEngine.mStepMsPerThousandTokens * aContextTokens / kThousand;
  return step * aEngine.mStepsPerPass;
}

double
AnswerMs(const engine_timing& aEngine, double aAnswerTokens, double aPassMs)
{
  return aPassMs *
         std::max(1.0, aAnswerTokens / std::max(1.0, aEngine.mStepsPerPass));
}

} // namespace primrose
