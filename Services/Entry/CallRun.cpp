#include "CallRun.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

call_run::call_run(const clock_source& aClock,
                   entry_state& aState,
                   agent_pool& aPool,
                   id_maker& aIds,
                   std::shared_ptr<http_exchange> aExchange,
                   call_request aRequest)
  : mClock(aClock)
  , mBoard(aState)
  , mPool(aPool)
  , mIds(aIds)
  , mExchange(std::move(aExchange))
  , mRequest(std::move(aRequest))
  , mStarted(aClock.Now())
{
  ++mBoard.mInFlight;
}

call_run::~call_run()
{
  --mBoard.mInFlight;
}

duration
call_run::RemainingTime() const
{
  return std::max(duration(0), mRequest.mHead.mDeadline - mClock.Now());
}

kj::Promise<void>
call_run::Run()
{
  const std::shared_ptr<call_run> self = shared_from_this();
  kj::Promise<void> deadlineReached = Delay(RemainingTime()).then([this]() {
    FinishWithFailure({ error_kind::DeadlineExceeded,
                        "the time limit was reached",
                        mRan,
                        std::nullopt });
  });
  // NOTE: A plain call is not cancelled when the caller closes its connection:
  // it may have run already, and the outcome of a guarded call must be stored
  // for a retry with the same key.
  return StartAttempt()
    .exclusiveJoin(kj::mv(deadlineReached))
    .attach(kj::defer([self]() {}));
}

/// Chooses an endpoint by rendezvous hashing of the Idempotency-Key (or of the
/// request id if there is none). Repeats of a guarded call thus reach the same
/// agent, which saves a read of the store. This is only an optimisation: the
/// claim row is what keeps a guarded call from running twice.
std::string
call_run::ChooseEndpoint() const
{
  const std::string key =
    mRequest.mKey.empty() ? mRequest.mHead.mId : mRequest.mKey;
  std::string preferred;
  std::uint64_t preferredWeight = 0;
  for (const endpoint_view* const view :
       Usable(mBoard.mDirectory, mRequest.mHead.mPath.mService, mClock.Now())) {
    const std::string& name = view->mListed.mName;
    const bool tried =
      std::find(mTried.begin(), mTried.end(), name) != mTried.end();
    const std::uint64_t weight = RendezvousWeight(key, name);
    if (!tried && (preferred.empty() || weight > preferredWeight)) {
      preferred = name;
      preferredWeight = weight;
    }
  }
  return preferred;
}

kj::Promise<void>
call_run::StartAttempt()
{
  ++mAttempts;
  const std::string endpoint = ChooseEndpoint();
  const std::shared_ptr<agent_connection> connection =
    endpoint.empty() ? nullptr : mPool.ConnectionTo(endpoint);
  if (connection == nullptr) {
    mTried.clear();
    return RetryOrFail(
      { error_kind::NoEndpoint,
        fmt::format("no endpoint serves \"{}\"", mRequest.mHead.mPath.mService),
        mRan,
        1.0 });
  }
  mTried.push_back(endpoint);
  RecordDecision(mBoard,
                 mClock,
                 mRequest.mHead.mId,
                 decision_kind::Place,
                 fmt::format("{} by the key's order", endpoint),
                 mRequest.mHead.mPath,
                 { "attempts" });
  return connection->Get()
    .then([this, endpoint](wire::Agent::Client aAgent) {
      return Send(endpoint, aAgent);
    })
    .catch_([this, endpoint](kj::Exception&& aException) {
      RecordFailure(mBoard.mDirectory, endpoint, mClock.Now(), mBoard.mRandom);
      return RetryOrFail({ error_kind::EndpointFailed,
                           aException.getDescription().cStr(),
                           mRan,
                           std::nullopt });
    })
    .attach(connection);
}

kj::Promise<void>
call_run::Send(const std::string& aEndpoint, wire::Agent::Client aAgent)
{
  auto request = aAgent.callRequest();
  wire::Call::Builder call = request.initCall();
  call.setRequest(mRequest.mHead.mId);
  call.setAttempt(mIds.Next());
  call.setOrganisation(mRequest.mHead.mPath.mOrganisation);
  call.setService(mRequest.mHead.mPath.mService);
  call.setMethod(mRequest.mMethod);
  call.setPath(mRequest.mServicePath);
  call.setContentType(mRequest.mContentType);
  call.setBody(DataOf(mRequest.mBody));
  call.setGuarded(mRequest.mGuarded);
  call.setKey(mRequest.mKey);
  call.setRemainingMs(RemainingToWire(RemainingTime()));
  const ran_state ranBefore = mRan;
  mRan = ran_state::Unknown;
  return request.send().then(
    [this, ranBefore, aEndpoint](
      capnp::Response<wire::Agent::CallResults> aResponse)
      -> kj::Promise<void> {
      const wire::CallAnswer::Reader answer = aResponse.getAnswer();
      if (answer.getRefusal() == wire::Refusal::NONE) {
        RecordSuccess(mBoard.mDirectory, aEndpoint);
        ReturnAnswer(answer);
        return kj::READY_NOW;
      }
      // The agent refused before it sent anything to the endpoint.
      mRan = ranBefore;
      if (FromWire(answer.getRefusal()) == refusal::Leaving) {
        MarkLeaving(mBoard.mDirectory, aEndpoint);
      }
      return RetryOrFail({ error_kind::EndpointLeaving,
                           "the endpoint is leaving",
                           mRan,
                           std::nullopt });
    });
}

/// Retrying is safe here. A guarded call runs at most once because of its claim
/// row, which names the first attempt; any other call may be repeated, because
/// the settings do not list its path as guarded.
kj::Promise<void>
call_run::RetryOrFail(failure aFailure)
{
  const policy& rules = mRequest.mHead.mPolicy;
  const bool canRetry = mAttempts < static_cast<unsigned>(rules.mAttempts) &&
                        SpendRetry(mBoard.mRetries);
  aFailure.mRan = mRan;
  if (!canRetry) {
    FinishWithFailure(std::move(aFailure));
    return kj::READY_NOW;
  }
  mBoard.mMetrics.Count("primrose_retries_total");
  const duration pause =
    RetryBackoff(mAttempts, FromSeconds(rules.mBackoffSeconds), mBoard.mRandom);
  return Delay(pause).then([this]() { return StartAttempt(); });
}

void
call_run::ReturnAnswer(wire::CallAnswer::Reader aAnswer)
{
  const std::optional<error_kind> kind =
    ParseErrorKind(TextFrom(aAnswer.getErrorKind()));
  const ran_state ran = FromWire(aAnswer.getRan());
  if (kind) {
    failure reported{ *kind, TextFrom(aAnswer.getErrorMessage()), ran, {} };
    if (AnswerFor(*kind).mRetryable) {
      reported.mRetryAfterSeconds = 1;
    }
    FinishWithFailure(std::move(reported));
    return;
  }
  mFinished = true;
  mBoard.mMetrics.Count(
    Labelled("primrose_calls_total", "outcome", "complete"));
  RecordDecision(
    mBoard,
    mClock,
    mRequest.mHead.mId,
    decision_kind::Finish,
    fmt::format("status {}{}",
                aAnswer.getStatus(),
                aAnswer.getReplayed() ? ", the first call's answer" : ""));
  Log(log_level::Info,
      "call_finished",
      { { "request", mRequest.mHead.mId },
        { "service", mRequest.mHead.mPath.mService },
        { "status", aAnswer.getStatus() },
        { "replayed", aAnswer.getReplayed() },
        { "seconds", Seconds(mClock.Now() - mStarted) } });
  mExchange->SetHeader("Primrose-Ran", std::string(RanStateName(ran)));
  if (aAnswer.getReplayed()) {
    mExchange->SetHeader("Idempotent-Replayed", "true");
  }
  mExchange->Answer(aAnswer.getStatus(),
                    TextFrom(aAnswer.getContentType()),
                    BytesFrom(aAnswer.getBody()));
}

void
call_run::FinishWithFailure(failure aFailure)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  RecordRequestFailure(mBoard,
                       mClock,
                       mRequest.mHead.mId,
                       mRequest.mHead.mPath,
                       "primrose_calls_total",
                       "call_failed",
                       aFailure);
  mExchange->AnswerFailure(aFailure);
}

} // namespace primrose::entry
