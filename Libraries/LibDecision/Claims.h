#pragma once

/// At-most-once execution of guarded calls. Before a call runs, the agent
/// claims its idempotency key with a row in the platform's table: the row is
/// inserted only if absent and carries the attempt's id. All pending claims of
/// an agent go into one transaction (group commit), so the number of store
/// writes depends on agents and time, not on calls.
///
/// The answer of the store can be lost after the write took effect. The outcome
/// of the claim is then unknown: the call is neither run nor abandoned, but the
/// row is read back, and the attempt id in it shows which attempt owns the key.
/// Only a claim in stage `Held` may run.

#include "LibCore/LibCore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrose {

/// A claim row of one key, as stored in the platform's table.
struct claim_row
{
  std::string mAttempt;
  std::string mAgent;
  std::uint64_t mRequestHash = 0;
  /// Wall clock time in milliseconds after which the attempt cannot run any
  /// more.
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
  WriteInFlight,       ///< In the transaction in flight.
  WriteOutcomeUnknown, ///< The transaction's answer was lost or named a
                       ///< conflict; the row must be read back.
  ReadInFlight,        ///< The read-back is in flight.
  Held,                ///< This attempt owns the key and may run once.
  Running,
  Taken,     ///< Another attempt owns the key; see `mRow`.
  Abandoned, ///< Never run and never to be run; the caller got this answer.
};

struct claim
{
  std::string mKey;
  std::string mAttempt;
  std::uint64_t mRequestHash = 0;
  time_point mDeadline;
  std::int64_t mExpiresAtMs = 0; ///< The deadline as wall clock time.
  claim_stage mStage = claim_stage::Queued;
  std::optional<claim_row> mRow;
  /// No store request for this claim before this time (back-off).
  time_point mNotBefore;
  unsigned mStoreFailures = 0;
  /// Attempt id of an abandoned attempt of this agent whose row holds the key.
  /// The row is replaced if it still carries this id.
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
  /// Attempts that never ran, and until when they are kept.
  std::map<std::string, time_point> mAbandonedAttempts;
  /// Attempts whose outcome was recorded a short time ago, and until when they
  /// are kept. A row that was read before may not have the outcome yet.
  std::map<std::string, time_point> mExecutedAttempts;
  bool mWriteInFlight = false;
  bool mReadInFlight = false;
  std::vector<claim_write> mResultsInFlight;
  time_point mNextWrite;
};

/// Maximum number of rows in one transaction; the platform limits it.
inline constexpr std::size_t kMaxRowsPerTransaction = 100;
/// Minimum interval between two transactions of an agent.
inline constexpr duration kMinWriteInterval = std::chrono::milliseconds(20);

/// Queues a claim on the key of a guarded call.
void
QueueClaim(claim_registry& aRegistry,
           const std::string& aKey,
           const std::string& aAttempt,
           std::uint64_t aRequestHash,
           time_point aDeadline,
           time_point aNow,
           wall_time aWallNow);

/// The rows of the next transaction if one is due; marks their claims as in
/// flight.
std::vector<claim_write>
TakeWrites(claim_registry& aRegistry, time_point aNow);
/// The keys to read back, if any; marks their claims as being read.
std::vector<std::string>
TakeReads(claim_registry& aRegistry, time_point aNow);

enum class write_outcome : std::uint8_t
{
  Committed,
  Conflict, ///< Nothing was written; the conflicting keys are listed.
  Lost,     ///< No answer: the write may or may not have taken effect.
};

void
RecordWriteOutcome(claim_registry& aRegistry,
                   write_outcome aOutcome,
                   const std::vector<std::string>& aConflicts,
                   time_point aNow,
                   random_engine& aRandom);

/// Handles the rows that were read back; a key without a row is absent from the
/// map. `std::nullopt`: the read failed and is retried.
void
RecordReadBack(claim_registry& aRegistry,
               const std::optional<std::map<std::string, claim_row>>& aRows,
               time_point aNow,
               random_engine& aRandom);

/// The last check before the call is sent. Returns true exactly once for a held
/// claim whose deadline has not passed.
bool
BeginExecution(claim_registry& aRegistry,
               const std::string& aAttempt,
               time_point aNow);

/// Records the outcome of a call; it is written to the store as the answer for
/// repeated calls with this key.
void
RecordExecution(claim_registry& aRegistry,
                const std::string& aAttempt,
                claim_row aOutcome,
                time_point aNow);

/// True if this agent has recorded the outcome of the attempt a short time ago,
/// so that its row has the outcome or will have it as soon as it is written.
bool
WasExecutedRecently(const claim_registry& aRegistry,
                    const std::string& aAttempt,
                    time_point aNow);

/// Abandons a claim. Returns true if the call has not run and never will.
bool
GiveUp(claim_registry& aRegistry, const std::string& aAttempt, time_point aNow);

/// The claim of an attempt, or null.
const claim*
FindClaim(const claim_registry& aRegistry, const std::string& aAttempt);
void
DropClaim(claim_registry& aRegistry, const std::string& aAttempt);

/// Time at which the next store write or read is due, if one is pending.
std::optional<time_point>
NextStoreRequestTime(const claim_registry& aRegistry);

} // namespace primrose
