#pragma once

/// The agent: the only way to its endpoint. It turns RPC calls and timers into
/// the scheduler's functions and their results into engine requests.

#include "EngineClient.h"
#include "GuardedCalls.h"

#include "LibRules/LibRules.h"

namespace primrose::agent {

class agent_service
{
public:
  agent_service(const clock_source& aClock,
                const node_settings& aSettings,
                const settings_tree& aTree,
                std::function<void()> aDrained);

  /// Starts the loops that watch the endpoint.
  void Start();
  /// Refuses new work; `aDrained` is called when nothing is in flight.
  void Drain();
  std::size_t InFlight() const;
  json Status() const;
  std::string Metrics();
  bool IsReady() const;
  bool IsOperator(const std::string& aKey) const;

  // For the RPC servers of this agent.
  kj::Promise<refusal> Reserve(const reservation& aReservation);
  probe_answer Probe(const work_shape& aShape);
  kj::Promise<stream_end> RunOnEngine(const std::string& aAttempt,
                                      engine_request aRequest,
                                      engine_client::chunk_handler aHandler);
  kj::Promise<stream_end> HoldMemberMemory(const std::string& aAttempt);
  bool RenewReservation(const std::string& aAttempt);
  /// Frees the attempt and cancels it at the engine if it was given to it.
  void ReleaseReservation(const std::string& aAttempt);
  kj::Promise<service_answer> Call(service_call aCall);
  time_point Now() const { return mClock.Now(); }
  const std::string& EngineAddress() const { return mEngine.Address(); }
  bool IsRpcKeyValid(const std::string& aKey) const;
  bool IsDraining() const { return mBoard.mLeaving; }

private:
  void DispatchWaiting();
  void SetExpiryTimer();
  void EndExpiredReservations();
  void CheckDrained();
  kj::Promise<void> PollEngine();
  kj::Promise<void> Reconcile();
  void ApplyEnginePoll(std::optional<std::uint64_t> aSteps);
  void CancelOrphans(const std::set<std::string>& aListed);
  void CancelAtEngine(const std::string& aAttempt);

  const clock_source& mClock;
  node_settings mSettings;
  metrics mMetrics;
  http_client mHttp;
  engine_client mEngine;
  table_client mStore;
  guarded_calls mCalls;
  agent_board mBoard;
  std::function<void()> mDrained;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<refusal>>> mWaiting;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<stream_end>>>
    mAbortFulfillers;
  /// Streams given to the engine, until the engine has ended them.
  std::set<std::string> mSubmittedAttempts;
  /// Ids seen at the engine that are not ours, with the number of looks.
  std::map<std::string, unsigned> mOrphanSightings;
  unsigned mMissedPolls = 0;
  std::uint64_t mSteps = 0;
  std::uint64_t mEventNumber = 0;
  kj::Maybe<kj::Promise<void>> mTimer;
  task_failures mFailures;
  kj::TaskSet mTasks{ mFailures };
};

} // namespace primrose::agent
