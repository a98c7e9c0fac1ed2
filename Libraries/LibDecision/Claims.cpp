#include "LibDecision/Claims.h"

#include "LibDecision/Retry.h"

#include <algorithm>

namespace primrose {

namespace {

/// How long the id of an abandoned attempt is kept, so that its key can be
/// claimed again by this agent. After that a repeated call gets "outcome
/// unknown", which is less than the agent once had on record but still correct.
constexpr duration kAbandonedRetention = std::chrono::hours(1);
/// Longer than a row that was read may be waiting for its reader.
constexpr duration kExecutedRetention = std::chrono::seconds(10);
constexpr duration kStoreBackoffBase = std::chrono::milliseconds(50);

claim_row
ClaimRowFor(const claim_registry& aRegistry, const claim& aClaim)
{
  claim_row row;
  row.mAttempt = aClaim.mAttempt;
  row.mAgent = aRegistry.mAgent;
  row.mRequestHash = aClaim.mRequestHash;
  row.mExpiresAtMs = aClaim.mExpiresAtMs;
  return row;
}

void
DelayClaim(claim& aClaim, time_point aNow, random_engine& aRandom)
{
  ++aClaim.mStoreFailures;
  aClaim.mNotBefore =
    aNow + RetryBackoff(aClaim.mStoreFailures, kStoreBackoffBase, aRandom);
}

bool
IsDue(const claim& aClaim, claim_stage aStage, time_point aNow)
{
  return aClaim.mStage == aStage && aClaim.mNotBefore <= aNow;
}

void
PruneAttempts(claim_registry& aRegistry, time_point aNow)
{
  const auto isOver = [aNow](const auto& aItem) {
    return aItem.second <= aNow;
  };
  std::erase_if(aRegistry.mAbandonedAttempts, isOver);
  std::erase_if(aRegistry.mExecutedAttempts, isOver);
}

/// Sets the stage of a claim from the row that was read back for its key.
void
ResolveClaim(claim_registry& aRegistry,
             claim& aClaim,
             const claim_row* aRow,
             time_point aNow)
{
  if (aRow == nullptr) {
    // There is no row. The transaction may still reach the store later, but
    // sending the row again is harmless: either write carries this attempt's
    // id.
    aClaim.mStage = claim_stage::Queued;
    aClaim.mReplacesAttempt.clear();
    return;
  }
  if (aRow->mAttempt == aClaim.mAttempt) {
    aClaim.mStage = claim_stage::Held;
    return;
  }
  if (!aRow->mDone && aRegistry.mAbandonedAttempts.contains(aRow->mAttempt)) {
    aClaim.mStage = claim_stage::Queued;
    aClaim.mReplacesAttempt = aRow->mAttempt;
    aClaim.mNotBefore = aNow;
    return;
  }
  aClaim.mStage = claim_stage::Taken;
  aClaim.mRow = *aRow;
}

} // namespace

void
QueueClaim(claim_registry& aRegistry,
           const std::string& aKey,
           const std::string& aAttempt,
           std::uint64_t aRequestHash,
           time_point aDeadline,
           time_point aNow,
           wall_time aWallNow)
{
  claim newClaim;
  newClaim.mKey = aKey;
  newClaim.mAttempt = aAttempt;
  newClaim.mRequestHash = aRequestHash;
  newClaim.mDeadline = aDeadline;
  newClaim.mExpiresAtMs =
    aWallNow.time_since_epoch().count() + Milliseconds(aDeadline - aNow);
  newClaim.mNotBefore = aNow;
  aRegistry.mClaims.emplace(aAttempt, std::move(newClaim));
}

std::vector<claim_write>
TakeWrites(claim_registry& aRegistry, time_point aNow)
{
  std::vector<claim_write> writes;
  if (aRegistry.mWriteInFlight || aNow < aRegistry.mNextWrite) {
    return writes;
  }
  PruneAttempts(aRegistry, aNow);
  // A transaction may name a key only once. Of two claims on one key the second
  // waits for a later transaction and then conflicts with the first one's row.
  std::map<std::string, bool> usedKeys;
  for (const claim_write& result : aRegistry.mResults) {
    if (writes.size() < kMaxRowsPerTransaction &&
        usedKeys.emplace(result.mKey, true).second) {
      writes.push_back(result);
    }
  }
  aRegistry.mResultsInFlight = writes;
  for (auto& [attempt, claim] : aRegistry.mClaims) {
    if (writes.size() >= kMaxRowsPerTransaction) {
      break;
    }
    if (IsDue(claim, claim_stage::Queued, aNow) &&
        usedKeys.emplace(claim.mKey, true).second) {
      claim.mStage = claim_stage::WriteInFlight;
      writes.push_back(
        { claim.mKey, ClaimRowFor(aRegistry, claim), claim.mReplacesAttempt });
    }
  }
  if (!writes.empty()) {
    aRegistry.mWriteInFlight = true;
    aRegistry.mNextWrite = aNow + kMinWriteInterval;
  }
  return writes;
}

std::vector<std::string>
TakeReads(claim_registry& aRegistry, time_point aNow)
{
  std::vector<std::string> keys;
  if (aRegistry.mReadInFlight) {
    return keys;
  }
  for (auto& [attempt, claim] : aRegistry.mClaims) {
    if (keys.size() < kMaxRowsPerTransaction &&
        IsDue(claim, claim_stage::WriteOutcomeUnknown, aNow)) {
      claim.mStage = claim_stage::ReadInFlight;
      keys.push_back(claim.mKey);
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  aRegistry.mReadInFlight = !keys.empty();
  return keys;
}

namespace {

void
ResolveResults(claim_registry& aRegistry,
               write_outcome aOutcome,
               const std::vector<std::string>& aConflicts)
{
  for (const claim_write& write : aRegistry.mResultsInFlight) {
    const bool isConflict =
      std::find(aConflicts.begin(), aConflicts.end(), write.mKey) !=
      aConflicts.end();
    // A result whose write got no answer is written again: its row is replaced
    // only while it carries this attempt's id, so a second write changes
    // nothing. A result that conflicts has been written already, or its row
    // belongs to another attempt; it is dropped.
    const bool isResolved = aOutcome == write_outcome::Committed ||
                            (aOutcome == write_outcome::Conflict && isConflict);
    if (isResolved) {
      std::erase(aRegistry.mResults, write);
    }
  }
  aRegistry.mResultsInFlight.clear();
}

} // namespace

void
RecordWriteOutcome(claim_registry& aRegistry,
                   write_outcome aOutcome,
                   const std::vector<std::string>& aConflicts,
                   time_point aNow,
                   random_engine& aRandom)
{
  aRegistry.mWriteInFlight = false;
  ResolveResults(aRegistry, aOutcome, aConflicts);
  for (auto& [attempt, claim] : aRegistry.mClaims) {
    if (claim.mStage != claim_stage::WriteInFlight) {
      continue;
    }
    if (aOutcome == write_outcome::Committed) {
      claim.mStage = claim_stage::Held;
      continue;
    }
    const bool isConflict =
      std::find(aConflicts.begin(), aConflicts.end(), claim.mKey) !=
      aConflicts.end();
    if (aOutcome == write_outcome::Conflict && !isConflict) {
      claim.mStage = claim_stage::Queued;
      continue;
    }
    claim.mStage = claim_stage::WriteOutcomeUnknown;
    if (aOutcome == write_outcome::Lost) {
      DelayClaim(claim, aNow, aRandom);
    }
  }
  if (aOutcome == write_outcome::Lost) {
    aRegistry.mNextWrite =
      aNow +
      std::max(kMinWriteInterval, RetryBackoff(2, kStoreBackoffBase, aRandom));
  }
}

void
RecordReadBack(claim_registry& aRegistry,
               const std::optional<std::map<std::string, claim_row>>& aRows,
               time_point aNow,
               random_engine& aRandom)
{
  aRegistry.mReadInFlight = false;
  for (auto& [attempt, claim] : aRegistry.mClaims) {
    if (claim.mStage != claim_stage::ReadInFlight) {
      continue;
    }
    if (!aRows) {
      claim.mStage = claim_stage::WriteOutcomeUnknown;
      DelayClaim(claim, aNow, aRandom);
      continue;
    }
    const auto row = aRows->find(claim.mKey);
    ResolveClaim(
      aRegistry, claim, row == aRows->end() ? nullptr : &row->second, aNow);
  }
}

bool
BeginExecution(claim_registry& aRegistry,
               const std::string& aAttempt,
               time_point aNow)
{
  const auto found = aRegistry.mClaims.find(aAttempt);
  if (found == aRegistry.mClaims.end() ||
      found->second.mStage != claim_stage::Held ||
      aNow >= found->second.mDeadline) {
    return false;
  }
  found->second.mStage = claim_stage::Running;
  return true;
}

void
RecordExecution(claim_registry& aRegistry,
                const std::string& aAttempt,
                claim_row aOutcome,
                time_point aNow)
{
  const auto found = aRegistry.mClaims.find(aAttempt);
  if (found == aRegistry.mClaims.end()) {
    return;
  }
  claim_row row = ClaimRowFor(aRegistry, found->second);
  row.mDone = true;
  row.mStatus = aOutcome.mStatus;
  row.mContentType = std::move(aOutcome.mContentType);
  row.mBody = std::move(aOutcome.mBody);
  aRegistry.mResults.push_back(
    { found->second.mKey, std::move(row), aAttempt });
  aRegistry.mClaims.erase(found);
  aRegistry.mExecutedAttempts.insert_or_assign(aAttempt,
                                               aNow + kExecutedRetention);
}

bool
WasExecutedRecently(const claim_registry& aRegistry,
                    const std::string& aAttempt,
                    time_point aNow)
{
  const auto found = aRegistry.mExecutedAttempts.find(aAttempt);
  return found != aRegistry.mExecutedAttempts.end() && found->second > aNow;
}

bool
GiveUp(claim_registry& aRegistry, const std::string& aAttempt, time_point aNow)
{
  const auto found = aRegistry.mClaims.find(aAttempt);
  if (found == aRegistry.mClaims.end()) {
    return aRegistry.mAbandonedAttempts.contains(aAttempt);
  }
  if (found->second.mStage == claim_stage::Running) {
    return false;
  }
  aRegistry.mAbandonedAttempts.insert_or_assign(aAttempt,
                                                aNow + kAbandonedRetention);
  aRegistry.mClaims.erase(found);
  return true;
}

const claim*
FindClaim(const claim_registry& aRegistry, const std::string& aAttempt)
{
  const auto found = aRegistry.mClaims.find(aAttempt);
  return found == aRegistry.mClaims.end() ? nullptr : &found->second;
}

void
DropClaim(claim_registry& aRegistry, const std::string& aAttempt)
{
  aRegistry.mClaims.erase(aAttempt);
}

std::optional<time_point>
NextStoreRequestTime(const claim_registry& aRegistry)
{
  std::optional<time_point> next;
  const auto consider = [&next](time_point aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  for (const auto& [attempt, claim] : aRegistry.mClaims) {
    if (claim.mStage == claim_stage::Queued && !aRegistry.mWriteInFlight) {
      consider(std::max(claim.mNotBefore, aRegistry.mNextWrite));
    }
    if (claim.mStage == claim_stage::WriteOutcomeUnknown &&
        !aRegistry.mReadInFlight) {
      consider(claim.mNotBefore);
    }
  }
  if (!aRegistry.mResults.empty() && !aRegistry.mWriteInFlight) {
    consider(aRegistry.mNextWrite);
  }
  return next;
}

} // namespace primrose
