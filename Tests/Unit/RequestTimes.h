#pragma once

/// Counts of requests in sliding windows, for the tests of request rates.

#include "LibCore/LibCore.h"

#include <algorithm>
#include <vector>

namespace primrose::test {

/// The largest number of these times, which are in order, within any window of
/// this length.
inline std::size_t
MostWithin(duration aWindow, const std::vector<time_point>& aTimes)
{
  std::size_t most = 0;
  auto first = aTimes.begin();
  for (auto last = aTimes.begin(); last != aTimes.end(); ++last) {
    while (*last - *first > aWindow) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first + 1));
  }
  return most;
}

} // namespace primrose::test
