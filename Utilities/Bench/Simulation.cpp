#include "Simulation.h"

#include <algorithm>
#include <map>
#include <spdlog/fmt/fmt.h>

namespace primrose::bench {

namespace {

/// One engine with its agent.
struct site
{
  engine_model mEngine;
  agent_state mBoard;
  std::optional<time_point> mWake; ///< The step event that is scheduled.
  bool mExpirySet = false;
  bool mDown = false;
  /// What a lagging report says: unread tokens and running sequences.
  double mReportedUnread = 0;
  std::size_t mReportedRunning = 0;
};

/// A request on its way.
struct flight
{
  const arrival* mArrival = nullptr;
  std::size_t mIndex = 0;
  std::size_t mEntry = 0;
  unsigned mAttempts = 0;
  std::vector<scored_candidate> mRanked;
  std::size_t mNext = 0;
  std::size_t mGroup = 1;
  std::vector<std::size_t> mSites; ///< Where it has or waits for a place.
  std::size_t mGranted = 0;
  std::size_t mPartsRead = 0;
  bool mSubmitted = false;
  std::string mAttempt;
  bool mOver = false;
};

struct scheduled
{
  time_point mAt;
  std::uint64_t mOrder = 0;
  std::function<void()> mAct;
};

struct later
{
  bool operator()(const scheduled& aLeft, const scheduled& aRight) const
  {
    return std::tie(aLeft.mAt, aLeft.mOrder) >
           std::tie(aRight.mAt, aRight.mOrder);
  }
};

class world
{
public:
  world(const simulation_settings& aSettings,
        const bench_policy& aPolicy,
        const traffic_mix& aMix,
        const std::vector<arrival>& aArrivals,
        std::uint64_t aSeed);

  simulation_result Run();

private:
  void At(time_point aTime, std::function<void()> aAct);
  void Later(const flight& aFlight,
             duration aDelay,
             void (world::*aStep)(flight&));
  void Arrive(std::size_t aIndex);
  void Place(flight& aFlight);
  void PlaceByReport(flight& aFlight);
  void PlaceByProbes(flight& aFlight);
  void TakeAnswers(flight& aFlight, const std::vector<std::size_t>& aAsked);
  void ReserveNext(flight& aFlight);
  void ReserveAt(flight& aFlight, std::size_t aSite);
  void Refused(flight& aFlight, refusal aWhy);
  void Dispatched(std::size_t aSite);
  void Granted(flight& aFlight);
  void SubmitAll(flight& aFlight);
  void Wake(std::size_t aSite);
  void StepDone(std::size_t aSite);
  void TakeOutput(std::size_t aSite, const engine_output& aOutput);
  void PartRead(flight& aFlight);
  void ReleaseAll(flight& aFlight);
  void End(flight& aFlight, request_outcome aEnd);
  void SetExpiry(std::size_t aSite);
  void RunExpiry(std::size_t aSite);
  void Report();
  void Kill(std::size_t aSite);
  std::size_t LeastOf(const std::vector<std::size_t>& aSites, bool aByUnread);

  simulation_settings mSettings;
  bench_policy mPolicy;
  const traffic_mix& mMix;
  const std::vector<arrival>& mArrivals;
  random_engine mRandom;
  time_point mNow{};
  std::uint64_t mOrder = 0;
  std::priority_queue<scheduled, std::vector<scheduled>, later> mQueue;
  std::vector<site> mSites;
  std::vector<std::string> mNames;
  std::vector<placement_state> mMemories;
  std::vector<std::size_t> mTurns;
  std::vector<std::vector<std::size_t>> mOutstanding;
  std::vector<flight> mFlights;
  std::map<std::string, std::size_t> mByAttempt;
  std::size_t mOpen = 0;
  simulation_result mResult;
};

world::world(const simulation_settings& aSettings,
             const bench_policy& aPolicy,
             const traffic_mix& aMix,
             const std::vector<arrival>& aArrivals,
             std::uint64_t aSeed)
  : mSettings(aSettings)
  , mPolicy(aPolicy)
  , mMix(aMix)
  , mArrivals(aArrivals)
  , mRandom(aSeed)
  , mMemories(aSettings.mEntries)
  , mTurns(aSettings.mEntries)
  , mOutstanding(aSettings.mEntries,
                 std::vector<std::size_t>(aSettings.mEngines))
  , mFlights(aArrivals.size())
  , mOpen(aArrivals.size())
{
  mSites.resize(aSettings.mEngines);
  for (std::size_t i = 0; i < mSites.size(); ++i) {
    mSites[i].mEngine = MakeEngine(aSettings.mEngine);
    // A warmed up fleet: slow start is over.
    mSites[i].mBoard = MakeAgentState("model",
                                      aSettings.mEngine,
                                      aPolicy.mLimits,
                                      mNow - std::chrono::hours(1));
    mNames.push_back(fmt::format("engine-{}", i));
  }
  for (placement_state& memory : mMemories) {
    memory.mLongPoolSize = 1;
  }
  for (std::size_t i = 0; i < mTurns.size(); ++i) {
    mTurns[i] = Below(mRandom, aSettings.mEngines);
  }
}

void
world::At(time_point aTime, std::function<void()> aAct)
{
  mQueue.push({ aTime, mOrder++, std::move(aAct) });
}

/// A step of an attempt, after a delay; dropped if the flight has been placed
/// anew meanwhile, as a message to an attempt that was given up would be.
void
world::Later(const flight& aFlight,
             duration aDelay,
             void (world::*aStep)(flight&))
{
  const std::size_t index = aFlight.mIndex;
  const unsigned attempt = aFlight.mAttempts;
  At(mNow + aDelay, [this, index, attempt, aStep]() {
    if (mFlights[index].mAttempts == attempt) {
      (this->*aStep)(mFlights[index]);
    }
  });
}

simulation_result
world::Run()
{
  mResult.mRequests.resize(mArrivals.size());
  for (std::size_t i = 0; i < mArrivals.size(); ++i) {
    mResult.mRequests[i].mArrival = i;
    At(mArrivals[i].mAt, [this, i]() { Arrive(i); });
  }
  At(mNow, [this]() { Report(); });
  if (mSettings.mEngineCrashes > 0 && !mArrivals.empty()) {
    const time_point middle =
      time_point{} + (mArrivals.back().mAt - time_point{}) / 2;
    for (std::size_t i = 0; i < mSettings.mEngineCrashes; ++i) {
      At(middle, [this, i]() { Kill(i); });
    }
  }
  while (!mQueue.empty() && mOpen > 0) {
    const scheduled next = mQueue.top();
    mQueue.pop();
    mNow = next.mAt;
    next.mAct();
  }
  for (const site& one : mSites) {
    mResult.mBusySeconds += one.mEngine.mBusySeconds;
    mResult.mLeakedTokens += one.mBoard.mUsed + one.mEngine.mUsed;
  }
  return mResult;
}

void
world::Arrive(std::size_t aIndex)
{
  flight& own = mFlights[aIndex];
  own.mArrival = &mArrivals[aIndex];
  own.mIndex = aIndex;
  own.mEntry = Below(mRandom, mSettings.mEntries);
  own.mGroup = std::min(GroupSize(own.mArrival->mShape,
                                  mPolicy.mRules,
                                  mSettings.mEngine.mCapacity),
                        mSettings.mEngines);
  At(own.mArrival->mDeadline, [this, aIndex]() {
    flight& late = mFlights[aIndex];
    if (!late.mOver) {
      End(late, request_outcome::Late);
    }
  });
  Place(own);
}

void
world::Place(flight& aFlight)
{
  if (aFlight.mOver) {
    return;
  }
  ++aFlight.mAttempts;
  aFlight.mRanked.clear();
  aFlight.mNext = 0;
  aFlight.mSites.clear();
  aFlight.mGranted = 0;
  aFlight.mPartsRead = 0;
  aFlight.mSubmitted = false;
  aFlight.mAttempt = fmt::format("{}.{}", aFlight.mIndex, aFlight.mAttempts);
  mByAttempt[aFlight.mAttempt] = aFlight.mIndex;
  if (mPolicy.mPlacement == placement_kind::Probing) {
    PlaceByProbes(aFlight);
  } else {
    PlaceByReport(aFlight);
  }
}

std::size_t
world::LeastOf(const std::vector<std::size_t>& aSites, bool aByUnread)
{
  const auto load = [&](std::size_t aSite) {
    const site& one = mSites[aSite];
    return aByUnread ? one.mReportedUnread
                     : static_cast<double>(one.mReportedRunning);
  };
  std::size_t best = aSites.front();
  std::size_t ties = 1;
  for (const std::size_t one : aSites) {
    if (load(one) < load(best)) {
      best = one;
      ties = 1;
    } else if (load(one) == load(best) && Below(mRandom, ++ties) == 0) {
      best = one;
    }
  }
  return best;
}

void
world::PlaceByReport(flight& aFlight)
{
  std::vector<std::size_t> left;
  for (std::size_t i = 0; i < mSites.size(); ++i) {
    if (!mSites[i].mDown) {
      left.push_back(i);
    }
  }
  std::vector<std::size_t> chosen;
  while (chosen.size() < aFlight.mGroup && !left.empty()) {
    std::size_t pick = left.front();
    std::vector<std::size_t>& outstanding = mOutstanding[aFlight.mEntry];
    switch (mPolicy.mPlacement) {
      case placement_kind::RoundRobin:
        pick = left[mTurns[aFlight.mEntry]++ % left.size()];
        break;
      case placement_kind::LeastRequests:
        pick = *std::min_element(
          left.begin(), left.end(), [&](std::size_t aLeft, std::size_t aRight) {
            return outstanding[aLeft] < outstanding[aRight];
          });
        break;
      case placement_kind::TwoChoices:
        pick = LeastOf({ left[Below(mRandom, left.size())],
                         left[Below(mRandom, left.size())] },
                       false);
        break;
      default:
        pick = LeastOf(left, true);
        break;
    }
    chosen.push_back(pick);
    std::erase(left, pick);
  }
  std::sort(chosen.begin(), chosen.end());
  for (const std::size_t one : chosen) {
    aFlight.mRanked.push_back({ one, 0 });
  }
  Later(aFlight, mSettings.mOneWayDelay, &world::ReserveNext);
}

void
world::PlaceByProbes(flight& aFlight)
{
  placement_rules rules = mPolicy.mRules;
  if (aFlight.mGroup > 1) {
    constexpr unsigned kProbesPerMember = 3;
    rules.mProbes = std::max(
      rules.mProbes, static_cast<unsigned>(aFlight.mGroup) * kProbesPerMember);
  }
  const std::vector<std::size_t> asked =
    ChooseProbeTargets(mNames,
                       aFlight.mArrival->mShape,
                       rules,
                       mMemories[aFlight.mEntry],
                       aFlight.mGroup,
                       mRandom);
  mResult.mProbes += asked.size();
  const unsigned attempt = aFlight.mAttempts;
  At(mNow + mSettings.mOneWayDelay,
     [this, index = aFlight.mIndex, attempt, asked]() {
       if (mFlights[index].mAttempts == attempt) {
         TakeAnswers(mFlights[index], asked);
       }
     });
}

void
world::TakeAnswers(flight& aFlight, const std::vector<std::size_t>& aAsked)
{
  if (aFlight.mOver) {
    return;
  }
  const request_shape shape =
    MemberShape(aFlight.mArrival->mShape, aFlight.mGroup, hold_role::Lead);
  std::vector<candidate> candidates;
  for (const std::size_t one : aAsked) {
    const bool lost =
      mSites[one].mDown || Uniform(mRandom) < mSettings.mProbeLossRate;
    if (!lost) {
      candidates.push_back({ one, Probe(mSites[one].mBoard, shape, mNow) });
    }
  }
  UpdateLongPoolSize(mMemories[aFlight.mEntry],
                     candidates,
                     shape,
                     mPolicy.mRules,
                     mSettings.mEngine,
                     aFlight.mGroup,
                     mNames.size());
  aFlight.mRanked = RankCandidates(
    candidates,
    shape,
    mPolicy.mRules,
    mSettings.mEngine,
    PacksLongPrompts(mPolicy.mRules, mMemories[aFlight.mEntry], mNames.size()));
  if (aFlight.mRanked.size() < aFlight.mGroup) {
    Refused(aFlight, refusal::NoRoom);
    return;
  }
  if (aFlight.mGroup > 1) {
    aFlight.mRanked.resize(aFlight.mGroup);
    std::sort(
      aFlight.mRanked.begin(),
      aFlight.mRanked.end(),
      [](const scored_candidate& aLeft, const scored_candidate& aRight) {
        return aLeft.mIndex < aRight.mIndex;
      });
  }
  // The answers' way back and the reservation's way there.
  Later(aFlight, 2 * mSettings.mOneWayDelay, &world::ReserveNext);
}

void
world::ReserveNext(flight& aFlight)
{
  if (aFlight.mOver) {
    return;
  }
  if (aFlight.mNext == aFlight.mRanked.size()) {
    Refused(aFlight, refusal::NoRoom);
    return;
  }
  ReserveAt(aFlight, aFlight.mRanked[aFlight.mNext++].mIndex);
}

void
world::ReserveAt(flight& aFlight, std::size_t aSite)
{
  ++mResult.mReservations;
  const arrival& own = *aFlight.mArrival;
  hold_role role = hold_role::Whole;
  if (aFlight.mGroup > 1) {
    role = aFlight.mSites.empty() ? hold_role::Lead : hold_role::Member;
  }
  reservation asked;
  asked.mRequest = std::to_string(aFlight.mIndex);
  asked.mAttempt = aFlight.mAttempt;
  asked.mShape = MemberShape(own.mShape, aFlight.mGroup, role);
  asked.mRole = role;
  asked.mDeadline = own.mDeadline;
  const duration remaining = own.mDeadline - mNow;
  const double wait = asked.mShape.mLong ? mSettings.mLongQueueWaitSeconds
                                         : mSettings.mQueueWaitSeconds;
  asked.mWaitUntil = mNow + std::min(remaining, FromSeconds(wait));
  asked.mLease = std::chrono::hours(1);
  asked.mWeight = mMix.mOrganisations[own.mOrganisation].mShareWeight;
  if (mPolicy.mPlacement != placement_kind::Probing) {
    asked.mWaitUntil = own.mDeadline;
  }
  const refusal answer = mSites[aSite].mDown
                           ? refusal::EngineDown
                           : Reserve(mSites[aSite].mBoard, asked, mNow);
  if (answer != refusal::None) {
    const std::size_t left = aFlight.mRanked.size() - aFlight.mNext;
    if (left + aFlight.mSites.size() < aFlight.mGroup) {
      Refused(aFlight, answer);
      return;
    }
    Later(aFlight, 2 * mSettings.mOneWayDelay, &world::ReserveNext);
    return;
  }
  aFlight.mSites.push_back(aSite);
  ++mOutstanding[aFlight.mEntry][aSite];
  Dispatched(aSite);
  SetExpiry(aSite);
}

/// A failed try: again after a pause, or the caller is told at once.
void
world::Refused(flight& aFlight, refusal aWhy)
{
  ReleaseAll(aFlight);
  const unsigned attempts =
    aFlight.mArrival->mShape.mLong ? mPolicy.mLongAttempts : mPolicy.mAttempts;
  const bool again = aWhy != refusal::TooLate && aFlight.mAttempts < attempts;
  if (!again) {
    End(aFlight, request_outcome::Refused);
    return;
  }
  const duration pause =
    RetryBackoff(aFlight.mAttempts, std::chrono::milliseconds(50), mRandom);
  Later(aFlight, pause, &world::Place);
}

void
world::Dispatched(std::size_t aSite)
{
  for (const std::string& attempt : Dispatch(mSites[aSite].mBoard, mNow)) {
    Granted(mFlights[mByAttempt.at(attempt)]);
  }
}

void
world::Granted(flight& aFlight)
{
  ++aFlight.mGranted;
  if (aFlight.mGranted < aFlight.mGroup) {
    Later(aFlight, 2 * mSettings.mOneWayDelay, &world::ReserveNext);
    return;
  }
  Later(aFlight, 2 * mSettings.mOneWayDelay, &world::SubmitAll);
}

void
world::SubmitAll(flight& aFlight)
{
  if (aFlight.mOver || aFlight.mGranted < aFlight.mGroup) {
    return;
  }
  aFlight.mSubmitted = true;
  const arrival& own = *aFlight.mArrival;
  const double parts = static_cast<double>(aFlight.mGroup);
  for (std::size_t i = 0; i < aFlight.mSites.size(); ++i) {
    site& one = mSites[aFlight.mSites[i]];
    if (!StartPrefill(one.mBoard, aFlight.mAttempt, mNow)) {
      Refused(aFlight, refusal::Cancelled);
      return;
    }
    engine_job job;
    job.mId = aFlight.mAttempt;
    job.mPromptTokens = own.mShape.mPromptTokens;
    job.mOutputTokens = own.mOutput;
    job.mReserveTokens =
      one.mBoard.mWork.at(aFlight.mAttempt).mReservation.mShape.MemoryTokens();
    job.mPrefixHashes = aFlight.mGroup > 1 ? std::vector<std::uint64_t>()
                                           : own.mShape.mPrefixHashes;
    job.mPrefillPart = 1 / (1 + kGroupEfficiency * (parts - 1));
    job.mGroupPart = aFlight.mGroup > 1;
    constexpr unsigned kLongStep = 4;
    job.mPriority =
      !mPolicy.mEnginePriorities
        ? 0
        : own.mShape.mPriority + (own.mShape.mLong ? kLongStep : 0);
    Submit(one.mEngine, job, mNow);
    Wake(aFlight.mSites[i]);
  }
}

void
world::Wake(std::size_t aSite)
{
  site& one = mSites[aSite];
  if (!one.mEngine.mStepEnds || one.mWake == one.mEngine.mStepEnds) {
    return;
  }
  one.mWake = one.mEngine.mStepEnds;
  At(*one.mWake, [this, aSite]() { StepDone(aSite); });
}

void
world::StepDone(std::size_t aSite)
{
  site& one = mSites[aSite];
  if (one.mWake != mNow) {
    return;
  }
  one.mWake.reset();
  for (const engine_output& output : Advance(one.mEngine, mNow)) {
    TakeOutput(aSite, output);
  }
  Dispatched(aSite);
  Wake(aSite);
}

void
world::TakeOutput(std::size_t aSite, const engine_output& aOutput)
{
  flight& own = mFlights[mByAttempt.at(aOutput.mId)];
  if (own.mOver || own.mAttempt != aOutput.mId) {
    return;
  }
  if (aOutput.mPartPrefilled) {
    RecordFirstToken(mSites[aSite].mBoard, own.mAttempt, mNow);
    PartRead(own);
    return;
  }
  request_record& record = mResult.mRequests[own.mIndex];
  if (aOutput.mIndex == 0) {
    RecordFirstToken(mSites[aSite].mBoard, own.mAttempt, mNow);
    record.mSecondsToFirstToken =
      Seconds(mNow + mSettings.mOneWayDelay - own.mArrival->mAt);
  }
  if (aOutput.mLast) {
    End(own, request_outcome::Complete);
  }
}

void
world::PartRead(flight& aFlight)
{
  ++aFlight.mPartsRead;
  if (aFlight.mPartsRead < aFlight.mGroup) {
    return;
  }
  const std::size_t lead = aFlight.mSites.front();
  BeginDecoding(mSites[lead].mEngine, aFlight.mAttempt, mNow);
  Wake(lead);
}

void
world::ReleaseAll(flight& aFlight)
{
  const std::vector<std::size_t> sites = std::move(aFlight.mSites);
  aFlight.mSites.clear();
  aFlight.mGranted = 0;
  for (const std::size_t one : sites) {
    Cancel(mSites[one].mEngine, aFlight.mAttempt);
    Release(mSites[one].mBoard, aFlight.mAttempt, mNow);
    --mOutstanding[aFlight.mEntry][one];
  }
  for (const std::size_t one : sites) {
    Dispatched(one);
  }
}

void
world::End(flight& aFlight, request_outcome aEnd)
{
  aFlight.mOver = true;
  --mOpen;
  ReleaseAll(aFlight);
  request_record& record = mResult.mRequests[aFlight.mIndex];
  record.mEnd = aEnd;
  record.mSecondsToEnd =
    Seconds(mNow + mSettings.mOneWayDelay - aFlight.mArrival->mAt);
  record.mSecondsToRefusal =
    aEnd == request_outcome::Refused ? record.mSecondsToEnd : 0;
}

void
world::SetExpiry(std::size_t aSite)
{
  site& one = mSites[aSite];
  const std::optional<time_point> next = NextExpiry(one.mBoard);
  if (one.mExpirySet || !next) {
    return;
  }
  one.mExpirySet = true;
  // Looked at often enough; a look too many does nothing.
  constexpr duration kLook = std::chrono::milliseconds(20);
  At(std::max(mNow + kLook, std::min(*next, mNow + 5 * kLook)),
     [this, aSite]() { RunExpiry(aSite); });
}

void
world::RunExpiry(std::size_t aSite)
{
  site& one = mSites[aSite];
  one.mExpirySet = false;
  for (const expired_reservation& item : Expire(one.mBoard, mNow)) {
    flight& own = mFlights[mByAttempt.at(item.mAttempt)];
    if (!own.mOver && own.mAttempt == item.mAttempt) {
      Refused(own, refusal::NoRoom);
    }
  }
  Dispatched(aSite);
  SetExpiry(aSite);
}

/// The reports that baselines see: made now, seen after the lag.
void
world::Report()
{
  for (std::size_t i = 0; i < mSites.size(); ++i) {
    const site& one = mSites[i];
    double unread = PendingPrefillTokens(one.mEngine);
    std::size_t running = one.mEngine.mJobs.size();
    for (const auto& [attempt, work] : one.mBoard.mWork) {
      if (work.mStage == reservation_stage::Waiting ||
          work.mStage == reservation_stage::Granted) {
        unread += static_cast<double>(work.mReservation.mShape.mPromptTokens);
        ++running;
      }
    }
    At(mNow + mSettings.mLoadReportLag, [this, i, unread, running]() {
      mSites[i].mReportedUnread = unread;
      mSites[i].mReportedRunning = running;
    });
  }
  At(mNow + mSettings.mLoadReportLag, [this]() { Report(); });
}

void
world::Kill(std::size_t aSite)
{
  site& one = mSites[aSite];
  one.mDown = true;
  one.mBoard.mEngineUp = false;
  std::vector<std::size_t> victims;
  for (const auto& [attempt, work] : one.mBoard.mWork) {
    victims.push_back(mByAttempt.at(attempt));
  }
  one.mEngine = MakeEngine(mSettings.mEngine);
  one.mWake.reset();
  for (const std::size_t victim : victims) {
    if (!mFlights[victim].mOver) {
      Refused(mFlights[victim], refusal::EngineDown);
    }
  }
  constexpr duration kDownFor = std::chrono::seconds(60);
  At(mNow + kDownFor, [this, aSite]() {
    mSites[aSite].mDown = false;
    mSites[aSite].mBoard.mEngineUp = true;
    mSites[aSite].mBoard.mStarted = mNow;
    mSites[aSite].mBoard.mCache.Clear();
  });
}

} // namespace

simulation_result
RunSimulation(const simulation_settings& aSettings,
              const bench_policy& aPolicy,
              const traffic_mix& aMix,
              const std::vector<arrival>& aArrivals,
              std::uint64_t aSeed)
{
  world one(aSettings, aPolicy, aMix, aArrivals, aSeed);
  return one.Run();
}

} // namespace primrose::bench
