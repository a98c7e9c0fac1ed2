#include "LibFleet/RequestRank.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Binary logarithm of the weight of one rank. Two ranks weigh 256: being late
/// costs a short prompt 0.94, and a prompt of 190,000 tokens gains 33, or 206
/// with the largest factors for large prompts that have waited. With the
/// weight, one short prompt that would be late costs 240.
constexpr int kWeightBitsPerRank = 4;
/// Differences beyond this one weigh no more, so that harm to one request does
/// not make the differences between the engines vanish.
constexpr int kMaxWeighedRanks = 2;

void
AddClamped(std::vector<priority_fault>& aFaults,
           const std::string& aOwner,
           int aPriority)
{
  const int applied = static_cast<int>(RankOfPriority(aPriority));
  if (applied != aPriority && aFaults.size() < kMaxPriorityFaults) {
    aFaults.push_back({ aOwner,
                        "priority " + std::to_string(aPriority) +
                          " is taken as " + std::to_string(applied) });
  }
}

} // namespace

unsigned
EffectiveRank(const manifest_index& aManifest,
              const service& aService,
              const route& aRoute,
              const organisation* aOrganisation)
{
  if (aManifest.RanksOf(aService.mName).empty()) {
    return 0;
  }
  return aManifest.RankOf(aService.mName, aRoute, aOrganisation);
}

double
RankWeight(unsigned aOwn, unsigned aOther)
{
  const int difference = std::clamp(
    static_cast<int>(aOwn) - static_cast<int>(aOther), 0, kMaxWeighedRanks);
  return std::ldexp(1.0, kWeightBitsPerRank * difference);
}

std::vector<priority_fault>
PriorityFaults(const manifest& aManifest)
{
  std::vector<priority_fault> faults = aManifest.mPriorityFaults;
  faults.resize(std::min(faults.size(), kMaxPriorityFaults));
  for (const route& one : aManifest.mRoutes) {
    AddClamped(faults, one.mName, one.mPriority);
  }
  for (const organisation& one : aManifest.mOrganisations) {
    AddClamped(faults, one.mName, one.mPriority.value_or(0));
  }
  return faults;
}

} // namespace primrose
