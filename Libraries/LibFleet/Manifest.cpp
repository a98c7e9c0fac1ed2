#include "LibFleet/Manifest.h"

#include <algorithm>
#include <map>
#include <set>

namespace primrose {

namespace {

/// Key of a route in the index; host names are compared without case.
std::string
RouteKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key;
  key.reserve(aHost.size() + aPrefix.size());
  for (const char c : aHost) {
    key += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  key.append(aPrefix);
  return key;
}

std::string_view
HostWithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

unsigned
RankOfPriority(int aPriority)
{
  return static_cast<unsigned>(
    std::clamp(aPriority, 0, static_cast<int>(kMaxRank)));
}

manifest_index::manifest_index(manifest aManifest)
  : mManifest(std::move(aManifest))
{
  for (const route& item : mManifest.mRoutes) {
    mRoutes.emplace(RouteKey(item.mHost, item.mPrefix), &item);
  }
  for (const service& item : mManifest.mServices) {
    mServices.emplace(item.mName, &item);
  }
  for (const organisation& item : mManifest.mOrganisations) {
    for (const std::string& key : item.mKeys) {
      mKeys.emplace(key, &item);
    }
  }
  IndexRanks();
}

void
manifest_index::IndexRanks()
{
  std::set<unsigned> ofOrganisations;
  for (const organisation& item : mManifest.mOrganisations) {
    if (item.mPriority.has_value()) {
      ofOrganisations.insert(RankOfPriority(*item.mPriority));
    }
  }
  std::map<std::string, std::set<unsigned>> ofServices;
  for (const route& item : mManifest.mRoutes) {
    for (const weighted_service& share : item.mServices) {
      if (item.mKind == call_kind::Stream) {
        ofServices[share.mService].insert(RankOfPriority(item.mPriority));
      }
    }
  }
  for (auto& [name, ranks] : ofServices) {
    ranks.insert(ofOrganisations.begin(), ofOrganisations.end());
    if (ranks.size() > 1) {
      mRanks[name].assign(ranks.begin(), ranks.end());
    }
  }
}

const std::vector<unsigned>&
manifest_index::RanksOf(std::string_view aService) const
{
  static const std::vector<unsigned> kNone;
  const auto found = mRanks.find(std::string(aService));
  return found == mRanks.end() ? kNone : found->second;
}

const route*
manifest_index::FindRoute(std::string_view aHost,
                          std::string_view aTarget) const
{
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const std::string_view host = HostWithoutPort(aHost);
  // Each prefix ends with a slash, so only the parts of the path up to one of
  // its slashes can match.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    path = path.substr(0, slash + 1);
    const auto found = mRoutes.find(RouteKey(host, path));
    if (found != mRoutes.end()) {
      return found->second;
    }
    if (slash == 0) {
      return nullptr;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const service*
manifest_index::FindService(std::string_view aName) const
{
  const auto found = mServices.find(std::string(aName));
  return found == mServices.end() ? nullptr : found->second;
}

const organisation*
manifest_index::OwnerOfKey(std::string_view aKey) const
{
  const auto found = mKeys.find(std::string(aKey));
  return found == mKeys.end() ? nullptr : found->second;
}

bool
IsNewer(const manifest_pointer& aCurrent, const manifest& aOffered)
{
  return aCurrent == nullptr ||
         aOffered.mVersion > aCurrent->Manifest().mVersion;
}

const std::string&
ChooseService(const route& aRoute, double aRandom)
{
  double totalWeight = 0;
  for (const weighted_service& share : aRoute.mServices) {
    totalWeight += share.mWeight;
  }
  double remaining = aRandom * totalWeight;
  for (const weighted_service& share : aRoute.mServices) {
    remaining -= share.mWeight;
    if (remaining < 0) {
      return share.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace primrose
