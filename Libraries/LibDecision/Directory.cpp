#include "LibDecision/Directory.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

constexpr duration kAvoidanceBase = std::chrono::milliseconds(250);
constexpr duration kMaxAvoidance = std::chrono::seconds(8);
/// One lost answer does not count: a slow peer must not be taken for a dead
/// one. From the second failure in a row the endpoint is avoided.
constexpr unsigned kToleratedFailures = 1;

constexpr std::array<std::string_view, 3> kKindNames = { "engine",
                                                         "service",
                                                         "entry" };

bool
IsEligible(const endpoint_view& aView, const std::string& aServes)
{
  return aView.mListed.mKind != vm_kind::Entry &&
         aView.mListed.mServes == aServes && !aView.mListed.mLeaving &&
         !aView.mReportedLeaving;
}

} // namespace

std::string_view
VmKindName(vm_kind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

std::optional<vm_kind>
ParseVmKind(std::string_view aName)
{
  const auto name = std::find(kKindNames.begin(), kKindNames.end(), aName);
  if (name == kKindNames.end()) {
    return std::nullopt;
  }
  return static_cast<vm_kind>(name - kKindNames.begin());
}

directory_change
ApplyList(endpoint_directory& aDirectory,
          const std::vector<listed_endpoint>& aList,
          time_point aNow)
{
  directory_change change;
  std::map<std::string, endpoint_view> next;
  for (const listed_endpoint& listed : aList) {
    const auto known = aDirectory.mEndpoints.find(listed.mName);
    const bool isNew = known == aDirectory.mEndpoints.end();
    endpoint_view view = isNew ? endpoint_view{} : known->second;
    if (isNew) {
      change.mAdded.push_back(listed.mName);
    } else if (listed.mLeaving && !view.mListed.mLeaving) {
      change.mLeaving.push_back(listed.mName);
    }
    view.mListed = listed;
    view.mOrder = Hash(listed.mName);
    next.insert_or_assign(listed.mName, std::move(view));
  }
  for (const auto& [name, view] : aDirectory.mEndpoints) {
    if (!next.contains(name)) {
      change.mGone.push_back(name);
    }
  }
  aDirectory.mEndpoints = std::move(next);
  aDirectory.mListReceivedAt = aNow;
  aDirectory.mHasList = true;
  return change;
}

void
MarkLeaving(endpoint_directory& aDirectory, const std::string& aName)
{
  const auto endpoint = aDirectory.mEndpoints.find(aName);
  if (endpoint != aDirectory.mEndpoints.end()) {
    endpoint->second.mReportedLeaving = true;
  }
}

void
RecordFailure(endpoint_directory& aDirectory,
              const std::string& aName,
              time_point aNow,
              random_engine& aRandom)
{
  const auto endpoint = aDirectory.mEndpoints.find(aName);
  if (endpoint == aDirectory.mEndpoints.end()) {
    return;
  }
  endpoint_view& view = endpoint->second;
  ++view.mFailures;
  if (view.mFailures <= kToleratedFailures) {
    return;
  }
  constexpr unsigned kMostDoublings = 6;
  const unsigned doublings =
    std::min(view.mFailures - kToleratedFailures - 1, kMostDoublings);
  const duration longest =
    std::min(kAvoidanceBase * (1U << doublings), kMaxAvoidance);
  // Between half and all of it, so that entries do not come back as one.
  const double part = 0.5 + 0.5 * Uniform(aRandom);
  view.mAvoidUntil = aNow + FromSeconds(Seconds(longest) * part);
}

void
RecordSuccess(endpoint_directory& aDirectory, const std::string& aName)
{
  const auto endpoint = aDirectory.mEndpoints.find(aName);
  if (endpoint != aDirectory.mEndpoints.end()) {
    endpoint->second.mFailures = 0;
    endpoint->second.mAvoidUntil = {};
  }
}

std::vector<const endpoint_view*>
Usable(const endpoint_directory& aDirectory,
       const std::string& aServes,
       time_point aNow)
{
  std::vector<const endpoint_view*> usable;
  std::vector<const endpoint_view*> avoided;
  for (const auto& [name, view] : aDirectory.mEndpoints) {
    if (!IsEligible(view, aServes)) {
      continue;
    }
    (aNow < view.mAvoidUntil ? avoided : usable).push_back(&view);
  }
  if (usable.empty()) {
    usable = std::move(avoided);
  }
  std::sort(usable.begin(),
            usable.end(),
            [](const endpoint_view* aLeft, const endpoint_view* aRight) {
              return aLeft->mOrder < aRight->mOrder;
            });
  return usable;
}

std::size_t
EntryCount(const endpoint_directory& aDirectory)
{
  const auto inService = [](const auto& aItem) {
    const listed_endpoint& listed = aItem.second.mListed;
    return listed.mKind == vm_kind::Entry && !listed.mLeaving;
  };
  const auto count = std::count_if(
    aDirectory.mEndpoints.begin(), aDirectory.mEndpoints.end(), inService);
  return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

} // namespace primrose
