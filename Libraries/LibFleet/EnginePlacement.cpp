#include "LibFleet/EnginePlacement.h"

#include <algorithm>
#include <limits>

namespace primrose {

namespace {

/// A prompt that one engine reads within this is not divided: each part waits
/// for its engine's pass in progress, so dividing it would not end sooner.
constexpr double kWholeMs = 100;
/// Engines that one prompt may be divided over: the writer and its helpers.
constexpr std::size_t kMostParts = 17;
/// Writers gathered on one engine. Each adds 0.4% to a step, but also its own
/// reading; above this the reading of new ones eats up the allowed pause.
constexpr unsigned kGatheredWriters = 12;
/// What a pause may have beyond the reading that is known: reading that other
/// entries place at the same moment, and the wire.
constexpr double kPauseMarginMs = 45;
/// A tenth of a millisecond; ends a comparison of equal sums of times.
constexpr double kSameMs = 0.1;
/// Context of a usual writer, for the length of a pass, in tokens.
constexpr double kWriterContext = 6000;

constexpr double kMsPerSecond = 1e3;

struct candidate
{
  known_endpoint* mEndpoint = nullptr;
  double mBacklogMs = 0;
  double mFreeTokens = 0;
  unsigned mWriters = 0;
  /// Reading that may still be added without stretching a writer's pause.
  double mRoomMs = 0;
  double mPassMs = 0;
  bool mTight = false; ///< Its writers allow shorter pauses than this work.
  bool mAvoided = false;
  bool mAway = false;
};

double
ToMs(duration aTime)
{
  return Seconds(aTime) * kMsPerSecond;
}

std::vector<candidate>
Candidates(endpoint_board& aBoard,
           const engine_ledger& aLedger,
           const engine_timing& aTiming,
           const engine_work& aWork,
           const std::vector<std::string>& aTried,
           std::string_view aDataCentre,
           time_point aNow)
{
  static const engine_load kIdle{};
  std::vector<candidate> candidates;
  for (auto& [id, known] : aBoard.mEndpoints) {
    if (!Usable(known, aWork.mService) ||
        std::find(aTried.begin(), aTried.end(), id) != aTried.end()) {
      continue;
    }
    const auto found = aLedger.mEngines.find(Hash(id));
    const engine_load& load =
      found == aLedger.mEngines.end() ? kIdle : found->second;
    candidate one;
    one.mEndpoint = &known;
    one.mBacklogMs = BacklogMs(load, aNow);
    one.mFreeTokens = aTiming.mMemoryTokens - load.mTokens;
    one.mWriters = WriterCount(load);
    one.mPassMs = PassMs(
      aTiming, one.mWriters + 1, std::max(load.mTokens, kWriterContext));
    const std::optional<duration> tightest = TightestPause(load);
    one.mTight = tightest.has_value() && *tightest < aWork.mLongestPause;
    one.mRoomMs = tightest.has_value()
                    ? ToMs(*tightest) - one.mPassMs - kPauseMarginMs -
                        one.mBacklogMs
                    : std::numeric_limits<double>::infinity();
    one.mAvoided = Avoided(known, aNow);
    one.mAway = known.mListed.mDataCentre != aDataCentre;
    candidates.push_back(one);
  }
  // Engines with bad signs are left out while enough others are there.
  const std::size_t sound = static_cast<std::size_t>(
    std::count_if(candidates.begin(),
                  candidates.end(),
                  [](const candidate& a) { return !a.mAvoided; }));
  if (sound > 0 && sound * 2 >= candidates.size()) {
    std::erase_if(candidates, [](const candidate& a) { return a.mAvoided; });
  }
  return candidates;
}

/// The room for reading where this work itself would write.
double
RoomAsWriter(const candidate& aCandidate, const engine_work& aWork)
{
  const double own = ToMs(aWork.mLongestPause) - aCandidate.mPassMs -
                     kPauseMarginMs - aCandidate.mBacklogMs;
  return std::min(aCandidate.mRoomMs, own);
}

bool
CanWrite(const candidate& aCandidate,
         const engine_timing& aTiming,
         const engine_work& aWork)
{
  return aCandidate.mWriters < aTiming.mSlots &&
         aCandidate.mFreeTokens >= aWork.mPromptTokens + aWork.mAnswerTokens;
}

/// The rank of an engine for a prompt that is read whole; lower is better.
struct whole_rank
{
  bool mCannotWrite = false;
  bool mStretches = false;   ///< A pause would be over its limit.
  bool mScattered = false;   ///< Not one of the engines gathered on.
  double mCost = 0;
  bool mAway = false;
  std::uint64_t mOrder = 0; ///< The same for all entries.

  auto operator<=>(const whole_rank&) const = default;
};

engine_choice
PlaceWhole(const std::vector<candidate>& aCandidates,
           const engine_timing& aTiming,
           const engine_work& aWork,
           double aReadingMs)
{
  const candidate* best = nullptr;
  whole_rank bestRank;
  for (const candidate& one : aCandidates) {
    whole_rank rank;
    rank.mCannotWrite = !CanWrite(one, aTiming, aWork);
    rank.mStretches = RoomAsWriter(one, aWork) < aReadingMs;
    rank.mScattered = one.mWriters == 0 || one.mWriters >= kGatheredWriters;
    rank.mCost = rank.mScattered || rank.mStretches
                   ? one.mBacklogMs + one.mWriters
                   : -static_cast<double>(one.mWriters);
    rank.mAway = one.mAway;
    rank.mOrder = Hash(one.mEndpoint->mListed.mId);
    if (best == nullptr || rank < bestRank) {
      best = &one;
      bestRank = rank;
    }
  }
  engine_choice choice;
  choice.mWriter = best->mEndpoint;
  choice.mPartMs = aReadingMs;
  choice.mFirstEventMs = best->mBacklogMs + aReadingMs + 2 * best->mPassMs;
  choice.mWithinPauses = !bestRank.mStretches;
  return choice;
}

/// The engines, loose ones first, then by what they have to read.
std::vector<const candidate*>
ReadingOrder(const std::vector<candidate>& aCandidates)
{
  std::vector<const candidate*> order;
  order.reserve(aCandidates.size());
  for (const candidate& one : aCandidates) {
    order.push_back(&one);
  }
  std::sort(order.begin(),
            order.end(),
            [](const candidate* aOne, const candidate* aOther) {
              if (aOne->mTight != aOther->mTight) {
                return !aOne->mTight;
              }
              return aOne->mBacklogMs < aOther->mBacklogMs;
            });
  return order;
}

struct division
{
  std::vector<const candidate*> mEngines;
  double mPartMs = 0;
  double mEndMs = std::numeric_limits<double>::infinity();
  bool mWithinPauses = false;
};

/// The division that ends first among those that stretch no pause; `aTight`
/// also takes engines whose writers allow shorter pauses than this work.
division
BestDivision(const std::vector<const candidate*>& aOrder,
             double aReadingMs,
             bool aTight)
{
  division best;
  for (std::size_t parts = std::min(kMostParts, aOrder.size()); parts > 0;
       --parts) {
    const double part = aReadingMs / static_cast<double>(parts);
    division tried;
    tried.mPartMs = part;
    double longest = 0;
    for (const candidate* const one : aOrder) {
      if (tried.mEngines.size() == parts || (one->mTight && !aTight)) {
        break;
      }
      if (!one->mTight || one->mRoomMs >= part) {
        tried.mEngines.push_back(one);
        longest = std::max(longest, one->mBacklogMs + one->mPassMs);
      }
    }
    if (tried.mEngines.size() < parts) {
      continue;
    }
    tried.mEndMs = longest + part;
    tried.mWithinPauses = true;
    if (tried.mEndMs + kSameMs < best.mEndMs) {
      best = std::move(tried);
    }
  }
  return best;
}

/// All engines that there are, whatever their writers allow.
division
WidestDivision(const std::vector<const candidate*>& aOrder, double aReadingMs)
{
  division widest;
  const std::size_t parts = std::min(kMostParts, aOrder.size());
  widest.mEngines.assign(aOrder.begin(),
                         aOrder.begin() + static_cast<std::ptrdiff_t>(parts));
  widest.mPartMs = aReadingMs / static_cast<double>(parts);
  widest.mEndMs = widest.mEngines.back()->mBacklogMs + widest.mPartMs;
  return widest;
}

engine_choice
PlaceDivided(const std::vector<candidate>& aCandidates,
             const engine_timing& aTiming,
             const engine_work& aWork,
             double aReadingMs)
{
  const std::vector<const candidate*> order = ReadingOrder(aCandidates);
  division chosen = BestDivision(order, aReadingMs, false);
  // Engines with tight writers help where the loose ones alone are too late.
  constexpr double kComfortable = 0.6;
  if (chosen.mEndMs > kComfortable * ToMs(aWork.mObjective)) {
    division wider = BestDivision(order, aReadingMs, true);
    if (wider.mEndMs < chosen.mEndMs) {
      chosen = std::move(wider);
    }
  }
  if (chosen.mEngines.empty()) {
    chosen = WidestDivision(order, aReadingMs);
  }
  // The writer keeps the prompt's memory, so it is the one with most room.
  const auto writer = std::max_element(
    chosen.mEngines.begin(),
    chosen.mEngines.end(),
    [&aTiming, &aWork](const candidate* aOne, const candidate* aOther) {
      const bool oneCan = CanWrite(*aOne, aTiming, aWork);
      const bool otherCan = CanWrite(*aOther, aTiming, aWork);
      if (oneCan != otherCan) {
        return otherCan;
      }
      if (aOne->mTight != aOther->mTight) {
        return aOne->mTight;
      }
      return aOne->mFreeTokens < aOther->mFreeTokens;
    });
  engine_choice choice;
  choice.mWriter = (*writer)->mEndpoint;
  for (const candidate* const one : chosen.mEngines) {
    if (one != *writer) {
      choice.mReaders.push_back(one->mEndpoint);
    }
  }
  choice.mPartMs = chosen.mPartMs;
  choice.mFirstEventMs = chosen.mEndMs + 2 * (*writer)->mPassMs;
  choice.mWithinPauses = chosen.mWithinPauses;
  return choice;
}

} // namespace

std::optional<engine_choice>
PlaceOnEngines(endpoint_board& aBoard,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const engine_work& aWork,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow)
{
  const std::vector<candidate> candidates = Candidates(
    aBoard, aLedger, aTiming, aWork, aTried, aDataCentre, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double reading = ReadingMs(aTiming, aWork.mPromptTokens);
  if (reading <= kWholeMs) {
    return PlaceWhole(candidates, aTiming, aWork, reading);
  }
  return PlaceDivided(candidates, aTiming, aWork, reading);
}

} // namespace primrose
