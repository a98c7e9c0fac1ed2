#pragma once

/// Fleets of many entries and engines, for the tests of who prefers what.

#include "LibFleet/LibFleet.h"

#include <string>
#include <vector>

namespace primrose::test {

inline std::vector<std::string>
Hosts(std::size_t aCount)
{
  std::vector<std::string> hosts;
  for (std::size_t i = 0; i < aCount; ++i) {
    hosts.push_back("10.1." + std::to_string(i / 200) + "." +
                    std::to_string(i % 200 + 1));
  }
  return hosts;
}

inline endpoint_registry
Engines(std::size_t aCount)
{
  endpoint_registry board;
  for (std::size_t i = 0; i < aCount; ++i) {
    endpoint listed;
    listed.mId = "engine-" + std::to_string(i);
    listed.mService = "model";
    listed.mDataCentre = "a";
    (void)ApplyRow(board, { listed.mId, 1, listed });
  }
  return board;
}

inline subset_ring
Ring(const std::vector<std::string>& aHosts, const endpoint_registry& aBoard)
{
  subset_ring ring;
  AssignEnginePositions(ring, aBoard);
  AssignGatewayPositions(ring, aHosts);
  return ring;
}

/// Ids of the engines that the entry at this host prefers.
inline std::vector<std::string>
PreferredBy(const subset_ring& aRing,
            const std::string& aHost,
            endpoint_registry aBoard)
{
  MarkPreferred(aBoard, aRing, aHost);
  std::vector<std::string> ids;
  for (const auto& [id, known] : aBoard.mEndpoints) {
    if (known.mPreferred) {
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace primrose::test
