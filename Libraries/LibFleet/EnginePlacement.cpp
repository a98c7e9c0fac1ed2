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
/// Writers gathered on one engine, as a share of those that it works on at
/// once. Each adds 0.4% to a step, but also its own reading; above this the
/// reading of new ones eats up the allowed pause, and what comes unforeseen is
/// shed.
constexpr double kGatheredShare = 0.75;
/// What a pause may have beyond the reading that is known: reading that other
/// entries place at the same moment, and the wire.
constexpr double kPauseMarginMs = 30;
/// Passes between a prompt's reading and its first event at the caller: the
/// one in progress when it came, and the one that writes the event.
constexpr double kPassesToFirstEvent = 2;
/// Share of a request's worth that is lost when it is late.
constexpr double kLostWhenLate = 0.75;
/// Expected share of the objective from which being late becomes likely.
constexpr double kLateFrom = 0.6;
/// Added for each further objective of delay, so that of two late places the
/// earlier one is taken.
constexpr double kLaterPenalty = 0.2;
/// Shares of a request's worth: for starting to write on an engine that long
/// prompts could have used, and on one that they do use.
constexpr double kOpeningPenalty = 0.2;
constexpr double kMixingPenalty = 0.45;
/// For each writer more, up to the number gathered and beyond it.
constexpr double kGatherGain = 0.01;
constexpr double kCrowdPenalty = 0.13;
/// For each engine that a prompt is divided over, and for the time until its
/// parts are read, as shares of its worth.
constexpr double kPartPenalty = 0.001;
constexpr double kTimePenalty = 0.05;
/// For a place in another data centre: only decides between equals.
constexpr double kAwayPenalty = 0.002;
/// Memory that is planned with; the rest covers answers that grow.
constexpr double kUsableMemory = 0.95;
/// Worth of any request, and of each thousand tokens of its prompt.
constexpr double kBaseWorth = 0.6;
constexpr double kWorthPerThousand = 0.13;

/// A caller leaves a stream whose next event takes longer than eight times the
/// allowed pause, or than two seconds.
constexpr double kAbandonedPauses = 8;
constexpr double kAbandonedMs = 2000;
/// What a second of one engine is worth when all are busy: short prompts earn
/// about this. It falls to nothing while half of the engines are idle.
constexpr double kWorthOfBusySecond = 8;
constexpr double kFreeShare = 0.5;
constexpr double kBusyShare = 0.9;
/// Reading that makes an engine count as busy, and writers.
constexpr double kBusyBacklogMs = 100;
constexpr double kBusyWritersShare = 0.56;
/// Share of a request's worth that its caller loses when it is turned away,
/// beside the answer itself: it comes back and is owed an answer all the same.
constexpr double kLostWhenRefused = 0.3;

constexpr double kThousand = 1e3;
constexpr double kMsPerSecond = 1e3;

struct writer
{
  double mPauseMs = 0;
  double mWorth = 0;
  bool mStretched = false;
};

struct candidate
{
  known_endpoint* mEndpoint = nullptr;
  double mBacklogMs = 0;
  double mFreeTokens = 0;
  double mPassMs = 0;
  std::vector<writer> mWriters;
  std::size_t mRequests = 0; ///< That write or wait there.
  bool mAvoided = false;
  bool mAway = false;
};

double
ToMs(duration aTime)
{
  return Seconds(aTime) * kMsPerSecond;
}

std::vector<writer>
WritersOf(const engine_ledger& aLedger, const engine_load& aLoad)
{
  std::vector<writer> writers;
  writers.reserve(aLoad.mWriting.size());
  for (const placement_key key : aLoad.mWriting) {
    const auto placed = aLedger.mPlacements.find(key);
    if (placed != aLedger.mPlacements.end()) {
      writers.push_back({ ToMs(placed->second.mLongestPause),
                          placed->second.mWorth,
                          placed->second.mStretched });
    }
  }
  return writers;
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
    one.mFreeTokens = aTiming.mMemoryTokens * kUsableMemory - load.mTokens;
    one.mWriters = WritersOf(aLedger, load);
    one.mRequests = RequestsOn(load, aNow);
    one.mPassMs = PassMs(aTiming,
                         static_cast<double>(one.mRequests + 1),
                         load.mTokens + aWork.mPromptTokens);
    one.mAvoided = Avoided(known, aNow);
    one.mAway = known.mListed.mDataCentre != aDataCentre;
    candidates.push_back(std::move(one));
  }
  // Engines with bad signs are left out while enough others are there.
  const std::size_t sound = static_cast<std::size_t>(std::count_if(
    candidates.begin(), candidates.end(), [](const candidate& aOne) {
      return !aOne.mAvoided;
    }));
  if (sound > 0 && sound * 2 >= candidates.size()) {
    std::erase_if(candidates,
                  [](const candidate& aOne) { return aOne.mAvoided; });
  }
  return candidates;
}

/// Worth of the streams whose pauses this reading would stretch.
double
HarmOf(const candidate& aCandidate, double aReadingMs)
{
  const double pause =
    aCandidate.mBacklogMs + aReadingMs + aCandidate.mPassMs + kPauseMarginMs;
  double harm = 0;
  for (const writer& one : aCandidate.mWriters) {
    if (!one.mStretched && one.mPauseMs < pause) {
      harm += kLostWhenLate * one.mWorth;
    }
    if (pause > std::max(kAbandonedMs, kAbandonedPauses * one.mPauseMs)) {
      harm += (1 - kLostWhenLate) * one.mWorth;
    }
  }
  return harm;
}

/// Worth that is likely lost if the first event takes this long.
double
LateCost(double aFirstMs, const engine_work& aWork)
{
  const double share = aFirstMs / ToMs(aWork.mObjective);
  if (share <= kLateFrom) {
    return 0;
  }
  const double likely = share < 1 ? (share - kLateFrom) / (1 - kLateFrom)
                                  : 1 + kLaterPenalty * (share - 1);
  return kLostWhenLate * aWork.mWorth * likely;
}

bool
HasRoom(const candidate& aCandidate,
        const engine_timing& aTiming,
        const engine_work& aWork)
{
  return aCandidate.mRequests < aTiming.mSlots &&
         aCandidate.mFreeTokens >= aWork.mPromptTokens + aWork.mAnswerTokens;
}

/// What writing a stream with tight pauses here costs beyond the moment: such
/// streams are to gather where no long prompts are read.
double
GatheringCost(const candidate& aCandidate,
              const engine_timing& aTiming,
              const engine_work& aWork)
{
  const double own = ToMs(aWork.mLongestPause);
  const bool longReading =
    aCandidate.mBacklogMs + aCandidate.mPassMs + kPauseMarginMs > own ||
    std::any_of(aCandidate.mWriters.begin(),
                aCandidate.mWriters.end(),
                [](const writer& aOne) { return aOne.mStretched; });
  if (longReading) {
    return kMixingPenalty * aWork.mWorth;
  }
  const std::size_t alike = static_cast<std::size_t>(
    std::count_if(aCandidate.mWriters.begin(),
                  aCandidate.mWriters.end(),
                  [own](const writer& aOne) { return aOne.mPauseMs <= own; }));
  if (alike == 0) {
    return kOpeningPenalty * aWork.mWorth;
  }
  const double writers = static_cast<double>(aCandidate.mRequests);
  const double gathered = kGatheredShare * aTiming.mSlots;
  if (writers > gathered) {
    return kCrowdPenalty * (writers - gathered);
  }
  return -kGatherGain * writers;
}

engine_choice
PlaceWhole(const std::vector<candidate>& aCandidates,
           const engine_timing& aTiming,
           const engine_work& aWork,
           double aReadingMs)
{
  const candidate* best = nullptr;
  std::pair<double, std::uint64_t> bestCost;
  double bestFirst = 0;
  for (const candidate& one : aCandidates) {
    const double first =
      one.mBacklogMs + aReadingMs + kPassesToFirstEvent * one.mPassMs;
    const double cost = LateCost(first, aWork) + HarmOf(one, aReadingMs) +
                        GatheringCost(one, aTiming, aWork) +
                        (HasRoom(one, aTiming, aWork) ? 0 : aWork.mWorth) +
                        (one.mAway ? kAwayPenalty : 0);
    const std::pair<double, std::uint64_t> ranked(
      cost, Hash(one.mEndpoint->mListed.mId, aWork.mOrderSeed));
    if (best == nullptr || ranked < bestCost) {
      best = &one;
      bestCost = ranked;
      bestFirst = first;
    }
  }
  engine_choice choice;
  choice.mWriter = best->mEndpoint;
  choice.mPartMs = aReadingMs;
  choice.mFirstEventMs = bestFirst;
  choice.mHarm = HarmOf(*best, aReadingMs);
  return choice;
}

struct division
{
  std::vector<const candidate*> mEngines;
  double mPartMs = 0;
  double mReadMs = 0; ///< Until the last part is read.
  double mHarm = 0;
  double mCost = std::numeric_limits<double>::infinity();
};

/// The cheapest engines for so many parts. `aDelayWeight` prices an engine's
/// backlog against harm.
division
Divide(const std::vector<candidate>& aCandidates,
       const engine_work& aWork,
       double aReadingMs,
       std::size_t aParts,
       double aDelayWeight)
{
  struct priced
  {
    double mPrice = 0;
    double mHarm = 0;
    const candidate* mCandidate = nullptr;
  };
  division made;
  made.mPartMs = aReadingMs / static_cast<double>(aParts);
  std::vector<priced> order;
  order.reserve(aCandidates.size());
  const double objective = ToMs(aWork.mObjective);
  for (const candidate& one : aCandidates) {
    const double harm = HarmOf(one, made.mPartMs);
    const double delay = (one.mBacklogMs + one.mPassMs) / objective;
    order.push_back({ harm + aDelayWeight * aWork.mWorth * delay, harm, &one });
  }
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(aParts),
                    order.end(),
                    [](const priced& aOne, const priced& aOther) {
                      return aOne.mPrice < aOther.mPrice;
                    });
  order.resize(aParts);
  double wait = 0;
  for (const priced& one : order) {
    made.mEngines.push_back(one.mCandidate);
    made.mHarm += one.mHarm;
    wait = std::max(wait, one.mCandidate->mBacklogMs);
  }
  made.mReadMs = wait + made.mPartMs;
  const double pass = order.front().mCandidate->mPassMs;
  made.mCost = made.mHarm +
               LateCost(made.mReadMs + kPassesToFirstEvent * pass, aWork) +
               aWork.mWorth * (kTimePenalty * made.mReadMs / objective +
                               kPartPenalty * static_cast<double>(aParts));
  return made;
}

division
CheapestDivision(const std::vector<candidate>& aCandidates,
                 const engine_work& aWork,
                 double aReadingMs)
{
  constexpr double kPatient = 0.15;
  constexpr double kHasty = 1;
  division best;
  const std::size_t most = std::min(kMostParts, aCandidates.size());
  for (std::size_t parts = 1; parts <= most; ++parts) {
    for (const double weight : { kPatient, kHasty }) {
      division tried = Divide(aCandidates, aWork, aReadingMs, parts, weight);
      if (tried.mCost < best.mCost) {
        best = std::move(tried);
      }
    }
  }
  return best;
}

/// The engine that keeps the prompt's memory and writes: one with room, few
/// tight streams beside it, and the most free memory.
const candidate*
ChooseWriter(const std::vector<const candidate*>& aEngines,
             const engine_timing& aTiming,
             const engine_work& aWork)
{
  const candidate* best = nullptr;
  std::tuple<bool, std::size_t, double> bestRank;
  const double own = ToMs(aWork.mLongestPause);
  for (const candidate* const one : aEngines) {
    const std::size_t tight = static_cast<std::size_t>(std::count_if(
      one->mWriters.begin(), one->mWriters.end(), [own](const writer& aOne) {
        return aOne.mPauseMs < own;
      }));
    const std::tuple<bool, std::size_t, double> rank(
      !HasRoom(*one, aTiming, aWork), tight, -one->mFreeTokens);
    if (best == nullptr || rank < bestRank) {
      best = one;
      bestRank = rank;
    }
  }
  return best;
}

/// Adds memory on readers where the writer's own does not do.
void
AddHolders(engine_choice& aChoice,
           std::vector<const candidate*>& aReaders,
           const candidate& aWriter,
           const engine_work& aWork)
{
  const double missing = aWork.mPromptTokens + aWork.mAnswerTokens -
                         std::max(0.0, aWriter.mFreeTokens);
  if (missing <= 0) {
    return;
  }
  std::sort(aReaders.begin(),
            aReaders.end(),
            [](const candidate* aOne, const candidate* aOther) {
              return aOne->mFreeTokens > aOther->mFreeTokens;
            });
  for (std::size_t holders = 1; holders <= aReaders.size(); ++holders) {
    const double each = missing / static_cast<double>(holders);
    if (aReaders[holders - 1]->mFreeTokens >= each) {
      aChoice.mHolders = holders;
      aChoice.mHolderTokens = each;
      return;
    }
  }
  aChoice.mVerdict = engine_verdict::NoMemory;
}

/// What a second of reading takes from other requests, by how busy the engines
/// are.
double
PriceOfSecond(const std::vector<candidate>& aCandidates,
              const engine_timing& aTiming)
{
  const double writers = kBusyWritersShare * aTiming.mSlots;
  const std::size_t busy = static_cast<std::size_t>(std::count_if(
    aCandidates.begin(), aCandidates.end(), [writers](const candidate& aOne) {
      return aOne.mBacklogMs > kBusyBacklogMs ||
             static_cast<double>(aOne.mRequests) >= writers;
    }));
  const double share =
    static_cast<double>(busy) / static_cast<double>(aCandidates.size());
  return kWorthOfBusySecond *
         std::clamp((share - kFreeShare) / (kBusyShare - kFreeShare), 0.0, 1.0);
}

/// Whether reading this prompt gains its caller more than it takes from the
/// callers of others.
engine_verdict
Judge(const engine_choice& aChoice, const engine_work& aWork, double aReadingMs)
{
  if (aChoice.mVerdict == engine_verdict::NoMemory) {
    return aChoice.mVerdict;
  }
  const double gain = (1 + kLostWhenRefused) * aWork.mWorth -
                      LateCost(aChoice.mFirstEventMs, aWork);
  const double taken =
    aChoice.mHarm + aChoice.mPriceOfSecond * aReadingMs / kMsPerSecond;
  return gain >= taken ? engine_verdict::Send : engine_verdict::TurnAway;
}

engine_choice
PlaceDivided(const std::vector<candidate>& aCandidates,
             const engine_timing& aTiming,
             const engine_work& aWork,
             double aReadingMs)
{
  const division chosen = CheapestDivision(aCandidates, aWork, aReadingMs);
  const candidate* const writing =
    ChooseWriter(chosen.mEngines, aTiming, aWork);
  std::vector<const candidate*> readers;
  for (const candidate* const one : chosen.mEngines) {
    if (one != writing) {
      readers.push_back(one);
    }
  }
  engine_choice choice;
  AddHolders(choice, readers, *writing, aWork);
  choice.mWriter = writing->mEndpoint;
  for (const candidate* const one : readers) {
    choice.mReaders.push_back(one->mEndpoint);
  }
  choice.mPartMs = chosen.mPartMs;
  choice.mFirstEventMs =
    chosen.mReadMs + kPassesToFirstEvent * writing->mPassMs;
  choice.mHarm = chosen.mHarm;
  choice.mPriceOfSecond = PriceOfSecond(aCandidates, aTiming);
  choice.mVerdict = Judge(choice, aWork, aReadingMs);
  return choice;
}

} // namespace

double
WorthOfWork(double aPromptTokens)
{
  return kBaseWorth + kWorthPerThousand * aPromptTokens / kThousand;
}

std::optional<engine_choice>
PlaceOnEngines(endpoint_board& aBoard,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const engine_work& aWork,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow)
{
  std::vector<candidate> candidates =
    Candidates(aBoard, aLedger, aTiming, aWork, aTried, aDataCentre, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double reading = ReadingMs(aTiming, aWork.mPromptTokens);
  if (reading <= kWholeMs) {
    return PlaceWhole(candidates, aTiming, aWork, reading);
  }
  if (aWork.mOrderSeed != 0) {
    // Engines that seem equal are not equal to others; in one order for all
    // every entry would read its long prompts on the same ones.
    const std::uint64_t seed =
      aWork.mOrderSeed + static_cast<std::uint64_t>(aWork.mPromptTokens);
    std::sort(candidates.begin(),
              candidates.end(),
              [seed](const candidate& aOne, const candidate& aOther) {
                return Hash(aOne.mEndpoint->mListed.mId, seed) <
                       Hash(aOther.mEndpoint->mListed.mId, seed);
              });
  }
  return PlaceDivided(candidates, aTiming, aWork, reading);
}

} // namespace primrose
