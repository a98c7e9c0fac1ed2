#include "LibFleet/EngineSubset.h"

#include <algorithm>

namespace primrose {

namespace {

/// Evenly spaced positions in the order of a hash.
template<typename Key>
std::vector<std::pair<Key, double>>
Spaced(std::vector<std::pair<std::uint64_t, Key>> aHashed)
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

/// True if the arc that begins at `aFrom`, of one of so many entries, holds the
/// engine.
bool
ArcHolds(double aFrom,
         std::size_t aEntries,
         const engine_ring_position& aEngine)
{
  const double ahead = aEngine.mPosition - aFrom;
  return (ahead < 0 ? ahead + 1 : ahead) <
         PreferredShare(aEntries, aEngine.mEngines);
}

} // namespace

void
AssignEnginePositions(subset_ring& aRing, const endpoint_registry& aBoard)
{
  std::map<std::string, std::vector<std::pair<std::uint64_t, engine_key>>>
    services;
  for (const auto& [id, known] : aBoard.mEndpoints) {
    services[known.mListed.mService].emplace_back(Hash(id), EngineKey(id));
  }
  aRing.mEngines.clear();
  for (const auto& [service, hashed] : services) {
    for (const auto& [key, position] : Spaced(hashed)) {
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
  aRing.mEntries.clear();
  for (const auto& [host, position] : Spaced(hashed)) {
    aRing.mEntries[host] = position;
  }
}

double
PreferredShare(std::size_t aEntries, std::size_t aEngines)
{
  const double entries =
    static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double engines =
    static_cast<double>(std::max<std::size_t>(aEngines, 1));
  return std::min(
    1.0, std::max(kGatewaysPerEngine / entries, kEnginesPerGateway / engines));
}

bool
Prefers(const subset_ring& aRing, const std::string& aHost, engine_key aEngine)
{
  const auto entry = aRing.mEntries.find(aHost);
  const auto engine = aRing.mEngines.find(aEngine);
  if (entry == aRing.mEntries.end() || engine == aRing.mEngines.end()) {
    return true;
  }
  return ArcHolds(entry->second, aRing.mEntries.size(), engine->second);
}

std::vector<std::string>
HostsThatPrefer(const subset_ring& aRing,
                const std::vector<std::string>& aHosts,
                const std::vector<engine_key>& aEngines)
{
  std::vector<engine_ring_position> places;
  places.reserve(aEngines.size());
  for (const engine_key engine : aEngines) {
    const auto found = aRing.mEngines.find(engine);
    if (found == aRing.mEngines.end()) {
      return aHosts;
    }
    places.push_back(found->second);
  }
  std::vector<std::string> hosts;
  for (const std::string& host : aHosts) {
    const auto entry = aRing.mEntries.find(host);
    if (entry == aRing.mEntries.end() ||
        std::any_of(places.begin(),
                    places.end(),
                    [&](const engine_ring_position& aPlace) {
                      return ArcHolds(
                        entry->second, aRing.mEntries.size(), aPlace);
                    })) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void
MarkPreferred(endpoint_registry& aBoard,
              const subset_ring& aRing,
              const std::string& aHost)
{
  for (auto& [id, known] : aBoard.mEndpoints) {
    known.mPreferred = Prefers(aRing, aHost, EngineKey(id));
  }
}

} // namespace primrose
