#pragma once

/// Updates the paces of engines in the gateway's shared state
/// (LibFleet/EngineSpeed).

#include "LibGossip/GatewayState.h"
#include "LibGossip/PeerMessage.h"

namespace primrose {

/// What a stream has just read.
struct events_read
{
  std::size_t mEvents = 0; ///< Read at once.
  /// Time since the prompt was sent, if these are the first events and one
  /// engine prefilled the whole prompt.
  std::optional<duration> mFirstAfter;
};

/// Measures the engine with this endpoint id by the events of a stream of this
/// gateway. Returns the report that is due to the peers, if any.
std::optional<speed_report>
RecordStreamEvents(gateway_state& aBoard,
                   const std::string& aOwnHost,
                   const std::string& aEndpointId,
                   const engine_timing& aTiming,
                   stream_events& aStream,
                   const events_read& aRead,
                   time_point aNow);

/// Applies what the peer at this host reports. Reports that no gateway can have
/// measured are ignored and logged.
void
ApplyPeerSpeeds(gateway_state& aBoard,
                const std::vector<speed_report>& aReports,
                const std::string& aHost,
                time_point aNow);

/// Puts the current paces in force, which change with time.
void
UpdatePaces(gateway_state& aBoard, time_point aNow);

/// Forgets the pace of an engine that has ended, or has started under its id.
void
ForgetSpeed(gateway_state& aBoard,
            const std::string& aEndpointId,
            time_point aNow);

/// The paces that this gateway itself measured and that differ notably from 1,
/// capped to bound the size of the datagram.
std::vector<speed_report>
OwnSpeedReports(const gateway_state& aBoard, time_point aNow);

} // namespace primrose
