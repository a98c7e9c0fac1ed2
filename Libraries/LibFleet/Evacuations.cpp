#include "LibFleet/Evacuations.h"

namespace primrose {

evacuation_orders
WithOrder(const evacuation_orders& aOrders,
          const std::string& aDataCentre,
          std::uint64_t aRevision,
          bool aInForce)
{
  const auto known = aOrders.mOrders.find(aDataCentre);
  if (known != aOrders.mOrders.end() && known->second.mRevision >= aRevision) {
    return aOrders;
  }
  evacuation_orders changed = aOrders;
  changed.mOrders[aDataCentre] = { aRevision, aInForce };
  return changed;
}

evacuation_orders
WithoutMissing(const evacuation_orders& aOrders,
               const std::set<std::string>& aListed,
               std::uint64_t aRevision)
{
  evacuation_orders changed = aOrders;
  for (auto& [dataCentre, order] : changed.mOrders) {
    if (!aListed.contains(dataCentre) && order.mRevision <= aRevision) {
      order = { aRevision, false };
    }
  }
  return changed;
}

bool
IsEvacuated(const evacuation_orders& aOrders, const std::string& aDataCentre)
{
  const auto known = aOrders.mOrders.find(aDataCentre);
  return known != aOrders.mOrders.end() && known->second.mInForce;
}

std::vector<std::string>
EvacuatedDataCentres(const evacuation_orders& aOrders)
{
  std::vector<std::string> evacuated;
  for (const auto& [dataCentre, order] : aOrders.mOrders) {
    if (order.mInForce) {
      evacuated.push_back(dataCentre);
    }
  }
  return evacuated;
}

std::vector<std::string>
ApplyEvacuations(endpoint_registry& aRegistry, const evacuation_orders& aOrders)
{
  std::vector<std::string> ended;
  for (auto& [id, known] : aRegistry.mEndpoints) {
    const bool evacuated = IsEvacuated(aOrders, known.mListed.mDataCentre);
    if (known.mEvacuated && !evacuated) {
      ended.push_back(id);
    }
    known.mEvacuated = evacuated;
  }
  return ended;
}

} // namespace primrose
