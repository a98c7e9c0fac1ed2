#include "AgentService.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::agent {

namespace {

constexpr duration kEnginePollInterval = std::chrono::milliseconds(500);
constexpr duration kReconcileInterval = std::chrono::seconds(1);
/// Consecutive polls without an answer until the engine counts as down. More
/// than one, because a single lost answer must not empty the engine's queue.
constexpr unsigned kMissedPollsUntilDown = 3;
/// Consecutive lists in which an orphan must appear before it is cancelled: a
/// stream can be new to this agent while a list is on its way.
constexpr unsigned kOrphanSightingsBeforeCancel = 3;
/// Added to a long prompt's priority at the engine, which puts it behind the
/// priorities 0 to 3 of short prompts.
constexpr unsigned kLongPromptPriorityOffset = 4;

} // namespace

agent_service::agent_service(const clock_source& aClock,
                             const node_settings& aSettings,
                             const settings_tree& aTree,
                             std::function<void()> aDrained)
  : mClock(aClock)
  , mSettings(aSettings)
  , mEngine(mHttp, aSettings.mEndpoint)
  , mStore(mHttp, aSettings.mPlatform)
  , mCalls(mClock,
           mHttp,
           mStore,
           mMetrics,
           aSettings.mName,
           aSettings.mEndpoint)
  , mDrained(std::move(aDrained))
{
  const model_settings* const model = aTree.Model(aSettings.mServes);
  mBoard =
    MakeAgentState(aSettings.mServes,
                   model == nullptr ? engine_shape{} : EngineShapeFor(*model),
                   LimitsOf(aTree.Resolve({})),
                   aClock.Now());
}

void
agent_service::Start()
{
  if (mSettings.mIsEngine) {
    mBoard.mEngineUp = false;
    mTasks.add(PollEngine());
    mTasks.add(Reconcile());
  }
}

kj::Promise<void>
agent_service::PollEngine()
{
  return mEngine.FetchStepCount()
    .then([this](std::optional<std::uint64_t> aSteps) {
      ApplyEnginePoll(aSteps);
      return mEngine.FetchCachedPrefixes(mEventNumber);
    })
    .then([this](std::vector<std::uint64_t> aMarks) {
      for (const std::uint64_t mark : aMarks) {
        // Cache events arrive late and with gaps, so they only add entries.
        mBoard.mCache.Insert({ mark });
      }
      return Delay(kEnginePollInterval);
    })
    .then([this]() { return PollEngine(); });
}

void
agent_service::ApplyEnginePoll(std::optional<std::uint64_t> aSteps)
{
  if (!aSteps) {
    ++mMissedPolls;
    if (mMissedPolls == kMissedPollsUntilDown && mBoard.mEngineUp) {
      mBoard.mEngineUp = false;
      Log(log_level::Error, "engine_down", { { "looks", mMissedPolls } });
    }
    return;
  }
  mMissedPolls = 0;
  const bool restarted = *aSteps < mSteps;
  mSteps = *aSteps;
  if (restarted) {
    mBoard.mCache.Clear();
    mEventNumber = 0;
  }
  if (!mBoard.mEngineUp || restarted) {
    mBoard.mEngineUp = true;
    mBoard.mStarted = mClock.Now();
    Log(log_level::Info, "engine_up", { { "restarted", restarted } });
    DispatchWaiting();
  }
}

kj::Promise<void>
agent_service::Reconcile()
{
  return Delay(kReconcileInterval)
    .then([this]() { return mEngine.ListMemoryHolders(); })
    .then([this](std::optional<std::set<std::string>> aListed) {
      if (aListed) {
        CancelOrphans(*aListed);
      }
      return Reconcile();
    });
}

/// Cancels streams and memory holds that the engine lists but this agent does
/// not track. They are left over from an earlier agent process that crashed, or
/// from a lost cancel, and nothing else would ever free their memory.
void
agent_service::CancelOrphans(const std::set<std::string>& aListed)
{
  std::map<std::string, unsigned> sightings;
  for (const std::string& id : aListed) {
    if (mBoard.mWork.contains(id) || id.empty()) {
      continue;
    }
    const auto seen = mOrphanSightings.find(id);
    sightings[id] = seen == mOrphanSightings.end() ? 1 : seen->second + 1;
  }
  mOrphanSightings = std::move(sightings);
  for (const auto& [id, count] : mOrphanSightings) {
    if (count >= kOrphanSightingsBeforeCancel) {
      Log(log_level::Warning, "stranger_cancelled", { { "attempt", id } });
      mMetrics.Count("primrose_strangers_cancelled_total");
      CancelAtEngine(id);
    }
  }
}

void
agent_service::CancelAtEngine(const std::string& aAttempt)
{
  mTasks.add(mEngine.Cancel(aAttempt).then([aAttempt](bool aDone) {
    // After a lost cancel, the next reconciliations cancel the attempt as an
    // orphan.
    if (!aDone) {
      Log(log_level::Warning, "cancel_lost", { { "attempt", aAttempt } });
    }
  }));
}

bool
agent_service::IsRpcKeyValid(const std::string& aKey) const
{
  return KeyHash(aKey) == KeyHash(mSettings.mRpcKey);
}

bool
agent_service::IsOperator(const std::string& aKey) const
{
  return !aKey.empty() && KeyHash(aKey) == mSettings.mOperatorKeyHash;
}

probe_answer
agent_service::Probe(const request_shape& aShape)
{
  mMetrics.Count("primrose_probes_total");
  return primrose::Probe(mBoard, aShape, mClock.Now());
}

kj::Promise<refusal>
agent_service::Reserve(const reservation& aReservation)
{
  const refusal immediate =
    primrose::Reserve(mBoard, aReservation, mClock.Now());
  if (immediate != refusal::None) {
    mMetrics.Count(
      Labelled("primrose_refusals_total", "reason", RefusalName(immediate)));
    return immediate;
  }
  const std::string attempt = aReservation.mAttempt;
  kj::PromiseFulfillerPair<refusal> pair =
    kj::newPromiseAndFulfiller<refusal>();
  mWaiting.insert_or_assign(attempt, kj::mv(pair.fulfiller));
  DispatchWaiting();
  return pair.promise.attach(kj::defer([this, attempt]() {
    if (mWaiting.erase(attempt) > 0) {
      // The entry cancelled the call or disconnected while its reservation
      // waited in the queue.
      Release(mBoard, attempt, mClock.Now());
      DispatchWaiting();
    }
  }));
}

void
agent_service::DispatchWaiting()
{
  for (const std::string& attempt : Dispatch(mBoard, mClock.Now())) {
    const auto waiting = mWaiting.find(attempt);
    if (waiting == mWaiting.end()) {
      Release(mBoard, attempt, mClock.Now());
      continue;
    }
    kj::Own<kj::PromiseFulfiller<refusal>> fulfiller = kj::mv(waiting->second);
    mWaiting.erase(waiting);
    fulfiller->fulfill(refusal::None);
  }
  SetExpiryTimer();
  CheckDrained();
}

void
agent_service::SetExpiryTimer()
{
  const std::optional<time_point> next = NextExpiry(mBoard);
  if (!next) {
    mTimer = nullptr;
    return;
  }
  // A waiting reservation can become admissible merely because the engine's
  // prefill advances, which causes no event in this process. While any
  // reservation waits, the scheduler is therefore run at this interval.
  constexpr duration kMaxDelayWhileWaiting = std::chrono::milliseconds(20);
  duration delay = std::max(duration(0), *next - mClock.Now());
  if (!mWaiting.empty()) {
    delay = std::min(delay, kMaxDelayWhileWaiting);
  }
  mTimer =
    Delay(delay)
      .then([this]() {
        mTasks.add(kj::evalLater([this]() { EndExpiredReservations(); }));
      })
      .eagerlyEvaluate(nullptr);
}

void
agent_service::EndExpiredReservations()
{
  for (const expired_reservation& item : Expire(mBoard, mClock.Now())) {
    Log(log_level::Warning,
        "work_expired",
        { { "request", item.mRequest },
          { "attempt", item.mAttempt },
          { "cause", ExpiryCauseName(item.mCause) } });
    mMetrics.Count(Labelled(
      "primrose_expired_total", "cause", ExpiryCauseName(item.mCause)));
    const auto waiting = mWaiting.find(item.mAttempt);
    if (waiting != mWaiting.end()) {
      const refusal reason = item.mCause == expiry_cause::WaitExpired
                               ? refusal::NoRoom
                               : refusal::TooLate;
      waiting->second->fulfill(kj::cp(reason));
      mWaiting.erase(waiting);
    }
    const auto abort = mAbortFulfillers.find(item.mAttempt);
    if (abort != mAbortFulfillers.end()) {
      stream_end end;
      end.mRan = ran_state::Unknown;
      end.mProblem = std::string(ExpiryCauseName(item.mCause));
      abort->second->fulfill(kj::mv(end));
    }
    if (mSubmittedAttempts.erase(item.mAttempt) > 0) {
      CancelAtEngine(item.mAttempt);
    }
  }
  DispatchWaiting();
}

kj::Promise<stream_end>
agent_service::RunOnEngine(const std::string& aAttempt,
                           engine_request aRequest,
                           engine_client::chunk_handler aHandler)
{
  if (!StartPrefill(mBoard, aAttempt, mClock.Now())) {
    stream_end end;
    end.mProblem = "the reservation is gone";
    return end;
  }
  const request_shape& shape = mBoard.mWork.at(aAttempt).mReservation.mShape;
  aRequest.mId = aAttempt;
  aRequest.mMaxTokens = shape.mMaxTokens;
  // The engine prefills short prompts before long ones, whatever their
  // priority class: the delay is small compared with a long prompt's own
  // prefill time, but would be most of a short prompt's latency.
  aRequest.mPriority =
    shape.mPriority + (shape.mLong ? kLongPromptPriorityOffset : 0);
  mSubmittedAttempts.insert(aAttempt);
  kj::PromiseFulfillerPair<stream_end> abort =
    kj::newPromiseAndFulfiller<stream_end>();
  mAbortFulfillers.insert_or_assign(aAttempt, kj::mv(abort.fulfiller));
  const engine_client::chunk_handler recordingHandler =
    [this, aAttempt, aHandler](std::uint64_t aIndex, std::string aText) {
      if (aIndex == 0) {
        RecordFirstToken(mBoard, aAttempt, mClock.Now());
        DispatchWaiting();
      }
      return aHandler(aIndex, std::move(aText));
    };
  return mEngine.Run(std::move(aRequest), recordingHandler)
    .then([this, aAttempt](stream_end aEnd) {
      if (aEnd.mComplete || aEnd.mRan == ran_state::No) {
        mSubmittedAttempts.erase(aAttempt);
      }
      if (aEnd.mUnreachable && mBoard.mEngineUp) {
        // Marks the engine as down until a poll succeeds. The regular polls
        // would detect it only after 1.5 seconds, and every request placed
        // here until then would fail.
        mBoard.mEngineUp = false;
        Log(log_level::Error, "engine_down", { { "attempt", aAttempt } });
      }
      return aEnd;
    })
    .exclusiveJoin(kj::mv(abort.promise))
    .attach(
      kj::defer([this, aAttempt]() { mAbortFulfillers.erase(aAttempt); }));
}

kj::Promise<stream_end>
agent_service::HoldMemberMemory(const std::string& aAttempt)
{
  if (!StartPrefill(mBoard, aAttempt, mClock.Now())) {
    stream_end end;
    end.mProblem = "the reservation is gone";
    return end;
  }
  const tokens need =
    mBoard.mWork.at(aAttempt).mReservation.mShape.MemoryTokens();
  mSubmittedAttempts.insert(aAttempt);
  return mEngine.HoldMemory(aAttempt, need).then([this, aAttempt](bool aHeld) {
    stream_end end;
    end.mComplete = aHeld;
    end.mProblem = aHeld ? "" : "the engine did not hold the memory";
    RecordFirstToken(mBoard, aAttempt, mClock.Now());
    return end;
  });
}

bool
agent_service::RenewReservation(const std::string& aAttempt)
{
  return Renew(mBoard, aAttempt, mClock.Now());
}

void
agent_service::ReleaseReservation(const std::string& aAttempt)
{
  if (mSubmittedAttempts.erase(aAttempt) > 0) {
    CancelAtEngine(aAttempt);
  }
  Release(mBoard, aAttempt, mClock.Now());
  DispatchWaiting();
}

kj::Promise<service_answer>
agent_service::Call(service_call aCall)
{
  return mCalls.Run(std::move(aCall)).attach(kj::defer([this]() {
    mTasks.add(kj::evalLater([this]() { CheckDrained(); }));
  }));
}

void
agent_service::Drain()
{
  if (mBoard.mLeaving) {
    return;
  }
  Log(log_level::Info, "drain_started", { { "in_flight", InFlight() } });
  for (const std::string& attempt : StartDrain(mBoard)) {
    const auto waiting = mWaiting.find(attempt);
    if (waiting != mWaiting.end()) {
      waiting->second->fulfill(refusal::Leaving);
      mWaiting.erase(waiting);
    }
  }
  CheckDrained();
}

std::size_t
agent_service::InFlight() const
{
  return mBoard.mWork.size() + mCalls.InFlight();
}

void
agent_service::CheckDrained()
{
  const bool finished =
    mBoard.mLeaving && InFlight() == 0 && !mCalls.HasUnwrittenOutcomes();
  if (!finished || !mDrained) {
    return;
  }
  Log(log_level::Info, "drain_finished", {});
  const std::function<void()> drained = std::move(mDrained);
  mDrained = nullptr;
  drained();
}

bool
agent_service::IsReady() const
{
  return !mBoard.mLeaving && (!mSettings.mIsEngine || mBoard.mEngineUp);
}

json
agent_service::Status() const
{
  json work = json::array();
  for (const auto& [attempt, held] : mBoard.mWork) {
    constexpr const char* kStages[] = {
      "waiting", "granted", "reading", "writing"
    };
    work.push_back({ { "attempt", attempt },
                     { "stage", kStages[static_cast<int>(held.mStage)] },
                     { "organisation", held.mReservation.mShape.mOrganisation },
                     { "tokens", held.mReservation.mShape.MemoryTokens() } });
  }
  return { { "name", mSettings.mName },
           { "role", "agent" },
           { "region", mSettings.mRegion },
           { "data_centre", mSettings.mDataCentre },
           { "serves", mSettings.mServes },
           { "leaving", mBoard.mLeaving },
           { "endpoint_up", !mSettings.mIsEngine || mBoard.mEngineUp },
           { "capacity_tokens", mBoard.mShape.mCapacity },
           { "used_tokens", mBoard.mUsed },
           { "slowness", mBoard.mPrefillSlowdown },
           { "calls_in_flight", mCalls.InFlight() },
           { "work", work } };
}

std::string
agent_service::Metrics()
{
  const stream_traffic traffic = TotalTraffic();
  mMetrics.Set("primrose_rpc_sent_bytes", static_cast<double>(traffic.mSent));
  mMetrics.Set("primrose_rpc_received_bytes",
               static_cast<double>(traffic.mReceived));
  mMetrics.Set("primrose_used_tokens", static_cast<double>(mBoard.mUsed));
  mMetrics.Set("primrose_capacity_tokens",
               static_cast<double>(mBoard.mShape.mCapacity));
  mMetrics.Set("primrose_in_flight", static_cast<double>(InFlight()));
  return mMetrics.Exposition();
}

} // namespace primrose::agent
