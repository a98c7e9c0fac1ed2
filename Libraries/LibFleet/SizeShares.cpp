#include "LibFleet/SizeShares.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Time constant of the counts. It covers several bursts of a few seconds, so
/// that a class which is starved in one burst is preferred in the next.
constexpr double kWindowSeconds = 20;
/// A kind is forgotten if it is not offered for three windows: 0.05 of its
/// counts would be left.
constexpr duration kForgetKindAfter = std::chrono::seconds(60);
/// Kinds to count. The latency target of a route that states none depends on
/// the caller's deadline, so the number of kinds has no other bound.
constexpr std::size_t kMaxKinds = 32;
/// Prompts whose sizes are kept: the largest tenth are six of them.
constexpr std::size_t kMaxSizes = 64;
/// Minimum number of sizes to tell classes apart. A gateway among a hundred is
/// offered a long prompt every few seconds, so a larger number would leave it
/// without classes for a minute after its start.
constexpr std::size_t kMinSizes = 5;
constexpr double kLargestShare = 0.1;
constexpr double kLargestAndNextShare = 0.3;

/// Refusals below this do not count as overload: one refusal counts for 24 s.
constexpr double kMinRefused = 0.3;
/// The rest of a kind is held back only while this share of the kind or less is
/// admitted. In milder overload engines become free for a preferred prompt
/// without it, and holding the rest back would lose more worth than it gains.
constexpr double kMaxKindShareToHoldBack = 0.6;
/// A class is preferred if it is admitted less often than its kind by this
/// factor. Callers return after a refusal, which brings the shares of requests
/// that are served in the end closer together than those of attempts.
constexpr double kMinRelativeShare = 0.6;
/// Weight of the kind's share in the share of a class of which few prompts were
/// offered: a single refusal already makes the class preferred.
constexpr double kPriorOffers = 0.3;

/// Scales the gain of preferred prompts. Higher factors cut more short streams
/// and serve hardly more of the largest.
constexpr double kPreferredFactor = 1.5;
/// Scales the gain of the rest of the kind while a class is far below its
/// share; holding back less leaves the engines too busy for large prompts.
constexpr double kHeldBackFactor = 0.5;
/// The rest is held back fully if the relative share of the lowest class is
/// below `kMinRelativeShare` by this part of it.
constexpr double kFullShortfall = 0.2;

/// Peers whose reports are kept; one is about 300 bytes.
constexpr std::size_t kMaxPeers = 1024;
/// A gateway that takes a thousand prompts of a kind in each second would count
/// as many in the window.
constexpr double kMaxReportedCount = 2e4;

double
DecayFactor(time_point aSince, time_point aNow)
{
  const double age = std::max(0.0, Seconds(aNow - aSince));
  return std::exp(-age / kWindowSeconds);
}

void
Decay(kind_shares& aKind, time_point aNow)
{
  const double factor = DecayFactor(aKind.mCountedAt, aNow);
  for (size_counts& counts : aKind.mCounts) {
    counts.mOffered *= factor;
    counts.mAdmitted *= factor;
  }
  aKind.mRefused *= factor;
  aKind.mCountedAt = std::max(aKind.mCountedAt, aNow);
}

/// Calls `aVisit` with each peer's report of this kind and when it came.
template<typename Visitor>
void
ForEachPeerReport(const size_shares& aShares,
                  const size_kind& aKind,
                  Visitor aVisit)
{
  if (aShares.mPeers.empty()) {
    return;
  }
  const std::uint64_t key = SizeKindKey(aKind);
  for (const auto& [host, peer] : aShares.mPeers) {
    for (const size_report& report : peer.mReports) {
      if (report.mKind == key) {
        aVisit(report, peer.mReceivedAt);
      }
    }
  }
}

/// How many of the last prompts of a kind are larger than a size.
struct size_comparison
{
  std::size_t mSizes = 0;
  std::size_t mLarger = 0;

  bool operator==(const size_comparison&) const = default;
};

/// Compares with the sizes that this gateway and its peers were offered.
size_comparison
CompareSize(const size_shares& aShares,
            const size_kind& aKind,
            const kind_shares& aCounted,
            double aTokens)
{
  size_comparison compared;
  const auto count = [&compared, aTokens](const auto& aSizes) {
    compared.mSizes += aSizes.size();
    compared.mLarger += static_cast<std::size_t>(
      std::count_if(aSizes.begin(), aSizes.end(), [aTokens](double aOther) {
        return aOther > aTokens;
      }));
  };
  count(aCounted.mSizes);
  ForEachPeerReport(
    aShares, aKind, [&count](const size_report& aReport, time_point) {
      count(aReport.mSizes);
    });
  return compared;
}

size_class
ClassOf(const size_comparison& aCompared)
{
  if (aCompared.mSizes < kMinSizes) {
    return size_class::Rest;
  }
  const double share = static_cast<double>(aCompared.mLarger) /
                       static_cast<double>(aCompared.mSizes);
  return share < kLargestShare          ? size_class::LargestTenth
         : share < kLargestAndNextShare ? size_class::NextFifth
                                        : size_class::Rest;
}

/// The own counts of a size of this kind.
size_counts&
CountsOf(const size_shares& aShares,
         const size_kind& aKind,
         kind_shares& aCounted,
         double aTokens)
{
  const size_class ofSize =
    ClassOf(CompareSize(aShares, aKind, aCounted, aTokens));
  return aCounted.mCounts.at(static_cast<std::size_t>(ofSize));
}

double
KindShare(const kind_shares& aKind)
{
  size_counts sum;
  for (const size_counts& counts : aKind.mCounts) {
    sum.mOffered += counts.mOffered;
    sum.mAdmitted += counts.mAdmitted;
  }
  return sum.mOffered > 0 ? std::min(1.0, sum.mAdmitted / sum.mOffered) : 1;
}

double
ClassShare(const size_counts& aCounts, double aKindShare)
{
  return std::min(1.0,
                  (aCounts.mAdmitted + kPriorOffers * aKindShare) /
                    (aCounts.mOffered + kPriorOffers));
}

double
LowestClassShare(const kind_shares& aKind, double aKindShare)
{
  double lowest = 1;
  for (const size_counts& counts : aKind.mCounts) {
    lowest = std::min(lowest, ClassShare(counts, aKindShare));
  }
  return lowest;
}

bool
IsCount(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0 && aValue <= kMaxReportedCount;
}

bool
IsPossible(const size_report& aReport)
{
  return IsCount(aReport.mRefused) &&
         std::all_of(aReport.mCounts.begin(),
                     aReport.mCounts.end(),
                     [](const size_counts& aCounts) {
                       return IsCount(aCounts.mOffered) &&
                              IsCount(aCounts.mAdmitted);
                     });
}

/// Adds the counts that peers have reported of this kind.
void
AddPeerCounts(kind_shares& aCounted,
              const size_shares& aShares,
              const size_kind& aKind,
              time_point aNow)
{
  ForEachPeerReport(
    aShares,
    aKind,
    [&aCounted, aNow](const size_report& aReport, time_point aReceivedAt) {
      const double factor = DecayFactor(aReceivedAt, aNow);
      for (std::size_t i = 0; i < kSizeClasses; ++i) {
        size_counts& counts = aCounted.mCounts.at(i);
        counts.mOffered += factor * aReport.mCounts.at(i).mOffered;
        counts.mAdmitted += factor * aReport.mCounts.at(i).mAdmitted;
      }
      aCounted.mRefused += factor * aReport.mRefused;
    });
}

/// The factor on the gain of prompts whose class is not preferred.
double
HeldBackFactor(double aLowestClassShare, double aMinShare)
{
  const double shortfall = (aMinShare - aLowestClassShare) / aMinShare;
  return 1 - (1 - kHeldBackFactor) *
               std::clamp(shortfall / kFullShortfall, 0.0, 1.0);
}

} // namespace

std::string_view
SizeClassName(size_class aClass)
{
  switch (aClass) {
    case size_class::Rest:
      return "rest";
    case size_class::NextFifth:
      return "next_fifth";
    case size_class::LargestTenth:
      return "largest_tenth";
  }
  return "";
}

void
RecordOffer(size_shares& aShares,
            const size_kind& aKind,
            double aTokens,
            time_point aNow)
{
  std::erase_if(aShares.mKinds, [aNow](const auto& aOne) {
    return aNow - aOne.second.mCountedAt >= kForgetKindAfter;
  });
  if (aShares.mKinds.size() >= kMaxKinds && !aShares.mKinds.contains(aKind)) {
    return;
  }
  kind_shares& kind = aShares.mKinds[aKind];
  Decay(kind, aNow);
  kind.mSizes.push_back(aTokens);
  if (kind.mSizes.size() > kMaxSizes) {
    kind.mSizes.pop_front();
  }
  CountsOf(aShares, aKind, kind, aTokens).mOffered += 1;
}

void
RecordAdmission(size_shares& aShares,
                const size_kind& aKind,
                double aTokens,
                time_point aNow)
{
  const auto found = aShares.mKinds.find(aKind);
  if (found != aShares.mKinds.end()) {
    Decay(found->second, aNow);
    CountsOf(aShares, aKind, found->second, aTokens).mAdmitted += 1;
  }
}

void
RecordRefusal(size_shares& aShares, const size_kind& aKind, time_point aNow)
{
  const auto found = aShares.mKinds.find(aKind);
  if (found != aShares.mKinds.end()) {
    Decay(found->second, aNow);
    found->second.mRefused += 1;
  }
}

std::uint64_t
SizeKindKey(const size_kind& aKind)
{
  return Hash(aKind.mService + ' ' +
              std::to_string(Milliseconds(aKind.mObjective)) + ' ' +
              std::to_string(Milliseconds(aKind.mLongestPause)));
}

std::vector<size_report>
OwnSizeReports(const size_shares& aShares, time_point aNow)
{
  std::vector<size_report> reports;
  for (const auto& [kind, held] : aShares.mKinds) {
    kind_shares counted = held;
    Decay(counted, aNow);
    kind_shares fleet = counted;
    AddPeerCounts(fleet, aShares, kind, aNow);
    if (fleet.mRefused < kMinRefused) {
      continue;
    }
    const std::ptrdiff_t sizes = static_cast<std::ptrdiff_t>(
      std::min(counted.mSizes.size(), kMaxReportedSizes));
    reports.push_back(
      { SizeKindKey(kind),
        counted.mCounts,
        counted.mRefused,
        { counted.mSizes.end() - sizes, counted.mSizes.end() } });
  }
  std::sort(reports.begin(),
            reports.end(),
            [](const size_report& aOne, const size_report& aOther) {
              return aOne.mRefused > aOther.mRefused;
            });
  reports.resize(std::min(reports.size(), kMaxSizeReports));
  return reports;
}

std::size_t
ApplySizeReports(size_shares& aShares,
                 const std::string& aHost,
                 const std::vector<size_report>& aReports,
                 time_point aNow)
{
  std::erase_if(aShares.mPeers, [aNow](const auto& aPeer) {
    return aNow - aPeer.second.mReceivedAt >= kForgetKindAfter;
  });
  std::vector<size_report> possible = aReports;
  std::erase_if(
    possible, [](const size_report& aReport) { return !IsPossible(aReport); });
  const std::size_t ignored = aReports.size() - possible.size();
  possible.resize(std::min(possible.size(), kMaxSizeReports));
  for (size_report& report : possible) {
    report.mSizes.resize(std::min(report.mSizes.size(), kMaxReportedSizes));
  }
  if (possible.empty()) {
    aShares.mPeers.erase(aHost);
  } else if (aShares.mPeers.size() < kMaxPeers ||
             aShares.mPeers.contains(aHost)) {
    aShares.mPeers[aHost] = { std::move(possible), aNow };
  }
  return ignored;
}

size_preference
SizePreference(const size_shares& aShares,
               const size_kind& aKind,
               double aTokens,
               time_point aNow)
{
  size_preference preference;
  const auto found = aShares.mKinds.find(aKind);
  if (found == aShares.mKinds.end()) {
    return preference;
  }
  kind_shares kind = found->second;
  Decay(kind, aNow);
  AddPeerCounts(kind, aShares, aKind, aNow);
  const size_comparison compared = CompareSize(aShares, aKind, kind, aTokens);
  preference.mClass = ClassOf(compared);
  preference.mSizes = compared.mSizes;
  preference.mKindShare = KindShare(kind);
  preference.mClassShare =
    ClassShare(kind.mCounts.at(static_cast<std::size_t>(preference.mClass)),
               preference.mKindShare);
  if (kind.mRefused < kMinRefused) {
    return preference;
  }
  const double minShare = kMinRelativeShare * preference.mKindShare;
  if (preference.mClassShare < minShare) {
    preference.mPreferred = true;
    preference.mGainFactor = kPreferredFactor;
  } else if (minShare > 0 && preference.mKindShare <= kMaxKindShareToHoldBack) {
    preference.mGainFactor =
      HeldBackFactor(LowestClassShare(kind, preference.mKindShare), minShare);
  }
  return preference;
}

} // namespace primrose
