#include "CallRun.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

call_run::call_run(const clock_source& aClock,
                   entry_state& aBoard,
                   agent_pool& aPool,
                   id_maker& aIds,
                   std::shared_ptr<http_exchange> aExchange,
                   call_request aRequest)
  : mClock(aClock)
  , mBoard(aBoard)
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
  kj::Promise<void> late = Delay(RemainingTime()).then([this]() {
    FinishWithFailure({ error_kind::DeadlineExceeded,
                        "the time limit was reached",
                        mRan,
                        std::nullopt });
  });
  // NOTE: A caller's hang-up does not cancel a plain call: it may have run
  // already, and its outcome is kept for the repeat of a guarded one.
  return Attempt().exclusiveJoin(kj::mv(late)).attach(kj::defer([self]() {}));
}

/// The endpoint that the key prefers: repeats of a guarded call meet at one
/// agent, which saves a read of the store. The claim row is what counts.
std::string
call_run::Choose() const
{
  const std::string key =
    mRequest.mKey.empty() ? mRequest.mHead.mId : mRequest.mKey;
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const endpoint_view* const view :
       Usable(mBoard.mDirectory, mRequest.mHead.mPath.mService, mClock.Now())) {
    const std::string& name = view->mListed.mName;
    const bool tried =
      std::find(mTried.begin(), mTried.end(), name) != mTried.end();
    const std::uint64_t weight = RendezvousWeight(key, name);
    if (!tried && (best.empty() || weight > bestWeight)) {
      best = name;
      bestWeight = weight;
    }
  }
  return best;
}

kj::Promise<void>
call_run::Attempt()
{
  ++mAttempts;
  const std::string endpoint = Choose();
  const std::shared_ptr<agent_link> link =
    endpoint.empty() ? nullptr : mPool.ConnectionTo(endpoint);
  if (link == nullptr) {
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
  return link->Get()
    .then([this, endpoint](wire::Agent::Client aAgent) {
      return Send(endpoint, aAgent);
    })
    .catch_([this, endpoint](kj::Exception&& aException) {
      NoteFailure(mBoard.mDirectory, endpoint, mClock.Now(), mBoard.mRandom);
      return RetryOrFail({ error_kind::EndpointFailed,
                           aException.getDescription().cStr(),
                           mRan,
                           std::nullopt });
    })
    .attach(link);
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
  const ran_state before = mRan;
  mRan = ran_state::Unknown;
  return request.send().then(
    [this, before, aEndpoint](
      capnp::Response<wire::Agent::CallResults> aResponse)
      -> kj::Promise<void> {
      const wire::CallAnswer::Reader answer = aResponse.getAnswer();
      if (answer.getRefusal() == wire::Refusal::NONE) {
        NoteSuccess(mBoard.mDirectory, aEndpoint);
        ReturnAnswer(answer);
        return kj::READY_NOW;
      }
      // Refused before anything was sent to the endpoint.
      mRan = before;
      if (FromWire(answer.getRefusal()) == refusal::Leaving) {
        NoteLeaving(mBoard.mDirectory, aEndpoint);
      }
      return RetryOrFail({ error_kind::EndpointLeaving,
                           "the endpoint is leaving",
                           mRan,
                           std::nullopt });
    });
}

/// A call that is tried again is safe here: a guarded one by its claim row,
/// which names the first attempt; the others by what the settings say of them.
kj::Promise<void>
call_run::RetryOrFail(failure aWhy)
{
  const policy& rules = mRequest.mHead.mPolicy;
  const bool canRetry = mAttempts < static_cast<unsigned>(rules.mAttempts) &&
                        SpendRetry(mBoard.mRetries);
  aWhy.mRan = mRan;
  if (!canRetry) {
    FinishWithFailure(std::move(aWhy));
    return kj::READY_NOW;
  }
  mBoard.mMetrics.Count("primrose_retries_total");
  const duration pause =
    RetryPause(mAttempts, FromSeconds(rules.mBackoffSeconds), mBoard.mRandom);
  return Delay(pause).then([this]() { return Attempt(); });
}

void
call_run::ReturnAnswer(wire::CallAnswer::Reader aAnswer)
{
  const std::optional<error_kind> kind =
    KindNamed(TextFrom(aAnswer.getErrorKind()));
  const ran_state ran = FromWire(aAnswer.getRan());
  if (kind) {
    failure why{ *kind, TextFrom(aAnswer.getErrorMessage()), ran, {} };
    if (AnswerFor(*kind).mRetryable) {
      why.mRetryAfterSeconds = 1;
    }
    FinishWithFailure(std::move(why));
    return;
  }
  mOver = true;
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
  mExchange->SetHeader("Primrose-Ran", std::string(RanName(ran)));
  if (aAnswer.getReplayed()) {
    mExchange->SetHeader("Idempotent-Replayed", "true");
  }
  mExchange->Answer(aAnswer.getStatus(),
                    TextFrom(aAnswer.getContentType()),
                    BytesFrom(aAnswer.getBody()));
}

void
call_run::FinishWithFailure(failure aWhy)
{
  if (mOver) {
    return;
  }
  mOver = true;
  RecordRequestFailure(mBoard,
                       mClock,
                       mRequest.mHead.mId,
                       mRequest.mHead.mPath,
                       "primrose_calls_total",
                       "call_failed",
                       aWhy);
  mExchange->AnswerFailure(aWhy);
}

} // namespace primrose::entry
