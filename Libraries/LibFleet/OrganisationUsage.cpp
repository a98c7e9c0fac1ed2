#include "LibFleet/OrganisationUsage.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace primrose {

namespace {

/// Number of windows after which amounts are converted to a new reference time.
/// Weights grow to e^32 until then, which leaves a double half of its digits.
constexpr double kWindowsUntilRebase = 32;
/// A placement that is older than this many windows is not counted: less than
/// 1/1,000 of it would be left.
constexpr double kMaxAgeInWindows = 7;

double
Windows(duration aTime)
{
  return Seconds(aTime) / Seconds(kUsageWindow);
}

void
Scale(work_amounts& aAmounts, double aFactor)
{
  aAmounts.mEngineMs *= aFactor;
  aAmounts.mRequests *= aFactor;
  aAmounts.mSlotMs *= aFactor;
}

/// Adds work with this weight; negative: subtracts it. Amounts stay at or above
/// 0 when work is returned that was counted before a tracked organisation was
/// replaced.
void
Add(work_amounts& aTo, const work_amounts& aWork, double aWeight)
{
  aTo.mEngineMs = std::max(0.0, aTo.mEngineMs + aWeight * aWork.mEngineMs);
  aTo.mRequests = std::max(0.0, aTo.mRequests + aWeight * aWork.mRequests);
  aTo.mSlotMs = std::max(0.0, aTo.mSlotMs + aWeight * aWork.mSlotMs);
}

/// Converts all amounts to a new reference time once it is due.
void
Rebase(organisation_usage& aUsage, time_point aNow)
{
  const double age = Windows(aNow - aUsage.mReference);
  if (age < kWindowsUntilRebase) {
    return;
  }
  const double factor = std::exp(-age);
  Scale(aUsage.mTotal, factor);
  for (tracked_organisation& one : aUsage.mTracked) {
    one.mMaxEngineMs *= factor;
    Scale(one.mSinceTracked, factor);
  }
  aUsage.mReference = aNow;
}

work_amounts
WorkOf(const organisation_usage& aUsage, const placement& aPlaced)
{
  const auto found = aUsage.mCapacities.find(aPlaced.mEngines.front());
  const engine_capacity engine =
    found == aUsage.mCapacities.end() ? engine_capacity{} : found->second;
  const double prefillMs =
    aPlaced.mPartPrefillMs * static_cast<double>(aPlaced.mEngines.size());
  return { prefillMs + engine.mDecodeMs / engine.mSlots,
           1,
           aPlaced.mPartPrefillMs + engine.mDecodeMs };
}

tracked_organisation*
Find(organisation_usage& aUsage, organisation_key aOrganisation)
{
  for (tracked_organisation& one : aUsage.mTracked) {
    if (one.mOrganisation == aOrganisation) {
      return &one;
    }
  }
  return nullptr;
}

/// The entry of an organisation; that of the one with the least use is reused
/// if there are too many.
tracked_organisation&
FindOrTrack(organisation_usage& aUsage, organisation_key aOrganisation)
{
  if (tracked_organisation* const known = Find(aUsage, aOrganisation)) {
    return *known;
  }
  if (aUsage.mTracked.size() < kMaxTrackedOrganisations) {
    aUsage.mTracked.push_back({ aOrganisation, 0, {} });
    return aUsage.mTracked.back();
  }
  tracked_organisation& least = *std::min_element(
    aUsage.mTracked.begin(),
    aUsage.mTracked.end(),
    [](const tracked_organisation& aOne, const tracked_organisation& aOther) {
      return aOne.mMaxEngineMs < aOther.mMaxEngineMs;
    });
  least.mOrganisation = aOrganisation;
  least.mSinceTracked = {};
  return least;
}

/// Time at which the use of a placement counts. Never in the future, which a
/// peer could state.
time_point
CountedAt(const placement& aPlaced, time_point aNow)
{
  return std::min(aPlaced.mBegan, aNow);
}

double
WeightAt(const organisation_usage& aUsage, time_point aTime)
{
  return std::exp(Windows(aTime - aUsage.mReference));
}

/// The work of a placement, with its weight in the amounts.
struct counted_work
{
  work_amounts mWork;
  double mWeight = 0;
};

/// Nullopt if the placement is too old to count. Converts the amounts to a new
/// reference time first if that is due.
std::optional<counted_work>
CountedWork(organisation_usage& aUsage,
            const placement& aPlaced,
            time_point aNow)
{
  const time_point countedAt = CountedAt(aPlaced, aNow);
  if (aPlaced.mEngines.empty() ||
      Windows(aNow - countedAt) > kMaxAgeInWindows) {
    return std::nullopt;
  }
  Rebase(aUsage, aNow);
  return counted_work{ WorkOf(aUsage, aPlaced), WeightAt(aUsage, countedAt) };
}

} // namespace

engine_capacity
CapacityOf(const engine_timing& aTiming)
{
  const double slots = std::max(1U, aTiming.mSlots);
  const double passes =
    aTiming.mMeanAnswerTokens / std::max(1.0, aTiming.mStepsPerPass);
  const double requests = slots / 2;
  return { slots,
           passes * DecodePassMs(aTiming,
                                 requests,
                                 requests * aTiming.mMeanAnswerTokens) };
}

void
SetOrganisationWeights(organisation_usage& aUsage,
                       const std::map<std::string, double>& aWeights)
{
  aUsage.mWeights.clear();
  for (const auto& [name, weight] : aWeights) {
    aUsage.mWeights[OrganisationKey(name)] = weight;
  }
}

void
ClearEngineCapacities(organisation_usage& aUsage)
{
  aUsage.mCapacities.clear();
  aUsage.mEngines = 0;
  aUsage.mSlots = 0;
}

void
AddEngineCapacity(organisation_usage& aUsage,
                  engine_key aEngine,
                  const engine_capacity& aCapacity,
                  bool aIsKnown)
{
  aUsage.mCapacities[aEngine] = aCapacity;
  if (aIsKnown) {
    aUsage.mEngines += 1;
    aUsage.mSlots += aCapacity.mSlots;
  }
}

void
AddUse(organisation_usage& aUsage, const placement& aPlaced, time_point aNow)
{
  const std::optional<counted_work> counted =
    CountedWork(aUsage, aPlaced, aNow);
  if (!counted.has_value()) {
    return;
  }
  Add(aUsage.mTotal, counted->mWork, counted->mWeight);
  tracked_organisation& user =
    FindOrTrack(aUsage, aPlaced.mClass.mOrganisation);
  user.mMaxEngineMs += counted->mWeight * counted->mWork.mEngineMs;
  Add(user.mSinceTracked, counted->mWork, counted->mWeight);
}

void
ReturnUse(organisation_usage& aUsage, const placement& aPlaced, time_point aNow)
{
  const std::optional<counted_work> counted =
    CountedWork(aUsage, aPlaced, aNow);
  if (!counted.has_value()) {
    return;
  }
  Add(aUsage.mTotal, counted->mWork, -counted->mWeight);
  if (tracked_organisation* const user =
        Find(aUsage, aPlaced.mClass.mOrganisation)) {
    user->mMaxEngineMs = std::max(
      0.0, user->mMaxEngineMs - counted->mWeight * counted->mWork.mEngineMs);
    Add(user->mSinceTracked, counted->mWork, -counted->mWeight);
  }
}

double
PerSecondFactor(const organisation_usage& aUsage, time_point aNow)
{
  return std::exp(-Windows(aNow - aUsage.mReference)) / Seconds(kUsageWindow);
}

const tracked_organisation*
FindTracked(const organisation_usage& aUsage, organisation_key aOrganisation)
{
  for (const tracked_organisation& one : aUsage.mTracked) {
    if (one.mOrganisation == aOrganisation) {
      return &one;
    }
  }
  return nullptr;
}

double
EngineMsPerSecond(const organisation_usage& aUsage,
                  organisation_key aOrganisation,
                  time_point aNow)
{
  const tracked_organisation* const user = FindTracked(aUsage, aOrganisation);
  return user == nullptr
           ? 0
           : user->mSinceTracked.mEngineMs * PerSecondFactor(aUsage, aNow);
}

} // namespace primrose
