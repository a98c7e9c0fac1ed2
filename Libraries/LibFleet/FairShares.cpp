#include "LibFleet/FairShares.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

constexpr double kMsPerSecond = 1e3;
/// Share of the engines' time, and of their slots, up to which there is no
/// contention. Engines that decode in all slots and prefill what these begin
/// with are at 1.0 to 1.2. At 0.6, an organisation that floods the engines is
/// found while slots are still free.
constexpr double kContendedShare = 0.6;
/// An organisation is over its share from this multiple of it. The use of an
/// organisation that sends 10 requests a second has a standard deviation of
/// 0.16 of its mean.
constexpr double kOverShareMargin = 1.25;
/// Standard deviations of the demand of others that a reserve covers: 0.9 of
/// the cases of a normal distribution if no slot of the organisation itself
/// becomes free meanwhile. As these do, few of the other cases are left. From
/// 1.65 on, 5 in 100 of the slots of slow engines stayed unused.
constexpr double kReserveDeviations = 1.3;
/// Upper bound of a reserve, so that the organisation is never shut out.
constexpr double kMaxReserve = 0.5;
/// Upper bound of the factor of the price. A prompt costs as much as it can
/// gain at a full backlog, and with this factor at a third of one.
constexpr double kMaxPriceFactor = 3;
/// Bound of the ratio of the measured time for which slots are held to the
/// declared one. While a load grows, the number of requests in flight follows
/// it sooner than the averages do.
constexpr double kMaxHoldRatio = 4;

double
WeightOf(const organisation_usage& aUsage, organisation_key aOrganisation)
{
  if (aUsage.mWeights.empty()) {
    return 1;
  }
  const auto found = aUsage.mWeights.find(aOrganisation);
  return found == aUsage.mWeights.end() ? 1 : found->second;
}

/// A tracked organisation's use for each unit of its weight, and the weight.
struct weighted_use
{
  double mUsePerWeight = 0;
  double mWeight = 1;
};

std::vector<weighted_use>
UsesByWeight(const organisation_usage& aUsage, double aFactor)
{
  std::vector<weighted_use> uses;
  uses.reserve(aUsage.mTracked.size());
  for (const tracked_organisation& one : aUsage.mTracked) {
    const double weight = WeightOf(aUsage, one.mOrganisation);
    uses.push_back({ one.mSinceTracked.mEngineMs * aFactor / weight, weight });
  }
  std::sort(uses.begin(),
            uses.end(),
            [](const weighted_use& aOne, const weighted_use& aOther) {
              return aOne.mUsePerWeight > aOther.mUsePerWeight;
            });
  return uses;
}

/// Below this use, an organisation may be untracked or its use unknown, so no
/// level is lower.
double
UntrackedUse(const organisation_usage& aUsage, double aFactor)
{
  if (aUsage.mTracked.size() < kMaxTrackedOrganisations) {
    return 0;
  }
  double least = aUsage.mTracked.front().mMaxEngineMs;
  for (const tracked_organisation& one : aUsage.mTracked) {
    least = std::min(least, one.mMaxEngineMs);
  }
  return least * aFactor;
}

/// Lowers the level from the use of the heaviest organisations until the
/// excess of all above it is `aExcess`.
double
LevelWithExcess(const std::vector<weighted_use>& aUses, double aExcess)
{
  double above = 0;
  double weight = 0;
  for (std::size_t i = 0; i < aUses.size(); ++i) {
    above += aUses[i].mUsePerWeight * aUses[i].mWeight;
    weight += aUses[i].mWeight;
    const double level = (above - aExcess) / weight;
    if (i + 1 == aUses.size() || level >= aUses[i + 1].mUsePerWeight) {
      return std::max(0.0, level);
    }
  }
  return 0;
}

/// Sum of the weights of the organisations that use the engines.
double
ActiveWeight(const std::vector<weighted_use>& aUses, double aUsed)
{
  /// Share of the use of all from which an organisation counts as active.
  constexpr double kLeastActiveShare = 1e-4;
  double weight = 0;
  for (const weighted_use& one : aUses) {
    if (one.mUsePerWeight * one.mWeight > kLeastActiveShare * aUsed) {
      weight += one.mWeight;
    }
  }
  return weight > 0 ? weight : 1;
}

bool
IsOver(const organisation_usage& aUsage,
       const tracked_organisation& aOne,
       double aLevel,
       double aFactor)
{
  return aOne.mOrganisation != 0 &&
         aOne.mSinceTracked.mEngineMs * aFactor >
           kOverShareMargin * aLevel * WeightOf(aUsage, aOne.mOrganisation);
}

organisation_share
ShareAtLevel(const organisation_usage& aUsage,
             const tracked_organisation& aOne,
             const std::optional<double>& aLevel,
             double aFactor)
{
  organisation_share share;
  share.mOrganisation = aOne.mOrganisation;
  share.mUsedMs = aOne.mSinceTracked.mEngineMs * aFactor;
  if (aLevel.has_value()) {
    share.mShareMs = *aLevel * WeightOf(aUsage, aOne.mOrganisation);
    share.mOver = IsOver(aUsage, aOne, *aLevel, aFactor);
  }
  return share;
}

/// Requests that the organisations within their shares begin in each second.
double
RequestsWithinShare(const organisation_usage& aUsage,
                    double aLevel,
                    double aFactor)
{
  double requests = aUsage.mTotal.mRequests;
  for (const tracked_organisation& one : aUsage.mTracked) {
    if (IsOver(aUsage, one, aLevel, aFactor)) {
      requests -= one.mSinceTracked.mRequests;
    }
  }
  return std::max(0.0, requests * aFactor);
}

/// Use of an organisation that is over its share, as a multiple of the use at
/// which it no longer is.
double
OverShareRatio(const organisation_share& aShare)
{
  constexpr double kLeastShareMs = 1e-3;
  return aShare.mUsedMs /
         (kOverShareMargin * std::max(kLeastShareMs, *aShare.mShareMs));
}

/// Part of the reserve that an organisation over its share leaves free: all of
/// it if no other is further over its own, and else in proportion. A flood is
/// borne by its organisation, and not by those whose demand varies around their
/// shares meanwhile.
double
PartOfReserve(const organisation_usage& aUsage,
              const tracked_organisation& aOne,
              const std::optional<double>& aLevel,
              double aFactor)
{
  const auto excess = [&](const tracked_organisation& aOther) {
    return OverShareRatio(ShareAtLevel(aUsage, aOther, aLevel, aFactor)) - 1;
  };
  const double own = excess(aOne);
  double largest = own;
  for (const tracked_organisation& other : aUsage.mTracked) {
    if (IsOver(aUsage, other, *aLevel, aFactor)) {
      largest = std::max(largest, excess(other));
    }
  }
  return own / largest;
}

/// Mean time in seconds for which a request of the organisation holds its slot:
/// as declared, times the ratio of the requests in flight to those expected.
double
HoldSeconds(const organisation_usage& aUsage,
            const tracked_organisation& aOne,
            double aFactor)
{
  const double expected = aUsage.mTotal.mSlotMs * aFactor / kMsPerSecond;
  if (aOne.mSinceTracked.mRequests <= 0 || expected <= 0) {
    return 0;
  }
  return std::clamp(aUsage.mInFlight / expected, 1.0, kMaxHoldRatio) *
         aOne.mSinceTracked.mSlotMs / aOne.mSinceTracked.mRequests /
         kMsPerSecond;
}

/// Share of the engines' time or slots that is in use, the larger one.
double
Utilisation(const organisation_usage& aUsage, double aFactor)
{
  if (aUsage.mEngines <= 0 || aUsage.mSlots <= 0) {
    return 0;
  }
  return std::max(aUsage.mTotal.mEngineMs * aFactor /
                    (aUsage.mEngines * kMsPerSecond),
                  aUsage.mInFlight / aUsage.mSlots);
}

} // namespace

std::optional<double>
FairLevel(const organisation_usage& aUsage, time_point aNow)
{
  const double factor = PerSecondFactor(aUsage, aNow);
  const double utilisation = Utilisation(aUsage, factor);
  if (aUsage.mTracked.empty() || utilisation <= kContendedShare) {
    return std::nullopt;
  }
  const double used = aUsage.mTotal.mEngineMs * factor;
  const double excess = used * (1 - kContendedShare / utilisation);
  const std::vector<weighted_use> uses = UsesByWeight(aUsage, factor);
  return std::max({ LevelWithExcess(uses, excess),
                    used / ActiveWeight(uses, used),
                    UntrackedUse(aUsage, factor) });
}

organisation_share
ShareOf(const organisation_usage& aUsage,
        organisation_key aOrganisation,
        time_point aNow)
{
  const tracked_organisation* const known = FindTracked(aUsage, aOrganisation);
  return ShareAtLevel(
    aUsage,
    known == nullptr ? tracked_organisation{ aOrganisation, 0, {} } : *known,
    FairLevel(aUsage, aNow),
    PerSecondFactor(aUsage, aNow));
}

std::vector<organisation_share>
HeaviestOrganisations(const organisation_usage& aUsage,
                      std::size_t aMost,
                      time_point aNow)
{
  const std::optional<double> level = FairLevel(aUsage, aNow);
  const double factor = PerSecondFactor(aUsage, aNow);
  std::vector<organisation_share> shares;
  shares.reserve(aUsage.mTracked.size());
  for (const tracked_organisation& one : aUsage.mTracked) {
    shares.push_back(ShareAtLevel(aUsage, one, level, factor));
  }
  std::sort(
    shares.begin(),
    shares.end(),
    [](const organisation_share& aOne, const organisation_share& aOther) {
      return aOne.mUsedMs > aOther.mUsedMs;
    });
  shares.resize(std::min(shares.size(), aMost));
  return shares;
}

std::vector<organisation_key>
OrganisationsOverShare(const organisation_usage& aUsage, time_point aNow)
{
  const std::optional<double> level = FairLevel(aUsage, aNow);
  std::vector<organisation_key> over;
  if (!level.has_value()) {
    return over;
  }
  const double factor = PerSecondFactor(aUsage, aNow);
  for (const tracked_organisation& one : aUsage.mTracked) {
    if (IsOver(aUsage, one, *level, factor)) {
      over.push_back(one.mOrganisation);
    }
  }
  return over;
}

std::size_t
CountOverShare(const organisation_usage& aUsage, time_point aNow)
{
  return OrganisationsOverShare(aUsage, aNow).size();
}

slot_reserve
ShareReserve(const organisation_usage& aUsage,
             organisation_key aOrganisation,
             time_point aNow)
{
  const std::optional<double> level = FairLevel(aUsage, aNow);
  const tracked_organisation* const known = FindTracked(aUsage, aOrganisation);
  const double factor = PerSecondFactor(aUsage, aNow);
  if (!level.has_value() || known == nullptr || aUsage.mSlots <= 0 ||
      !IsOver(aUsage, *known, *level, factor)) {
    return {};
  }
  // Until this request releases its slot, the others begin `begun` requests and
  // about as many of theirs end. The slots that they lack meanwhile are the
  // difference of two random counts with this mean, whose standard deviation is
  // the root of twice the mean; never more than they ask for.
  const double begun = RequestsWithinShare(aUsage, *level, factor) *
                       HoldSeconds(aUsage, *known, factor);
  const double lacking =
    std::min(begun, kReserveDeviations * std::sqrt(2 * begun));
  return { PartOfReserve(aUsage, *known, level, factor) *
             std::min(kMaxReserve, lacking / aUsage.mSlots),
           admission_reason::OverShare };
}

double
PrefillPriceFactor(const organisation_usage& aUsage,
                   organisation_key aOrganisation,
                   time_point aNow)
{
  const organisation_share share = ShareOf(aUsage, aOrganisation, aNow);
  return share.mOver ? std::min(kMaxPriceFactor, OverShareRatio(share)) : 1;
}

duration
TimeUntilWithinShare(const organisation_usage& aUsage,
                     organisation_key aOrganisation,
                     time_point aNow)
{
  const organisation_share share = ShareOf(aUsage, aOrganisation, aNow);
  return share.mOver ? FromSeconds(Seconds(kUsageWindow) *
                                   std::log(OverShareRatio(share)))
                     : duration::zero();
}

} // namespace primrose
