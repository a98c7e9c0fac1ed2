#include "LibFleet/Manifest.h"

#include <algorithm>

namespace primrose {

namespace {

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

/// The host without a port.
std::string_view
HostWithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

manifest_index::manifest_index(manifest aManifest)
  : mManifest(std::move(aManifest))
{
  for (const route& one : mManifest.mRoutes) {
    mRoutes.emplace(RouteKey(one.mHost, one.mPrefix), &one);
  }
  for (const service& one : mManifest.mServices) {
    mServices.emplace(one.mName, &one);
  }
  for (const organisation& one : mManifest.mOrganisations) {
    for (const std::string& key : one.mKeys) {
      mKeys.emplace(key, &one);
    }
  }
}

const route*
manifest_index::FindRoute(std::string_view aHost,
                          std::string_view aTarget) const
{
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const std::string_view host = HostWithoutPort(aHost);
  // Each prefix ends with a slash, so only the path's slashes can end one.
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
IsNewer(const manifest_pointer& aHeld, const manifest& aOffered)
{
  return aHeld == nullptr || aOffered.mVersion > aHeld->Manifest().mVersion;
}

const std::string&
ChooseService(const route& aRoute, double aDraw)
{
  double sum = 0;
  for (const weighted_service& share : aRoute.mServices) {
    sum += share.mWeight;
  }
  double left = aDraw * sum;
  for (const weighted_service& share : aRoute.mServices) {
    left -= share.mWeight;
    if (left < 0) {
      return share.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace primrose
