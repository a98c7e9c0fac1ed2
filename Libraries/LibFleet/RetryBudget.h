#pragma once

/// Limits how many requests are sent again to another endpoint.
///
/// All gateways share one retry budget for each service, without a shared
/// counter. It has a fixed part, of which each gateway uses an equal share, and
/// a part proportional to the requests that the gateway receives itself.

#include "LibCore/LibCore.h"

#include <deque>

namespace primrose {

/// The operator's limits on retries, for all gateways together.
struct retry_limits
{
  double mRetriesPerRequest = 0;
  double mRetriesPerWindow = 0; ///< Allowed in addition, in each window.
  duration mWindow{};

  bool operator==(const retry_limits&) const = default;
};

/// Requests and retries of one service at one gateway, within the window.
struct retry_history
{
  std::deque<time_point> mRequests;
  std::deque<time_point> mRetries;
};

/// Whose retry takes from the budget.
enum class retry_claim : std::uint8_t
{
  /// Of a request that can still be refused: none of it was executed, so its
  /// caller may return.
  Refusable,
  /// Of a request that an endpoint may have executed, or whose answer has
  /// begun. It fails without a retry, so a part of the budget is reserved for
  /// such requests.
  Started,
};

/// The retries of a window, as of a time.
struct retry_allowance
{
  std::size_t mUsed = 0;
  double mAllowed = 0; ///< For this gateway and any claim.

  bool operator==(const retry_allowance&) const = default;
};

void
RecordRequestForRetries(retry_history& aHistory,
                        const retry_limits& aLimits,
                        time_point aNow);

/// The share of the budget of this gateway, as one of `aGateways`.
retry_allowance
AllowanceOf(retry_history& aHistory,
            const retry_limits& aLimits,
            std::size_t aGateways,
            time_point aNow);

/// Takes one retry from the budget if this gateway's share, as one of
/// `aGateways`, allows it. True if taken.
bool
TakeRetry(retry_history& aHistory,
          const retry_limits& aLimits,
          std::size_t aGateways,
          retry_claim aClaim,
          time_point aNow);

} // namespace primrose
