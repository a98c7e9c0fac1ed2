#include "LibFleet/EndpointLimits.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Fraction of the rate that is shared out; the rest is headroom for entries
/// that do not know of each other.
constexpr double kUsedFraction = 0.6;
/// Entries that send to one endpoint: a minimum, plus a number proportional to
/// the rate.
constexpr double kMinSenders = 2;
constexpr double kSendersPerRate = 0.5;
/// Capacity of the token bucket. Allows no bursts after an idle period.
constexpr double kBucketSize = 1;
/// After this time without a confirming answer, entries without a share probe
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

double
TokensAt(const endpoint_limit& aLimit, time_point aNow)
{
  if (aLimit.mOwnPerSecond <= 0) {
    const bool due =
      !aLimit.mProbed && aNow - aLimit.mObserved >= aLimit.mProbeAfter;
    return due ? kBucketSize : 0;
  }
  const double since = std::max(0.0, Seconds(aNow - aLimit.mRefilled));
  return std::min(kBucketSize, aLimit.mTokens + since * aLimit.mOwnPerSecond);
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
    aLimit.mTokens = 0;
    aLimit.mRefilled = aNow;
    aLimit.mOwnPerSecond = 0;
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
                 std::size_t aEntries,
                 time_point aNow)
{
  if (!aLimit.mPerSecond.has_value()) {
    return;
  }
  const std::uint64_t seed = Hash(aEndpointId);
  const std::pair<std::uint64_t, std::string_view> own(Hash(aOwnHost, seed),
                                                       aOwnHost);
  const bool listed =
    std::find(aHosts.begin(), aHosts.end(), aOwnHost) != aHosts.end();
  const std::size_t before = static_cast<std::size_t>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](const std::string& aHost) {
      return std::pair<std::uint64_t, std::string_view>(Hash(aHost, seed),
                                                        aHost) < own;
    }));
  const double rate = *aLimit.mPerSecond;
  const double entries = static_cast<double>(std::max(aHosts.size(), aEntries));
  const double senders =
    std::min(entries, kMinSenders + std::floor(kSendersPerRate * rate));
  const double rank = static_cast<double>(listed ? before : aHosts.size());
  aLimit.mTokens = aLimit.mOwnPerSecond > 0 ? TokensAt(aLimit, aNow) : 0;
  aLimit.mRefilled = aNow;
  aLimit.mOwnPerSecond = rank < senders ? kUsedFraction * rate / senders : 0;
  aLimit.mProbeAfter =
    kProbeDelay + FromSeconds((rank + 1) / (kUsedFraction * rate));
}

bool
Admits(const endpoint_limit& aLimit, time_point aNow)
{
  return !aLimit.mPerSecond.has_value() ||
         TokensAt(aLimit, aNow) >= kBucketSize;
}

duration
TimeUntilAdmitted(const endpoint_limit& aLimit, time_point aNow)
{
  if (Admits(aLimit, aNow)) {
    return duration::zero();
  }
  if (aLimit.mOwnPerSecond <= 0) {
    return aLimit.mProbed ? duration::max()
                          : aLimit.mObserved + aLimit.mProbeAfter - aNow;
  }
  return FromSeconds((kBucketSize - TokensAt(aLimit, aNow)) /
                     aLimit.mOwnPerSecond);
}

void
TakeToken(endpoint_limit& aLimit, time_point aNow)
{
  if (!aLimit.mPerSecond.has_value()) {
    return;
  }
  aLimit.mProbed = aLimit.mProbed || aLimit.mOwnPerSecond <= 0;
  aLimit.mTokens = std::max(0.0, TokensAt(aLimit, aNow) - kBucketSize);
  aLimit.mRefilled = aNow;
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
