#pragma once

/// Handles one call to a plain service: chooses an endpoint, sends the call to
/// its agent, retries, and answers the caller.

#include "AgentPool.h"
#include "RequestParser.h"

#include <memory>

namespace primrose::entry {

class call_run : public std::enable_shared_from_this<call_run>
{
public:
  call_run(const clock_source& aClock,
           entry_state& aState,
           agent_pool& aPool,
           id_maker& aIds,
           std::shared_ptr<http_exchange> aExchange,
           call_request aRequest);
  ~call_run();
  call_run(const call_run&) = delete;
  call_run& operator=(const call_run&) = delete;

  /// Resolves once the caller is answered, by the deadline at the latest.
  kj::Promise<void> Run();

private:
  kj::Promise<void> StartAttempt();
  kj::Promise<void> Send(const std::string& aEndpoint,
                         wire::Agent::Client aAgent);
  kj::Promise<void> RetryOrFail(failure aFailure);
  void ReturnAnswer(wire::CallAnswer::Reader aAnswer);
  void FinishWithFailure(failure aFailure);
  std::string ChooseEndpoint() const;
  duration RemainingTime() const;

  const clock_source& mClock;
  entry_state& mBoard;
  agent_pool& mPool;
  id_maker& mIds;
  std::shared_ptr<http_exchange> mExchange;
  call_request mRequest;
  time_point mStarted;
  std::vector<std::string> mTried;
  /// Whether the call ran at an endpoint, as far as the agents' answers show.
  ran_state mRan = ran_state::No;
  unsigned mAttempts = 0;
  bool mFinished = false;
};

} // namespace primrose::entry
