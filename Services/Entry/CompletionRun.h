#pragma once

/// The life of one completion request, from admission to its answer.

#include "Placer.h"

#include <memory>

namespace primrose::entry {

class completion_run : public std::enable_shared_from_this<completion_run>
{
public:
  completion_run(const clock_source& aClock,
                 entry_state& aBoard,
                 placer& aPlacer,
                 std::shared_ptr<http_exchange> aExchange,
                 completion_request aRequest);
  ~completion_run();
  completion_run(const completion_run&) = delete;
  completion_run& operator=(const completion_run&) = delete;

  /// Runs to the answer, the deadline or the caller's hang-up, whichever comes
  /// first. Dropping the promise frees everything at the agents.
  kj::Promise<void> Run();

  /// A chunk from an agent; resolves when the next may come.
  kj::Promise<void> ReceiveChunk(const std::string& aAttempt,
                                 std::uint64_t aSequence,
                                 std::string aText);

private:
  kj::Promise<void> Attempt();
  kj::Promise<void> StartPlacedAttempt(placement aPlacement);
  kj::Promise<void> RetryOrFail(failure aWhy, bool aMayRetry, bool aIsFailure);
  unsigned MaxAttempts() const;
  kj::Promise<void> StartMemberEngines();
  kj::Promise<void> StartLeadEngine();
  kj::Promise<void> HandleAttemptEnd(std::optional<failure> aProblem,
                                     std::uint64_t aChunks);
  kj::Promise<void> RenewLeasesPeriodically();
  kj::Promise<void> RenewLease(std::size_t aIndex);
  kj::Promise<void> WaitForAllChunks(std::uint64_t aChunks);
  void RecordFirstChunk();
  kj::Promise<void> WaitForCallerToRead();
  void Finish();
  void FinishWithFailure(failure aWhy);
  duration RemainingTime() const;

  const clock_source& mClock;
  entry_state& mBoard;
  placer& mPlacer;
  std::shared_ptr<http_exchange> mExchange;
  completion_request mRequest;
  time_point mStarted;
  std::vector<place> mReservedEndpoints;
  std::vector<std::string> mMembers;
  std::set<std::string>
    mFailedEndpoints; ///< Endpoints under which attempts failed.
  stream_cursor mCursor;
  std::string mText;
  std::uint64_t mDeliveredChunks =
    0; ///< Chunks passed on to a streaming caller.
  ran_state mRan = ran_state::No;
  unsigned mAttempts = 0;
  bool mOver = false;
  std::uint64_t mExpected = 0;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> mAllChunksReceived;
  kj::Maybe<kj::Promise<void>> mLeaseRenewal;
};

} // namespace primrose::entry
