#include "LibFleet/EngineSpeed.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Passes that an estimate is computed from. At three times the declared
/// duration of a pass, six of eight take 0.9 s. With four or more, a prefill
/// that is missing in the ledger does not decide alone.
constexpr std::size_t kMaxSamples = 8;
constexpr std::size_t kMinSamples = 4;
/// The estimate is the quantile at one quarter of the samples, so that it holds
/// while up to three quarters of the passes prefill.
constexpr std::size_t kQuantileDivisor = 4;
/// Four passes that each prefill a part of a second at a pace of 3 fit into it.
constexpr duration kSampleLifetime = std::chrono::seconds(5);
/// An own measurement takes precedence over reports for this long: some passes
/// of a slow engine.
constexpr duration kFreshTime = std::chrono::seconds(2);
/// Without news, a pace holds for this time, then its difference from 1 decays
/// with this time constant. A pace of 3 counts as 1 after 15 s. Earlier,
/// engines that are still slow would often get a burst of prompts from all
/// gateways.
constexpr duration kHoldTime = std::chrono::seconds(5);
constexpr duration kDecayTime = std::chrono::seconds(5);
constexpr duration kReportLifetime = std::chrono::seconds(15);
/// A report is sent again before its pace decays at the peers, with time for
/// one that is lost.
constexpr duration kReportRefreshTime = std::chrono::seconds(2);
constexpr duration kMinReportInterval = std::chrono::seconds(1);
/// Only reports that are at most this much older than the newest one are
/// combined, since engines change. Peers that disagree with a report send
/// theirs within `kMinReportInterval`.
constexpr duration kReportSpread = kHoldTime;
/// Upper bound of a pace that only one gateway reports, so that a wrong report
/// does little harm until others have measured the engine.
constexpr double kMaxUnconfirmedPace = 1.5;
/// Reports kept for an engine. Three that agree outvote two that do not.
constexpr std::size_t kMaxReports = 5;

double
Quantile(const std::vector<pace_sample>& aSamples, std::size_t aIndex)
{
  std::vector<double> paces;
  paces.reserve(aSamples.size());
  for (const pace_sample& one : aSamples) {
    paces.push_back(one.mPace);
  }
  std::nth_element(paces.begin(),
                   paces.begin() + static_cast<std::ptrdiff_t>(aIndex),
                   paces.end());
  return paces[aIndex];
}

/// The estimate from these samples. An engine counts as faster than declared
/// only if half of its passes are, because late reads shorten some intervals.
double
PaceOfSamples(const std::vector<pace_sample>& aSamples)
{
  const double low = Quantile(aSamples, aSamples.size() / kQuantileDivisor);
  const double pace =
    low < 1 ? std::min(1.0, Quantile(aSamples, aSamples.size() / 2)) : low;
  return std::clamp(pace, kMinPace, kMaxPace);
}

/// When the newest report was observed; the epoch if there is none.
time_point
NewestReportAt(const engine_speed& aSpeed)
{
  time_point newest{};
  for (const pace_report& one : aSpeed.mReports) {
    newest = std::max(newest, one.mObserved);
  }
  return newest;
}

/// The median of the reports that are at most this old; of two middle ones, the
/// lower one. Nullopt if there are none. A report that an engine is faster than
/// declared counts as 1: work goes to such an engine only by own measurement.
std::optional<double>
CombinedReports(const engine_speed& aSpeed, duration aMaxAge, time_point aNow)
{
  const time_point newest = NewestReportAt(aSpeed);
  std::vector<double> paces;
  for (const pace_report& one : aSpeed.mReports) {
    if (aNow - one.mObserved <= aMaxAge &&
        newest - one.mObserved <= kReportSpread) {
      paces.push_back(std::max(1.0, one.mPace));
    }
  }
  if (paces.empty()) {
    return std::nullopt;
  }
  if (paces.size() == 1) {
    paces.push_back(kMaxUnconfirmedPace);
  }
  std::sort(paces.begin(), paces.end());
  return paces[(paces.size() - 1) / 2];
}

/// What is left of a pace that was observed so long ago.
double
Decayed(double aPace, duration aAge)
{
  if (aAge <= kHoldTime) {
    return aPace;
  }
  return 1 + (aPace - 1) *
               std::exp(-Seconds(aAge - kHoldTime) / Seconds(kDecayTime));
}

/// Replaces the last report of the same gateway; otherwise, if there are too
/// many, the oldest one.
void
StoreReport(engine_speed& aSpeed, const pace_report& aReport)
{
  std::erase_if(aSpeed.mReports, [&aReport](const pace_report& aOne) {
    return aOne.mReporter == aReport.mReporter;
  });
  if (aSpeed.mReports.size() >= kMaxReports) {
    aSpeed.mReports.erase(
      std::min_element(aSpeed.mReports.begin(),
                       aSpeed.mReports.end(),
                       [](const pace_report& aOne, const pace_report& aOther) {
                         return aOne.mObserved < aOther.mObserved;
                       }));
  }
  aSpeed.mReports.push_back(aReport);
}

/// The last report of this gateway; null if there is none.
const pace_report*
FindReport(const engine_speed& aSpeed, std::uint64_t aReporter)
{
  const auto found = std::find_if(aSpeed.mReports.begin(),
                                  aSpeed.mReports.end(),
                                  [aReporter](const pace_report& aOne) {
                                    return aOne.mReporter == aReporter;
                                  });
  return found == aSpeed.mReports.end() ? nullptr : &*found;
}

} // namespace

bool
DiffersNotably(double aOne, double aOther)
{
  return std::max(aOne, aOther) >= kNotablePaceRatio * std::min(aOne, aOther);
}

bool
IsValidPace(double aPace)
{
  return aPace >= kMinPace && aPace <= kMaxPace;
}

void
AddPaceSample(engine_speed& aSpeed, double aPace, time_point aNow)
{
  std::vector<pace_sample>& samples = aSpeed.mSamples;
  std::erase_if(samples, [aNow](const pace_sample& aOne) {
    return aNow - aOne.mAt > kSampleLifetime;
  });
  if (samples.size() >= kMaxSamples) {
    samples.erase(samples.begin());
  }
  samples.push_back({ aPace, aNow });
  if (samples.size() >= kMinSamples) {
    aSpeed.mMeasured = PaceOfSamples(samples);
    aSpeed.mMeasuredAt = aNow;
  }
}

bool
ConfirmPace(engine_speed& aSpeed, time_point aNow)
{
  if (!FreshMeasurement(aSpeed, aNow).has_value()) {
    return false;
  }
  aSpeed.mMeasuredAt = aNow;
  return true;
}

void
AddPaceReport(engine_speed& aSpeed, const pace_report& aReport, time_point aNow)
{
  const pace_report* const last = FindReport(aSpeed, aReport.mReporter);
  if (!IsValidPace(aReport.mPace) ||
      aReport.mObserved < aSpeed.mInstanceSince ||
      aNow - aReport.mObserved > kReportLifetime ||
      (last != nullptr && aReport.mObserved < last->mObserved)) {
    return;
  }
  StoreReport(aSpeed, aReport);
}

std::optional<double>
FreshMeasurement(const engine_speed& aSpeed, time_point aNow)
{
  return aSpeed.mMeasuredAt.has_value() &&
             aNow - *aSpeed.mMeasuredAt <= kFreshTime
           ? std::optional(aSpeed.mMeasured)
           : std::nullopt;
}

double
EstimatedPace(const engine_speed& aSpeed, time_point aNow)
{
  if (const std::optional<double> own = FreshMeasurement(aSpeed, aNow);
      own.has_value()) {
    return *own;
  }
  const time_point reportedAt = NewestReportAt(aSpeed);
  const std::optional<double> reported =
    CombinedReports(aSpeed, kReportLifetime, aNow);
  if (aSpeed.mMeasuredAt.has_value() &&
      (!reported.has_value() || *aSpeed.mMeasuredAt > reportedAt)) {
    return Decayed(aSpeed.mMeasured, aNow - *aSpeed.mMeasuredAt);
  }
  return reported.has_value() ? Decayed(*reported, aNow - reportedAt) : 1;
}

double
PaceInForce(const engine_speed& aSpeed, time_point aNow)
{
  const double pace = EstimatedPace(aSpeed, aNow);
  return DiffersNotably(pace, 1) ? pace : 1;
}

std::optional<pace_report>
TakeDueReport(engine_speed& aSpeed, std::uint64_t aReporter, time_point aNow)
{
  const std::optional<double> own = FreshMeasurement(aSpeed, aNow);
  const pace_report* const last = FindReport(aSpeed, aReporter);
  if (!own.has_value() ||
      !DiffersNotably(
        std::max(1.0, *own),
        CombinedReports(aSpeed, kReportRefreshTime, aNow).value_or(1)) ||
      (last != nullptr && aNow - last->mObserved < kMinReportInterval)) {
    return std::nullopt;
  }
  const pace_report report{ aReporter, *own, aNow };
  StoreReport(aSpeed, report);
  return report;
}

void
ResetSpeed(engine_speed& aSpeed, time_point aNow)
{
  aSpeed = {};
  aSpeed.mInstanceSince = aNow;
}

} // namespace primrose
