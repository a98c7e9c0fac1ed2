#include "LibFleet/PeerSendBudget.h"

#include <algorithm>

namespace primrose {

namespace {

/// Operators allow 15 KB a second for control traffic; heartbeats take the
/// rest.
constexpr double kBytesPerSecond = 11e3;
/// The unused bytes of a minute may be spent at once: bursts last ten seconds,
/// and the operators' limit is on the mean.
constexpr double kMaxSavedSeconds = 60;
constexpr double kMaxSavedBytes = kMaxSavedSeconds * kBytesPerSecond;

double
AvailableBytes(const peer_send_budget& aBudget, time_point aNow)
{
  return std::min(kMaxSavedBytes,
                  aBudget.mBytes +
                    Seconds(aNow - aBudget.mAt) * kBytesPerSecond);
}

} // namespace

std::size_t
PeersPerHeartbeat(std::size_t aPeers)
{
  return aPeers <= kFullBroadcastPeers ? aPeers : kMinRecipients;
}

bool
CarriesSizeReports(unsigned aHeartbeat, std::size_t aPeers)
{
  constexpr unsigned kHeartbeatsPerReport = 4;
  return PeersPerHeartbeat(aPeers) < aPeers ||
         aHeartbeat % kHeartbeatsPerReport == 0;
}

std::size_t
TakeRecipientCount(peer_send_budget& aBudget,
                   std::size_t aPeers,
                   std::size_t aBytes,
                   time_point aNow)
{
  const double bytes = static_cast<double>(std::max<std::size_t>(aBytes, 1));
  const double available = AvailableBytes(aBudget, aNow);
  const std::size_t affordable =
    static_cast<std::size_t>(std::max(0.0, available) / bytes);
  const std::size_t recipients =
    aPeers <= kFullBroadcastPeers
      ? aPeers
      : std::min(aPeers, std::max(kMinRecipients, affordable));
  ChargePeerBytes(aBudget, recipients * std::max<std::size_t>(aBytes, 1), aNow);
  return recipients;
}

void
ChargePeerBytes(peer_send_budget& aBudget, std::size_t aBytes, time_point aNow)
{
  const double available = AvailableBytes(aBudget, aNow);
  aBudget.mAt = aNow;
  aBudget.mBytes =
    std::max(-kMaxSavedBytes, available - static_cast<double>(aBytes));
}

} // namespace primrose
