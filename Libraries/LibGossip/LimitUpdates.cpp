#include "LibGossip/LimitUpdates.h"

namespace primrose {

namespace {

/// Limits in one datagram, at about 12 bytes each.
constexpr std::size_t kMaxLimitsPerDatagram = 64;
/// A gateway knows its peers once it has heard this part of the listed ones, or
/// after this time since its start. Rows of gateways that are gone stay listed.
constexpr double kKnownPart = 0.8;
constexpr duration kMaxDiscoveryTime = std::chrono::seconds(4);

/// The gateways of the fleet that may place on the endpoint.
std::vector<std::string>
HostsThatMayPlace(const gateway_state& aBoard,
                  const std::vector<std::string>& aFleet,
                  const known_endpoint& aEndpoint)
{
  return HostsThatPrefer(
    aBoard.mSubsetRing, aFleet, { EngineKey(aEndpoint.mListed.mId) });
}

void
UpdateShare(const gateway_state& aBoard,
            const std::string& aOwnHost,
            const std::vector<std::string>& aFleet,
            known_endpoint& aEndpoint,
            time_point aNow)
{
  UpdateLimitShare(aEndpoint.mLimit,
                   aEndpoint.mListed.mId,
                   HostsThatMayPlace(aBoard, aFleet, aEndpoint),
                   aOwnHost,
                   EntryCount(aBoard),
                   aNow);
}

/// Computes this gateway's share of what a cold endpoint bears.
void
UpdateWarmUpShare(const gateway_state& aBoard,
                  const std::string& aOwnHost,
                  const std::vector<std::string>& aFleet,
                  known_endpoint& aEndpoint,
                  time_point aNow)
{
  const service* const served =
    aBoard.mManifest == nullptr
      ? nullptr
      : aBoard.mManifest->FindService(aEndpoint.mListed.mService);
  if (served != nullptr && served->mColdRequestsPerSecond <= 0) {
    aEndpoint.mWarmUp = {};
    return;
  }
  const bool hasShare = served != nullptr && KnowsPeers(aBoard, aNow);
  aEndpoint.mWarmUp.mShare =
    WithRate(aEndpoint.mWarmUp.mShare,
             hasShare ? ColdShare(aEndpoint.mListed.mId,
                                  HostsThatMayPlace(aBoard, aFleet, aEndpoint),
                                  aOwnHost,
                                  served->mColdRequestsPerSecond)
                      : 0,
             aNow);
}

} // namespace

bool
KnowsPeers(const gateway_state& aBoard, time_point aNow)
{
  if (aNow - aBoard.mStarted >= kMaxDiscoveryTime) {
    return true;
  }
  return aBoard.mGatewaysLoaded &&
         static_cast<double>(aBoard.mPeers.size() + 1) >=
           kKnownPart * static_cast<double>(aBoard.mListedGatewayCount);
}

bool
ApplyLimit(gateway_state& aBoard,
           const std::string& aOwnHost,
           known_endpoint& aEndpoint,
           const limit_report& aLimit,
           time_point aNow,
           const std::string& aReporter)
{
  endpoint_limit& limit = aEndpoint.mLimit;
  const bool changed =
    ObserveLimit(limit, aLimit.mPerSecond, aLimit.mObserved, aNow);
  if (!changed) {
    return false;
  }
  UpdateShare(aBoard, aOwnHost, FleetHosts(aBoard, aOwnHost), aEndpoint, aNow);
  Log(log_level::Info,
      limit.mPerSecond.has_value() ? "endpoint_limited" : "endpoint_unlimited",
      { { "endpoint", aEndpoint.mListed.mId },
        { "per_second", limit.mPerSecond.value_or(0) },
        { "own_per_second", limit.mShare.mPerSecond },
        { "told_by", aReporter },
        { "age_ms", Milliseconds(aNow - aLimit.mObserved) } });
  return true;
}

void
UpdateLimitShares(gateway_state& aBoard,
                  const std::string& aOwnHost,
                  time_point aNow)
{
  const std::vector<std::string> fleet = FleetHosts(aBoard, aOwnHost);
  for (auto& [id, known] : aBoard.mEndpoints.mEndpoints) {
    if (known.mLimit.mPerSecond.has_value()) {
      UpdateShare(aBoard, aOwnHost, fleet, known, aNow);
    }
  }
}

void
BeginWarmUp(const gateway_state& aBoard,
            const std::string& aOwnHost,
            known_endpoint& aEndpoint,
            duration aColdTime,
            time_point aNow)
{
  const bool wasCold = IsCold(aEndpoint.mWarmUp, aNow);
  aEndpoint.mWarmUp = WithColdUntil(aEndpoint.mWarmUp, aNow + aColdTime, aNow);
  if (!wasCold && IsCold(aEndpoint.mWarmUp, aNow)) {
    UpdateWarmUpShare(
      aBoard, aOwnHost, FleetHosts(aBoard, aOwnHost), aEndpoint, aNow);
  }
}

void
UpdateWarmUpShares(gateway_state& aBoard,
                   const std::string& aOwnHost,
                   time_point aNow)
{
  const std::vector<std::string> fleet = FleetHosts(aBoard, aOwnHost);
  for (auto& [id, known] : aBoard.mEndpoints.mEndpoints) {
    if (IsCold(known.mWarmUp, aNow)) {
      UpdateWarmUpShare(aBoard, aOwnHost, fleet, known, aNow);
    }
  }
}

std::vector<limit_report>
KnownLimits(const gateway_state& aBoard)
{
  std::vector<limit_report> limits;
  for (const auto& [id, known] : aBoard.mEndpoints.mEndpoints) {
    if (known.mLimit.mPerSecond.has_value() &&
        limits.size() < kMaxLimitsPerDatagram) {
      limits.push_back(
        { EngineKey(id), known.mLimit.mPerSecond, known.mLimit.mObserved });
    }
  }
  return limits;
}

} // namespace primrose
