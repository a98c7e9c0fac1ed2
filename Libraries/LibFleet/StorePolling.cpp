#include "LibFleet/StorePolling.h"

#include <algorithm>

namespace primrose {

namespace {

/// The long polls of all gateways are spread so that one ends in each such
/// interval, and shows whether the store still responds.
constexpr duration kWaitPerGateway = std::chrono::milliseconds(450);
/// A gateway without peers gets no notifications, so the age of its copy is
/// bounded by this plus the time of an answer. Shorter polls would cost calls
/// while nothing changes.
constexpr duration kMinLongPollWait = std::chrono::milliseconds(1800);
constexpr duration kMaxLongPollWait = std::chrono::seconds(10);
/// In a large fleet, where one gateway polls in each such interval even so,
/// each polls less often: the platform's cost grows with the number of
/// gateways. Its store holds a long poll for 30 s at most.
constexpr duration kLargeFleetWaitPerGateway = std::chrono::milliseconds(250);
constexpr duration kLargeFleetMaxWait = std::chrono::seconds(25);

/// Newer rows that a peer has are normally on their way to this gateway too, so
/// it waits before it abandons its own read. At most 1.8 s, so that a lost
/// answer delays a change by less than the seconds within which it must be in
/// force.
constexpr duration kFirstCatchUpTimeout = std::chrono::milliseconds(450);
constexpr unsigned kMaxTimeoutDoublings = 2;

/// Back-off after failures, short enough that the store's recovery is detected
/// well within the time allowed for changes. While the store refuses hundreds
/// of gateways, the upper limit grows by 16 ms for each gateway, so that
/// together they make about 60 calls a second for each table, of the 2,000 that
/// the store serves, until the limit reaches its maximum.
constexpr duration kFirstBackoff = std::chrono::milliseconds(60);
constexpr duration kMaxBackoff = std::chrono::milliseconds(500);
constexpr duration kBackoffPerGateway = std::chrono::milliseconds(16);
constexpr duration kLargeFleetMaxBackoff = std::chrono::seconds(2);
constexpr unsigned kMaxBackoffDoublings = 6;

} // namespace

duration
LongPollWait(std::size_t aPeers, std::optional<double> aRandom)
{
  const int gateways = static_cast<int>(aPeers + 1);
  const duration longest = std::clamp(
    kLargeFleetWaitPerGateway * gateways, kMaxLongPollWait, kLargeFleetMaxWait);
  const duration wait =
    std::clamp(kWaitPerGateway * gateways, kMinLongPollWait, longest);
  if (!aRandom.has_value()) {
    return wait;
  }
  return kWaitPerGateway +
         FromSeconds(*aRandom * Seconds(wait - kWaitPerGateway));
}

duration
CatchUpTimeout(unsigned aFailedAttempts)
{
  return kFirstCatchUpTimeout *
         (1U << std::min(aFailedAttempts, kMaxTimeoutDoublings));
}

duration
StoreBackoff(unsigned aFailures, std::size_t aPeers, double aRandom)
{
  const duration limit =
    std::clamp(kBackoffPerGateway * static_cast<int>(aPeers + 1),
               kMaxBackoff,
               kLargeFleetMaxBackoff);
  const unsigned doublings = std::min(aFailures, kMaxBackoffDoublings);
  const duration longest = std::min(kFirstBackoff * (1U << doublings), limit);
  return FromSeconds(Seconds(longest) * (0.5 + 0.5 * aRandom));
}

} // namespace primrose
