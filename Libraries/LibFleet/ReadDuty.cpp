#include "LibFleet/ReadDuty.h"

#include "LibFleet/SenderRank.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Parts of the time within which a change has to be in force. A copy that is
/// confirmed by peers is at most as old as a long poll and a few hops of a
/// datagram. What is left after the largest age is for reading the store.
constexpr double kPollWaitPart = 0.2;
constexpr double kSmallestAgePart = 0.35;
constexpr double kLargestAgePart = 0.6;
constexpr double kSpreadPart = 0.1;

} // namespace

std::size_t
ReaderRank(std::string_view aTable,
           const std::vector<std::string>& aHosts,
           std::string_view aOwnHost)
{
  return SenderRank(aTable, aHosts, aOwnHost);
}

duration
MaxCopyAge(std::size_t aRank, std::size_t aGateways, duration aChangeBound)
{
  if (aRank < kTableReaders) {
    return duration::zero();
  }
  // The number of gateways that read doubles at equal steps of the age.
  const double readers = static_cast<double>(kTableReaders);
  const double doublings =
    std::log2(static_cast<double>(std::max(aRank, aGateways)) / readers);
  const double ownDoublings = std::log2(static_cast<double>(aRank) / readers);
  const double position = doublings <= 0 ? 0 : ownDoublings / doublings;
  return FromSeconds(
    Seconds(aChangeBound) *
    (kSmallestAgePart + (kLargestAgePart - kSmallestAgePart) * position));
}

duration
ReaderPollWait(duration aChangeBound)
{
  return FromSeconds(Seconds(aChangeBound) * kPollWaitPart);
}

bool
IsWorthSpreading(duration aNewer, duration aChangeBound)
{
  return Seconds(aNewer) >= Seconds(aChangeBound) * kSpreadPart;
}

} // namespace primrose
