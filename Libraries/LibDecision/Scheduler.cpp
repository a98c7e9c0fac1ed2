#include "LibDecision/Scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace primrose {

namespace {

/// How fast measured values follow (weight of the newest).
constexpr double kFollow = 0.1;
constexpr double kLowestSlowness = 0.25;
constexpr double kHighestSlowness = 20;

double
UnreadAfterCache(const agent_board& aBoard, const work_shape& aShape)
{
  const tokens cached =
    std::min(aBoard.mCache.Held(aShape.mMarks), aShape.mPromptTokens);
  return static_cast<double>(aShape.mPromptTokens - cached);
}

/// Priority class after ageing: each `mAgeing` of waiting is worth one class.
double
AgedClass(const agent_board& aBoard, const held_work& aWork, time_point aNow)
{
  if (!aBoard.mLimits.mPriorities) {
    return 0;
  }
  const double waited = Seconds(aNow - aWork.mReservation.mArrival);
  const double classes = waited / Seconds(aBoard.mLimits.mAgeing);
  return std::floor(aWork.mReservation.mShape.mPriority - classes);
}

double
StartTag(const agent_board& aBoard, const held_work& aWork)
{
  if (!aBoard.mLimits.mFairShares) {
    return 0;
  }
  const auto served =
    aBoard.mServed.find(aWork.mReservation.mShape.mOrganisation);
  const double last = served == aBoard.mServed.end() ? 0 : served->second;
  return std::max(last, aBoard.mVirtualTime);
}

using rank = std::tuple<double, double, std::uint64_t>;

struct ranked_work
{
  rank mRank;
  held_work* mWork;
};

std::vector<ranked_work>
WaitingInOrder(agent_board& aBoard, time_point aNow)
{
  std::vector<ranked_work> waiting;
  for (auto& [attempt, work] : aBoard.mWork) {
    if (work.mStage == stage::Waiting) {
      waiting.push_back({ { AgedClass(aBoard, work, aNow),
                            StartTag(aBoard, work),
                            work.mOrder },
                          &work });
    }
  }
  std::sort(waiting.begin(),
            waiting.end(),
            [](const ranked_work& aLeft, const ranked_work& aRight) {
              return aLeft.mRank < aRight.mRank;
            });
  return waiting;
}

/// The part of its load that a freshly started engine takes.
double
SlowStartFactor(const agent_board& aBoard, time_point aNow)
{
  constexpr double kFirstPart = 0.25;
  const double whole = Seconds(aBoard.mLimits.mSlowStart);
  if (whole <= 0) {
    return 1;
  }
  const double part = Seconds(aNow - aBoard.mStarted) / whole;
  return std::clamp(part, kFirstPart, 1.0);
}

/// Sums over all work, made once for a dispatch and kept up to date by each
/// grant: worked out anew for each waiting request they would make a dispatch
/// quadratic in the length of the queue.
struct board_sums
{
  std::size_t mRunning = 0;
  double mUnread = 0;
  double mUnreadLong = 0;
  tokens mLongMemory = 0;
  tokens mShortMemory = 0;
};

void
AddHeld(board_sums& aSums, const held_work& aWork)
{
  const work_shape& shape = aWork.mReservation.mShape;
  const bool reads =
    aWork.mStage == stage::Granted || aWork.mStage == stage::Reading;
  aSums.mRunning += aWork.mReservation.mRole != hold_role::Member ? 1 : 0;
  aSums.mUnread += reads ? aWork.mUnread : 0;
  aSums.mUnreadLong += reads && shape.mLong ? aWork.mUnread : 0;
  (shape.mLong ? aSums.mLongMemory : aSums.mShortMemory) += shape.Need();
}

board_sums
SumsOf(const agent_board& aBoard)
{
  board_sums sums;
  for (const auto& [attempt, work] : aBoard.mWork) {
    if (work.HoldsMemory()) {
      AddHeld(sums, work);
    }
  }
  return sums;
}

bool
FitsBatch(const agent_board& aBoard, const board_sums& aSums, time_point aNow)
{
  const double places =
    aBoard.mShape.mLargestBatch * SlowStartFactor(aBoard, aNow);
  return static_cast<double>(aSums.mRunning) + 1 <= std::max(1.0, places);
}

/// Long prompts in one engine lengthen every step of the short ones there, so
/// only so much of them is read at once; a single one always may.
bool
FitsLongBound(const agent_board& aBoard,
              const board_sums& aSums,
              const held_work& aWork)
{
  if (!aWork.mReservation.mShape.mLong) {
    return true;
  }
  const double present = aSums.mUnreadLong;
  return present <= 0 ||
         present + aWork.mUnread <=
           static_cast<double>(aBoard.mLimits.mLongTokensAtOnce);
}

/// What is given to the engine cannot be put in another order any more, so
/// only a little is given ahead of its reading.
bool
FitsReadAhead(const board_sums& aSums, double aWindow, const held_work& aWork)
{
  const bool isLong = aWork.mReservation.mShape.mLong;
  return isLong || aSums.mUnread - aSums.mUnreadLong <= aWindow;
}

/// Memory that long prompts may hold, all together: a part of the engine's, or
/// what a single one needs if that is more.
tokens
LongRegion(const agent_board& aBoard, tokens aNeed)
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
FitsMemory(const agent_board& aBoard,
           const board_sums& aSums,
           const held_work& aWork,
           tokens aWaits)
{
  const work_shape& shape = aWork.mReservation.mShape;
  const tokens need = shape.Need();
  if (need > FreeTokens(aBoard)) {
    return false;
  }
  if (shape.mLong) {
    return aSums.mLongMemory + need <= LongRegion(aBoard, need);
  }
  if (aWaits == 0) {
    return true;
  }
  const tokens forShort = aBoard.mShape.mCapacity - LongRegion(aBoard, aWaits);
  const tokens used = aSums.mShortMemory;
  return used == 0 || used + need <= forShort;
}

void
Grant(agent_board& aBoard, held_work& aWork, time_point aNow)
{
  const work_shape& shape = aWork.mReservation.mShape;
  const double tag = StartTag(aBoard, aWork);
  aBoard.mVirtualTime = tag;
  aBoard.mServed[shape.mOrganisation] =
    tag + static_cast<double>(shape.Need()) / aWork.mReservation.mWeight;
  aWork.mStage = stage::Granted;
  aWork.mGrantedAt = aNow;
  aWork.mLeaseEnd = aNow + aWork.mReservation.mLease;
  aWork.mUnread = UnreadAfterCache(aBoard, shape);
  aWork.mCached = shape.mPromptTokens - static_cast<tokens>(aWork.mUnread);
  aBoard.mUsed += shape.Need();
}

/// Forgets the shares of organisations that have been overtaken: they start
/// at the virtual time again, so nothing is lost, and the table stays small.
void
ForgetOldShares(agent_board& aBoard)
{
  constexpr std::size_t kMostShares = 4096;
  if (aBoard.mServed.size() <= kMostShares) {
    return;
  }
  std::erase_if(aBoard.mServed, [&](const auto& aShare) {
    return aShare.second <= aBoard.mVirtualTime;
  });
}

/// Unread tokens that go before a request of this shape.
double
TokensAhead(agent_board& aBoard, const work_shape& aShape)
{
  double ahead = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const work_shape& other = work.mReservation.mShape;
    const bool goesBefore = std::tuple(other.mLong, other.mPriority) <=
                            std::tuple(aShape.mLong, aShape.mPriority);
    if (!goesBefore) {
      continue;
    }
    ahead += work.mStage == stage::Waiting ? UnreadAfterCache(aBoard, other)
                                           : work.mUnread;
  }
  return ahead;
}

/// Seconds until so much memory has been given back, judged by how long it is
/// held on average.
double
MemoryWait(const agent_board& aBoard, tokens aNeed)
{
  tokens wanted = aNeed;
  for (const auto& [attempt, work] : aBoard.mWork) {
    wanted +=
      work.mStage == stage::Waiting ? work.mReservation.mShape.Need() : 0;
  }
  const tokens free = FreeTokens(aBoard);
  if (wanted <= free) {
    return 0;
  }
  return aBoard.mResidenceSeconds * static_cast<double>(wanted - free) /
         static_cast<double>(aBoard.mShape.mCapacity);
}

/// Unread tokens in the engine that it reads before those of this work.
double
ReadingAhead(const agent_board& aBoard, const held_work& aWork)
{
  const work_shape& own = aWork.mReservation.mShape;
  double ahead = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const work_shape& other = work.mReservation.mShape;
    const bool goesBefore = std::tuple(other.mLong, other.mPriority) <=
                            std::tuple(own.mLong, own.mPriority);
    ahead += work.mStage == stage::Reading && goesBefore ? work.mUnread : 0;
  }
  return ahead;
}

double
EstimateFirstToken(agent_board& aBoard, const work_shape& aShape)
{
  const double unread =
    TokensAhead(aBoard, aShape) + UnreadAfterCache(aBoard, aShape);
  const double reading = unread / ReadingRate(aBoard);
  const double step =
    StepSeconds(aBoard.mShape, RunningCount(aBoard) + 1, 0, aBoard.mUsed);
  return reading + step + MemoryWait(aBoard, aShape.Need());
}

refusal
RefusalNow(const agent_board& aBoard, const work_shape& aShape)
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
  if (aShape.Need() > aBoard.mShape.mCapacity) {
    return refusal::NoRoom;
  }
  return refusal::None;
}

double
CurrentSlowdown(const agent_board& aBoard)
{
  const engine_shape& shape = aBoard.mShape;
  const double unread = UnreadTokens(aBoard, false);
  const tokens read = std::min(shape.mChunk, static_cast<tokens>(unread));
  const double now =
    StepSeconds(shape, RunningCount(aBoard), read, aBoard.mUsed);
  return now / StepSeconds(shape, 1, 0, 0);
}

} // namespace

probe_answer
Probe(agent_board& aBoard, const work_shape& aShape, time_point aNow)
{
  AdvanceReading(aBoard, aNow);
  probe_answer answer;
  answer.mRefusal = RefusalNow(aBoard, aShape);
  answer.mFirstTokenSeconds = EstimateFirstToken(aBoard, aShape);
  answer.mFree = FreeTokens(aBoard);
  answer.mCapacity = aBoard.mShape.mCapacity;
  answer.mCached = aBoard.mCache.Held(aShape.mMarks);
  answer.mRunning = static_cast<std::uint32_t>(RunningCount(aBoard));
  answer.mSlowdown = CurrentSlowdown(aBoard);
  double queued = 0;
  double queuedLong = 0;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const double unread =
      work.mStage == stage::Waiting
        ? static_cast<double>(work.mReservation.mShape.mPromptTokens)
        : work.mUnread;
    queued += unread;
    queuedLong += work.mReservation.mShape.mLong ? unread : 0;
  }
  answer.mQueued = static_cast<tokens>(queued);
  answer.mLong = static_cast<tokens>(queuedLong);
  return answer;
}

refusal
Reserve(agent_board& aBoard, const reservation& aReservation, time_point aNow)
{
  AdvanceReading(aBoard, aNow);
  const refusal now = RefusalNow(aBoard, aReservation.mShape);
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
      return aItem.second.mStage == stage::Waiting;
    }));
  if (waiting >= aBoard.mLimits.mLongestQueue) {
    return refusal::NoRoom;
  }
  const double first = EstimateFirstToken(aBoard, aReservation.mShape);
  if (aNow + FromSeconds(first) > aReservation.mDeadline) {
    return refusal::TooLate;
  }
  held_work work;
  work.mReservation = aReservation;
  work.mReservation.mArrival = aNow;
  work.mOrder = aBoard.mNextOrder++;
  aBoard.mWork.emplace(aReservation.mAttempt, std::move(work));
  return refusal::None;
}

namespace {

/// The first waiting work, in order, that fits now; null if none does.
held_work*
PickNext(agent_board& aBoard,
         const board_sums& aSums,
         double aWindow,
         time_point aNow)
{
  tokens longWaits = 0; // Need of the first long one that waits for memory.
  for (const ranked_work& next : WaitingInOrder(aBoard, aNow)) {
    held_work& work = *next.mWork;
    const bool isLong = work.mReservation.mShape.mLong;
    const bool passesLong = isLong && longWaits > 0;
    if (passesLong || !FitsLongBound(aBoard, aSums, work) ||
        !FitsReadAhead(aSums, aWindow, work)) {
      continue;
    }
    if (FitsMemory(aBoard, aSums, work, longWaits)) {
      return &work;
    }
    longWaits = isLong ? work.mReservation.mShape.Need() : longWaits;
  }
  return nullptr;
}

} // namespace

std::vector<std::string>
Dispatch(agent_board& aBoard, time_point aNow)
{
  AdvanceReading(aBoard, aNow);
  std::vector<std::string> granted;
  board_sums sums = SumsOf(aBoard);
  const double window = aBoard.mLimits.mReadAheadSeconds * ReadingRate(aBoard);
  // Each grant changes the shares and so the order of the rest; the next is
  // picked in a new order until nothing more fits.
  while (FitsBatch(aBoard, sums, aNow)) {
    held_work* const next = PickNext(aBoard, sums, window, aNow);
    if (next == nullptr) {
      break;
    }
    Grant(aBoard, *next, aNow);
    AddHeld(sums, *next);
    granted.push_back(next->mReservation.mAttempt);
  }
  ForgetOldShares(aBoard);
  return granted;
}

bool
StartReading(agent_board& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end()) {
    return false;
  }
  held_work& work = found->second;
  // A process that was paused may come here long after its lease or deadline
  // passed. The clock is read again before the act, not before the pause.
  const bool stale = work.mStage != stage::Granted || aNow >= work.mLeaseEnd ||
                     aNow >= work.mReservation.mDeadline;
  if (stale) {
    return false;
  }
  AdvanceReading(aBoard, aNow);
  const double ahead = ReadingAhead(aBoard, work);
  work.mStage = stage::Reading;
  work.mReadingSince = aNow;
  work.mPredicted = (ahead + work.mUnread) / ReadingRate(aBoard);
  return true;
}

void
NoteFirstToken(agent_board& aBoard,
               const std::string& aAttempt,
               time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end() || found->second.mStage != stage::Reading) {
    return;
  }
  AdvanceReading(aBoard, aNow);
  held_work& work = found->second;
  // How long the reading took against how long it was thought to take tells
  // how far the engine's shape in the settings is off.
  constexpr double kWorthMeasuring = 0.05;
  if (work.mPredicted > kWorthMeasuring) {
    const double took = Seconds(aNow - work.mReadingSince);
    const double ratio = std::clamp(took / work.mPredicted, 0.5, 2.0);
    aBoard.mSlowness =
      std::clamp(aBoard.mSlowness * (1 + kFollow * (ratio - 1)),
                 kLowestSlowness,
                 kHighestSlowness);
  }
  work.mUnread = 0;
  work.mStage = stage::Writing;
  aBoard.mCache.Insert(work.mReservation.mShape.mMarks);
}

void
Release(agent_board& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end()) {
    return;
  }
  AdvanceReading(aBoard, aNow);
  const held_work& work = found->second;
  if (work.HoldsMemory()) {
    aBoard.mUsed -= work.mReservation.mShape.Need();
    const double heldFor = Seconds(aNow - work.mGrantedAt);
    aBoard.mResidenceSeconds += kFollow * (heldFor - aBoard.mResidenceSeconds);
  }
  aBoard.mWork.erase(found);
}

bool
Renew(agent_board& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mWork.find(aAttempt);
  if (found == aBoard.mWork.end() || !found->second.HoldsMemory()) {
    return false;
  }
  held_work& work = found->second;
  if (aNow >= work.mLeaseEnd) {
    return false;
  }
  work.mLeaseEnd = aNow + work.mReservation.mLease;
  return true;
}

std::string_view
ExpiryName(expiry_cause aCause)
{
  constexpr std::array<std::string_view, 3> kNames = { "wait_over",
                                                       "deadline_reached",
                                                       "lease_lapsed" };
  return kNames.at(static_cast<std::size_t>(aCause));
}

namespace {

std::optional<expiry_cause>
CauseToEnd(const held_work& aWork, time_point aNow)
{
  if (aNow >= aWork.mReservation.mDeadline) {
    return expiry_cause::DeadlineReached;
  }
  if (aWork.mStage == stage::Waiting) {
    return aNow >= aWork.mReservation.mWaitUntil
             ? std::optional(expiry_cause::WaitOver)
             : std::nullopt;
  }
  return aNow >= aWork.mLeaseEnd ? std::optional(expiry_cause::LeaseLapsed)
                                 : std::nullopt;
}

} // namespace

std::vector<expired_work>
Expire(agent_board& aBoard, time_point aNow)
{
  std::vector<expired_work> expired;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const std::optional<expiry_cause> cause = CauseToEnd(work, aNow);
    if (cause) {
      expired.push_back(
        { work.mReservation.mRequest, attempt, *cause, work.mStage });
    }
  }
  for (const expired_work& item : expired) {
    Release(aBoard, item.mAttempt, aNow);
  }
  return expired;
}

std::optional<time_point>
NextExpiry(const agent_board& aBoard)
{
  std::optional<time_point> next;
  for (const auto& [attempt, work] : aBoard.mWork) {
    const time_point own = work.mStage == stage::Waiting
                             ? work.mReservation.mWaitUntil
                             : work.mLeaseEnd;
    const time_point ends = std::min(own, work.mReservation.mDeadline);
    next = next ? std::min(*next, ends) : ends;
  }
  return next;
}

std::vector<std::string>
StartDrain(agent_board& aBoard)
{
  aBoard.mLeaving = true;
  std::vector<std::string> refused;
  for (const auto& [attempt, work] : aBoard.mWork) {
    if (work.mStage == stage::Waiting) {
      refused.push_back(attempt);
    }
  }
  for (const std::string& attempt : refused) {
    aBoard.mWork.erase(attempt);
  }
  return refused;
}

} // namespace primrose
