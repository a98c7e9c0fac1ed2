#include "LibDecision/Scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace primrose {

namespace {

/// How fast measured values follow (weight of the newest).
constexpr double kSmoothingFactor = 0.1;
constexpr double kMinSlowdown = 0.25;
constexpr double kMaxSlowdown = 20;

double
UncachedPromptTokens(const agent_state& aBoard, const request_shape& aShape)
{
  const tokens cached =
    std::min(aBoard.mCache.Held(aShape.mPrefixHashes), aShape.mPromptTokens);
  return static_cast<double>(aShape.mPromptTokens - cached);
}

/// Priority class after ageing: each `mAgeingInterval` of waiting is worth one
/// class.
double
EffectivePriority(const agent_state& aBoard,
                  const reservation_state& aWork,
                  time_point aNow)
{
  if (!aBoard.mLimits.mUsePriorities) {
    return 0;
  }
  const double waited = Seconds(aNow - aWork.mReservation.mArrival);
  const double classes = waited / Seconds(aBoard.mLimits.mAgeingInterval);
  return std::floor(aWork.mReservation.mShape.mPriority - classes);
}

double
FairShareStartTag(const agent_state& aBoard, const reservation_state& aWork)
{
  if (!aBoard.mLimits.mUseFairShares) {
    return 0;
  }
  const auto served =
    aBoard.mServed.find(aWork.mReservation.mShape.mOrganisation);
  const double last = served == aBoard.mServed.end() ? 0 : served->second;
  return std::max(last, aBoard.mVirtualTime);
}

using rank = std::tuple<double, double, std::uint64_t>;

struct ranked_reservation
{
  rank mRank;
  reservation_state* mWork;
};

std::vector<ranked_reservation>
WaitingByRank(agent_state& aBoard, time_point aNow)
{
  std::vector<ranked_reservation> waiting;
  for (auto& [attempt, work] : aBoard.mWork) {
    if (work.mStage == reservation_stage::Waiting) {
      waiting.push_back({ { EffectivePriority(aBoard, work, aNow),
                            FairShareStartTag(aBoard, work),
                            work.mOrder },
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

/// The part of its load that a freshly started engine takes.
double
SlowStartFactor(const agent_state& aBoard, time_point aNow)
{
  constexpr double kFirstPart = 0.25;
  const double whole = Seconds(aBoard.mLimits.mSlowStartDuration);
  if (whole <= 0) {
    return 1;
  }
  const double part = Seconds(aNow - aBoard.mStarted) / whole;
  return std::clamp(part, kFirstPart, 1.0);
}

/// Sums over all work, made once for a dispatch and kept up to date by each
/// grant: worked out anew for each waiting request they would make a dispatch
/// quadratic in the length of the queue.
struct memory_holder_totals
{
  std::size_t mRunningSequences = 0;
  double mUnread = 0;
  double mLongPrefillTokensLeft = 0;
  tokens mLongMemory = 0;
  tokens mShortMemory = 0;
};

void
AddToTotals(memory_holder_totals& aSums, const reservation_state& aWork)
{
  const request_shape& shape = aWork.mReservation.mShape;
  const bool reads = aWork.mStage == reservation_stage::Granted ||
                     aWork.mStage == reservation_stage::Reading;
  aSums.mRunningSequences +=
    aWork.mReservation.mRole != hold_role::Member ? 1 : 0;
  aSums.mUnread += reads ? aWork.mUnread : 0;
  aSums.mLongPrefillTokensLeft += reads && shape.mLong ? aWork.mUnread : 0;
  (shape.mLong ? aSums.mLongMemory : aSums.mShortMemory) +=
    shape.MemoryTokens();
}

memory_holder_totals
TotalsOf(const agent_state& aBoard)
{
  memory_holder_totals sums;
  for (const auto& [attempt, work] : aBoard.mWork) {
    if (work.HoldsMemory()) {
      AddToTotals(sums, work);
    }
  }
  return sums;
}

bool
FitsBatch(const agent_state& aBoard,
          const memory_holder_totals& aSums,
          time_point aNow)
{
  const double places =
    aBoard.mShape.mLargestBatch * SlowStartFactor(aBoard, aNow);
  return static_cast<double>(aSums.mRunningSequences) + 1 <=
         std::max(1.0, places);
}

/// Long prompts in one engine lengthen every step of the short ones there, so
/// only so much of them is read at once; a single one always may.
bool
FitsLongPrefillLimit(const agent_state& aBoard,
                     const memory_holder_totals& aSums,
                     const reservation_state& aWork)
{
  if (!aWork.mReservation.mShape.mLong) {
    return true;
  }
  const double present = aSums.mLongPrefillTokensLeft;
  return present <= 0 ||
         present + aWork.mUnread <=
           static_cast<double>(aBoard.mLimits.mLongTokensAtOnce);
}

/// What is given to the engine cannot be put in another order any more, so
/// only a little is given ahead of its reading.
bool
FitsEngineQueue(const memory_holder_totals& aSums,
                double aWindow,
                const reservation_state& aWork)
{
  const bool isLong = aWork.mReservation.mShape.mLong;
  return isLong || aSums.mUnread - aSums.mLongPrefillTokensLeft <= aWindow;
}

/// Memory that long prompts may hold, all together: a part of the engine's, or
/// what a single one needs if that is more.
tokens
LongMemoryLimit(const agent_state& aBoard, tokens aNeed)
{
  const double part = aBoard.mLimits.mLongMemoryPart *
                      static_cast<double>(aBoard.mShape.mCapacity);
  return std::max(static_cast<tokens>(part), aNeed);
}

/// Long prompts hold their memory for long. Without a bound they would fill
/// the engine, and short ones would wait for seconds for one of them to end;
/// one would see it in the first token of short prompts. So a region is kept
/// from them. Short work may use all that is free, except that while a long
/// prompt waits for memory it stays within its own region: else a stream of
/// short ones would take each token that is freed, and the long one would
/// starve.
bool
FitsMemory(const agent_state& aBoard,
           const memory_holder_totals& aSums,
           const reservation_state& aWork,
           tokens aWaits)
{
  const request_shape& shape = aWork.mReservation.mShape;
  const tokens need = shape.MemoryTokens();
  if (need > FreeTokens(aBoard)) {
    return false;
  }
  if (shape.mLong) {
    return aSums.mLongMemory + need <= LongMemoryLimit(aBoard, need);
  }
  if (aWaits == 0) {
    return true;
  }
  const tokens forShort =
    aBoard.mShape.mCapacity - LongMemoryLimit(aBoard, aWaits);
  const tokens used = aSums.mShortMemory;
  return used == 0 || used + need <= forShort;
}

void
Grant(agent_state& aBoard, reservation_state& aWork, time_point aNow)
{
  const request_shape& shape = aWork.mReservation.mShape;
  const double tag = FairShareStartTag(aBoard, aWork);
  aBoard.mVirtualTime = tag;
  aBoard.mServed[shape.mOrganisation] =
    tag +
    static_cast<double>(shape.MemoryTokens()) / aWork.mReservation.mWeight;
  aWork.mStage = reservation_stage::Granted;
  aWork.mGrantedAt = aNow;
  aWork.mLeaseEnd = aNow + aWork.mReservation.mLease;
  aWork.mUnread = UncachedPromptTokens(aBoard, shape);
  aWork.mCachedTokens =
    shape.mPromptTokens - static_cast<tokens>(aWork.mUnread);
  aBoard.mUsed += shape.MemoryTokens();
}

/// Forgets the shares of organisations that have been overtaken: they start
/// at the virtual time again, so nothing is lost, and the table stays small.
void
PruneServedShares(agent_state& aBoard)
{
  constexpr std::size_t kMaxServedEntries = 4096;
  if (aBoard.mServed.size() <= kMaxServedEntries) {
    return;
  }
  std::erase_if(aBoard.mServed, [&](const auto& aShare) {
    return aShare.second <= aBoard.mVirtualTime;
  });
}

/// Unread tokens that go before a request of this shape.
double
QueuedTokensAhead(agent_state& aBoard, const request_shape& aShape)
{
  double ahead = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const request_shape& other = work.mReservation.mShape;
    const bool goesBefore = std::tuple(other.mLong, other.mPriority) <=
                            std::tuple(aShape.mLong, aShape.mPriority);
    if (!goesBefore) {
      continue;
    }
    ahead += work.mStage == reservation_stage::Waiting
               ? UncachedPromptTokens(aBoard, other)
               : work.mUnread;
  }
  return ahead;
}

/// Seconds until so much memory has been given back, judged by how long it is
/// held on average.
double
EstimateMemoryWait(const agent_state& aBoard, tokens aNeed)
{
  tokens wanted = aNeed;
  for (const auto& [attempt, work] : aBoard.mWork) {
    wanted += work.mStage == reservation_stage::Waiting
                ? work.mReservation.mShape.MemoryTokens()
                : 0;
  }
  const tokens free = FreeTokens(aBoard);
  if (wanted <= free) {
    return 0;
  }
  return aBoard.mMeanMemoryHoldSeconds * static_cast<double>(wanted - free) /
         static_cast<double>(aBoard.mShape.mCapacity);
}

/// Unread tokens in the engine that it reads before those of this work.
double
PrefillTokensAhead(const agent_state& aBoard, const reservation_state& aWork)
{
  const request_shape& own = aWork.mReservation.mShape;
  double ahead = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const request_shape& other = work.mReservation.mShape;
    const bool goesBefore = std::tuple(other.mLong, other.mPriority) <=
                            std::tuple(own.mLong, own.mPriority);
    ahead += work.mStage == reservation_stage::Reading && goesBefore
               ? work.mUnread
               : 0;
  }
  return ahead;
}

double
EstimateFirstToken(agent_state& aBoard, const request_shape& aShape)
{
  const double unread =
    QueuedTokensAhead(aBoard, aShape) + UncachedPromptTokens(aBoard, aShape);
  const double reading = unread / PrefillRate(aBoard);
  const double step =
    StepSeconds(aBoard.mShape, RunningSequences(aBoard) + 1, 0, aBoard.mUsed);
  return reading + step + EstimateMemoryWait(aBoard, aShape.MemoryTokens());
}

refusal
ImmediateRefusal(const agent_state& aBoard, const request_shape& aShape)
{
  if (aBoard.mLeaving) {
    return refusal::Leaving;
  }
  if (!aBoard.mEngineUp) {
    return refusal::EngineDown;
  }
  if (aShape.mModel != aBoard.mModel) {
    return refusal::WrongModel;
  }
  if (aShape.MemoryTokens() > aBoard.mShape.mCapacity) {
    return refusal::NoRoom;
  }
  return refusal::None;
}

double
CurrentStepSlowdown(const agent_state& aBoard)
{
  const engine_shape& shape = aBoard.mShape;
  const double unread = PrefillTokensLeft(aBoard, false);
  const tokens read = std::min(shape.mChunk, static_cast<tokens>(unread));
  const double now =
    StepSeconds(shape, RunningSequences(aBoard), read, aBoard.mUsed);
  return now / StepSeconds(shape, 1, 0, 0);
}

} // namespace

probe_answer
Probe(agent_state& aBoard, const request_shape& aShape, time_point aNow)
{
  AdvancePrefill(aBoard, aNow);
  probe_answer answer;
  answer.mRefusal = ImmediateRefusal(aBoard, aShape);
  answer.mFirstTokenSeconds = EstimateFirstToken(aBoard, aShape);
  answer.mFreeMemoryTokens = FreeTokens(aBoard);
  answer.mCapacity = aBoard.mShape.mCapacity;
  answer.mCachedTokens = aBoard.mCache.Held(aShape.mPrefixHashes);
  answer.mRunningSequences =
    static_cast<std::uint32_t>(RunningSequences(aBoard));
  answer.mStepSlowdown = CurrentStepSlowdown(aBoard);
  double queued = 0;
  double queuedLong = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const double unread =
      work.mStage == reservation_stage::Waiting
        ? static_cast<double>(work.mReservation.mShape.mPromptTokens)
        : work.mUnread;
    queued += unread;
    queuedLong += work.mReservation.mShape.mLong ? unread : 0;
  }
  answer.mQueuedTokens = static_cast<tokens>(queued);
  answer.mLong = static_cast<tokens>(queuedLong);
  return answer;
}

refusal
Reserve(agent_state& aBoard, const reservation& aReservation, time_point aNow)
{
  AdvancePrefill(aBoard, aNow);
  const refusal now = ImmediateRefusal(aBoard, aReservation.mShape);
  if (now != refusal::None) {
    return now;
  }
  if (aBoard.mWork.contains(aReservation.mAttempt)) {
    return refusal::Duplicate;
  }
  if (aReservation.mDeadline <= aNow) {
    return refusal::TooLate;
  }
  const std::size_t waiting = static_cast<std::size_t>(std::count_if(
    aBoard.mWork.begin(), aBoard.mWork.end(), [](const auto& aItem) {
      return aItem.second.mStage == reservation_stage::Waiting;
    }));
  if (waiting >= aBoard.mLimits.mMaxQueueLength) {
    return refusal::NoRoom;
  }
  const double first = EstimateFirstToken(aBoard, aReservation.mShape);
  if (aNow + FromSeconds(first) > aReservation.mDeadline) {
    return refusal::TooLate;
  }
  reservation_state work;
  work.mReservation = aReservation;
  work.mReservation.mArrival = aNow;
  work.mOrder = aBoard.mNextArrivalOrder++;
  aBoard.mWork.emplace(aReservation.mAttempt, std::move(work));
  return refusal::None;
}

namespace {

/// The first waiting work, in order, that fits now; null if none does.
reservation_state*
PickNext(agent_state& aBoard,
         const memory_holder_totals& aSums,
         double aWindow,
         time_point aNow)
{
  tokens longWaits =
    0; // MemoryTokens of the first long one that waits for memory.
  for (const ranked_reservation& next : WaitingByRank(aBoard, aNow)) {
    reservation_state& work = *next.mWork;
    const bool isLong = work.mReservation.mShape.mLong;
    const bool passesLong = isLong && longWaits > 0;
    if (passesLong || !FitsLongPrefillLimit(aBoard, aSums, work) ||
        !FitsEngineQueue(aSums, aWindow, work)) {
      continue;
    }
    if (FitsMemory(aBoard, aSums, work, longWaits)) {
      return &work;
    }
    longWaits = isLong ? work.mReservation.mShape.MemoryTokens() : longWaits;
  }
  return nullptr;
}

} // namespace

std::vector<std::string>
Dispatch(agent_state& aBoard, time_point aNow)
{
  AdvancePrefill(aBoard, aNow);
  std::vector<std::string> granted;
  memory_holder_totals sums = TotalsOf(aBoard);
  const double window =
    aBoard.mLimits.mEngineQueueSeconds * PrefillRate(aBoard);
  // Each grant changes the shares and so the order of the rest; the next is
  // picked in a new order until nothing more fits.
  while (FitsBatch(aBoard, sums, aNow)) {
    reservation_state* const next = PickNext(aBoard, sums, window, aNow);
    if (next == nullptr) {
      break;
    }
    Grant(aBoard, *next, aNow);
    AddToTotals(sums, *next);
    granted.push_back(next->mReservation.mAttempt);
  }
  PruneServedShares(aBoard);
  return granted;
}

bool
StartPrefill(agent_state& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end()) {
    return false;
  }
  reservation_state& work = found->second;
  // A process that was paused may come here long after its lease or deadline
  // passed. The clock is read again before the act, not before the pause.
  const bool stale = work.mStage != reservation_stage::Granted ||
                     aNow >= work.mLeaseEnd ||
                     aNow >= work.mReservation.mDeadline;
  if (stale) {
    return false;
  }
  AdvancePrefill(aBoard, aNow);
  const double ahead = PrefillTokensAhead(aBoard, work);
  work.mStage = reservation_stage::Reading;
  work.mPrefillStartedAt = aNow;
  work.mPredictedPrefillSeconds = (ahead + work.mUnread) / PrefillRate(aBoard);
  return true;
}

void
RecordFirstToken(agent_state& aBoard,
                 const std::string& aAttempt,
                 time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end() ||
      found->second.mStage != reservation_stage::Reading) {
    return;
  }
  AdvancePrefill(aBoard, aNow);
  reservation_state& work = found->second;
  // How long the reading took against how long it was thought to take tells
  // how far the engine's shape in the settings is off.
  constexpr double kWorthMeasuring = 0.05;
  if (work.mPredictedPrefillSeconds > kWorthMeasuring) {
    const double took = Seconds(aNow - work.mPrefillStartedAt);
    const double ratio =
      std::clamp(took / work.mPredictedPrefillSeconds, 0.5, 2.0);
    aBoard.mPrefillSlowdown =
      std::clamp(aBoard.mPrefillSlowdown * (1 + kSmoothingFactor * (ratio - 1)),
                 kMinSlowdown,
                 kMaxSlowdown);
  }
  work.mUnread = 0;
  work.mStage = reservation_stage::Writing;
  aBoard.mCache.Insert(work.mReservation.mShape.mPrefixHashes);
}

void
Release(agent_state& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end()) {
    return;
  }
  AdvancePrefill(aBoard, aNow);
  const reservation_state& work = found->second;
  if (work.HoldsMemory()) {
    aBoard.mUsed -= work.mReservation.mShape.MemoryTokens();
    const double heldFor = Seconds(aNow - work.mGrantedAt);
    aBoard.mMeanMemoryHoldSeconds +=
      kSmoothingFactor * (heldFor - aBoard.mMeanMemoryHoldSeconds);
  }
  aBoard.mWork.erase(found);
}

bool
Renew(agent_state& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end() || !found->second.HoldsMemory()) {
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
Expire(agent_state& aBoard, time_point aNow)
{
  std::vector<expired_reservation> expired;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const std::optional<expiry_cause> cause = ExpiryCauseOf(work, aNow);
    if (cause) {
      expired.push_back(
        { work.mReservation.mRequest, attempt, *cause, work.mStage });
    }
  }
  for (const expired_reservation& item : expired) {
    Release(aBoard, item.mAttempt, aNow);
  }
  return expired;
}

std::optional<time_point>
NextExpiry(const agent_state& aBoard)
{
  std::optional<time_point> next;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const time_point own = work.mStage == reservation_stage::Waiting
                             ? work.mReservation.mWaitUntil
                             : work.mLeaseEnd;
    const time_point ends = std::min(own, work.mReservation.mDeadline);
    next = next ? std::min(*next, ends) : ends;
  }
  return next;
}

std::vector<std::string>
StartDrain(agent_state& aBoard)
{
  aBoard.mLeaving = true;
  std::vector<std::string> refused;
  for (const auto& [attempt, work] : aBoard.mWork) {
    if (work.mStage == reservation_stage::Waiting) {
      refused.push_back(attempt);
    }
  }
  for (const std::string& attempt : refused) {
    aBoard.mWork.erase(attempt);
  }
  return refused;
}

} // namespace primrose
