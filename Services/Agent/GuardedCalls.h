#pragma once

/// Runs calls of plain services. A guarded call runs at most once: its
/// Idempotency-Key is claimed in the platform's table (see
/// LibDecision/Claims.h) and the call is sent to the endpoint only while this
/// agent holds the claim.

#include "LibDaemon/LibDaemon.h"
#include "LibDecision/LibDecision.h"
#include "LibHttp/LibHttp.h"
#include "LibObserve/LibObserve.h"
#include "LibStore/LibStore.h"
#include "LibWire/LibWire.h"

#include <map>

namespace primrose::agent {

/// A call as received from an entry.
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

  /// The promise never fails, and resolves by the call's deadline at the
  /// latest.
  kj::Promise<service_answer> Run(service_call aCall);
  std::size_t InFlight() const { return mInFlight; }
  /// True while some outcomes are not written to the store yet.
  bool HasUnwrittenOutcomes() const { return !mBoard.mResults.empty(); }

private:
  kj::Promise<service_answer> RunGuarded(service_call aCall);
  kj::Promise<service_answer> ContinueAfterClaim(service_call aCall);
  kj::Promise<service_answer> AnswerFromExistingClaim(service_call aCall);
  kj::Promise<service_answer> Send(const service_call& aCall);
  kj::Promise<void> WaitForClaim(const std::string& aAttempt,
                                 time_point aDeadline);
  service_answer NotRunAnswer(const service_call& aCall);
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
  claim_registry mBoard;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<void>>> mWaiters;
  kj::Maybe<kj::Promise<void>> mTimer;
  std::size_t mInFlight = 0;
  task_failure_logger mFailures;
  kj::TaskSet mTasks{ mFailures };
};

/// Hash of method, path and body: detects a different request that is sent with
/// an Idempotency-Key already in use.
std::uint64_t
RequestHash(const service_call& aCall);

} // namespace primrose::agent
