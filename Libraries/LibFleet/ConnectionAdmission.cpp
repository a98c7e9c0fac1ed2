#include "LibFleet/ConnectionAdmission.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

constexpr double kAveragingSeconds = 0.5;
/// The rest of the time is needed for streams that have begun.
constexpr double kMaxBusyShare = 0.85;
/// More new connections than this many times the mean of the peers are a surge.
/// Shares differ by less in normal operation.
constexpr double kSurgeFactor = 2;
/// So that peers without callers do not make any rate a surge.
constexpr double kMinSurgePerSecond = 5;

} // namespace

connection_load
UpdatedLoad(const connection_load& aLoad, duration aElapsed, duration aBusy)
{
  const double elapsed = Seconds(aElapsed);
  if (elapsed <= 0) {
    return aLoad;
  }
  const double weight = 1 - std::exp(-elapsed / kAveragingSeconds);
  const auto average = [weight](double aBefore, double aNow) {
    return aBefore + weight * (aNow - aBefore);
  };
  return { average(aLoad.mBusyShare, std::min(1.0, Seconds(aBusy) / elapsed)),
           average(aLoad.mPerSecond,
                   static_cast<double>(aLoad.mNewSinceUpdate) / elapsed),
           0 };
}

bool
IsSurge(const connection_load& aLoad,
        const std::optional<double>& aPeersPerSecond)
{
  return aPeersPerSecond.has_value() &&
         aLoad.mPerSecond >
           std::max(kMinSurgePerSecond, kSurgeFactor * *aPeersPerSecond);
}

connection_verdict
ConnectionVerdict(const connection_load& aLoad,
                  std::size_t aOpen,
                  std::size_t aMaxOpen,
                  const std::optional<double>& aPeersPerSecond)
{
  if (aOpen >= aMaxOpen) {
    return connection_verdict::TooMany;
  }
  return IsSurge(aLoad, aPeersPerSecond) && aLoad.mBusyShare > kMaxBusyShare
           ? connection_verdict::Surge
           : connection_verdict::Accept;
}

} // namespace primrose
