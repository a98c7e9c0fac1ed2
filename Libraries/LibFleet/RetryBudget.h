#pragma once

/// The right to send a request to one more endpoint. All entries share one
/// budget for each service without a counter: each keeps to its own share of
/// the fixed part and earns the rest with the requests that it takes itself.

#include "LibCore/LibCore.h"

#include <deque>

namespace primrose {

/// The operator's bound on repeats, for all entries together.
struct repeat_bound
{
  double mPerRequest = 0; ///< Repeats allowed for each request.
  double mFixed = 0;      ///< Besides, in each window.
  duration mWindow{};

  bool operator==(const repeat_bound&) const = default;
};

/// One entry's record of one service.
struct repeat_record
{
  std::deque<time_point> mRequests;
  std::deque<time_point> mRepeats;
};

void
NoteRequest(repeat_record& aRecord,
            const repeat_bound& aBound,
            time_point aNow);

/// Takes one repeat if the share of one of `aEntries` entries allows it.
bool
TakeRepeat(repeat_record& aRecord,
           const repeat_bound& aBound,
           std::size_t aEntries,
           time_point aNow);

} // namespace primrose
