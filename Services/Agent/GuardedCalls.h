#pragma once

/// Calls of plain services, the guarded ones at most once: claims their keys
/// in the platform's table (see LibDecision/Claims.h) and runs what is held.

#include "LibDaemon/LibDaemon.h"
#include "LibDecision/LibDecision.h"
#include "LibHttp/LibHttp.h"
#include "LibObserve/LibObserve.h"
#include "LibStore/LibStore.h"
#include "LibWire/LibWire.h"

#include <map>

namespace primrose::agent {

/// A call as it came from an entry.
struct service_call
{
  std::string mRequest;
  std::string mAttempt;
  std::string mOrganisation;
  std::string mService;
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  bool mGuarded = false;
  std::string mKey;
  time_point mDeadline;

  bool operator==(const service_call&) const = default;
};

struct service_answer
{
  unsigned mStatus = 0;
  std::string mContentType;
  std::string mBody;
  ran_state mRan = ran_state::No;
  bool mReplayed = false;
  std::optional<error_kind> mError;
  std::string mMessage;

  bool operator==(const service_answer&) const = default;
};

class guarded_calls
{
public:
  guarded_calls(const clock_source& aClock,
                http_client& aHttp,
                table_client& aStore,
                metrics& aMetrics,
                std::string aAgent,
                std::string aEndpoint);

  /// Never fails; ends at the call's deadline at the latest.
  kj::Promise<service_answer> Run(service_call aCall);
  std::size_t InFlight() const { return mInFlight; }
  /// True while outcomes have not been written to the store.
  bool HasUnwrittenOutcomes() const { return !mBoard.mResults.empty(); }

private:
  kj::Promise<service_answer> RunGuarded(service_call aCall);
  kj::Promise<service_answer> ContinueAfterClaim(service_call aCall);
  kj::Promise<service_answer> Taken(service_call aCall);
  kj::Promise<service_answer> Send(const service_call& aCall);
  kj::Promise<void> WaitForClaim(const std::string& aAttempt,
                                 time_point aDeadline);
  service_answer NotRun(const service_call& aCall);
  void ProcessStoreQueue();
  void WriteDueClaims();
  void ReadDueClaims();
  void WakeWaiters();

  const clock_source& mClock;
  http_client& mHttp;
  table_client& mStore;
  metrics& mMetrics;
  std::string mEndpoint;
  random_engine mRandom;
  claim_board mBoard;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<void>>> mWaiters;
  kj::Maybe<kj::Promise<void>> mTimer;
  std::size_t mInFlight = 0;
  task_failures mFailures;
  kj::TaskSet mTasks{ mFailures };
};

/// What tells two requests with one key apart: method, path and body.
std::uint64_t
RequestHash(const service_call& aCall);

} // namespace primrose::agent
