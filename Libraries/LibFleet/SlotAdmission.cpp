#include "LibFleet/SlotAdmission.h"

#include "LibFleet/PlacementCosts.h"
#include "LibFleet/StreamTimeouts.h"

#include <algorithm>
#include <limits>
#include <string>

namespace primrose {

namespace {

/// Time until other gateways know a placement: 3 ms in a batch and 1 ms on the
/// way.
constexpr double kGossipDelayMs = 4;
/// Slots that are left free, as a multiple of the requests that other gateways
/// are expected to place while the news of their placements is on the way. Each
/// of those takes a slot at random, so that one placement in this many goes to
/// a slot that is already taken. Replayed at 15 gateways, half of the
/// placements that were late without it are in time; twice the factor changes
/// little and refuses two fifths more.
constexpr double kMarginFactor = 8;
/// A request may wait in an engine's queue if it would be in time even after
/// this many times the mean time in which the engine releases a slot. Releases
/// are irregular: one in seven takes twice the mean.
constexpr double kReleaseAllowance = 2;

/// Share of the slots that is left for requests that can still be in time.
/// Callers that return after a refusal are late already, and without the
/// reserve they take the slots of those who come first: more requests are then
/// refused once and late than are in time. The share is what engines whose
/// streams last two seconds release in 200 ms.
constexpr double kTimelyReserve = 0.1;

constexpr double kMsPerSecond = 1e3;

/// The slots of all candidates.
struct slot_totals
{
  std::size_t mSlots = 0;
  std::size_t mFree = 0;
  /// Requests like this one that could begin in time: in a free slot or as the
  /// first in an engine's queue.
  std::size_t mStartable = 0;
  bool mHasRoom = false; ///< One of the candidates has room for the request.
  double mReleasedPerMs = 0; ///< Expected rate at which requests end.
};

bool
HasMemory(const engine_candidate& aCandidate, const placement_request& aRequest)
{
  return aCandidate.mFreeTokens >=
         aRequest.mPromptTokens + aRequest.mAnswerTokens;
}

/// Mean time that a request decodes on the candidate.
double
MeanAnswerMs(const engine_candidate& aCandidate,
             const engine_timing& aTiming,
             const placement_request& aRequest)
{
  return AnswerMs(aTiming,
                  aTiming.mMeanAnswerTokens > 0 ? aTiming.mMeanAnswerTokens
                                                : aRequest.mAnswerTokens,
                  aCandidate.mDecodePassMs);
}

/// Requests like this one that could begin in time on the candidate.
std::size_t
StartableOn(const engine_candidate& aCandidate,
            const engine_timing& aTiming,
            const placement_request& aRequest,
            double aPrefillMs,
            double aAnswerMs)
{
  if (aCandidate.mRequests < aTiming.mSlots) {
    return aTiming.mSlots - aCandidate.mRequests;
  }
  if (aCandidate.mRequests > aTiming.mSlots || aRequest.mRejectedByFullEngine) {
    return 0;
  }
  const double firstMs = aCandidate.mBacklogMs + aPrefillMs +
                         kPassesToFirstEvent * aCandidate.mDecodePassMs;
  const double waitMs = kReleaseAllowance * aAnswerMs / aTiming.mSlots;
  return firstMs + waitMs <= ToMs(aRequest.mObjective - aRequest.mElapsed) ? 1
                                                                           : 0;
}

slot_totals
CountSlots(const std::vector<engine_candidate>& aCandidates,
           const engine_timing& aTiming,
           const placement_request& aRequest)
{
  const double prefillMs = PrefillMs(aTiming, aRequest.mPromptTokens);
  const bool divided = prefillMs > kMaxUndividedMs;
  slot_totals totals;
  totals.mSlots = aCandidates.size() * aTiming.mSlots;
  for (const engine_candidate& one : aCandidates) {
    if (!one.mMayDecode) {
      continue;
    }
    const std::size_t used =
      std::min<std::size_t>(one.mRequests, aTiming.mSlots);
    const double answerMs = MeanAnswerMs(one, aTiming, aRequest);
    const std::size_t startable =
      StartableOn(one, aTiming, aRequest, prefillMs, answerMs);
    totals.mFree += aTiming.mSlots - used;
    totals.mStartable += startable;
    totals.mHasRoom = totals.mHasRoom ||
                      (startable > 0 && (divided || HasMemory(one, aRequest)));
    totals.mReleasedPerMs +=
      answerMs > 0 ? static_cast<double>(used) / answerMs : 0;
  }
  return totals;
}

/// Slots to leave free for requests that other gateways place before this one
/// knows of it. When nearly all slots are in use, requests are placed as fast
/// as slots are released.
double
ConcurrencyMargin(const slot_totals& aTotals, const placement_request& aRequest)
{
  if (aRequest.mRejectedByFullEngine) {
    return 0;
  }
  const double gateways =
    static_cast<double>(std::max<std::size_t>(1, aRequest.mGateways));
  return kMarginFactor * kGossipDelayMs * aTotals.mReleasedPerMs *
         (gateways - 1) / gateways;
}

/// A number in [0, 1) that is evenly distributed over requests.
double
Position(const placement_request& aRequest, std::uint64_t aPurpose)
{
  constexpr double kHashRange = 0x1p64;
  return static_cast<double>(Hash(std::to_string(aRequest.mRequestNumber),
                                  aRequest.mTieBreakSeed + aPurpose)) /
         kHashRange;
}

/// True if so many requests can begin that this one is admitted. Above the
/// margin, the share that is admitted rises from none to all over another
/// margin: if all gateways admitted every request as soon as a slot is free,
/// they would fill it several times over before they know, and then refuse all
/// until the engines have caught up. The share of a request changes with the
/// refusals before it, so that it has another chance when it returns.
bool
LeavesMargin(const slot_totals& aTotals,
             double aMargin,
             const placement_request& aRequest)
{
  const double above = static_cast<double>(aTotals.mStartable) - aMargin;
  return above > aMargin * Position(aRequest, aRequest.mAwaitedReturns);
}

/// Time until `aAhead` requests could begin and the callers have returned whom
/// this gateway and the others have refused before, if `aPerMs` requests begin
/// in a millisecond. The returns of one gateway are a step apart, in which each
/// of the others has one return as well; where in its step a request returns
/// follows from its number. Other callers are expected to take what is released
/// for another window of the average inflow, since they do so while all slots
/// are in use. Replayed without that, callers were refused five times as often.
duration
TimeUntilTurn(double aAhead, double aPerMs, const placement_request& aRequest)
{
  const double returns =
    (static_cast<double>(aRequest.mAwaitedReturns) + Position(aRequest, 0)) *
    static_cast<double>(aRequest.mGateways);
  const double ms = aPerMs > 0 ? (aAhead + returns) / aPerMs : 0;
  return kInflowWindow + FromSeconds(ms / kMsPerSecond);
}

slot_refusal
Refusal(const slot_totals& aTotals,
        double aReserved,
        admission_reason aReason,
        const placement_request& aRequest)
{
  const double deficit =
    std::max(0.0, aReserved - static_cast<double>(aTotals.mFree)) + 1;
  return { aReason,
           TimeUntilTurn(deficit, aTotals.mReleasedPerMs, aRequest),
           aTotals.mFree,
           aTotals.mSlots,
           aReserved };
}

/// Milliseconds until the first event on the candidate that could send it
/// first.
double
EarliestFirstEventMs(const std::vector<engine_candidate>& aCandidates,
                     double aPrefillMs)
{
  double earliest = std::numeric_limits<double>::max();
  for (const engine_candidate& one : aCandidates) {
    earliest = std::min(earliest,
                        one.mBacklogMs + aPrefillMs +
                          kPassesToFirstEvent * one.mDecodePassMs);
  }
  return earliest;
}

/// The refusal of a prompt that no engine could begin before its caller gives
/// up; nothing if one of them can. Its caller returns once the queued prefill
/// is short enough.
slot_refusal
RefuseIfTooLate(const std::vector<engine_candidate>& aCandidates,
                const slot_totals& aTotals,
                double aReserved,
                double aPrefillMs,
                const placement_request& aRequest)
{
  const double excessMs = EarliestFirstEventMs(aCandidates, aPrefillMs) -
                          ToMs(CallerTimeout(aRequest) - aRequest.mElapsed);
  if (excessMs <= 0) {
    return {};
  }
  const double promptsPerMs = kPrefillShareWhileDecoding *
                              static_cast<double>(aCandidates.size()) /
                              std::max(1.0, aPrefillMs);
  const double ahead = excessMs / kPrefillShareWhileDecoding * promptsPerMs;
  return { admission_reason::CannotStartSoon,
           TimeUntilTurn(ahead, promptsPerMs, aRequest),
           aTotals.mFree,
           aTotals.mSlots,
           aReserved };
}

/// True if the request was refused before and cannot be in time any more.
bool
IsLateAlready(const std::vector<engine_candidate>& aCandidates,
              const engine_timing& aTiming,
              const placement_request& aRequest)
{
  const double prefillMs = PrefillMs(aTiming, aRequest.mPromptTokens);
  return prefillMs <= kMaxUndividedMs &&
         aRequest.mWaitedBefore >= kMinRetryAfter &&
         ToMs(aRequest.mWaitedBefore) +
             EarliestFirstEventMs(aCandidates, prefillMs) >
           ToMs(aRequest.mObjective);
}

/// The request's reserve, and that for timely requests if it is late already.
slot_reserve
EffectiveReserve(const std::vector<engine_candidate>& aCandidates,
                 const engine_timing& aTiming,
                 const placement_request& aRequest)
{
  return IsLateAlready(aCandidates, aTiming, aRequest)
           ? CombinedReserve(*aRequest.mSlotReserve,
                             { kTimelyReserve, admission_reason::AlreadyLate })
           : *aRequest.mSlotReserve;
}

} // namespace

slot_refusal
RefuseForSlots(const std::vector<engine_candidate>& aCandidates,
               const engine_timing& aTiming,
               const placement_request& aRequest)
{
  const slot_totals totals = CountSlots(aCandidates, aTiming, aRequest);
  return Refusal(totals,
                 ConcurrencyMargin(totals, aRequest),
                 admission_reason::NoFreeSlot,
                 aRequest);
}

slot_refusal
DecideSlotAdmission(const std::vector<engine_candidate>& aCandidates,
                    const engine_timing& aTiming,
                    const placement_request& aRequest)
{
  if (!aRequest.mSlotReserve.has_value() && !aRequest.mAwaitsRoom) {
    return {};
  }
  const slot_totals totals = CountSlots(aCandidates, aTiming, aRequest);
  if (aRequest.mAwaitsRoom) {
    return totals.mHasRoom
             ? slot_refusal{}
             : Refusal(totals, 0, admission_reason::NoFreeSlot, aRequest);
  }
  const double margin = ConcurrencyMargin(totals, aRequest);
  const slot_reserve reserve = EffectiveReserve(aCandidates, aTiming, aRequest);
  const double reserved = reserve.mShare * static_cast<double>(totals.mSlots);
  // Requests without a reserve are all admitted from twice the margin on, and
  // the reserved slots have to be free for them.
  const double threshold = reserved > 0 ? reserved + 2 * margin : 0;
  const double needed = std::max(margin, threshold);
  const bool full = !totals.mHasRoom || !LeavesMargin(totals, margin, aRequest);
  if (totals.mHasRoom && reserved > 0 &&
      static_cast<double>(totals.mFree) <= threshold) {
    return Refusal(totals, needed, reserve.mReason, aRequest);
  }
  if (full) {
    return Refusal(totals, needed, admission_reason::NoFreeSlot, aRequest);
  }
  const double prefillMs = PrefillMs(aTiming, aRequest.mPromptTokens);
  return prefillMs > kMaxUndividedMs
           ? slot_refusal{}
           : RefuseIfTooLate(aCandidates, totals, needed, prefillMs, aRequest);
}

} // namespace primrose
