#include "LibDecision/Scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace primrose {

namespace {

/// Weight of the newest sample in the moving averages of measured values.
constexpr double kSmoothingFactor = 0.1;
constexpr double kMinSlowdown = 0.25;
constexpr double kMaxSlowdown = 20;

double
UncachedPromptTokens(const agent_state& aState, const request_shape& aShape)
{
  const tokens cached = std::min(
    aState.mCache.CachedTokens(aShape.mPrefixHashes), aShape.mPromptTokens);
  return static_cast<double>(aShape.mPromptTokens - cached);
}

/// Priority class after ageing: each `mAgeingInterval` of waiting raises the
/// request by one class.
double
EffectivePriority(const agent_state& aState,
                  const reservation_state& aWork,
                  time_point aNow)
{
  if (!aState.mLimits.mUsePriorities) {
    return 0;
  }
  const double waited = Seconds(aNow - aWork.mReservation.mArrival);
  const double classes = waited / Seconds(aState.mLimits.mAgeingInterval);
  return std::floor(aWork.mReservation.mShape.mPriority - classes);
}

double
FairShareStartTag(const agent_state& aState, const reservation_state& aWork)
{
  if (!aState.mLimits.mUseFairShares) {
    return 0;
  }
  const auto served =
    aState.mServed.find(aWork.mReservation.mShape.mOrganisation);
  const double lastFinishTag =
    served == aState.mServed.end() ? 0 : served->second;
  return std::max(lastFinishTag, aState.mVirtualTime);
}

using rank = std::tuple<double, double, std::uint64_t>;

struct ranked_reservation
{
  rank mRank;
  reservation_state* mWork;
};

std::vector<ranked_reservation>
WaitingByRank(agent_state& aState, time_point aNow)
{
  std::vector<ranked_reservation> waiting;
  for (auto& [attempt, work] : aState.mWork) {
    if (work.mStage == reservation_stage::Waiting) {
      waiting.push_back({ { EffectivePriority(aState, work, aNow),
                            FairShareStartTag(aState, work),
                            work.mArrivalOrder },
                          &work });
    }
  }
  std::sort(
    waiting.begin(),
    waiting.end(),
    [](const ranked_reservation& aLeft, const ranked_reservation& aRight) {
      return aLeft.mRank < aRight.mRank;
    });
  return waiting;
}

/// Fraction of its full batch that a recently started engine may run.
double
SlowStartFactor(const agent_state& aState, time_point aNow)
{
  constexpr double kInitialPart = 0.25;
  const double slowStartSeconds = Seconds(aState.mLimits.mSlowStartDuration);
  if (slowStartSeconds <= 0) {
    return 1;
  }
  const double part = Seconds(aNow - aState.mStarted) / slowStartSeconds;
  return std::clamp(part, kInitialPart, 1.0);
}

/// Totals over all reservations that hold memory. They are computed once for
/// each dispatch and updated at each grant: recomputing them for each waiting
/// reservation would make a dispatch quadratic in the length of the queue.
struct memory_holder_totals
{
  std::size_t mRunningSequences = 0;
  double mPrefillTokensLeft = 0;
  double mLongPrefillTokensLeft = 0;
  tokens mLongMemory = 0;
  tokens mShortMemory = 0;
};

void
AddToTotals(memory_holder_totals& aTotals, const reservation_state& aWork)
{
  const request_shape& shape = aWork.mReservation.mShape;
  const bool needsPrefill = aWork.mStage == reservation_stage::Granted ||
                            aWork.mStage == reservation_stage::Prefilling;
  aTotals.mRunningSequences +=
    aWork.mReservation.mRole != hold_role::Member ? 1 : 0;
  aTotals.mPrefillTokensLeft += needsPrefill ? aWork.mPrefillTokensLeft : 0;
  aTotals.mLongPrefillTokensLeft +=
    needsPrefill && shape.mLong ? aWork.mPrefillTokensLeft : 0;
  (shape.mLong ? aTotals.mLongMemory : aTotals.mShortMemory) +=
    shape.MemoryTokens();
}

memory_holder_totals
TotalsOf(const agent_state& aState)
{
  memory_holder_totals totals;
  for (const auto& [attempt, work] : aState.mWork) {
    if (work.HoldsMemory()) {
      AddToTotals(totals, work);
    }
  }
  return totals;
}

bool
FitsBatch(const agent_state& aState,
          const memory_holder_totals& aTotals,
          time_point aNow)
{
  const double slots =
    aState.mShape.mLargestBatch * SlowStartFactor(aState, aNow);
  return static_cast<double>(aTotals.mRunningSequences) + 1 <=
         std::max(1.0, slots);
}

/// Prefill of long prompts lengthens every step of the short requests on the
/// same engine, so the long prompt tokens being read at once are bounded. A
/// single long prompt is always allowed.
bool
FitsLongPrefillLimit(const agent_state& aState,
                     const memory_holder_totals& aTotals,
                     const reservation_state& aWork)
{
  if (!aWork.mReservation.mShape.mLong) {
    return true;
  }
  const double longTokens = aTotals.mLongPrefillTokensLeft;
  return longTokens <= 0 ||
         longTokens + aWork.mPrefillTokensLeft <=
           static_cast<double>(aState.mLimits.mLongTokensAtOnce);
}

/// Work that was sent to the engine cannot be reordered any more, so only a few
/// short prompt tokens are sent ahead of the engine's prefill.
bool
FitsEngineQueue(const memory_holder_totals& aTotals,
                double aEngineQueueTokens,
                const reservation_state& aWork)
{
  const bool isLong = aWork.mReservation.mShape.mLong;
  return isLong ||
         aTotals.mPrefillTokensLeft - aTotals.mLongPrefillTokensLeft <=
           aEngineQueueTokens;
}

/// Memory that all long prompts together may hold: a part of the engine's
/// memory, or the need of a single prompt if that is larger.
tokens
LongMemoryLimit(const agent_state& aState, tokens aNeed)
{
  const double part = aState.mLimits.mLongMemoryPart *
                      static_cast<double>(aState.mShape.mCapacity);
  return std::max(static_cast<tokens>(part), aNeed);
}

/// Long prompts hold their memory for a long time. Without a bound they would
/// fill the engine, and short requests would wait seconds for one of them to
/// end, which would show in their time to first token. So a part of the memory
/// is kept from long prompts. Short requests may use all free memory, except
/// while a long prompt waits for memory: then they are limited to the part kept
/// for them. Otherwise a stream of short requests would take all freed memory
/// and the long prompt would starve.
bool
FitsMemory(const agent_state& aState,
           const memory_holder_totals& aTotals,
           const reservation_state& aWork,
           tokens aWaitingLongTokens)
{
  const request_shape& shape = aWork.mReservation.mShape;
  const tokens need = shape.MemoryTokens();
  if (need > FreeTokens(aState)) {
    return false;
  }
  if (shape.mLong) {
    return aTotals.mLongMemory + need <= LongMemoryLimit(aState, need);
  }
  if (aWaitingLongTokens == 0) {
    return true;
  }
  const tokens shortMemoryLimit =
    aState.mShape.mCapacity - LongMemoryLimit(aState, aWaitingLongTokens);
  const tokens used = aTotals.mShortMemory;
  return used == 0 || used + need <= shortMemoryLimit;
}

void
Grant(agent_state& aState, reservation_state& aWork, time_point aNow)
{
  const request_shape& shape = aWork.mReservation.mShape;
  const double tag = FairShareStartTag(aState, aWork);
  aState.mVirtualTime = tag;
  aState.mServed[shape.mOrganisation] =
    tag +
    static_cast<double>(shape.MemoryTokens()) / aWork.mReservation.mWeight;
  aWork.mStage = reservation_stage::Granted;
  aWork.mGrantedAt = aNow;
  aWork.mLeaseEnd = aNow + aWork.mReservation.mLease;
  aWork.mPrefillTokensLeft = UncachedPromptTokens(aState, shape);
  aWork.mCachedTokens =
    shape.mPromptTokens - static_cast<tokens>(aWork.mPrefillTokensLeft);
  aState.mUsed += shape.MemoryTokens();
}

/// Removes the fair-share entries of organisations whose tag is at or below the
/// virtual time. They would start at the virtual time again anyway, so no
/// information is lost and the table stays small.
void
PruneServedShares(agent_state& aState)
{
  constexpr std::size_t kMaxServedEntries = 4096;
  if (aState.mServed.size() <= kMaxServedEntries) {
    return;
  }
  std::erase_if(aState.mServed, [&](const auto& aShare) {
    return aShare.second <= aState.mVirtualTime;
  });
}

/// Prompt tokens, waiting or not yet read by the engine, that are served before
/// a request of this shape.
double
QueuedTokensAhead(agent_state& aState, const request_shape& aShape)
{
  double ahead = 0;
  for (const auto& [attempt, work] : aState.mWork) {
    const request_shape& other = work.mReservation.mShape;
    const bool isAhead = std::tuple(other.mLong, other.mPriority) <=
                         std::tuple(aShape.mLong, aShape.mPriority);
    if (!isAhead) {
      continue;
    }
    ahead += work.mStage == reservation_stage::Waiting
               ? UncachedPromptTokens(aState, other)
               : work.mPrefillTokensLeft;
  }
  return ahead;
}

/// Estimated seconds until this much memory is free, from the average time for
/// which memory is held.
double
EstimateMemoryWait(const agent_state& aState, tokens aNeed)
{
  tokens neededTokens = aNeed;
  for (const auto& [attempt, work] : aState.mWork) {
    neededTokens += work.mStage == reservation_stage::Waiting
                      ? work.mReservation.mShape.MemoryTokens()
                      : 0;
  }
  const tokens freeTokens = FreeTokens(aState);
  if (neededTokens <= freeTokens) {
    return 0;
  }
  return aState.mMeanMemoryHoldSeconds *
         static_cast<double>(neededTokens - freeTokens) /
         static_cast<double>(aState.mShape.mCapacity);
}

/// Prompt tokens sent to the engine that it reads before those of this
/// reservation.
double
PrefillTokensAhead(const agent_state& aState, const reservation_state& aWork)
{
  const request_shape& own = aWork.mReservation.mShape;
  double ahead = 0;
  for (const auto& [attempt, work] : aState.mWork) {
    const request_shape& other = work.mReservation.mShape;
    const bool isAhead = std::tuple(other.mLong, other.mPriority) <=
                         std::tuple(own.mLong, own.mPriority);
    ahead += work.mStage == reservation_stage::Prefilling && isAhead
               ? work.mPrefillTokensLeft
               : 0;
  }
  return ahead;
}

double
EstimateFirstToken(agent_state& aState, const request_shape& aShape)
{
  const double prefillTokens =
    QueuedTokensAhead(aState, aShape) + UncachedPromptTokens(aState, aShape);
  const double prefillSeconds = prefillTokens / PrefillRate(aState);
  const double stepSeconds =
    StepSeconds(aState.mShape, RunningSequences(aState) + 1, 0, aState.mUsed);
  return prefillSeconds + stepSeconds +
         EstimateMemoryWait(aState, aShape.MemoryTokens());
}

refusal
ImmediateRefusal(const agent_state& aState, const request_shape& aShape)
{
  if (aState.mLeaving) {
    return refusal::Leaving;
  }
  if (!aState.mEngineUp) {
    return refusal::EngineDown;
  }
  if (aShape.mModel != aState.mModel) {
    return refusal::WrongModel;
  }
  if (aShape.MemoryTokens() > aState.mShape.mCapacity) {
    return refusal::NoRoom;
  }
  return refusal::None;
}

double
CurrentStepSlowdown(const agent_state& aState)
{
  const engine_shape& shape = aState.mShape;
  const double prefillTokens = PrefillTokensLeft(aState, false);
  const tokens stepPrefillTokens =
    std::min(shape.mChunk, static_cast<tokens>(prefillTokens));
  const double currentStepSeconds = StepSeconds(
    shape, RunningSequences(aState), stepPrefillTokens, aState.mUsed);
  return currentStepSeconds / StepSeconds(shape, 1, 0, 0);
}

} // namespace

probe_answer
Probe(agent_state& aState, const request_shape& aShape, time_point aNow)
{
  AdvancePrefill(aState, aNow);
  probe_answer answer;
  answer.mRefusal = ImmediateRefusal(aState, aShape);
  answer.mFirstTokenSeconds = EstimateFirstToken(aState, aShape);
  answer.mFreeMemoryTokens = FreeTokens(aState);
  answer.mCapacity = aState.mShape.mCapacity;
  answer.mCachedTokens = aState.mCache.CachedTokens(aShape.mPrefixHashes);
  answer.mRunningSequences =
    static_cast<std::uint32_t>(RunningSequences(aState));
  answer.mStepSlowdown = CurrentStepSlowdown(aState);
  double queued = 0;
  double queuedLong = 0;
  for (const auto& [attempt, work] : aState.mWork) {
    const double prefillTokens =
      work.mStage == reservation_stage::Waiting
        ? static_cast<double>(work.mReservation.mShape.mPromptTokens)
        : work.mPrefillTokensLeft;
    queued += prefillTokens;
    queuedLong += work.mReservation.mShape.mLong ? prefillTokens : 0;
  }
  answer.mQueuedTokens = static_cast<tokens>(queued);
  answer.mLong = static_cast<tokens>(queuedLong);
  return answer;
}

refusal
Reserve(agent_state& aState, const reservation& aReservation, time_point aNow)
{
  AdvancePrefill(aState, aNow);
  const refusal immediateRefusal =
    ImmediateRefusal(aState, aReservation.mShape);
  if (immediateRefusal != refusal::None) {
    return immediateRefusal;
  }
  if (aState.mWork.contains(aReservation.mAttempt)) {
    return refusal::Duplicate;
  }
  if (aReservation.mDeadline <= aNow) {
    return refusal::TooLate;
  }
  const std::size_t waiting = static_cast<std::size_t>(std::count_if(
    aState.mWork.begin(), aState.mWork.end(), [](const auto& aItem) {
      return aItem.second.mStage == reservation_stage::Waiting;
    }));
  if (waiting >= aState.mLimits.mMaxQueueLength) {
    return refusal::NoRoom;
  }
  const double firstTokenSeconds =
    EstimateFirstToken(aState, aReservation.mShape);
  if (aNow + FromSeconds(firstTokenSeconds) > aReservation.mDeadline) {
    return refusal::TooLate;
  }
  reservation_state work;
  work.mReservation = aReservation;
  work.mReservation.mArrival = aNow;
  work.mArrivalOrder = aState.mNextArrivalOrder++;
  aState.mWork.emplace(aReservation.mAttempt, std::move(work));
  return refusal::None;
}

namespace {

/// The first waiting reservation in rank order that fits now; null if none
/// does.
reservation_state*
PickNext(agent_state& aState,
         const memory_holder_totals& aTotals,
         double aEngineQueueTokens,
         time_point aNow)
{
  // Memory needed by the first long prompt that waits for memory; 0 if none
  // waits.
  tokens waitingLongTokens = 0;
  for (const ranked_reservation& next : WaitingByRank(aState, aNow)) {
    reservation_state& work = *next.mWork;
    const bool isLong = work.mReservation.mShape.mLong;
    const bool overtakesLong = isLong && waitingLongTokens > 0;
    if (overtakesLong || !FitsLongPrefillLimit(aState, aTotals, work) ||
        !FitsEngineQueue(aTotals, aEngineQueueTokens, work)) {
      continue;
    }
    if (FitsMemory(aState, aTotals, work, waitingLongTokens)) {
      return &work;
    }
    waitingLongTokens =
      isLong ? work.mReservation.mShape.MemoryTokens() : waitingLongTokens;
  }
  return nullptr;
}

} // namespace

std::vector<std::string>
Dispatch(agent_state& aState, time_point aNow)
{
  AdvancePrefill(aState, aNow);
  std::vector<std::string> granted;
  memory_holder_totals totals = TotalsOf(aState);
  const double engineQueueTokens =
    aState.mLimits.mEngineQueueSeconds * PrefillRate(aState);
  // Each grant changes the fair shares and so the rank of the rest: the queue
  // is ranked again before each grant, until nothing more fits.
  while (FitsBatch(aState, totals, aNow)) {
    reservation_state* const next =
      PickNext(aState, totals, engineQueueTokens, aNow);
    if (next == nullptr) {
      break;
    }
    Grant(aState, *next, aNow);
    AddToTotals(totals, *next);
    granted.push_back(next->mReservation.mAttempt);
  }
  PruneServedShares(aState);
  return granted;
}

bool
StartPrefill(agent_state& aState, const std::string& aAttempt, time_point aNow)
{
  const auto found = aState.mWork.find(aAttempt);
  if (found == aState.mWork.end()) {
    return false;
  }
  reservation_state& work = found->second;
  // A process that was paused may reach this point long after its lease or
  // deadline passed, so both are checked against the current time before
  // anything is sent to the engine.
  const bool stale = work.mStage != reservation_stage::Granted ||
                     aNow >= work.mLeaseEnd ||
                     aNow >= work.mReservation.mDeadline;
  if (stale) {
    return false;
  }
  AdvancePrefill(aState, aNow);
  const double ahead = PrefillTokensAhead(aState, work);
  work.mStage = reservation_stage::Prefilling;
  work.mPrefillStartedAt = aNow;
  work.mPredictedPrefillSeconds =
    (ahead + work.mPrefillTokensLeft) / PrefillRate(aState);
  return true;
}

void
RecordFirstToken(agent_state& aState,
                 const std::string& aAttempt,
                 time_point aNow)
{
  const auto found = aState.mWork.find(aAttempt);
  if (found == aState.mWork.end() ||
      found->second.mStage != reservation_stage::Prefilling) {
    return;
  }
  AdvancePrefill(aState, aNow);
  reservation_state& work = found->second;
  // The ratio of measured to predicted prefill time shows how far the speed in
  // the settings is off for this engine.
  constexpr double kMinMeasurableSeconds = 0.05;
  if (work.mPredictedPrefillSeconds > kMinMeasurableSeconds) {
    const double measured = Seconds(aNow - work.mPrefillStartedAt);
    const double ratio =
      std::clamp(measured / work.mPredictedPrefillSeconds, 0.5, 2.0);
    aState.mPrefillSlowdown =
      std::clamp(aState.mPrefillSlowdown * (1 + kSmoothingFactor * (ratio - 1)),
                 kMinSlowdown,
                 kMaxSlowdown);
  }
  work.mPrefillTokensLeft = 0;
  work.mStage = reservation_stage::Decoding;
  aState.mCache.Insert(work.mReservation.mShape.mPrefixHashes);
}

void
Release(agent_state& aState, const std::string& aAttempt, time_point aNow)
{
  const auto found = aState.mWork.find(aAttempt);
  if (found == aState.mWork.end()) {
    return;
  }
  AdvancePrefill(aState, aNow);
  const reservation_state& work = found->second;
  if (work.HoldsMemory()) {
    aState.mUsed -= work.mReservation.mShape.MemoryTokens();
    const double heldSeconds = Seconds(aNow - work.mGrantedAt);
    aState.mMeanMemoryHoldSeconds +=
      kSmoothingFactor * (heldSeconds - aState.mMeanMemoryHoldSeconds);
  }
  aState.mWork.erase(found);
}

bool
Renew(agent_state& aState, const std::string& aAttempt, time_point aNow)
{
  const auto found = aState.mWork.find(aAttempt);
  if (found == aState.mWork.end() || !found->second.HoldsMemory()) {
    return false;
  }
  reservation_state& work = found->second;
  if (aNow >= work.mLeaseEnd) {
    return false;
  }
  work.mLeaseEnd = aNow + work.mReservation.mLease;
  return true;
}

std::string_view
ExpiryCauseName(expiry_cause aCause)
{
  constexpr std::array<std::string_view, 3> kNames = { "wait_over",
                                                       "deadline_reached",
                                                       "lease_lapsed" };
  return kNames.at(static_cast<std::size_t>(aCause));
}

namespace {

std::optional<expiry_cause>
ExpiryCauseOf(const reservation_state& aWork, time_point aNow)
{
  if (aNow >= aWork.mReservation.mDeadline) {
    return expiry_cause::DeadlineReached;
  }
  if (aWork.mStage == reservation_stage::Waiting) {
    return aNow >= aWork.mReservation.mWaitUntil
             ? std::optional(expiry_cause::WaitExpired)
             : std::nullopt;
  }
  return aNow >= aWork.mLeaseEnd ? std::optional(expiry_cause::LeaseExpired)
                                 : std::nullopt;
}

} // namespace

std::vector<expired_reservation>
Expire(agent_state& aState, time_point aNow)
{
  std::vector<expired_reservation> expired;
  for (const auto& [attempt, work] : aState.mWork) {
    const std::optional<expiry_cause> cause = ExpiryCauseOf(work, aNow);
    if (cause) {
      expired.push_back(
        { work.mReservation.mRequest, attempt, *cause, work.mStage });
    }
  }
  for (const expired_reservation& item : expired) {
    Release(aState, item.mAttempt, aNow);
  }
  return expired;
}

std::optional<time_point>
NextExpiry(const agent_state& aState)
{
  std::optional<time_point> next;
  for (const auto& [attempt, work] : aState.mWork) {
    const time_point stageEnd = work.mStage == reservation_stage::Waiting
                                  ? work.mReservation.mWaitUntil
                                  : work.mLeaseEnd;
    const time_point ends = std::min(stageEnd, work.mReservation.mDeadline);
    next = next ? std::min(*next, ends) : ends;
  }
  return next;
}

std::vector<std::string>
StartDrain(agent_state& aState)
{
  aState.mLeaving = true;
  std::vector<std::string> refused;
  for (const auto& [attempt, work] : aState.mWork) {
    if (work.mStage == reservation_stage::Waiting) {
      refused.push_back(attempt);
    }
  }
  for (const std::string& attempt : refused) {
    aState.mWork.erase(attempt);
  }
  return refused;
}

} // namespace primrose
