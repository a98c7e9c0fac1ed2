#include "LibRules/LibRules.h"

namespace primrose {

engine_shape
EngineShapeFor(const model_settings& aModel)
{
  engine_shape shape;
  shape.mCapacity = static_cast<tokens>(aModel.mEngineTokens);
  shape.mLargestBatch = static_cast<unsigned>(aModel.mLargestBatch);
  shape.mChunk = static_cast<tokens>(aModel.mChunkTokens);
  shape.mPrefillTokensPerSecond = aModel.mPrefillTokensPerSecond;
  shape.mBaseStepSeconds = aModel.mBaseStepSeconds;
  shape.mSecondsPerSequence = aModel.mSecondsPerSequence;
  return shape;
}

agent_limits
LimitsOf(const policy& aPolicy)
{
  agent_limits limits;
  limits.mLongTokensAtOnce = static_cast<tokens>(aPolicy.mLongTokensAtOnce);
  limits.mLongMemoryPart = aPolicy.mLongMemoryPart;
  limits.mAgeingInterval = FromSeconds(aPolicy.mAgeingSeconds);
  return limits;
}

placement_rules
PlacementRulesFor(const policy& aPolicy)
{
  placement_rules rules;
  rules.mProbes = static_cast<unsigned>(aPolicy.mProbes);
  rules.mShortProtection = aPolicy.mShortProtection;
  rules.mLongSpread = static_cast<unsigned>(aPolicy.mLongSpread);
  rules.mLongPoolSlack = aPolicy.mLongPatience;
  rules.mMostParts = static_cast<std::size_t>(aPolicy.mMostParts);
  rules.mMaxLongPartTokens = static_cast<tokens>(aPolicy.mLongPartTokens);
  return rules;
}

} // namespace primrose
