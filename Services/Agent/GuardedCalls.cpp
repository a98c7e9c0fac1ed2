#include "GuardedCalls.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::agent {

namespace {

/// A call ends this long before its deadline, so that the answer reaches the
/// entry before the entry's own time limit ends the request.
constexpr duration kAnswerMargin = std::chrono::milliseconds(20);
/// How often a repeated call looks again for the outcome of the first one that
/// runs in this process.
constexpr duration kClaimRetryInterval = std::chrono::milliseconds(50);
/// Assumed maximum difference between the clocks of two VMs.
constexpr std::int64_t kClockSkewMs = 5000;
/// Larger answers are not stored for replay; the row then only records that the
/// call was done.
constexpr std::size_t kMaxStoredBodyBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 8 } * 1024 * 1024;

service_answer
FailedAnswer(error_kind aKind, std::string aMessage, ran_state aRan)
{
  service_answer answer;
  answer.mError = aKind;
  answer.mMessage = std::move(aMessage);
  answer.mRan = aRan;
  return answer;
}

service_answer
Replay(const claim_row& aRow)
{
  service_answer answer;
  answer.mStatus = aRow.mStatus;
  answer.mContentType = aRow.mContentType;
  answer.mBody = aRow.mBody;
  answer.mRan = ran_state::Yes;
  answer.mReplayed = true;
  return answer;
}

std::string
ClaimKey(const service_call& aCall)
{
  // Lengths come first, so that no choice of names maps two keys to one string.
  return fmt::format("{}:{}/{}:{}/{}",
                     aCall.mOrganisation.size(),
                     aCall.mOrganisation,
                     aCall.mService.size(),
                     aCall.mService,
                     aCall.mKey);
}

} // namespace

std::uint64_t
RequestHash(const service_call& aCall)
{
  return Hash(aCall.mBody, Hash(aCall.mMethod + " " + aCall.mPath));
}

guarded_calls::guarded_calls(const clock_source& aClock,
                             http_client& aHttp,
                             table_client& aStore,
                             metrics& aMetrics,
                             std::string aAgent,
                             std::string aEndpoint)
  : mClock(aClock)
  , mHttp(aHttp)
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mEndpoint(std::move(aEndpoint))
  , mRandom(FreshSeed())
{
  mBoard.mAgent = std::move(aAgent);
}

kj::Promise<service_answer>
guarded_calls::Run(service_call aCall)
{
  ++mInFlight;
  kj::Promise<service_answer> answer =
    aCall.mGuarded ? RunGuarded(std::move(aCall)) : Send(aCall);
  return answer.attach(kj::defer([this]() { --mInFlight; }));
}

kj::Promise<service_answer>
guarded_calls::RunGuarded(service_call aCall)
{
  QueueClaim(mBoard,
             ClaimKey(aCall),
             aCall.mAttempt,
             RequestHash(aCall),
             aCall.mDeadline - kAnswerMargin,
             mClock.Now(),
             mClock.Wall());
  kj::Promise<void> settled =
    WaitForClaim(aCall.mAttempt, aCall.mDeadline - kAnswerMargin);
  ProcessStoreQueue();
  return settled.then([this, call = std::move(aCall)]() mutable {
    return ContinueAfterClaim(std::move(call));
  });
}

kj::Promise<void>
guarded_calls::WaitForClaim(const std::string& aAttempt, time_point aDeadline)
{
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  mWaiters.insert_or_assign(aAttempt, kj::mv(pair.fulfiller));
  return pair.promise.exclusiveJoin(Delay(aDeadline - mClock.Now()))
    .attach(kj::defer([this, aAttempt]() {
      mWaiters.erase(aAttempt);
      // The caller dropped the promise, or the deadline passed, before the
      // claim was decided: nothing waits for the answer any more.
      const claim* const pending = FindClaim(mBoard, aAttempt);
      if (pending != nullptr && pending->mStage != claim_stage::Held &&
          pending->mStage != claim_stage::Taken &&
          pending->mStage != claim_stage::Running) {
        GiveUp(mBoard, aAttempt, mClock.Now());
      }
    }));
}

kj::Promise<service_answer>
guarded_calls::ContinueAfterClaim(service_call aCall)
{
  const claim* const settled = FindClaim(mBoard, aCall.mAttempt);
  if (settled == nullptr) {
    return NotRunAnswer(aCall);
  }
  if (settled->mStage == claim_stage::Taken) {
    return AnswerFromExistingClaim(std::move(aCall));
  }
  // Reads the clock again after the last wait: if this process was paused
  // while it held the claim, the caller may have given up, and the call must
  // not run any more.
  if (!BeginExecution(mBoard, aCall.mAttempt, mClock.Now())) {
    GiveUp(mBoard, aCall.mAttempt, mClock.Now());
    return NotRunAnswer(aCall);
  }
  const std::string attempt = aCall.mAttempt;
  return Send(aCall)
    .then([this, attempt](service_answer aAnswer) {
      if (aAnswer.mRan == ran_state::Yes) {
        claim_row row;
        row.mStatus = aAnswer.mStatus;
        row.mContentType = aAnswer.mContentType;
        row.mBody = aAnswer.mBody.size() <= kMaxStoredBodyBytes ? aAnswer.mBody
                                                                : std::string();
        RecordExecution(mBoard, attempt, std::move(row), mClock.Now());
        ProcessStoreQueue();
      }
      return aAnswer;
    })
    .attach(kj::defer([this, attempt]() {
      // The row stays in the store, so that a repeat is answered that the
      // outcome is unknown.
      DropClaim(mBoard, attempt);
    }));
}

service_answer
guarded_calls::NotRunAnswer(const service_call& aCall)
{
  const bool deadlineNear = mClock.Now() >= aCall.mDeadline - kAnswerMargin * 2;
  mMetrics.Count("primrose_guarded_not_run_total");
  return FailedAnswer(deadlineNear ? error_kind::DeadlineExceeded
                                   : error_kind::StoreUnavailable,
                      "the key could not be claimed in time; it was not run",
                      ran_state::No);
}

kj::Promise<service_answer>
guarded_calls::AnswerFromExistingClaim(service_call aCall)
{
  const claim_row row =
    FindClaim(mBoard, aCall.mAttempt)->mRow.value_or(claim_row{});
  DropClaim(mBoard, aCall.mAttempt);
  if (row.mRequestHash != RequestHash(aCall)) {
    return FailedAnswer(error_kind::KeyReused,
                        "this Idempotency-Key came with another request",
                        ran_state::No);
  }
  if (row.mDone) {
    mMetrics.Count("primrose_guarded_replayed_total");
    return Replay(row);
  }
  if (FindClaim(mBoard, row.mAttempt) != nullptr ||
      WasExecutedRecently(mBoard, row.mAttempt, mClock.Now())) {
    // The first call runs in this process, or has ended after the row was read:
    // waits for its answer within this call's own deadline.
    if (mClock.Now() + kClaimRetryInterval >= aCall.mDeadline - kAnswerMargin) {
      return FailedAnswer(error_kind::InProgress,
                          "the first call with this key is running",
                          ran_state::Unknown);
    }
    return Delay(kClaimRetryInterval)
      .then([this, call = std::move(aCall)]() mutable {
        return RunGuarded(std::move(call));
      });
  }
  const bool ended =
    mClock.Wall().time_since_epoch().count() > row.mExpiresAtMs + kClockSkewMs;
  return FailedAnswer(
    ended ? error_kind::OutcomeUnknown : error_kind::InProgress,
    ended ? "the first call with this key may have run"
          : "the first call with this key may still be running",
    ran_state::Unknown);
}

kj::Promise<service_answer>
guarded_calls::Send(const service_call& aCall)
{
  const time_point now = mClock.Now();
  if (now >= aCall.mDeadline) {
    return FailedAnswer(error_kind::DeadlineExceeded,
                        "the time limit was reached before it was run",
                        ran_state::No);
  }
  http_request request{ aCall.mMethod, "http://" + mEndpoint + aCall.mPath };
  request.mBody = aCall.mBody;
  if (!aCall.mContentType.empty()) {
    request.mContentType = aCall.mContentType;
  }
  if (!aCall.mKey.empty()) {
    request.mHeaders.emplace("Idempotency-Key", aCall.mKey);
  }
  request.mHeaders.emplace("X-Request-Id", aCall.mRequest);
  mMetrics.Count("primrose_service_calls_total");
  return WithTimeout(mHttp.Send(std::move(request), kMaxAnswerBytes),
                     aCall.mDeadline - kAnswerMargin - now)
    .then([](http_response aResponse) {
      service_answer answer;
      answer.mStatus = aResponse.mStatus;
      answer.mContentType = aResponse.mContentType;
      answer.mBody = std::move(aResponse.mBody);
      answer.mRan = ran_state::Yes;
      return answer;
    })
    .catch_([](kj::Exception&& aException) {
      const bool timedOut =
        aException.getType() == kj::Exception::Type::OVERLOADED;
      return FailedAnswer(timedOut ? error_kind::DeadlineExceeded
                                   : error_kind::EndpointFailed,
                          aException.getDescription().cStr(),
                          ran_state::Unknown);
    });
}

void
guarded_calls::WakeWaiters()
{
  for (auto& [attempt, waiter] : mWaiters) {
    const claim* const known = FindClaim(mBoard, attempt);
    const bool settled = known == nullptr ||
                         known->mStage == claim_stage::Held ||
                         known->mStage == claim_stage::Taken;
    if (settled && waiter->isWaiting()) {
      waiter->fulfill();
    }
  }
}

void
guarded_calls::ProcessStoreQueue()
{
  WakeWaiters();
  WriteDueClaims();
  ReadDueClaims();
  const std::optional<time_point> next = NextStoreRequestTime(mBoard);
  if (!next) {
    mTimer = nullptr;
    return;
  }
  mTimer = Delay(*next - mClock.Now())
             .then([this]() {
               // Runs as a separate task, because ProcessStoreQueue replaces
               // this timer's promise.
               mTasks.add(kj::evalLater([this]() { ProcessStoreQueue(); }));
             })
             .eagerlyEvaluate(nullptr);
}

void
guarded_calls::WriteDueClaims()
{
  const std::vector<claim_write> writes = TakeWrites(mBoard, mClock.Now());
  if (writes.empty()) {
    return;
  }
  mMetrics.Count("primrose_store_writes_total");
  mMetrics.Count("primrose_store_rows_total",
                 static_cast<double>(writes.size()));
  mTasks.add(mStore.WriteClaims(writes).then([this](transaction_result aDone) {
    RecordWriteOutcome(
      mBoard, aDone.mOutcome, aDone.mConflicts, mClock.Now(), mRandom);
    ProcessStoreQueue();
  }));
}

void
guarded_calls::ReadDueClaims()
{
  const std::vector<std::string> keys = TakeReads(mBoard, mClock.Now());
  if (keys.empty()) {
    return;
  }
  mMetrics.Count("primrose_store_reads_total");
  mTasks.add(mStore.ReadClaims(keys).then(
    [this](std::optional<std::map<std::string, claim_row>> aRows) {
      RecordReadBack(mBoard, aRows, mClock.Now(), mRandom);
      ProcessStoreQueue();
    }));
}

} // namespace primrose::agent
