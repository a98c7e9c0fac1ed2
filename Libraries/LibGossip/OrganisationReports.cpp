#include "LibGossip/OrganisationReports.h"

namespace primrose {

namespace {

/// Lines that are logged at a time.
constexpr std::size_t kMaxLoggedOrganisations = 5;
/// Engine time below which an organisation is not logged.
constexpr double kLeastLoggedMs = 1;

/// The organisation's name; its key if the manifest does not list it.
std::string
NameOf(const gateway_state& aState, organisation_key aKey)
{
  if (aState.mManifest != nullptr) {
    for (const organisation& one :
         aState.mManifest->Manifest().mOrganisations) {
      if (OrganisationKey(one.mName) == aKey) {
        return one.mName;
      }
    }
  }
  return std::to_string(aKey);
}

} // namespace

void
UpdateEngineCapacities(gateway_state& aState)
{
  ClearEngineCapacities(aState.mUsage);
  if (aState.mManifest == nullptr) {
    return;
  }
  for (const auto& [id, known] : aState.mEndpoints.mEndpoints) {
    const service* const served =
      aState.mManifest->FindService(known.mListed.mService);
    if (served != nullptr && served->mEngine.has_value()) {
      AddEngineCapacity(aState.mUsage,
                        EngineKey(id),
                        CapacityOf(*served->mEngine),
                        known.mPreferred);
    }
  }
}

void
SetOrganisationGauges(gateway_state& aState, time_point aNow)
{
  aState.mMetrics.Set("gateway_organisations_tracked",
                      static_cast<double>(aState.mUsage.mTracked.size()));
  aState.mMetrics.Set("gateway_organisations_over_share",
                      static_cast<double>(CountOverShare(aState.mUsage, aNow)));
}

void
LogOrganisationUse(const gateway_state& aState, time_point aNow)
{
  for (const organisation_share& one :
       HeaviestOrganisations(aState.mUsage, kMaxLoggedOrganisations, aNow)) {
    if (one.mOrganisation == 0 || one.mUsedMs < kLeastLoggedMs) {
      continue;
    }
    Log(log_level::Info,
        "organisation_use",
        { { "organisation", NameOf(aState, one.mOrganisation) },
          { "used_ms_per_s", one.mUsedMs },
          { "share_ms_per_s", one.mShareMs.value_or(-1) },
          { "over", static_cast<int>(one.mOver) },
          { "reserve",
            ShareReserve(aState.mUsage, one.mOrganisation, aNow).mShare },
          { "tracked", aState.mUsage.mTracked.size() } });
  }
}

} // namespace primrose
