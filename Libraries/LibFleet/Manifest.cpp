#include "LibFleet/Manifest.h"

#include <algorithm>
#include <tuple>

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

/// The rank that the organisation states; none if it states none. May be null.
std::optional<unsigned>
OwnRank(const organisation* aOrganisation)
{
  if (aOrganisation == nullptr || !aOrganisation->mPriority.has_value()) {
    return std::nullopt;
  }
  return RankOfPriority(*aOrganisation->mPriority);
}

request_urgency
UrgencyOf(const route& aRoute, const std::optional<unsigned>& aOwnRank)
{
  const unsigned ofRoute = RankOfPriority(aRoute.mPriority);
  return { aOwnRank.value_or(ofRoute), ofRoute };
}

/// The number of more urgent ones, at most `kMaxRank`.
unsigned
RankWithin(const std::set<request_urgency>& aUrgencies,
           const request_urgency& aUrgency)
{
  const std::ptrdiff_t before =
    std::distance(aUrgencies.begin(), aUrgencies.lower_bound(aUrgency));
  return std::min(kMaxRank, static_cast<unsigned>(before));
}

} // namespace

bool
operator<(const request_urgency& aOne, const request_urgency& aOther)
{
  return std::tie(aOne.mRank, aOne.mRouteRank) <
         std::tie(aOther.mRank, aOther.mRouteRank);
}

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
  std::set<std::optional<unsigned>> ofOrganisations = { std::nullopt };
  for (const organisation& item : mManifest.mOrganisations) {
    ofOrganisations.insert(OwnRank(&item));
  }
  for (const route& item : mManifest.mRoutes) {
    for (const weighted_service& share : item.mServices) {
      if (item.mKind != call_kind::Stream) {
        continue;
      }
      for (const std::optional<unsigned>& own : ofOrganisations) {
        mUrgencies[share.mService].insert(UrgencyOf(item, own));
      }
    }
  }
  for (const auto& [name, urgencies] : mUrgencies) {
    if (urgencies.size() > 1) {
      std::set<unsigned> ranks;
      for (const request_urgency& one : urgencies) {
        ranks.insert(RankWithin(urgencies, one));
      }
      mRanks[name].assign(ranks.begin(), ranks.end());
    }
  }
}

unsigned
manifest_index::RankOf(std::string_view aService,
                       const route& aRoute,
                       const organisation* aOrganisation) const
{
  const auto found = mUrgencies.find(std::string(aService));
  return found == mUrgencies.end()
           ? 0
           : RankWithin(found->second,
                        UrgencyOf(aRoute, OwnRank(aOrganisation)));
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
