#pragma once

/// Data centres that operators have evacuated: their endpoints get no new
/// requests until the evacuation is taken back. Requests that run there end
/// normally.

#include "LibFleet/Endpoints.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace primrose {

/// The orders as read from the platform's store. The row of an order has no
/// content that matters: it is in force while it exists.
struct evacuation_orders
{
  struct order
  {
    std::uint64_t mRevision = 0;
    bool mInForce = false;

    bool operator==(const order&) const = default;
  };
  /// By data centre. Orders that were taken back are kept, so that an older
  /// read cannot restore them.
  std::map<std::string, order> mOrders;

  bool operator==(const evacuation_orders&) const = default;
};

/// The orders after a change of one row, whose key is the data centre. Ignores
/// a revision that is not newer than the known one.
evacuation_orders
WithOrder(const evacuation_orders& aOrders,
          const std::string& aDataCentre,
          std::uint64_t aRevision,
          bool aInForce);

/// The orders after a read of all rows as of `aRevision`: those of data centres
/// that are missing from it have been taken back, except newer ones.
evacuation_orders
WithoutMissing(const evacuation_orders& aOrders,
               const std::set<std::string>& aListed,
               std::uint64_t aRevision);

bool
IsEvacuated(const evacuation_orders& aOrders, const std::string& aDataCentre);

/// Data centres with an order in force, sorted.
std::vector<std::string>
EvacuatedDataCentres(const evacuation_orders& aOrders);

/// Applies the orders to each endpoint. Returns the ids of those whose
/// evacuation has ended.
std::vector<std::string>
ApplyEvacuations(endpoint_registry& aRegistry,
                 const evacuation_orders& aOrders);

} // namespace primrose
