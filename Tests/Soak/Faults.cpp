#include "Faults.h"

#include <array>

namespace primrose::soak {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
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

/// Faults follow each other at this mean distance and last up to so long, so
/// that two or three overlap as a rule.
constexpr double kMeanDistance = 0.5;
constexpr double kLongest = 2.0;
constexpr std::uint64_t kTargets = 1000;
constexpr double kMeanBetweenCrashes = 1.5;
/// So that the two plans of a seed have nothing to do with each other.
constexpr std::uint64_t kCrashSeed = 0xc0ffee;

} // namespace

std::string_view
FaultName(fault_kind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

std::vector<planned_crash>
PlanCrashes(std::uint64_t aSeed, duration aLength)
{
  random_engine random(aSeed + kCrashSeed);
  std::vector<planned_crash> plan;
  for (double at = 1; at < Seconds(aLength);
       at += Exponential(random, kMeanBetweenCrashes)) {
    plan.push_back({ FromSeconds(at), Below(random, kTargets) });
  }
  return plan;
}

std::vector<fault>
PlanFaults(std::uint64_t aSeed, duration aLength)
{
  random_engine random(aSeed);
  std::vector<fault> plan;
  double at = 1;
  while (at < Seconds(aLength)) {
    fault one;
    one.mAt = FromSeconds(at);
    one.mKind = static_cast<fault_kind>(Below(random, kFaultKinds));
    one.mTarget = Below(random, kTargets);
    one.mFor = FromSeconds(0.2 + Uniform(random) * (kLongest - 0.2));
    plan.push_back(one);
    at += Exponential(random, kMeanDistance);
  }
  return plan;
}

} // namespace primrose::soak
