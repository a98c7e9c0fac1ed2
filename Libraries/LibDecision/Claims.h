#pragma once

/// Guarded calls at most once. Before a call runs, its key is claimed by a row
/// in the platform's table, inserted only if absent, that carries the
/// attempt's id. All claims of an agent that are waiting go in one transaction
/// (group commit), so the store's writes follow agents and time, not calls.
///
/// The store's answer can be lost after the write took effect. A claim is then
/// unsure: it is neither run nor given up, but its row is read back, and the
/// attempt's id in it tells whose it is. Only `Held` may run.

#include "LibCore/LibCore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrose {

/// What a claim row says about a key. Kept in the platform's table.
struct claim_row
{
  std::string mAttempt;
  std::string mAgent;
  std::uint64_t mRequestHash = 0;
  /// Wall time, in milliseconds, after which the attempt cannot run any more.
  std::int64_t mExpiresAtMs = 0;
  bool mDone = false;
  unsigned mStatus = 0;
  std::string mContentType;
  std::string mBody;

  bool operator==(const claim_row&) const = default;
};

enum class claim_stage : std::uint8_t
{
  Queued,              ///< Waits for the next transaction.
  Sent,                ///< In the transaction that is on its way.
  WriteOutcomeUnknown, ///< That transaction's answer was lost; must be read
                       ///< back.
  Reading,             ///< The read is on its way.
  Held,                ///< Ours: may run, once.
  Running,
  Taken,  ///< Another attempt has the key; `mRow` tells more.
  GaveUp, ///< Never run and never to be run; the caller was told so.
};

struct claim
{
  std::string mKey;
  std::string mAttempt;
  std::uint64_t mRequestHash = 0;
  time_point mDeadline;
  std::int64_t mExpiresAtMs = 0; ///< The deadline as wall time.
  claim_stage mStage = claim_stage::Queued;
  std::optional<claim_row> mRow;
  time_point mNotBefore; ///< Pause before the store is asked again.
  unsigned mStoreFailures = 0;
  /// Our own row of an attempt that was given up stands in the way: it is
  /// replaced if it still carries this attempt.
  std::string mReplacesAttempt;

  bool operator==(const claim&) const = default;
};

/// A row to write: inserted if absent, or put in place of the row that carries
/// the attempt `mReplacesAttempt`.
struct claim_write
{
  std::string mKey;
  claim_row mRow;
  std::string mReplacesAttempt;

  bool operator==(const claim_write&) const = default;
};

struct claim_registry
{
  std::string mAgent;
  std::map<std::string, claim> mClaims; ///< By attempt.
  std::vector<claim_write> mResults;    ///< Outcomes to be written.
  std::map<std::string, time_point>
    mAbandonedAttempts; ///< Attempts never run, and until when remembered.
  bool mWriteInFlight = false;
  bool mReadInFlight = false;
  std::vector<claim_write> mResultsInFlight;
  time_point mNextWrite;
};

/// Rows in one transaction at the most; the platform bounds them.
inline constexpr std::size_t kMaxRowsPerTransaction = 100;
/// The shortest time between two transactions of an agent.
inline constexpr duration kMinWriteInterval = std::chrono::milliseconds(20);

/// A guarded call wants its key.
void
QueueClaim(claim_registry& aBoard,
           const std::string& aKey,
           const std::string& aAttempt,
           std::uint64_t aRequestHash,
           time_point aDeadline,
           time_point aNow,
           wall_time aWall);

/// The rows of the next transaction, if one is due. Marks them as sent.
std::vector<claim_write>
TakeWrites(claim_registry& aBoard, time_point aNow);
/// The keys to read back, if any. Marks them as being read.
std::vector<std::string>
TakeReads(claim_registry& aBoard, time_point aNow);

enum class write_outcome : std::uint8_t
{
  Committed,
  Conflict, ///< Nothing was written; the keys in the way are named.
  Lost,     ///< No answer: it may or may not have taken effect.
};

void
RecordWriteOutcome(claim_registry& aBoard,
                   write_outcome aOutcome,
                   const std::vector<std::string>& aConflicts,
                   time_point aNow,
                   random_engine& aRandom);

/// The rows read back; a key without a row is absent from the map. No value:
/// the read failed and is tried again.
void
RecordReadBack(claim_registry& aBoard,
               const std::optional<std::map<std::string, claim_row>>& aRows,
               time_point aNow,
               random_engine& aRandom);

/// The last look before the call is sent. True exactly once for a held claim
/// whose deadline has not passed.
bool
BeginExecution(claim_registry& aBoard,
               const std::string& aAttempt,
               time_point aNow);

/// The call ended: its answer is kept for repeats.
void
RecordExecution(claim_registry& aBoard,
                const std::string& aAttempt,
                claim_row aOutcome);

/// Gives a claim up. True: it has not run and never will.
bool
GiveUp(claim_registry& aBoard, const std::string& aAttempt, time_point aNow);

/// Where a claim stands, or null.
const claim*
FindClaim(const claim_registry& aBoard, const std::string& aAttempt);
void
DropClaim(claim_registry& aBoard, const std::string& aAttempt);

/// When a write or read is next due, if any is wanted.
std::optional<time_point>
NextStoreRequestTime(const claim_registry& aBoard);

} // namespace primrose
