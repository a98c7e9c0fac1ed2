#include "Faults.h"

#include <array>

namespace primrose::soak {

namespace {

constexpr std::array<std::string_view, kFaultKindCount> kFaultNames = {
  "pause",
  "kill",
  "terminate",
  "reload",
  "store_refuses",
  "store_silent",
  "store_forgets",
  "new_manifest",
  "endpoint_resets",
  "endpoint_hangs",
  "endpoint_refuses",
  "endpoint_breaks_off",
  "endpoint_answers_twice",
  "endpoint_leaves"
};

/// Mean seconds between the starts of faults, and the longest duration of one.
/// They are chosen so that usually two or three faults overlap.
constexpr double kMeanFaultInterval = 0.5;
constexpr double kMaxFaultSeconds = 2.0;
constexpr std::uint64_t kTargetRange = 1000;
constexpr double kMeanCrashInterval = 1.5;
/// Offset of the seed that makes the plan of crashes independent of the plan
/// of faults.
constexpr std::uint64_t kCrashSeedOffset = 0xc0ffee;
constexpr double kMeanNoticeInterval = 3;
constexpr std::uint64_t kNoticeSeedOffset = 0x1eaf;

constexpr double kMeanEvacuationInterval = 6;
constexpr double kMinEvacuationSeconds = 1;
constexpr std::uint64_t kEvacuationSeedOffset = 0xeac;

constexpr double kMeanUnframedInterval = 1;
constexpr std::uint64_t kUnframedEnds = 3;
constexpr std::uint64_t kUnframedSeedOffset = 0xf1a;

constexpr double kMeanSurgeInterval = 6;
constexpr std::uint64_t kSurgeSeedOffset = 0x5e6;

constexpr double kMinFaultSeconds = 0.2;

duration
RandomDuration(random_engine& aRandom)
{
  return FromSeconds(kMinFaultSeconds +
                     Uniform(aRandom) * (kMaxFaultSeconds - kMinFaultSeconds));
}

/// Plans entries from the first second on, which `aMake` makes from the random
/// engine and their time.
template<typename T, typename Make>
std::vector<T>
PlanAtRandomTimes(std::uint64_t aSeed,
                  duration aLength,
                  double aMeanInterval,
                  Make&& aMake)
{
  random_engine random(aSeed);
  std::vector<T> plan;
  for (double at = 1; at < Seconds(aLength);
       at += Exponential(random, aMeanInterval)) {
    plan.push_back(aMake(random, FromSeconds(at)));
  }
  return plan;
}

} // namespace

std::string_view
FaultName(fault_kind aKind)
{
  return kFaultNames[static_cast<std::size_t>(aKind)];
}

std::vector<planned_crash>
PlanCrashes(std::uint64_t aSeed, duration aLength)
{
  return PlanAtRandomTimes<planned_crash>(
    aSeed + kCrashSeedOffset,
    aLength,
    kMeanCrashInterval,
    [](random_engine& aRandom, duration aAt) {
      return planned_crash{ aAt, Below(aRandom, kTargetRange) };
    });
}

std::vector<planned_surge>
PlanSurges(std::uint64_t aSeed, duration aLength)
{
  return PlanAtRandomTimes<planned_surge>(
    aSeed + kSurgeSeedOffset,
    aLength,
    kMeanSurgeInterval,
    [](random_engine& aRandom, duration aAt) {
      planned_surge one;
      one.mAt = aAt;
      one.mTarget = Below(aRandom, kTargetRange);
      one.mDuration = RandomDuration(aRandom);
      return one;
    });
}

std::vector<planned_unframed_answers>
PlanUnframedAnswers(std::uint64_t aSeed, duration aLength)
{
  return PlanAtRandomTimes<planned_unframed_answers>(
    aSeed + kUnframedSeedOffset,
    aLength,
    kMeanUnframedInterval,
    [](random_engine& aRandom, duration aAt) {
      planned_unframed_answers one;
      one.mAt = aAt;
      one.mTarget = Below(aRandom, kTargetRange);
      one.mEnd = static_cast<unframed_end>(Below(aRandom, kUnframedEnds));
      one.mDuration = RandomDuration(aRandom);
      return one;
    });
}

std::vector<planned_evacuation>
PlanEvacuations(std::uint64_t aSeed, duration aLength)
{
  random_engine random(aSeed + kEvacuationSeedOffset);
  std::vector<planned_evacuation> plan;
  double at = 1;
  while (at < Seconds(aLength)) {
    const double seconds =
      kMinEvacuationSeconds + Uniform(random) * kMaxFaultSeconds;
    plan.push_back(
      { FromSeconds(at), Below(random, kTargetRange), FromSeconds(seconds) });
    at += seconds + Exponential(random, kMeanEvacuationInterval);
  }
  return plan;
}

std::vector<planned_notice>
PlanNotices(std::uint64_t aSeed, duration aLength)
{
  return PlanAtRandomTimes<planned_notice>(
    aSeed + kNoticeSeedOffset,
    aLength,
    kMeanNoticeInterval,
    [](random_engine& aRandom, duration aAt) {
      planned_notice one;
      one.mAt = aAt;
      one.mTarget = Below(aRandom, kTargetRange);
      one.mLeaves = Below(aRandom, 3) == 0;
      one.mDuration = RandomDuration(aRandom);
      return one;
    });
}

std::vector<fault>
PlanFaults(std::uint64_t aSeed, duration aLength)
{
  return PlanAtRandomTimes<fault>(aSeed,
                                  aLength,
                                  kMeanFaultInterval,
                                  [](random_engine& aRandom, duration aAt) {
                                    fault one;
                                    one.mAt = aAt;
                                    one.mKind = static_cast<fault_kind>(
                                      Below(aRandom, kFaultKindCount));
                                    one.mTarget = Below(aRandom, kTargetRange);
                                    one.mDuration = RandomDuration(aRandom);
                                    return one;
                                  });
}

} // namespace primrose::soak
