#include "LibFleet/EndpointLimits.h"

#include "LibFleet/SenderRank.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// What is not shared out is headroom for gateways that are missing from each
/// other's membership lists.
constexpr sender_policy kSenders{ 0.6, 2, 0.5 };
/// After this time without a confirming answer, gateways without a share probe
/// the endpoint one after the other.
constexpr duration kProbeDelay = std::chrono::seconds(10);
/// Interval at which a limit in force is announced again.
constexpr duration kAnnouncePeriod = std::chrono::seconds(4);
/// Lower bound of the rate; avoids division by zero.
constexpr double kMinRate = 0.01;

/// Rounds to the precision of limit announcements, so that a rate from an
/// answer compares equal to the same rate received from a peer. At least
/// `kMinRate`.
double
RoundedRate(double aPerSecond)
{
  constexpr double kMillisInOne = 1e3;
  return std::max(kMinRate,
                  std::round(aPerSecond * kMillisInOne) / kMillisInOne);
}

/// True if this gateway has no share and may send a probe.
bool
IsProbeDue(const endpoint_limit& aLimit, time_point aNow)
{
  return aLimit.mShare.mPerSecond <= 0 && !aLimit.mProbed &&
         aNow - aLimit.mObserved >= aLimit.mProbeAfter;
}

} // namespace

bool
ObserveLimit(endpoint_limit& aLimit,
             const std::optional<double>& aPerSecond,
             time_point aObserved,
             time_point aNow)
{
  if (aObserved < aLimit.mObserved) {
    return false;
  }
  std::optional<double> rate = aPerSecond;
  if (rate.has_value()) {
    rate = RoundedRate(*rate);
  }
  const bool changed = rate != aLimit.mPerSecond;
  if (!aLimit.mPerSecond.has_value()) {
    aLimit.mShare = { 0, 0, aNow };
    aLimit.mProbeAfter = kProbeDelay;
  }
  aLimit.mPerSecond = rate;
  aLimit.mObserved = aObserved;
  aLimit.mProbed = false;
  return changed;
}

void
UpdateLimitShare(endpoint_limit& aLimit,
                 std::string_view aEndpointId,
                 const std::vector<std::string>& aHosts,
                 std::string_view aOwnHost,
                 std::size_t aGateways,
                 time_point aNow)
{
  if (!aLimit.mPerSecond.has_value()) {
    return;
  }
  const double rate = *aLimit.mPerSecond;
  const std::size_t rank = SenderRank(aEndpointId, aHosts, aOwnHost);
  const double own =
    SenderShare(kSenders, rate, std::max(aHosts.size(), aGateways), rank);
  aLimit.mShare = aLimit.mShare.mPerSecond > 0
                    ? WithRate(aLimit.mShare, own, aNow)
                    : token_bucket{ own, 0, aNow };
  aLimit.mProbeAfter =
    kProbeDelay + FromSeconds(static_cast<double>(rank + 1) /
                              (kSenders.mUsedFraction * rate));
}

bool
Admits(const endpoint_limit& aLimit, time_point aNow)
{
  return TimeUntilAdmitted(aLimit, aNow) <= duration::zero();
}

duration
TimeUntilAdmitted(const endpoint_limit& aLimit, time_point aNow)
{
  if (!aLimit.mPerSecond.has_value() || IsProbeDue(aLimit, aNow)) {
    return duration::zero();
  }
  if (aLimit.mShare.mPerSecond > 0) {
    return TimeUntilToken(aLimit.mShare, aNow);
  }
  return aLimit.mProbed ? duration::max()
                        : aLimit.mObserved + aLimit.mProbeAfter - aNow;
}

void
TakeToken(endpoint_limit& aLimit, time_point aNow)
{
  if (!aLimit.mPerSecond.has_value()) {
    return;
  }
  aLimit.mProbed = aLimit.mProbed || aLimit.mShare.mPerSecond <= 0;
  aLimit.mShare = WithTokenTaken(aLimit.mShare, aNow);
}

bool
MarkLimitAnnouncedIfDue(endpoint_limit& aLimit, bool aChanged, time_point aNow)
{
  const bool due =
    aLimit.mPerSecond.has_value() && aNow - aLimit.mTold >= kAnnouncePeriod;
  if (!aChanged && !due) {
    return false;
  }
  aLimit.mTold = aNow;
  return true;
}

} // namespace primrose
