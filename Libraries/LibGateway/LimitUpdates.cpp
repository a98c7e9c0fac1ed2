#include "LibGateway/LimitUpdates.h"

namespace primrose {

namespace {

/// Limits in one datagram, at about 12 bytes each.
constexpr std::size_t kMaxLimitsPerDatagram = 64;

void
UpdateShare(const gateway_state& aBoard,
            const std::string& aOwnHost,
            known_endpoint& aEndpoint,
            time_point aNow)
{
  std::vector<std::string> hosts = PeerHosts(aBoard);
  hosts.push_back(aOwnHost);
  UpdateLimitShare(aEndpoint.mLimit,
                   aEndpoint.mListed.mId,
                   HostsThatPrefer(aBoard.mSubsetRing,
                                   hosts,
                                   { EngineKey(aEndpoint.mListed.mId) }),
                   aOwnHost,
                   EntryCount(aBoard),
                   aNow);
}

} // namespace

bool
ApplyLimit(gateway_state& aBoard,
           const std::string& aOwnHost,
           known_endpoint& aEndpoint,
           const limit_report& aLimit,
           time_point aNow,
           const std::string& aToldBy)
{
  endpoint_limit& limit = aEndpoint.mLimit;
  const bool changed =
    ObserveLimit(limit, aLimit.mPerSecond, aLimit.mObserved, aNow);
  if (!changed) {
    return false;
  }
  UpdateShare(aBoard, aOwnHost, aEndpoint, aNow);
  Log(log_level::Info,
      limit.mPerSecond.has_value() ? "endpoint_limited" : "endpoint_unlimited",
      { { "endpoint", aEndpoint.mListed.mId },
        { "per_second", limit.mPerSecond.value_or(0) },
        { "own_per_second", limit.mOwnPerSecond },
        { "told_by", aToldBy },
        { "age_ms", Milliseconds(aNow - aLimit.mObserved) } });
  return true;
}

void
UpdateLimitShares(gateway_state& aBoard,
                  const std::string& aOwnHost,
                  time_point aNow)
{
  for (auto& [id, known] : aBoard.mEndpoints.mEndpoints) {
    if (known.mLimit.mPerSecond.has_value()) {
      UpdateShare(aBoard, aOwnHost, known, aNow);
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
