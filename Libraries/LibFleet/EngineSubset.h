#pragma once

/// Deterministic subsetting of the engines in large fleets: which engines a
/// gateway prefers for its placements, and which gateways are notified of a
/// placement.
///
/// It is designed for hundreds of gateways in front of hundreds of engines. If
/// each gateway may place on any engine, the placements that it has to receive
/// grow with the requests of the whole fleet, and during the milliseconds that
/// a gossip message takes, many gateways assign the same engine's last slot.
/// Therefore each gateway prefers a subset of the engines and receives the
/// placements on these.
///
/// Gateways and engines have positions on a ring, each kind in the order of a
/// hash and evenly spaced. A gateway prefers the engines on the arc that begins
/// at its own position. The arcs of neighbours overlap, so that excess load on
/// one subset spreads to the next. When one gateway or engine joins or leaves,
/// the arcs move by one position only. Everything is computed from the two
/// membership lists without coordination; gateways whose lists differ for a
/// moment receive slightly fewer or more placements.
///
/// Of 1,290 short prompts that 103 gateways place in two seconds on 172
/// engines, 27 go to an engine without a free slot. It is 137 if all gateways
/// may place on any engine and receive every placement, and 1,137 if each
/// placement is sent to 12 others. (From
/// `BurstOnHundredsOfEnginesFindsFreeSlots`, with gossip delayed by 6 ms.)

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/PeerSendBudget.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Minimum number of gateways that prefer each engine. It is large enough that
/// every engine is still preferred by a gateway after half of them have failed,
/// and that differences in load between gateways even out. It is small enough
/// that a placement is always sent to all of them within the bandwidth that
/// operators allow.
inline constexpr double kGatewaysPerEngine = kFullBroadcastPeers;
/// Minimum number of engines that each gateway prefers: over twice the 17 that
/// the longest prompts are divided over, so that there is a choice of engines.
inline constexpr double kEnginesPerGateway = 40;

/// The position of an engine among those of its service.
struct engine_ring_position
{
  double mPosition = 0;     ///< On the ring, in [0, 1).
  std::size_t mEngines = 1; ///< Number of engines of its service.

  bool operator==(const engine_ring_position&) const = default;
};

struct subset_ring
{
  std::unordered_map<engine_key, engine_ring_position> mEngines;
  std::map<std::string, double> mGateways; ///< Positions of gateways by host.

  bool operator==(const subset_ring&) const = default;
};

/// Sets the positions of the listed endpoints, separately for each service.
void
AssignEnginePositions(subset_ring& aRing, const endpoint_registry& aRegistry);

/// Sets the positions of the gateways at these hosts.
void
AssignGatewayPositions(subset_ring& aRing,
                       const std::vector<std::string>& aHosts);

/// The share of a service's engines that each gateway prefers, 0 to 1.
double
PreferredShare(std::size_t aGateways, std::size_t aEngines);

/// True if the gateway at this host prefers the engine, that is, uses others
/// only while it can use no preferred one. Always true for a gateway or engine
/// that is not on the ring.
bool
Prefers(const subset_ring& aRing, const std::string& aHost, engine_key aEngine);

/// Those of `aHosts` whose gateways prefer any of the engines. Requires at
/// least one engine. Each engine is looked up only once, whatever the number of
/// hosts.
std::vector<std::string>
HostsThatPrefer(const subset_ring& aRing,
                const std::vector<std::string>& aHosts,
                const std::vector<engine_key>& aEngines);

/// Sets `mPreferred` of each endpoint for the gateway at this host.
void
MarkPreferred(endpoint_registry& aRegistry,
              const subset_ring& aRing,
              const std::string& aHost);

} // namespace primrose
