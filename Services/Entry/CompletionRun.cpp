#include "CompletionRun.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

/// Unsent bytes that a slow caller may accumulate before back-pressure is
/// applied to the engine.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 64 } * 1024;
constexpr duration kUnsentBytesPollInterval = std::chrono::milliseconds(10);
constexpr int kRenewalsPerLease = 3;
constexpr const char* kEventStream = "text/event-stream";

class chunk_sink final : public wire::ChunkSink::Server
{
public:
  explicit chunk_sink(std::weak_ptr<completion_run> aRun)
    : mRun(std::move(aRun))
  {
  }

  kj::Promise<void> chunk(ChunkContext aContext) override
  {
    const std::shared_ptr<completion_run> run = mRun.lock();
    if (run == nullptr) {
      return KJ_EXCEPTION(DISCONNECTED, "the request is over");
    }
    const auto parameters = aContext.getParams();
    return run->ReceiveChunk(TextFrom(parameters.getAttempt()),
                             parameters.getSequence(),
                             TextFrom(parameters.getText()));
  }

private:
  std::weak_ptr<completion_run> mRun;
};

json
MakeChoice(const std::string& aText, const json& aFinish)
{
  return { { "index", 0 }, { "text", aText }, { "finish_reason", aFinish } };
}

std::string
PromptLengthClass(tokens aTokens)
{
  constexpr tokens kThousand = 1000;
  if (aTokens < 4 * kThousand) {
    return "under_4k";
  }
  if (aTokens < 32 * kThousand) {
    return "4k_to_32k";
  }
  return aTokens <= 100 * kThousand ? "32k_to_100k" : "over_100k";
}

} // namespace

completion_run::completion_run(const clock_source& aClock,
                               entry_state& aState,
                               placer& aPlacer,
                               std::shared_ptr<http_exchange> aExchange,
                               completion_request aRequest)
  : mClock(aClock)
  , mBoard(aState)
  , mPlacer(aPlacer)
  , mExchange(std::move(aExchange))
  , mRequest(std::move(aRequest))
  , mStarted(aClock.Now())
{
  ++mBoard.mInFlight;
}

completion_run::~completion_run()
{
  --mBoard.mInFlight;
  ReleaseAdmittedTokens(mBoard.mOrganisations[mRequest.mShape.mOrganisation],
                        mRequest.mShape.MemoryTokens());
}

duration
completion_run::RemainingTime() const
{
  return std::max(duration(0), mRequest.mHead.mDeadline - mClock.Now());
}

kj::Promise<void>
completion_run::Run()
{
  const std::shared_ptr<completion_run> self = shared_from_this();
  kj::PromiseFulfillerPair<void> hangup = kj::newPromiseAndFulfiller<void>();
  const std::shared_ptr<kj::Own<kj::PromiseFulfiller<void>>> fulfiller =
    std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(hangup.fulfiller));
  mExchange->OnHangup([fulfiller]() { (*fulfiller)->fulfill(); });
  kj::Promise<void> callerClosed = hangup.promise.then([this]() {
    mFinished = true;
    mBoard.mMetrics.Count("primrose_hangups_total");
    Log(
      log_level::Info, "caller_hung_up", { { "request", mRequest.mHead.mId } });
  });
  kj::Promise<void> deadlineReached = Delay(RemainingTime()).then([this]() {
    FinishWithFailure({ error_kind::DeadlineExceeded,
                        "the time limit was reached",
                        mRan,
                        std::nullopt });
  });
  return StartAttempt()
    .exclusiveJoin(kj::mv(deadlineReached))
    .exclusiveJoin(kj::mv(callerClosed))
    .attach(kj::defer([self]() {
      // Releases the reservations, however the request ended.
      self->mLeaseRenewal = nullptr;
      self->mReservedEndpoints.clear();
    }));
}

kj::Promise<void>
completion_run::StartAttempt()
{
  ++mAttempts;
  return mPlacer.Place(mRequest, mFailedEndpoints)
    .then([this](placement_result aPlacement) {
      return StartPlacedAttempt(kj::mv(aPlacement));
    });
}

kj::Promise<void>
completion_run::StartPlacedAttempt(placement_result aPlacement)
{
  if (aPlacement.mReservedEndpoints.empty()) {
    return RetryOrFail(aPlacement.mFailureReason,
                       aPlacement.mMayRetry,
                       aPlacement.mUsesRetryBudget);
  }
  mReservedEndpoints = kj::mv(aPlacement.mReservedEndpoints);
  mMemberAddresses.clear();
  mText.clear();
  mCursor = { mReservedEndpoints.front().mAttempt, 0 };
  std::string names;
  for (const reserved_endpoint& reserved : mReservedEndpoints) {
    names += (names.empty() ? "" : ",") + reserved.mEndpoint;
  }
  Log(log_level::Info,
      "placed",
      { { "request", mRequest.mHead.mId },
        { "attempt", mCursor.mAttempt },
        { "endpoint", names } });
  mLeaseRenewal = RenewLeasesPeriodically().eagerlyEvaluate(nullptr);
  return StartMemberEngines()
    .then([this]() { return StartLeadEngine(); })
    .catch_([this](kj::Exception&& aException) {
      return HandleAttemptEnd(failure{ error_kind::EndpointFailed,
                                       aException.getDescription().cStr(),
                                       mRan,
                                       std::nullopt },
                              0);
    });
}

unsigned
completion_run::MaxAttempts() const
{
  const policy& rules = mRequest.mHead.mPolicy;
  return static_cast<unsigned>(mRequest.mShape.mLong ? rules.mLongAttempts
                                                     : rules.mAttempts);
}

kj::Promise<void>
completion_run::RetryOrFail(failure aFailure,
                            bool aMayRetry,
                            bool aUsesRetryBudget)
{
  mLeaseRenewal = nullptr;
  mReservedEndpoints.clear();
  const policy& rules = mRequest.mHead.mPolicy;
  // Only retries after failures spend the retry budget, because failures can
  // return immediately and in large numbers. Retries after a refusal for lack
  // of room are paced by the waits in the agents' queues.
  const bool canRetry = aMayRetry && mDeliveredChunks == 0 &&
                        mAttempts < MaxAttempts() &&
                        (!aUsesRetryBudget || SpendRetry(mBoard.mRetries));
  aFailure.mRan = mRan;
  if (!canRetry) {
    FinishWithFailure(std::move(aFailure));
    return kj::READY_NOW;
  }
  const duration pause =
    RetryBackoff(mAttempts, FromSeconds(rules.mBackoffSeconds), mBoard.mRandom);
  mBoard.mMetrics.Count("primrose_retries_total");
  RecordDecision(
    mBoard,
    mClock,
    mRequest.mHead.mId,
    decision_kind::Retry,
    fmt::format("attempt {} ended with {}: {}; another in {:.3f} s",
                mAttempts,
                AnswerFor(aFailure.mKind).mName,
                aFailure.mMessage,
                Seconds(pause)),
    mRequest.mHead.mPath,
    { "attempts", "backoff_s", "retry_budget" });
  return Delay(pause).then([this]() { return StartAttempt(); });
}

kj::Promise<void>
completion_run::StartMemberEngines()
{
  kj::Vector<kj::Promise<std::string>> holds;
  for (std::size_t i = 1; i < mReservedEndpoints.size(); ++i) {
    auto start = mReservedEndpoints[i].mTicket.startRequest();
    start.initWork().setRemainingMs(RemainingToWire(RemainingTime()));
    holds.add(start.send().then(
      [ticket = mReservedEndpoints[i].mTicket](
        capnp::Response<wire::Ticket::StartResults> aResponse) mutable
      -> kj::Promise<std::string> {
        if (!aResponse.getEnding().getComplete()) {
          return KJ_EXCEPTION(FAILED, "a member did not hold its part");
        }
        return ticket.engineRequest().send().then(
          [](capnp::Response<wire::Ticket::EngineResults> aAnswer) {
            return TextFrom(aAnswer.getAddress());
          });
      }));
  }
  return kj::joinPromises(holds.releaseAsArray())
    .then([this](kj::Array<std::string> aAddresses) {
      mMemberAddresses.assign(aAddresses.begin(), aAddresses.end());
    });
}

kj::Promise<void>
completion_run::StartLeadEngine()
{
  auto start = mReservedEndpoints.front().mTicket.startRequest();
  wire::Work::Builder work = start.initWork();
  work.setPrompt(DataOf(mRequest.mPrompt));
  work.setRemainingMs(RemainingToWire(RemainingTime()));
  auto members =
    work.initMembers(static_cast<unsigned>(mMemberAddresses.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    members.set(i, mMemberAddresses[i]);
  }
  start.setSink(kj::heap<chunk_sink>(weak_from_this()));
  // Once the request is sent, only the agent's statement that it did not run
  // may reset the state to its value before.
  const ran_state ranBefore = mRan;
  mRan = mRan == ran_state::Yes ? ran_state::Yes : ran_state::Unknown;
  return start.send().then(
    [this, ranBefore](capnp::Response<wire::Ticket::StartResults> aResponse) {
      const wire::Ending::Reader ending = aResponse.getEnding();
      const ran_state ran = FromWire(ending.getRan());
      if (ran == ran_state::No && mCursor.mNext == 0) {
        mRan = ranBefore;
      } else if (ran == ran_state::Yes) {
        mRan = ran_state::Yes;
      }
      if (ending.getComplete()) {
        return HandleAttemptEnd(std::nullopt, ending.getChunks());
      }
      const std::string errorName = TextFrom(ending.getErrorKind());
      return HandleAttemptEnd(
        failure{ ParseErrorKind(errorName).value_or(error_kind::EndpointFailed),
                 TextFrom(ending.getErrorMessage()),
                 mRan,
                 std::nullopt },
        ending.getChunks());
    });
}

kj::Promise<void>
completion_run::HandleAttemptEnd(std::optional<failure> aProblem,
                                 std::uint64_t aChunks)
{
  if (!aProblem) {
    return WaitForAllChunks(aChunks).then([this]() { Finish(); });
  }
  RecordFailure(mBoard.mDirectory,
                mReservedEndpoints.front().mEndpoint,
                mClock.Now(),
                mBoard.mRandom);
  Log(log_level::Warning,
      "attempt_failed",
      { { "request", mRequest.mHead.mId },
        { "attempt", mCursor.mAttempt },
        { "endpoint", mReservedEndpoints.front().mEndpoint },
        { "why", aProblem->mMessage } });
  for (const reserved_endpoint& reserved : mReservedEndpoints) {
    mFailedEndpoints.insert(reserved.mEndpoint);
  }
  if (mDeliveredChunks > 0) {
    aProblem->mKind = error_kind::StreamBroken;
  }
  return RetryOrFail(std::move(*aProblem), true, true);
}

/// Waits for all chunks of a complete answer: the agent's result can arrive
/// before the last chunks, which are delayed by back-pressure from a slow
/// caller.
kj::Promise<void>
completion_run::WaitForAllChunks(std::uint64_t aChunks)
{
  if (mCursor.mNext >= aChunks) {
    return kj::READY_NOW;
  }
  mExpectedChunks = aChunks;
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  mAllChunksReceived = kj::mv(pair.fulfiller);
  return kj::mv(pair.promise);
}

kj::Promise<void>
completion_run::ReceiveChunk(const std::string& aAttempt,
                             std::uint64_t aSequence,
                             std::string aText)
{
  const chunk_verdict verdict = AcceptChunk(mCursor, aAttempt, aSequence);
  if (mFinished || verdict == chunk_verdict::Stale) {
    mBoard.mMetrics.Count("primrose_stale_chunks_total");
    return kj::READY_NOW;
  }
  if (verdict == chunk_verdict::Gap) {
    return KJ_EXCEPTION(FAILED, "a chunk is missing");
  }
  mRan = ran_state::Yes;
  if (aSequence == 0) {
    RecordFirstChunk();
  }
  if (mRequest.mStream) {
    const json event = { { "id", mRequest.mHead.mId },
                         { "object", "text_completion" },
                         { "model", mRequest.mShape.mModel },
                         { "choices", { MakeChoice(aText, nullptr) } } };
    mExchange->Send(FormatEvent(event.dump()));
    ++mDeliveredChunks;
  } else {
    mText += aText;
  }
  KJ_IF_MAYBE (fulfiller, mAllChunksReceived) {
    if (mCursor.mNext >= mExpectedChunks) {
      (*fulfiller)->fulfill();
    }
  }
  return WaitForCallerToRead();
}

/// Resolves when few enough bytes are unsent to the caller. Until then the
/// agent stops reading from the engine, so that a caller that does not read
/// cannot fill this process's memory.
kj::Promise<void>
completion_run::WaitForCallerToRead()
{
  if (mFinished || mExchange->UnsentBytes() <= kMaxUnsentBytes) {
    return kj::READY_NOW;
  }
  return Delay(kUnsentBytesPollInterval).then([this]() {
    return WaitForCallerToRead();
  });
}

void
completion_run::RecordFirstChunk()
{
  RecordSuccess(mBoard.mDirectory, mReservedEndpoints.front().mEndpoint);
  mBoard.mMetrics.Observe("primrose_first_token_seconds_" +
                            PromptLengthClass(mRequest.mShape.mPromptTokens),
                          Seconds(mClock.Now() - mStarted));
  if (mRequest.mStream && !mExchange->IsStreaming()) {
    mExchange->StartStream(200, kEventStream);
  }
}

kj::Promise<void>
completion_run::RenewLeasesPeriodically()
{
  const double lease = mRequest.mHead.mPolicy.mLeaseSeconds;
  return Delay(FromSeconds(lease / kRenewalsPerLease))
    .then([this]() {
      kj::Vector<kj::Promise<void>> renewals;
      for (std::size_t i = 0; i < mReservedEndpoints.size(); ++i) {
        renewals.add(RenewLease(i));
      }
      return kj::joinPromises(renewals.releaseAsArray());
    })
    .then([this]() { return RenewLeasesPeriodically(); });
}

kj::Promise<void>
completion_run::RenewLease(std::size_t aIndex)
{
  auto renew = mReservedEndpoints[aIndex].mTicket.renewRequest();
  renew.setRemainingMs(RemainingToWire(RemainingTime()));
  // A failed renewal needs no handling here: the agent ends work whose
  // reservation has expired, and reports that in the result of `start`.
  return renew.send().ignoreResult().catch_([](kj::Exception&&) {});
}

void
completion_run::Finish()
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  const double seconds = Seconds(mClock.Now() - mStarted);
  mBoard.mMetrics.Count(
    Labelled("primrose_requests_total", "outcome", "complete"));
  RecordDecision(
    mBoard,
    mClock,
    mRequest.mHead.mId,
    decision_kind::Finish,
    fmt::format("whole answer of {} chunks in {:.3f} s, {} attempts",
                mCursor.mNext,
                seconds,
                mAttempts));
  Log(log_level::Info,
      "request_finished",
      { { "request", mRequest.mHead.mId },
        { "organisation", mRequest.mShape.mOrganisation },
        { "prompt_tokens", mRequest.mShape.mPromptTokens },
        { "chunks", mCursor.mNext },
        { "seconds", seconds } });
  const json usage = { { "prompt_tokens", mRequest.mShape.mPromptTokens },
                       { "completion_tokens", mCursor.mNext } };
  const json body = { { "id", mRequest.mHead.mId },
                      { "object", "text_completion" },
                      { "model", mRequest.mShape.mModel },
                      { "choices", { MakeChoice(mText, "length") } },
                      { "usage", usage } };
  if (!mRequest.mStream) {
    mExchange->Answer(200, "application/json", body.dump());
    return;
  }
  mExchange->Send(FormatEvent(body.dump()));
  mExchange->Send(FormatEvent("[DONE]"));
  mExchange->EndStream();
}

void
completion_run::FinishWithFailure(failure aFailure)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  RecordRequestFailure(mBoard,
                       mClock,
                       mRequest.mHead.mId,
                       mRequest.mHead.mPath,
                       "primrose_requests_total",
                       "request_failed",
                       aFailure);
  if (!mExchange->IsStreaming()) {
    mExchange->AnswerFailure(aFailure);
    return;
  }
  // Sends the error as an event without a final [DONE], so that the answer
  // cannot be taken for a complete one.
  mExchange->Send(FormatEvent(ErrorBody(aFailure).dump()));
  mExchange->EndStream();
}

} // namespace primrose::entry
