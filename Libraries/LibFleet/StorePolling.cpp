#include "LibFleet/StorePolling.h"

#include <algorithm>

namespace primrose {

namespace {

/// One entry of the fleet in such a span hears whether the store is silent.
constexpr duration kWaitPerGateway = std::chrono::milliseconds(450);
/// A lone entry has nobody to tell it, so this, and what an answer may take,
/// bounds how old its copy gets. More often would cost calls on quiet days.
constexpr duration kMinLongPollWait = std::chrono::milliseconds(1800);
constexpr duration kMaxLongPollWait = std::chrono::seconds(10);
/// Where there are so many entries that one of them asks in each such span even
/// so, each waits longer: calls cost the platform by the entry, and its store
/// holds a question for 30 s at most.
constexpr duration kLargeFleetWaitPerGateway = std::chrono::milliseconds(250);
constexpr duration kLargeFleetMaxWait = std::chrono::seconds(25);

/// What a peer has just been told is on its way here too. At most 1.8 s, so
/// that a question that went silent costs less than the seconds within which a
/// change is to be in force.
constexpr duration kFirstCatchUpTimeout = std::chrono::milliseconds(450);
constexpr unsigned kMostDoublings = 2;

/// Pauses after failures: short enough that a return is noticed well within the
/// bounds on changes. While the store turns hundreds of entries away, each of
/// them takes its turn in 16 ms, so that together they make 60 calls a second
/// for each table, of the 2,000 that it serves.
constexpr duration kFirstPause = std::chrono::milliseconds(60);
constexpr duration kLongestPause = std::chrono::milliseconds(500);
constexpr duration kBackoffPerGateway = std::chrono::milliseconds(16);
constexpr duration kLargeFleetMaxBackoff = std::chrono::seconds(2);
constexpr unsigned kMaxBackoffDoublings = 6;

} // namespace

duration
LongPollWait(std::size_t aPeers, std::optional<double> aDraw)
{
  const int entries = static_cast<int>(aPeers + 1);
  const duration longest = std::clamp(
    kLargeFleetWaitPerGateway * entries, kMaxLongPollWait, kLargeFleetMaxWait);
  const duration wait =
    std::clamp(kWaitPerGateway * entries, kMinLongPollWait, longest);
  if (!aDraw.has_value()) {
    return wait;
  }
  return kWaitPerGateway +
         FromSeconds(*aDraw * Seconds(wait - kWaitPerGateway));
}

duration
CatchUpTimeout(unsigned aAskedInVain)
{
  return kFirstCatchUpTimeout * (1U << std::min(aAskedInVain, kMostDoublings));
}

duration
StoreBackoff(unsigned aFailures, std::size_t aPeers, double aDraw)
{
  const duration most =
    std::clamp(kBackoffPerGateway * static_cast<int>(aPeers + 1),
               kLongestPause,
               kLargeFleetMaxBackoff);
  const unsigned doublings = std::min(aFailures, kMaxBackoffDoublings);
  const duration longest = std::min(kFirstPause * (1U << doublings), most);
  return FromSeconds(Seconds(longest) * (0.5 + 0.5 * aDraw));
}

} // namespace primrose
