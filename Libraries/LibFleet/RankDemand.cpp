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
/// Share of the slots that is left free for each rank of difference, and the
/// largest difference that counts. Streams are packed up to three quarters of
/// an engine's slots, so a larger reserve than the last quarter would refuse
/// requests while no slot is short.
constexpr double kReservePerRank = 0.1;
constexpr unsigned kMaxReservedRanks = 2;

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

/// The most urgent of the ranks before `aRank` that callers requested lately.
unsigned
MostUrgentRequested(const service_demand& aDemand,
                    unsigned aRank,
                    time_point aNow)
{
  unsigned rank = 0;
  while (rank < aRank &&
         !IsRequested(aDemand.mRanks.at(rank), kRankWindow, aNow)) {
    ++rank;
  }
  return rank;
}

/// The most urgent rank of the placements that decode on the engine, at most
/// `aRank`.
unsigned
MostUrgentOn(const engine_ledger& aLedger,
             const engine_load& aLoad,
             unsigned aRank)
{
  unsigned rank = aRank;
  for (const placement_key key : aLoad.mDecoding) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed != aLedger.mPlacements.end()) {
      rank = std::min(rank, placed->second.mClass.mRank);
    }
  }
  return rank;
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
RankReserve(const service_demand& aDemand,
            const endpoint_registry& aRegistry,
            const engine_ledger& aLedger,
            const endpoint_scope& aScope,
            unsigned aRank,
            time_point aNow)
{
  unsigned urgent = MostUrgentRequested(aDemand, aRank, aNow);
  for (const auto& [id, known] : aRegistry.mEndpoints) {
    if (aRank - urgent >= std::min(aRank, kMaxReservedRanks)) {
      break;
    }
    if (IsInScope(known, aScope)) {
      urgent = MostUrgentOn(aLedger, LoadOf(aLedger, EngineKey(id)), urgent);
    }
  }
  if (urgent == aRank) {
    return {};
  }
  return { kReservePerRank * std::min(aRank - urgent, kMaxReservedRanks),
           admission_reason::MoreUrgent };
}

} // namespace primrose
