#pragma once

/// Which engines an entry places on where there are many, and which entries
/// hear of a placement.
///
/// Load that this answers: hundreds of entries before hundreds of engines. What
/// an entry has to hear of grows with the requests of the whole fleet if each
/// may place anywhere, and in the milliseconds that news take, many entries
/// give the same engine its last slot. So each entry prefers a part of the
/// engines and hears of the placements there. Entries and engines stand on a
/// ring, each kind in the order of a hash and evenly spaced; an entry prefers
/// the engines of the arc that begins where it stands. Arcs of neighbours
/// overlap, so that load which one part has too much of spreads to the next,
/// and when one entry or engine comes or goes the arcs move by one place only.
/// Everything follows from the two lists; nothing is agreed. Entries whose
/// lists differ for a moment hear of a few placements less or more.
///
/// Of 1,290 short prompts that 103 entries place in two seconds before 172
/// engines, 27 go to an engine without a free slot; 137 where all may place
/// anywhere and hear of everything, 1,137 where each placement is told to 12
/// others (the test of the burst before hundreds of engines, news 6 ms old).

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/PeerSendBudget.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Entries that prefer each engine: enough that no engine is left to nobody
/// when half of them die, and that the requests which one entry gets more of
/// than another are spread; few enough that each of them is always told of a
/// placement there within the bytes that operators allow.
inline constexpr double kGatewaysPerEngine = kFullBroadcastPeers;
/// Engines that each entry prefers at least: over twice the 17 that the longest
/// prompts are divided over, so that they have a choice.
inline constexpr double kEnginesPerGateway = 40;

/// Where an engine stands among those of its service.
struct engine_ring_position
{
  double mPosition = 0;     ///< On the ring, 0 to 1.
  std::size_t mEngines = 1; ///< Of its service.

  bool operator==(const engine_ring_position&) const = default;
};

struct subset_ring
{
  std::unordered_map<engine_key, engine_ring_position> mEngines;
  std::map<std::string, double> mEntries; ///< Positions by host.

  bool operator==(const subset_ring&) const = default;
};

/// Ranks the listed endpoints, those of each service by themselves.
void
AssignEnginePositions(subset_ring& aRing, const endpoint_registry& aBoard);

void
AssignGatewayPositions(subset_ring& aRing,
                       const std::vector<std::string>& aHosts);

/// The part of a service's engines that each entry prefers, 0 to 1.
double
PreferredShare(std::size_t aEntries, std::size_t aEngines);

/// True if the entry at this host places on the engine as long as it can. An
/// entry or engine that is not on the ring counts as preferred.
bool
Prefers(const subset_ring& aRing, const std::string& aHost, engine_key aEngine);

/// Those of the hosts whose entries prefer any of the engines, which are one at
/// least. Each engine is looked up once, however many the hosts are.
std::vector<std::string>
HostsThatPrefer(const subset_ring& aRing,
                const std::vector<std::string>& aHosts,
                const std::vector<engine_key>& aEngines);

/// Marks the endpoints that the entry at this host prefers.
void
MarkPreferred(endpoint_registry& aBoard,
              const subset_ring& aRing,
              const std::string& aHost);

} // namespace primrose
