#pragma once

/// Handles one admitted completion request: placement, the streaming of the
/// answer, lease renewal, retries and the final answer.

#include "Placer.h"

#include <memory>

namespace primrose::entry {

class completion_run : public std::enable_shared_from_this<completion_run>
{
public:
  completion_run(const clock_source& aClock,
                 entry_state& aState,
                 placer& aPlacer,
                 std::shared_ptr<http_exchange> aExchange,
                 completion_request aRequest);
  ~completion_run();
  completion_run(const completion_run&) = delete;
  completion_run& operator=(const completion_run&) = delete;

  /// Resolves once the caller is answered, the deadline is reached or the
  /// caller closes its connection, whichever comes first. Dropping the promise
  /// releases all reservations at the agents.
  kj::Promise<void> Run();

  /// Handles a chunk from an agent; resolves when the agent may send the next.
  kj::Promise<void> ReceiveChunk(const std::string& aAttempt,
                                 std::uint64_t aSequence,
                                 std::string aText);

private:
  kj::Promise<void> StartAttempt();
  kj::Promise<void> StartPlacedAttempt(placement_result aPlacement);
  kj::Promise<void> RetryOrFail(failure aFailure,
                                bool aMayRetry,
                                bool aUsesRetryBudget);
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
  void FinishWithFailure(failure aFailure);
  duration RemainingTime() const;

  const clock_source& mClock;
  entry_state& mBoard;
  placer& mPlacer;
  std::shared_ptr<http_exchange> mExchange;
  completion_request mRequest;
  time_point mStarted;
  std::vector<reserved_endpoint> mReservedEndpoints;
  std::vector<std::string> mMemberAddresses; ///< Of the member engines.
  std::set<std::string>
    mFailedEndpoints;    ///< Endpoints at which attempts failed.
  stream_cursor mCursor; ///< The current attempt and its next chunk.
  std::string mText;     ///< The answer so far, if it is not streamed.
  std::uint64_t mDeliveredChunks = 0; ///< Chunks sent to a streaming caller.
  ran_state mRan = ran_state::No;
  unsigned mAttempts = 0;
  bool mFinished = false;
  std::uint64_t mExpectedChunks = 0;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> mAllChunksReceived;
  kj::Maybe<kj::Promise<void>> mLeaseRenewal;
};

} // namespace primrose::entry
