#include "AgentService.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::agent {

namespace {

constexpr duration kEnginePollInterval = std::chrono::milliseconds(500);
constexpr duration kReconcileInterval = std::chrono::seconds(1);
/// Looks without an answer before the engine counts as down: one lost answer
/// must not empty an engine's queue.
constexpr unsigned kMissedPollsUntilDown = 3;
/// Looks at which a stranger must be seen before it is cancelled: a stream can
/// be new here while the list was on its way.
constexpr unsigned kOrphanSightingsBeforeCancel = 3;
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
  mBoard = MakeAgentBoard(aSettings.mServes,
                          model == nullptr ? engine_shape{} : ShapeOf(*model),
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
  return mEngine.Steps()
    .then([this](std::optional<std::uint64_t> aSteps) {
      ApplyEnginePoll(aSteps);
      return mEngine.FetchCachedPrefixes(mEventNumber);
    })
    .then([this](std::vector<std::uint64_t> aMarks) {
      for (const std::uint64_t mark : aMarks) {
        // Events come late and with gaps; they only add to what we saw.
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
    .then([this]() { return mEngine.List(); })
    .then([this](std::optional<std::set<std::string>> aListed) {
      if (aListed) {
        CancelOrphans(*aListed);
      }
      return Reconcile();
    });
}

/// What holds memory in the engine and is not ours was left by an agent that
/// died here, or by a cancel that was lost; nobody else would ever free it.
void
agent_service::CancelOrphans(const std::set<std::string>& aListed)
{
  std::map<std::string, unsigned> strangers;
  for (const std::string& id : aListed) {
    if (mBoard.mWork.contains(id) || id.empty()) {
      continue;
    }
    const auto seen = mOrphanSightings.find(id);
    strangers[id] = seen == mOrphanSightings.end() ? 1 : seen->second + 1;
  }
  mOrphanSightings = std::move(strangers);
  for (const auto& [id, looks] : mOrphanSightings) {
    if (looks >= kOrphanSightingsBeforeCancel) {
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
    // A lost cancel is made good by the next reconciliations.
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
agent_service::Probe(const work_shape& aShape)
{
  mMetrics.Count("primrose_probes_total");
  return primrose::Probe(mBoard, aShape, mClock.Now());
}

kj::Promise<refusal>
agent_service::Reserve(const reservation& aReservation)
{
  const refusal now = primrose::Reserve(mBoard, aReservation, mClock.Now());
  if (now != refusal::None) {
    mMetrics.Count(
      Labelled("primrose_refusals_total", "reason", RefusalName(now)));
    return now;
  }
  const std::string attempt = aReservation.mAttempt;
  kj::PromiseFulfillerPair<refusal> pair =
    kj::newPromiseAndFulfiller<refusal>();
  mWaiting.insert_or_assign(attempt, kj::mv(pair.fulfiller));
  DispatchWaiting();
  return pair.promise.attach(kj::defer([this, attempt]() {
    if (mWaiting.erase(attempt) > 0) {
      // The entry went away, or gave up, while its work waited.
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
  // Waiting work can become due by reading alone, without any event here.
  constexpr duration kLongestSleep = std::chrono::milliseconds(20);
  duration sleep = std::max(duration(0), *next - mClock.Now());
  if (!mWaiting.empty()) {
    sleep = std::min(sleep, kLongestSleep);
  }
  mTimer =
    Delay(sleep)
      .then([this]() {
        mTasks.add(kj::evalLater([this]() { EndExpiredReservations(); }));
      })
      .eagerlyEvaluate(nullptr);
}

void
agent_service::EndExpiredReservations()
{
  for (const expired_work& item : Expire(mBoard, mClock.Now())) {
    Log(log_level::Warning,
        "work_expired",
        { { "request", item.mRequest },
          { "attempt", item.mAttempt },
          { "cause", ExpiryName(item.mCause) } });
    mMetrics.Count(
      Labelled("primrose_expired_total", "cause", ExpiryName(item.mCause)));
    const auto waiting = mWaiting.find(item.mAttempt);
    if (waiting != mWaiting.end()) {
      const refusal why = item.mCause == expiry_cause::WaitOver
                            ? refusal::NoRoom
                            : refusal::TooLate;
      waiting->second->fulfill(kj::cp(why));
      mWaiting.erase(waiting);
    }
    const auto abort = mAbortFulfillers.find(item.mAttempt);
    if (abort != mAbortFulfillers.end()) {
      stream_end end;
      end.mRan = ran_state::Unknown;
      end.mProblem = std::string(ExpiryName(item.mCause));
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
  if (!StartReading(mBoard, aAttempt, mClock.Now())) {
    stream_end end;
    end.mProblem = "the reservation is gone";
    return end;
  }
  const work_shape& shape = mBoard.mWork.at(aAttempt).mReservation.mShape;
  aRequest.mId = aAttempt;
  aRequest.mMaxTokens = shape.mMaxTokens;
  // Short prompts are read before long ones, whatever their class: a long
  // prompt loses little by it, a short one would lose all.
  aRequest.mPriority =
    shape.mPriority + (shape.mLong ? kLongPromptPriorityOffset : 0);
  mSubmittedAttempts.insert(aAttempt);
  kj::PromiseFulfillerPair<stream_end> abort =
    kj::newPromiseAndFulfiller<stream_end>();
  mAbortFulfillers.insert_or_assign(aAttempt, kj::mv(abort.fulfiller));
  const engine_client::chunk_handler noting =
    [this, aAttempt, aHandler](std::uint64_t aIndex, std::string aText) {
      if (aIndex == 0) {
        NoteFirstToken(mBoard, aAttempt, mClock.Now());
        DispatchWaiting();
      }
      return aHandler(aIndex, std::move(aText));
    };
  return mEngine.Run(std::move(aRequest), noting)
    .then([this, aAttempt](stream_end aEnd) {
      if (aEnd.mComplete || aEnd.mRan == ran_state::No) {
        mSubmittedAttempts.erase(aAttempt);
      }
      if (aEnd.mUnreachable && mBoard.mEngineUp) {
        // Refused until a look succeeds: the regular looks would notice only
        // after a second and a half, and every request until then would fail.
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
  if (!StartReading(mBoard, aAttempt, mClock.Now())) {
    stream_end end;
    end.mProblem = "the reservation is gone";
    return end;
  }
  const tokens need = mBoard.mWork.at(aAttempt).mReservation.mShape.Need();
  mSubmittedAttempts.insert(aAttempt);
  return mEngine.Hold(aAttempt, need).then([this, aAttempt](bool aHeld) {
    stream_end end;
    end.mComplete = aHeld;
    end.mProblem = aHeld ? "" : "the engine did not hold the memory";
    NoteFirstToken(mBoard, aAttempt, mClock.Now());
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
  const bool over =
    mBoard.mLeaving && InFlight() == 0 && !mCalls.HasUnwrittenOutcomes();
  if (!over || !mDrained) {
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
                     { "tokens", held.mReservation.mShape.Need() } });
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
           { "slowness", mBoard.mSlowness },
           { "calls_in_flight", mCalls.InFlight() },
           { "work", work } };
}

std::string
agent_service::Metrics()
{
  const stream_traffic traffic = TrafficSoFar();
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
