#pragma once

/// The right to send a request to one more endpoint. All entries share one
/// budget for each service without a counter: each keeps to its own share of
/// the fixed part and earns the rest with the requests that it takes itself.

#include "LibCore/LibCore.h"

#include <deque>

namespace primrose {

/// The operator's bound on repeats, for all entries together.
struct retry_limits
{
  double mRetriesPerRequest = 0; ///< Repeats allowed for each request.
  double mRetriesPerWindow = 0;  ///< Besides, in each window.
  duration mWindow{};

  bool operator==(const retry_limits&) const = default;
};

/// One entry's record of one service.
struct retry_history
{
  std::deque<time_point> mRequests;
  std::deque<time_point> mRepeats;
};

void
RecordRequestForRetries(retry_history& aRecord,
                        const retry_limits& aBound,
                        time_point aNow);

/// Takes one repeat if the share of one of `aEntries` entries allows it.
bool
TakeRetry(retry_history& aRecord,
          const retry_limits& aBound,
          std::size_t aEntries,
          time_point aNow);

} // namespace primrose
