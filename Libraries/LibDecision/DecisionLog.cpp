#include "LibDecision/DecisionLog.h"

#include <array>

namespace primrose {

std::string_view
DecisionName(decision_kind aKind)
{
  constexpr std::array<std::string_view, 7> kNames = {
    "admit", "refuse", "place", "delay", "retry", "finish", "drain"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

void
decision_log::Add(const std::string& aRequest, decision_record aRecord)
{
  const auto known = mRecords.find(aRequest);
  if (known != mRecords.end()) {
    // The newest takes the last place: how a request ended matters more than
    // its fortieth delay.
    if (known->second.size() >= kMaxRecordsPerRequest) {
      known->second.pop_back();
    }
    known->second.push_back(std::move(aRecord));
    return;
  }
  if (mOrder.size() >= mRequests) {
    mRecords.erase(mOrder.front());
    mOrder.pop_front();
  }
  mOrder.push_back(aRequest);
  mRecords[aRequest].push_back(std::move(aRecord));
}

const std::vector<decision_record>*
decision_log::Find(const std::string& aRequest) const
{
  const auto known = mRecords.find(aRequest);
  return known == mRecords.end() ? nullptr : &known->second;
}

} // namespace primrose
