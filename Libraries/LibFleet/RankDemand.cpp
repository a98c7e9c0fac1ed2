#include "LibFleet/RankDemand.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

/// Decisions after which floors apply. The first refusals of a gateway that has
/// just started show nothing about its ranks.
constexpr unsigned kMinDecisions = 4;
/// Requests of a rank that do not decay. A gateway of hundreds has less than
/// one long prompt in `kRankWindow`, and would never see that all of them are
/// refused.
constexpr double kRememberedRequests = 8;
/// Requests that a rank is taken to have been admitted besides those seen.
/// A rank with few requests is then below its floor after two refusals in
/// sequence, but not after one. Without it, half of the long prompts were
/// admitted by the floor although most of them would have been admitted soon.
constexpr double kAssumedRequests = 1;
/// A rank that was not requested for this long does not count in the share of
/// all: only a twentieth of its average is left.
constexpr duration kReferenceLifetime = 3 * kRankWindow;
/// Limit of the engine time of one request. Callers state the sizes of their
/// prompts, and no statement may outweigh all other requests.
constexpr double kMaxEngineTimeMs = 600e3;
/// Slots that are left free for each more urgent request that is in progress.
/// Arrivals that come in bursts of twice their mean rate take this many more
/// than are released within the time in which a refused request returns.
constexpr double kReservePerUrgentRequest = 0.3;
/// Streams are packed up to three quarters of an engine's slots, so a larger
/// reserve than the last quarter would refuse requests while no slot is short.
constexpr double kMaxReservedShare = 0.2;

double
AdmittedShare(const rank_demand& aDemand)
{
  if (aDemand.mRequests <= 0) {
    return 1;
  }
  const double assumed =
    kAssumedRequests * aDemand.mRequestedMs / aDemand.mRequests;
  return (aDemand.mAdmittedMs + assumed) / (aDemand.mRequestedMs + assumed);
}

/// True if a request of the rank arrived within this time.
bool
IsRequested(const rank_demand& aDemand, duration aWithin, time_point aNow)
{
  return aDemand.mRequestedMs > 0 && aNow - aDemand.mAt < aWithin;
}

/// The number of placements that decode on the engine and are more urgent than
/// `aRank`, without those of the organisations `aExcept`.
std::size_t
CountMoreUrgent(const engine_ledger& aLedger,
                const engine_load& aLoad,
                unsigned aRank,
                const std::vector<organisation_key>& aExcept)
{
  const auto counts = [aRank, &aExcept](const request_class& aClass) {
    return aClass.mRank < aRank &&
           std::find(aExcept.begin(), aExcept.end(), aClass.mOrganisation) ==
             aExcept.end();
  };
  std::size_t count = 0;
  for (const placement_key key : aLoad.mDecoding) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed != aLedger.mPlacements.end() && counts(placed->second.mClass)) {
      ++count;
    }
  }
  return count;
}

} // namespace

double
EngineTimeMs(const engine_timing& aTiming, const placement_request& aRequest)
{
  const double slots = aTiming.mSlots;
  const double context =
    slots * (aRequest.mPromptTokens + aRequest.mAnswerTokens / 2);
  const double passes = aRequest.mAnswerTokens / aTiming.mStepsPerPass;
  return PrefillMs(aTiming, aRequest.mPromptTokens) +
         passes * DecodePassMs(aTiming, slots, context) / slots;
}

void
RecordDecision(service_demand& aDemand,
               unsigned aRank,
               double aEngineTimeMs,
               bool aAdmitted,
               time_point aNow)
{
  // Also false for a size that is no number.
  if (!(aEngineTimeMs > 0)) {
    return;
  }
  const double time = std::min(aEngineTimeMs, kMaxEngineTimeMs);
  rank_demand& demand = aDemand.mRanks.at(aRank);
  const double decayed =
    std::exp(-Seconds(aNow - demand.mAt) / Seconds(kRankWindow));
  const double kept =
    demand.mRequests > kRememberedRequests
      ? std::max(decayed, kRememberedRequests / demand.mRequests)
      : 1;
  demand.mRequests = demand.mRequests * kept + 1;
  demand.mAdmitted = demand.mAdmitted * kept + (aAdmitted ? 1 : 0);
  demand.mRequestedMs = demand.mRequestedMs * kept + time;
  demand.mAdmittedMs = demand.mAdmittedMs * kept + (aAdmitted ? time : 0);
  demand.mAt = aNow;
  aDemand.mDecisions = std::min(aDemand.mDecisions + 1, kMinDecisions);
}

bool
IsBelowFloor(const service_demand& aDemand, unsigned aRank, time_point aNow)
{
  if (aDemand.mDecisions < kMinDecisions) {
    return false;
  }
  double requests = 0;
  double admitted = 0;
  for (const rank_demand& one : aDemand.mRanks) {
    if (IsRequested(one, kReferenceLifetime, aNow)) {
      requests += one.mRequests;
      admitted += one.mAdmitted;
    }
  }
  return requests > 0 && AdmittedShare(aDemand.mRanks.at(aRank)) <
                           kRankFloor * admitted / requests;
}

slot_reserve
RankReserve(const endpoint_registry& aRegistry,
            const engine_ledger& aLedger,
            const endpoint_scope& aScope,
            unsigned aSlotsOfEngine,
            unsigned aRank,
            const std::vector<organisation_key>& aExcept)
{
  if (aRank == 0) {
    return {};
  }
  std::size_t urgent = 0;
  std::size_t slots = 0;
  for (const auto& [id, known] : aRegistry.mEndpoints) {
    if (known.mPreferred && IsInScope(known, aScope)) {
      slots += aSlotsOfEngine;
      urgent += CountMoreUrgent(
        aLedger, LoadOf(aLedger, EngineKey(id)), aRank, aExcept);
    }
  }
  if (urgent == 0) {
    return {};
  }
  const double share = kReservePerUrgentRequest * static_cast<double>(urgent) /
                       static_cast<double>(slots);
  return { std::min(kMaxReservedShare, share), admission_reason::MoreUrgent };
}

} // namespace primrose
