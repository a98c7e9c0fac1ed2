#pragma once

/// The life of one completion request, from admission to its answer.

#include "Placer.h"

#include <memory>

namespace primrose::entry {

class completion_run : public std::enable_shared_from_this<completion_run>
{
public:
  completion_run(const clock_source& aClock,
                 entry_board& aBoard,
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
  kj::Promise<void> TakeChunk(const std::string& aAttempt,
                              std::uint64_t aSequence,
                              std::string aText);

private:
  kj::Promise<void> Attempt();
  kj::Promise<void> TakePlacement(placement aPlacement);
  kj::Promise<void> RetryOr(failure aWhy, bool aMayRetry, bool aIsFailure);
  unsigned MostAttempts() const;
  kj::Promise<void> StartMembers();
  kj::Promise<void> StartLead();
  kj::Promise<void> TakeEnding(std::optional<failure> aProblem,
                               std::uint64_t aChunks);
  kj::Promise<void> KeepLeases();
  kj::Promise<void> RenewOne(std::size_t aIndex);
  kj::Promise<void> WhenAllChunks(std::uint64_t aChunks);
  void NoteFirstChunk();
  kj::Promise<void> WhenTaken();
  void Finish();
  void FinishWith(failure aWhy);
  duration Remaining() const;

  const clock_source& mClock;
  entry_board& mBoard;
  placer& mPlacer;
  std::shared_ptr<http_exchange> mExchange;
  completion_request mRequest;
  time_point mStarted;
  std::vector<place> mPlaces;
  std::vector<std::string> mMembers;
  std::set<std::string> mFailed; ///< Endpoints under which attempts failed.
  stream_cursor mCursor;
  std::string mText;
  std::uint64_t mDelivered = 0; ///< Chunks passed on to a streaming caller.
  ran_state mRan = ran_state::No;
  unsigned mAttempts = 0;
  bool mOver = false;
  std::uint64_t mExpected = 0;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> mAllChunks;
  kj::Maybe<kj::Promise<void>> mLeases;
};

} // namespace primrose::entry
