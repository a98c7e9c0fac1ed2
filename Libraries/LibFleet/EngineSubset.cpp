#include "LibFleet/EngineSubset.h"

#include <algorithm>

namespace primrose {

namespace {

/// Assigns evenly spaced positions in the order of the hashes.
template<typename Key>
std::vector<std::pair<Key, double>>
EvenlySpaced(std::vector<std::pair<std::uint64_t, Key>> aHashed)
{
  std::sort(aHashed.begin(), aHashed.end());
  std::vector<std::pair<Key, double>> spaced;
  spaced.reserve(aHashed.size());
  for (const auto& [hash, key] : aHashed) {
    spaced.emplace_back(key,
                        static_cast<double>(spaced.size()) /
                          static_cast<double>(aHashed.size()));
  }
  return spaced;
}

/// True if the engine is on the arc that begins at `aFrom`, if there are
/// `aGateways` gateways.
bool
ArcContains(double aFrom,
            std::size_t aGateways,
            const engine_ring_position& aEngine)
{
  const double ahead = aEngine.mPosition - aFrom;
  return (ahead < 0 ? ahead + 1 : ahead) <
         PreferredShare(aGateways, aEngine.mEngines);
}

} // namespace

void
AssignEnginePositions(subset_ring& aRing, const endpoint_registry& aRegistry)
{
  std::map<std::string, std::vector<std::pair<std::uint64_t, engine_key>>>
    services;
  for (const auto& [id, known] : aRegistry.mEndpoints) {
    services[known.mListed.mService].emplace_back(Hash(id), EngineKey(id));
  }
  aRing.mEngines.clear();
  for (const auto& [service, hashed] : services) {
    for (const auto& [key, position] : EvenlySpaced(hashed)) {
      aRing.mEngines[key] = { position, hashed.size() };
    }
  }
}

void
AssignGatewayPositions(subset_ring& aRing,
                       const std::vector<std::string>& aHosts)
{
  std::vector<std::pair<std::uint64_t, std::string>> hashed;
  hashed.reserve(aHosts.size());
  for (const std::string& host : aHosts) {
    hashed.emplace_back(Hash(host), host);
  }
  aRing.mGateways.clear();
  for (const auto& [host, position] : EvenlySpaced(hashed)) {
    aRing.mGateways[host] = position;
  }
}

double
PreferredShare(std::size_t aGateways, std::size_t aEngines)
{
  const double gateways =
    static_cast<double>(std::max<std::size_t>(aGateways, 1));
  const double engines =
    static_cast<double>(std::max<std::size_t>(aEngines, 1));
  return std::min(
    1.0, std::max(kGatewaysPerEngine / gateways, kEnginesPerGateway / engines));
}

bool
Prefers(const subset_ring& aRing, const std::string& aHost, engine_key aEngine)
{
  const auto gateway = aRing.mGateways.find(aHost);
  const auto engine = aRing.mEngines.find(aEngine);
  if (gateway == aRing.mGateways.end() || engine == aRing.mEngines.end()) {
    return true;
  }
  return ArcContains(gateway->second, aRing.mGateways.size(), engine->second);
}

std::vector<std::string>
HostsThatPrefer(const subset_ring& aRing,
                const std::vector<std::string>& aHosts,
                const std::vector<engine_key>& aEngines)
{
  std::vector<engine_ring_position> positions;
  positions.reserve(aEngines.size());
  for (const engine_key engine : aEngines) {
    const auto found = aRing.mEngines.find(engine);
    if (found == aRing.mEngines.end()) {
      return aHosts;
    }
    positions.push_back(found->second);
  }
  std::vector<std::string> hosts;
  for (const std::string& host : aHosts) {
    const auto gateway = aRing.mGateways.find(host);
    if (gateway == aRing.mGateways.end() ||
        std::any_of(positions.begin(),
                    positions.end(),
                    [&](const engine_ring_position& aPosition) {
                      return ArcContains(
                        gateway->second, aRing.mGateways.size(), aPosition);
                    })) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void
MarkPreferred(endpoint_registry& aRegistry,
              const subset_ring& aRing,
              const std::string& aHost)
{
  for (auto& [id, known] : aRegistry.mEndpoints) {
    known.mPreferred = Prefers(aRing, aHost, EngineKey(id));
  }
}

} // namespace primrose
