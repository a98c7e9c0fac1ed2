#pragma once

/// The gateway's series that are worked out from what it believes, and those of
/// one request. docs/OPERATIONS.md lists all of them. Engines are summed up:
/// with a series for each of 1,200 a reading would be half a megabyte.

#include "LibGateway/GatewayState.h"

namespace primrose {

/// Sets the gauges that change with time, just before they are read.
void
SetGauges(gateway_state& aBoard, time_point aNow);

/// What came of a stream that was answered whole.
struct stream_times
{
  duration mFirstEvent{};
  duration mObjective{}; ///< Of the first event.
  duration mLongestPause{};
  duration mAllowedPause{}; ///< 0: none is declared.

  bool operator==(const stream_times&) const = default;
};

/// Counts a stream's first event, and whether it or a pause came late.
void
CountStream(metrics& aMetrics, const stream_times& aTimes);

/// What a datagram to or from another entry carries.
enum class peer_traffic : std::uint8_t
{
  UpdatesSent,
  HeartbeatsSent,
  CrashReportsSent,
  Received,
};

/// Counts the bytes that entries exchange, without the heads of packets.
void
CountPeerBytes(metrics& aMetrics, peer_traffic aTraffic, std::size_t aBytes);

/// Logs what this entry knows of the others and of the engines, how old it is,
/// and what that has cost since its start.
void
LogFleetStatus(const gateway_state& aBoard, time_point aNow);

/// Counts a call to the platform's store by its outcome.
void
CountStoreCall(metrics& aMetrics, table_read_result::outcome aOutcome);

} // namespace primrose
