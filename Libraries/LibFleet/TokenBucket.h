#pragma once

/// A token bucket: admits requests at a rate, without bursts beyond its
/// capacity.

#include "LibCore/LibCore.h"

namespace primrose {

struct token_bucket
{
  double mPerSecond = 0; ///< Refill rate.
  double mTokens = 0;    ///< At `mRefilled`.
  time_point mRefilled{};

  bool operator==(const token_bucket&) const = default;
};

/// Tokens that a request takes, and the capacity of a bucket. No burst is
/// admitted after an idle period.
inline constexpr double kTokensPerRequest = 1;

/// Tokens in the bucket at `aNow`.
double
TokensAt(const token_bucket& aBucket, time_point aNow);

/// The bucket from `aNow` on with another rate. Keeps its tokens.
token_bucket
WithRate(const token_bucket& aBucket, double aPerSecond, time_point aNow);

/// The bucket after it admitted a request.
token_bucket
WithTokenTaken(const token_bucket& aBucket, time_point aNow);

/// Time until the bucket admits a request; `duration::max()` if it never does.
duration
TimeUntilToken(const token_bucket& aBucket, time_point aNow);

} // namespace primrose
