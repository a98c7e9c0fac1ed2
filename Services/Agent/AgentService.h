#pragma once

/// The agent process: every request to its endpoint passes through it. It calls
/// the scheduler's functions on RPC calls and timers, and carries out their
/// results as requests to the engine.

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

  /// Starts the loops that poll the engine and cancel orphaned streams.
  void Start();
  /// Refuses new work. The constructor's `aDrained` is called once nothing is
  /// in flight.
  void Drain();
  std::size_t InFlight() const;
  json Status() const;
  std::string Metrics();
  bool IsReady() const;
  bool IsOperator(const std::string& aKey) const;

  // Called by the RPC servers (see AgentServer.cpp).
  kj::Promise<refusal> Reserve(const reservation& aReservation);
  probe_answer Probe(const request_shape& aShape);
  kj::Promise<stream_end> RunOnEngine(const std::string& aAttempt,
                                      engine_request aRequest,
                                      engine_client::chunk_handler aHandler);
  kj::Promise<stream_end> HoldMemberMemory(const std::string& aAttempt);
  bool RenewReservation(const std::string& aAttempt);
  /// Releases the attempt's reservation, and cancels the attempt at the engine
  /// if it was submitted there.
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
  agent_state mBoard;
  std::function<void()> mDrained;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<refusal>>> mWaiting;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<stream_end>>>
    mAbortFulfillers;
  /// Attempts submitted to the engine that it has not finished.
  std::set<std::string> mSubmittedAttempts;
  /// Ids that the engine lists but this agent does not track, each with the
  /// number of consecutive lists that had it.
  std::map<std::string, unsigned> mOrphanSightings;
  unsigned mMissedPolls = 0;
  std::uint64_t mSteps = 0;
  std::uint64_t mEventNumber = 0;
  kj::Maybe<kj::Promise<void>> mTimer;
  task_failure_logger mFailures;
  kj::TaskSet mTasks{ mFailures };
};

} // namespace primrose::agent
