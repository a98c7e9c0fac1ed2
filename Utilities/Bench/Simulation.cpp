#include "Simulation.h"

#include <algorithm>
#include <map>
#include <spdlog/fmt/fmt.h>

namespace primrose::bench {

namespace {

/// An engine and the agent that schedules its work.
struct simulated_node
{
  engine_model mEngine;
  agent_state mAgent;
  /// Time of the engine step that is in the event queue.
  std::optional<time_point> mScheduledStep;
  bool mExpiryScheduled = false;
  bool mDown = false;
  /// Load as the placement baselines see it, which lags behind the real load:
  /// prompt tokens not yet prefilled, and running sequences.
  double mReportedUnreadTokens = 0;
  std::size_t mReportedRunning = 0;
};

/// A request from its arrival to its end. Place() resets the members that
/// belong to one attempt.
struct in_flight_request
{
  const arrival* mArrival = nullptr;
  std::size_t mIndex = 0;
  std::size_t mGateway = 0;
  unsigned mAttemptNumber = 0;
  std::vector<scored_candidate> mRanked;
  std::size_t mNextCandidate = 0;
  std::size_t mGroupSize = 1;
  std::vector<std::size_t> mNodes; ///< Nodes that granted or queued it.
  std::size_t mGrantedCount = 0;
  std::size_t mPrefilledParts = 0;
  bool mSubmitted = false;
  std::string mAttemptId;
  bool mFinished = false;
};

struct scheduled_event
{
  time_point mTime;
  std::uint64_t mSequenceNumber = 0;
  std::function<void()> mAction;
};

struct runs_later
{
  bool operator()(const scheduled_event& aLeft,
                  const scheduled_event& aRight) const
  {
    return std::tie(aLeft.mTime, aLeft.mSequenceNumber) >
           std::tie(aRight.mTime, aRight.mSequenceNumber);
  }
};

class simulation
{
public:
  simulation(const simulation_settings& aSettings,
             const bench_policy& aPolicy,
             const traffic_mix& aMix,
             const std::vector<arrival>& aArrivals,
             std::uint64_t aSeed);

  simulation_result Run();

private:
  void ScheduleAt(time_point aTime, std::function<void()> aAction);
  void ScheduleStep(const in_flight_request& aRequest,
                    duration aDelay,
                    void (simulation::*aStep)(in_flight_request&));
  void HandleArrival(std::size_t aIndex);
  void Place(in_flight_request& aRequest);
  void PlaceByReport(in_flight_request& aRequest);
  void PlaceByProbes(in_flight_request& aRequest);
  void HandleProbeAnswers(in_flight_request& aRequest,
                          const std::vector<std::size_t>& aProbed);
  void ReserveNext(in_flight_request& aRequest);
  void ReserveAt(in_flight_request& aRequest, std::size_t aNode);
  void HandleRefusal(in_flight_request& aRequest, refusal aReason);
  void DispatchWaitingWork(std::size_t aNode);
  void HandleGrant(in_flight_request& aRequest);
  void SubmitToEngines(in_flight_request& aRequest);
  void ScheduleEngineStep(std::size_t aNode);
  void RunEngineStep(std::size_t aNode);
  void HandleOutput(std::size_t aNode, const engine_output& aOutput);
  void HandlePrefilledPart(in_flight_request& aRequest);
  void ReleaseReservations(in_flight_request& aRequest);
  void Finish(in_flight_request& aRequest, request_outcome aOutcome);
  void ScheduleExpiry(std::size_t aNode);
  void RunExpiry(std::size_t aNode);
  void PublishLoadReports();
  void CrashEngine(std::size_t aNode);
  std::size_t LeastLoaded(const std::vector<std::size_t>& aNodes,
                          bool aByUnreadTokens);

  simulation_settings mSettings;
  bench_policy mPolicy;
  const traffic_mix& mMix;
  const std::vector<arrival>& mArrivals;
  random_engine mRandom;
  time_point mNow{};
  std::uint64_t mSequenceNumber = 0;
  std::priority_queue<scheduled_event, std::vector<scheduled_event>, runs_later>
    mEvents;
  std::vector<simulated_node> mNodes;
  std::vector<std::string> mNames;
  std::vector<placement_state> mPlacementMemories;
  std::vector<std::size_t> mRoundRobinTurns;
  std::vector<std::vector<std::size_t>> mOutstanding;
  std::vector<in_flight_request> mInFlight;
  std::map<std::string, std::size_t> mRequestOfAttempt;
  std::size_t mUnfinishedCount = 0;
  simulation_result mResult;
};

simulation::simulation(const simulation_settings& aSettings,
                       const bench_policy& aPolicy,
                       const traffic_mix& aMix,
                       const std::vector<arrival>& aArrivals,
                       std::uint64_t aSeed)
  : mSettings(aSettings)
  , mPolicy(aPolicy)
  , mMix(aMix)
  , mArrivals(aArrivals)
  , mRandom(aSeed)
  , mPlacementMemories(aSettings.mGateways)
  , mRoundRobinTurns(aSettings.mGateways)
  , mOutstanding(aSettings.mGateways,
                 std::vector<std::size_t>(aSettings.mEngines))
  , mInFlight(aArrivals.size())
  , mUnfinishedCount(aArrivals.size())
{
  mNodes.resize(aSettings.mEngines);
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    mNodes[i].mEngine = MakeEngine(aSettings.mEngine);
    // The engines started an hour ago, so their slow start is over.
    mNodes[i].mAgent = MakeAgentState("model",
                                      aSettings.mEngine,
                                      aPolicy.mLimits,
                                      mNow - std::chrono::hours(1));
    mNames.push_back(fmt::format("engine-{}", i));
  }
  for (placement_state& memory : mPlacementMemories) {
    memory.mLongPoolSize = 1;
  }
  for (std::size_t i = 0; i < mRoundRobinTurns.size(); ++i) {
    mRoundRobinTurns[i] = Below(mRandom, aSettings.mEngines);
  }
}

void
simulation::ScheduleAt(time_point aTime, std::function<void()> aAction)
{
  mEvents.push({ aTime, mSequenceNumber++, std::move(aAction) });
}

/// Schedules a step of the request's current attempt. The step is dropped if a
/// new attempt has begun by then, as a message for an abandoned attempt would
/// be.
void
simulation::ScheduleStep(const in_flight_request& aRequest,
                         duration aDelay,
                         void (simulation::*aStep)(in_flight_request&))
{
  const std::size_t index = aRequest.mIndex;
  const unsigned attempt = aRequest.mAttemptNumber;
  ScheduleAt(mNow + aDelay, [this, index, attempt, aStep]() {
    if (mInFlight[index].mAttemptNumber == attempt) {
      (this->*aStep)(mInFlight[index]);
    }
  });
}

simulation_result
simulation::Run()
{
  mResult.mRequests.resize(mArrivals.size());
  for (std::size_t i = 0; i < mArrivals.size(); ++i) {
    mResult.mRequests[i].mArrival = i;
    ScheduleAt(mArrivals[i].mTime, [this, i]() { HandleArrival(i); });
  }
  ScheduleAt(mNow, [this]() { PublishLoadReports(); });
  if (mSettings.mEngineCrashes > 0 && !mArrivals.empty()) {
    const time_point halfTime =
      time_point{} + (mArrivals.back().mTime - time_point{}) / 2;
    for (std::size_t i = 0; i < mSettings.mEngineCrashes; ++i) {
      ScheduleAt(halfTime, [this, i]() { CrashEngine(i); });
    }
  }
  while (!mEvents.empty() && mUnfinishedCount > 0) {
    const scheduled_event next = mEvents.top();
    mEvents.pop();
    mNow = next.mTime;
    next.mAction();
  }
  for (const simulated_node& node : mNodes) {
    mResult.mBusySeconds += node.mEngine.mBusySeconds;
    mResult.mLeakedTokens += node.mAgent.mUsed + node.mEngine.mUsed;
  }
  return mResult;
}

void
simulation::HandleArrival(std::size_t aIndex)
{
  in_flight_request& request = mInFlight[aIndex];
  request.mArrival = &mArrivals[aIndex];
  request.mIndex = aIndex;
  request.mGateway = Below(mRandom, mSettings.mGateways);
  request.mGroupSize = std::min(GroupSize(request.mArrival->mShape,
                                          mPolicy.mRules,
                                          mSettings.mEngine.mCapacity),
                                mSettings.mEngines);
  ScheduleAt(request.mArrival->mDeadline, [this, aIndex]() {
    in_flight_request& expired = mInFlight[aIndex];
    if (!expired.mFinished) {
      Finish(expired, request_outcome::TimedOut);
    }
  });
  Place(request);
}

void
simulation::Place(in_flight_request& aRequest)
{
  if (aRequest.mFinished) {
    return;
  }
  ++aRequest.mAttemptNumber;
  aRequest.mRanked.clear();
  aRequest.mNextCandidate = 0;
  aRequest.mNodes.clear();
  aRequest.mGrantedCount = 0;
  aRequest.mPrefilledParts = 0;
  aRequest.mSubmitted = false;
  aRequest.mAttemptId =
    fmt::format("{}.{}", aRequest.mIndex, aRequest.mAttemptNumber);
  mRequestOfAttempt[aRequest.mAttemptId] = aRequest.mIndex;
  if (mPolicy.mPlacement == placement_kind::Probing) {
    PlaceByProbes(aRequest);
  } else {
    PlaceByReport(aRequest);
  }
}

std::size_t
simulation::LeastLoaded(const std::vector<std::size_t>& aNodes,
                        bool aByUnreadTokens)
{
  const auto load = [&](std::size_t aNode) {
    const simulated_node& node = mNodes[aNode];
    return aByUnreadTokens ? node.mReportedUnreadTokens
                           : static_cast<double>(node.mReportedRunning);
  };
  std::size_t best = aNodes.front();
  std::size_t ties = 1;
  for (const std::size_t candidateNode : aNodes) {
    if (load(candidateNode) < load(best)) {
      best = candidateNode;
      ties = 1;
    } else if (load(candidateNode) == load(best) &&
               Below(mRandom, ++ties) == 0) {
      best = candidateNode;
    }
  }
  return best;
}

void
simulation::PlaceByReport(in_flight_request& aRequest)
{
  std::vector<std::size_t> available;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (!mNodes[i].mDown) {
      available.push_back(i);
    }
  }
  std::vector<std::size_t> chosen;
  while (chosen.size() < aRequest.mGroupSize && !available.empty()) {
    std::size_t pick = available.front();
    std::vector<std::size_t>& outstanding = mOutstanding[aRequest.mGateway];
    switch (mPolicy.mPlacement) {
      case placement_kind::RoundRobin:
        pick =
          available[mRoundRobinTurns[aRequest.mGateway]++ % available.size()];
        break;
      case placement_kind::LeastRequests:
        pick =
          *std::min_element(available.begin(),
                            available.end(),
                            [&](std::size_t aLeft, std::size_t aRight) {
                              return outstanding[aLeft] < outstanding[aRight];
                            });
        break;
      case placement_kind::TwoChoices:
        pick = LeastLoaded({ available[Below(mRandom, available.size())],
                             available[Below(mRandom, available.size())] },
                           false);
        break;
      default:
        pick = LeastLoaded(available, true);
        break;
    }
    chosen.push_back(pick);
    std::erase(available, pick);
  }
  std::sort(chosen.begin(), chosen.end());
  for (const std::size_t node : chosen) {
    aRequest.mRanked.push_back({ node, 0 });
  }
  ScheduleStep(aRequest, mSettings.mOneWayDelay, &simulation::ReserveNext);
}

void
simulation::PlaceByProbes(in_flight_request& aRequest)
{
  placement_rules rules = mPolicy.mRules;
  if (aRequest.mGroupSize > 1) {
    constexpr unsigned kProbesPerMember = 3;
    rules.mProbes =
      std::max(rules.mProbes,
               static_cast<unsigned>(aRequest.mGroupSize) * kProbesPerMember);
  }
  const std::vector<std::size_t> probed =
    ChooseProbeTargets(mNames,
                       aRequest.mArrival->mShape,
                       rules,
                       mPlacementMemories[aRequest.mGateway],
                       aRequest.mGroupSize,
                       mRandom);
  mResult.mProbes += probed.size();
  const unsigned attempt = aRequest.mAttemptNumber;
  ScheduleAt(mNow + mSettings.mOneWayDelay,
             [this, index = aRequest.mIndex, attempt, probed]() {
               if (mInFlight[index].mAttemptNumber == attempt) {
                 HandleProbeAnswers(mInFlight[index], probed);
               }
             });
}

void
simulation::HandleProbeAnswers(in_flight_request& aRequest,
                               const std::vector<std::size_t>& aProbed)
{
  if (aRequest.mFinished) {
    return;
  }
  const request_shape shape = MemberShape(
    aRequest.mArrival->mShape, aRequest.mGroupSize, hold_role::Lead);
  std::vector<candidate> candidates;
  for (const std::size_t node : aProbed) {
    const bool lost =
      mNodes[node].mDown || Uniform(mRandom) < mSettings.mProbeLossRate;
    if (!lost) {
      candidates.push_back({ node, Probe(mNodes[node].mAgent, shape, mNow) });
    }
  }
  UpdateLongPoolSize(mPlacementMemories[aRequest.mGateway],
                     candidates,
                     shape,
                     mPolicy.mRules,
                     mSettings.mEngine,
                     aRequest.mGroupSize,
                     mNames.size());
  aRequest.mRanked = RankCandidates(
    candidates,
    shape,
    mPolicy.mRules,
    mSettings.mEngine,
    PacksLongPrompts(
      mPolicy.mRules, mPlacementMemories[aRequest.mGateway], mNames.size()));
  if (aRequest.mRanked.size() < aRequest.mGroupSize) {
    HandleRefusal(aRequest, refusal::NoRoom);
    return;
  }
  if (aRequest.mGroupSize > 1) {
    aRequest.mRanked.resize(aRequest.mGroupSize);
    std::sort(
      aRequest.mRanked.begin(),
      aRequest.mRanked.end(),
      [](const scored_candidate& aLeft, const scored_candidate& aRight) {
        return aLeft.mIndex < aRight.mIndex;
      });
  }
  // One delay for the probe answers, one for the reservation message.
  ScheduleStep(aRequest, 2 * mSettings.mOneWayDelay, &simulation::ReserveNext);
}

void
simulation::ReserveNext(in_flight_request& aRequest)
{
  if (aRequest.mFinished) {
    return;
  }
  if (aRequest.mNextCandidate == aRequest.mRanked.size()) {
    HandleRefusal(aRequest, refusal::NoRoom);
    return;
  }
  ReserveAt(aRequest, aRequest.mRanked[aRequest.mNextCandidate++].mIndex);
}

void
simulation::ReserveAt(in_flight_request& aRequest, std::size_t aNode)
{
  ++mResult.mReservations;
  const arrival& arrived = *aRequest.mArrival;
  hold_role role = hold_role::Whole;
  if (aRequest.mGroupSize > 1) {
    role = aRequest.mNodes.empty() ? hold_role::Lead : hold_role::Member;
  }
  reservation wanted;
  wanted.mRequest = std::to_string(aRequest.mIndex);
  wanted.mAttempt = aRequest.mAttemptId;
  wanted.mShape = MemberShape(arrived.mShape, aRequest.mGroupSize, role);
  wanted.mRole = role;
  wanted.mDeadline = arrived.mDeadline;
  const duration remaining = arrived.mDeadline - mNow;
  const double wait = wanted.mShape.mLong ? mSettings.mLongQueueWaitSeconds
                                          : mSettings.mQueueWaitSeconds;
  wanted.mWaitUntil = mNow + std::min(remaining, FromSeconds(wait));
  wanted.mLease = std::chrono::hours(1);
  wanted.mWeight = mMix.mOrganisations[arrived.mOrganisation].mShareWeight;
  if (mPolicy.mPlacement != placement_kind::Probing) {
    wanted.mWaitUntil = arrived.mDeadline;
  }
  const refusal reason = mNodes[aNode].mDown
                           ? refusal::EngineDown
                           : Reserve(mNodes[aNode].mAgent, wanted, mNow);
  if (reason != refusal::None) {
    const std::size_t candidatesLeft =
      aRequest.mRanked.size() - aRequest.mNextCandidate;
    if (candidatesLeft + aRequest.mNodes.size() < aRequest.mGroupSize) {
      HandleRefusal(aRequest, reason);
      return;
    }
    ScheduleStep(
      aRequest, 2 * mSettings.mOneWayDelay, &simulation::ReserveNext);
    return;
  }
  aRequest.mNodes.push_back(aNode);
  ++mOutstanding[aRequest.mGateway][aNode];
  DispatchWaitingWork(aNode);
  ScheduleExpiry(aNode);
}

/// Ends a failed attempt. Retries after a back-off, or refuses the request at
/// once if no attempt is left or the deadline cannot be met.
void
simulation::HandleRefusal(in_flight_request& aRequest, refusal aReason)
{
  ReleaseReservations(aRequest);
  const unsigned attempts =
    aRequest.mArrival->mShape.mLong ? mPolicy.mLongAttempts : mPolicy.mAttempts;
  const bool retry =
    aReason != refusal::TooLate && aRequest.mAttemptNumber < attempts;
  if (!retry) {
    Finish(aRequest, request_outcome::Refused);
    return;
  }
  const duration backoff = RetryBackoff(
    aRequest.mAttemptNumber, std::chrono::milliseconds(50), mRandom);
  ScheduleStep(aRequest, backoff, &simulation::Place);
}

void
simulation::DispatchWaitingWork(std::size_t aNode)
{
  for (const std::string& attempt : Dispatch(mNodes[aNode].mAgent, mNow)) {
    HandleGrant(mInFlight[mRequestOfAttempt.at(attempt)]);
  }
}

void
simulation::HandleGrant(in_flight_request& aRequest)
{
  ++aRequest.mGrantedCount;
  if (aRequest.mGrantedCount < aRequest.mGroupSize) {
    ScheduleStep(
      aRequest, 2 * mSettings.mOneWayDelay, &simulation::ReserveNext);
    return;
  }
  ScheduleStep(
    aRequest, 2 * mSettings.mOneWayDelay, &simulation::SubmitToEngines);
}

void
simulation::SubmitToEngines(in_flight_request& aRequest)
{
  if (aRequest.mFinished || aRequest.mGrantedCount < aRequest.mGroupSize) {
    return;
  }
  aRequest.mSubmitted = true;
  const arrival& arrived = *aRequest.mArrival;
  const double parts = static_cast<double>(aRequest.mGroupSize);
  for (std::size_t i = 0; i < aRequest.mNodes.size(); ++i) {
    simulated_node& node = mNodes[aRequest.mNodes[i]];
    if (!StartPrefill(node.mAgent, aRequest.mAttemptId, mNow)) {
      HandleRefusal(aRequest, refusal::Cancelled);
      return;
    }
    engine_job job;
    job.mId = aRequest.mAttemptId;
    job.mPromptTokens = arrived.mShape.mPromptTokens;
    job.mOutputTokens = arrived.mOutput;
    job.mReserveTokens = node.mAgent.mWork.at(aRequest.mAttemptId)
                           .mReservation.mShape.MemoryTokens();
    job.mPrefixHashes = aRequest.mGroupSize > 1 ? std::vector<std::uint64_t>()
                                                : arrived.mShape.mPrefixHashes;
    job.mPrefillPart = 1 / (1 + kGroupEfficiency * (parts - 1));
    job.mGroupPart = aRequest.mGroupSize > 1;
    constexpr unsigned kLongStep = 4;
    job.mPriority =
      !mPolicy.mEnginePriorities
        ? 0
        : arrived.mShape.mPriority + (arrived.mShape.mLong ? kLongStep : 0);
    Submit(node.mEngine, job, mNow);
    ScheduleEngineStep(aRequest.mNodes[i]);
  }
}

void
simulation::ScheduleEngineStep(std::size_t aNode)
{
  simulated_node& node = mNodes[aNode];
  if (!node.mEngine.mStepEnds ||
      node.mScheduledStep == node.mEngine.mStepEnds) {
    return;
  }
  node.mScheduledStep = node.mEngine.mStepEnds;
  ScheduleAt(*node.mScheduledStep, [this, aNode]() { RunEngineStep(aNode); });
}

void
simulation::RunEngineStep(std::size_t aNode)
{
  simulated_node& node = mNodes[aNode];
  if (node.mScheduledStep != mNow) {
    return;
  }
  node.mScheduledStep.reset();
  for (const engine_output& output : Advance(node.mEngine, mNow)) {
    HandleOutput(aNode, output);
  }
  DispatchWaitingWork(aNode);
  ScheduleEngineStep(aNode);
}

void
simulation::HandleOutput(std::size_t aNode, const engine_output& aOutput)
{
  in_flight_request& request = mInFlight[mRequestOfAttempt.at(aOutput.mId)];
  if (request.mFinished || request.mAttemptId != aOutput.mId) {
    return;
  }
  if (aOutput.mPartPrefilled) {
    RecordFirstToken(mNodes[aNode].mAgent, request.mAttemptId, mNow);
    HandlePrefilledPart(request);
    return;
  }
  request_record& record = mResult.mRequests[request.mIndex];
  if (aOutput.mIndex == 0) {
    RecordFirstToken(mNodes[aNode].mAgent, request.mAttemptId, mNow);
    record.mSecondsToFirstToken =
      Seconds(mNow + mSettings.mOneWayDelay - request.mArrival->mTime);
  }
  if (aOutput.mLast) {
    Finish(request, request_outcome::Complete);
  }
}

void
simulation::HandlePrefilledPart(in_flight_request& aRequest)
{
  ++aRequest.mPrefilledParts;
  if (aRequest.mPrefilledParts < aRequest.mGroupSize) {
    return;
  }
  const std::size_t lead = aRequest.mNodes.front();
  BeginDecoding(mNodes[lead].mEngine, aRequest.mAttemptId, mNow);
  ScheduleEngineStep(lead);
}

void
simulation::ReleaseReservations(in_flight_request& aRequest)
{
  const std::vector<std::size_t> nodes = std::move(aRequest.mNodes);
  aRequest.mNodes.clear();
  aRequest.mGrantedCount = 0;
  for (const std::size_t node : nodes) {
    Cancel(mNodes[node].mEngine, aRequest.mAttemptId);
    Release(mNodes[node].mAgent, aRequest.mAttemptId, mNow);
    --mOutstanding[aRequest.mGateway][node];
  }
  for (const std::size_t node : nodes) {
    DispatchWaitingWork(node);
  }
}

void
simulation::Finish(in_flight_request& aRequest, request_outcome aOutcome)
{
  aRequest.mFinished = true;
  --mUnfinishedCount;
  ReleaseReservations(aRequest);
  request_record& record = mResult.mRequests[aRequest.mIndex];
  record.mOutcome = aOutcome;
  record.mSecondsToEnd =
    Seconds(mNow + mSettings.mOneWayDelay - aRequest.mArrival->mTime);
  record.mSecondsToRefusal =
    aOutcome == request_outcome::Refused ? record.mSecondsToEnd : 0;
}

void
simulation::ScheduleExpiry(std::size_t aNode)
{
  simulated_node& node = mNodes[aNode];
  const std::optional<time_point> next = NextExpiry(node.mAgent);
  if (node.mExpiryScheduled || !next) {
    return;
  }
  node.mExpiryScheduled = true;
  // Checks at least every 100 ms while anything can expire. A check that finds
  // nothing expired has no effect.
  constexpr duration kMinInterval = std::chrono::milliseconds(20);
  ScheduleAt(
    std::max(mNow + kMinInterval, std::min(*next, mNow + 5 * kMinInterval)),
    [this, aNode]() { RunExpiry(aNode); });
}

void
simulation::RunExpiry(std::size_t aNode)
{
  simulated_node& node = mNodes[aNode];
  node.mExpiryScheduled = false;
  for (const expired_reservation& item : Expire(node.mAgent, mNow)) {
    in_flight_request& request = mInFlight[mRequestOfAttempt.at(item.mAttempt)];
    if (!request.mFinished && request.mAttemptId == item.mAttempt) {
      HandleRefusal(request, refusal::NoRoom);
    }
  }
  DispatchWaitingWork(aNode);
  ScheduleExpiry(aNode);
}

/// Takes the load reports that the placement baselines use. A report becomes
/// visible after the report lag; then the next one is taken.
void
simulation::PublishLoadReports()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const simulated_node& node = mNodes[i];
    double unread = PendingPrefillTokens(node.mEngine);
    std::size_t running = node.mEngine.mJobs.size();
    for (const auto& [attempt, work] : node.mAgent.mWork) {
      if (work.mStage == reservation_stage::Waiting ||
          work.mStage == reservation_stage::Granted) {
        unread += static_cast<double>(work.mReservation.mShape.mPromptTokens);
        ++running;
      }
    }
    ScheduleAt(mNow + mSettings.mLoadReportLag, [this, i, unread, running]() {
      mNodes[i].mReportedUnreadTokens = unread;
      mNodes[i].mReportedRunning = running;
    });
  }
  ScheduleAt(mNow + mSettings.mLoadReportLag,
             [this]() { PublishLoadReports(); });
}

void
simulation::CrashEngine(std::size_t aNode)
{
  simulated_node& node = mNodes[aNode];
  node.mDown = true;
  node.mAgent.mEngineUp = false;
  std::vector<std::size_t> affectedRequests;
  for (const auto& [attempt, work] : node.mAgent.mWork) {
    affectedRequests.push_back(mRequestOfAttempt.at(attempt));
  }
  node.mEngine = MakeEngine(mSettings.mEngine);
  node.mScheduledStep.reset();
  for (const std::size_t index : affectedRequests) {
    if (!mInFlight[index].mFinished) {
      HandleRefusal(mInFlight[index], refusal::EngineDown);
    }
  }
  constexpr duration kDowntime = std::chrono::seconds(60);
  ScheduleAt(mNow + kDowntime, [this, aNode]() {
    mNodes[aNode].mDown = false;
    mNodes[aNode].mAgent.mEngineUp = true;
    mNodes[aNode].mAgent.mStarted = mNow;
    mNodes[aNode].mAgent.mCache.Clear();
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
  simulation run(aSettings, aPolicy, aMix, aArrivals, aSeed);
  return run.Run();
}

} // namespace primrose::bench
