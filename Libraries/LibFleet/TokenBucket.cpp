#include "LibFleet/TokenBucket.h"

#include <algorithm>

namespace primrose {

double
TokensAt(const token_bucket& aBucket, time_point aNow)
{
  const double since = std::max(0.0, Seconds(aNow - aBucket.mRefilled));
  return std::min(kTokensPerRequest,
                  aBucket.mTokens + since * aBucket.mPerSecond);
}

token_bucket
WithRate(const token_bucket& aBucket, double aPerSecond, time_point aNow)
{
  return { aPerSecond, TokensAt(aBucket, aNow), aNow };
}

token_bucket
WithTokenTaken(const token_bucket& aBucket, time_point aNow)
{
  return { aBucket.mPerSecond,
           std::max(0.0, TokensAt(aBucket, aNow) - kTokensPerRequest),
           aNow };
}

duration
TimeUntilToken(const token_bucket& aBucket, time_point aNow)
{
  const double tokens = TokensAt(aBucket, aNow);
  if (tokens >= kTokensPerRequest) {
    return duration::zero();
  }
  return aBucket.mPerSecond > 0
           ? FromSeconds((kTokensPerRequest - tokens) / aBucket.mPerSecond)
           : duration::max();
}

} // namespace primrose
