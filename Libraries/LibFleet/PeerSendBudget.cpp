#include "LibFleet/PeerSendBudget.h"

#include <algorithm>

namespace primrose {

namespace {

/// The operators allow 15 KB a second for control; beats take the rest.
constexpr double kBytesPerSecond = 11e3;
/// What a minute saves may be spent at once: bursts last ten seconds, and the
/// bound is on the mean.
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

std::size_t
TakeRecipientCount(peer_send_budget& aBudget,
                   std::size_t aPeers,
                   std::size_t aBytes,
                   time_point aNow)
{
  const double bytes = static_cast<double>(std::max<std::size_t>(aBytes, 1));
  const double left = AvailableBytes(aBudget, aNow);
  const std::size_t affordable =
    static_cast<std::size_t>(std::max(0.0, left) / bytes);
  const std::size_t told =
    aPeers <= kFullBroadcastPeers
      ? aPeers
      : std::min(aPeers, std::max(kMinRecipients, affordable));
  ChargePeerBytes(aBudget, told * std::max<std::size_t>(aBytes, 1), aNow);
  return told;
}

void
ChargePeerBytes(peer_send_budget& aBudget, std::size_t aBytes, time_point aNow)
{
  const double left = AvailableBytes(aBudget, aNow);
  aBudget.mAt = aNow;
  aBudget.mBytes =
    std::max(-kMaxSavedBytes, left - static_cast<double>(aBytes));
}

} // namespace primrose
