#pragma once

/// Metrics that are computed from the gateway's state or from a single request.
/// docs/OPERATIONS.md lists all metrics. Values of engines are aggregated: with
/// one series for each of 1,200 engines, a scrape would return half a megabyte.

#include "LibGossip/GatewayState.h"

namespace primrose {

/// Updates the gauges that change with time; called before each scrape.
void
SetGauges(gateway_state& aState, time_point aNow);

/// Measured times of a stream that was answered completely.
struct stream_times
{
  duration mFirstEvent{};
  duration mObjective{}; ///< For the first event.
  duration mLongestPause{};
  duration mAllowedPause{}; ///< 0 if the route declares none.

  bool operator==(const stream_times&) const = default;
};

/// Records the time to the first event and the longest pause, and counts those
/// that exceed their limits.
void
CountStream(metrics& aMetrics, const stream_times& aTimes);

/// What the bytes of a datagram between gateways are counted as.
enum class peer_traffic : std::uint8_t
{
  UpdatesSent,
  HeartbeatsSent,
  CrashReportsSent,
  VersionsSent,
  Received,
};

/// Counts payload bytes of datagrams between gateways, without packet headers.
void
CountPeerBytes(metrics& aMetrics, peer_traffic aTraffic, std::size_t aBytes);

/// Logs a summary of the known peers and engines, the age of that information,
/// and the traffic and store calls that it has cost since the start.
void
LogFleetStatus(const gateway_state& aState, time_point aNow);

/// Counts a call to the platform's store by its outcome.
void
CountStoreCall(metrics& aMetrics, table_read_result::outcome aOutcome);

} // namespace primrose
