#include "LibDecision/Claims.h"

#include "LibDecision/Retry.h"

#include <algorithm>

namespace primrose {

namespace {

/// How long an attempt that was given up is remembered, so that its key can be
/// claimed again here. After that a repeat is told that the outcome is not
/// known, which is less than we knew but not untrue.
constexpr duration kAbandonedRetention = std::chrono::hours(1);
constexpr duration kStoreBackoffBase = std::chrono::milliseconds(50);

claim_row
ClaimRowFor(const claim_registry& aBoard, const claim& aClaim)
{
  claim_row row;
  row.mAttempt = aClaim.mAttempt;
  row.mAgent = aBoard.mAgent;
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
PruneAbandonedAttempts(claim_registry& aBoard, time_point aNow)
{
  std::erase_if(aBoard.mAbandonedAttempts,
                [&](const auto& aItem) { return aItem.second <= aNow; });
}

/// What a row that was read back means for the claim on its key.
void
ResolveClaim(claim_registry& aBoard,
             claim& aClaim,
             const claim_row* aRow,
             time_point aNow)
{
  if (aRow == nullptr) {
    // Not there. Our transaction may still be on its way to the store, but
    // sending it again is harmless: whichever comes first carries our id.
    aClaim.mStage = claim_stage::Queued;
    aClaim.mReplacesAttempt.clear();
    return;
  }
  if (aRow->mAttempt == aClaim.mAttempt) {
    aClaim.mStage = claim_stage::Held;
    return;
  }
  if (!aRow->mDone && aBoard.mAbandonedAttempts.contains(aRow->mAttempt)) {
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
QueueClaim(claim_registry& aBoard,
           const std::string& aKey,
           const std::string& aAttempt,
           std::uint64_t aRequestHash,
           time_point aDeadline,
           time_point aNow,
           wall_time aWall)
{
  claim wanted;
  wanted.mKey = aKey;
  wanted.mAttempt = aAttempt;
  wanted.mRequestHash = aRequestHash;
  wanted.mDeadline = aDeadline;
  wanted.mExpiresAtMs =
    aWall.time_since_epoch().count() + Milliseconds(aDeadline - aNow);
  wanted.mNotBefore = aNow;
  aBoard.mClaims.emplace(aAttempt, std::move(wanted));
}

std::vector<claim_write>
TakeWrites(claim_registry& aBoard, time_point aNow)
{
  std::vector<claim_write> writes;
  if (aBoard.mWriteInFlight || aNow < aBoard.mNextWrite) {
    return writes;
  }
  PruneAbandonedAttempts(aBoard, aNow);
  // One transaction may not name a key twice; of two claims on one key the
  // second waits and then meets the first one's row.
  std::map<std::string, bool> named;
  for (const claim_write& result : aBoard.mResults) {
    if (writes.size() < kMaxRowsPerTransaction &&
        named.emplace(result.mKey, true).second) {
      writes.push_back(result);
    }
  }
  aBoard.mResultsInFlight = writes;
  for (auto& [attempt, claim] : aBoard.mClaims) {
    if (writes.size() >= kMaxRowsPerTransaction) {
      break;
    }
    if (IsDue(claim, claim_stage::Queued, aNow) &&
        named.emplace(claim.mKey, true).second) {
      claim.mStage = claim_stage::Sent;
      writes.push_back(
        { claim.mKey, ClaimRowFor(aBoard, claim), claim.mReplacesAttempt });
    }
  }
  if (!writes.empty()) {
    aBoard.mWriteInFlight = true;
    aBoard.mNextWrite = aNow + kMinWriteInterval;
  }
  return writes;
}

std::vector<std::string>
TakeReads(claim_registry& aBoard, time_point aNow)
{
  std::vector<std::string> keys;
  if (aBoard.mReadInFlight) {
    return keys;
  }
  for (auto& [attempt, claim] : aBoard.mClaims) {
    if (keys.size() < kMaxRowsPerTransaction &&
        IsDue(claim, claim_stage::WriteOutcomeUnknown, aNow)) {
      claim.mStage = claim_stage::Reading;
      keys.push_back(claim.mKey);
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  aBoard.mReadInFlight = !keys.empty();
  return keys;
}

namespace {

void
ResolveResults(claim_registry& aBoard,
               write_outcome aOutcome,
               const std::vector<std::string>& aConflicts)
{
  for (const claim_write& sent : aBoard.mResultsInFlight) {
    const bool inTheWay =
      std::find(aConflicts.begin(), aConflicts.end(), sent.mKey) !=
      aConflicts.end();
    // A result that was lost is written again: its row is replaced only while
    // it carries our attempt, so writing it twice changes nothing. One whose
    // row is no longer ours has been written already or has no place.
    const bool settled = aOutcome == write_outcome::Committed ||
                         (aOutcome == write_outcome::Conflict && inTheWay);
    if (settled) {
      std::erase(aBoard.mResults, sent);
    }
  }
  aBoard.mResultsInFlight.clear();
}

} // namespace

void
RecordWriteOutcome(claim_registry& aBoard,
                   write_outcome aOutcome,
                   const std::vector<std::string>& aConflicts,
                   time_point aNow,
                   random_engine& aRandom)
{
  aBoard.mWriteInFlight = false;
  ResolveResults(aBoard, aOutcome, aConflicts);
  for (auto& [attempt, claim] : aBoard.mClaims) {
    if (claim.mStage != claim_stage::Sent) {
      continue;
    }
    if (aOutcome == write_outcome::Committed) {
      claim.mStage = claim_stage::Held;
      continue;
    }
    const bool inTheWay =
      std::find(aConflicts.begin(), aConflicts.end(), claim.mKey) !=
      aConflicts.end();
    if (aOutcome == write_outcome::Conflict && !inTheWay) {
      claim.mStage = claim_stage::Queued;
      continue;
    }
    claim.mStage = claim_stage::WriteOutcomeUnknown;
    if (aOutcome == write_outcome::Lost) {
      DelayClaim(claim, aNow, aRandom);
    }
  }
  if (aOutcome == write_outcome::Lost) {
    aBoard.mNextWrite =
      aNow +
      std::max(kMinWriteInterval, RetryBackoff(2, kStoreBackoffBase, aRandom));
  }
}

void
RecordReadBack(claim_registry& aBoard,
               const std::optional<std::map<std::string, claim_row>>& aRows,
               time_point aNow,
               random_engine& aRandom)
{
  aBoard.mReadInFlight = false;
  for (auto& [attempt, claim] : aBoard.mClaims) {
    if (claim.mStage != claim_stage::Reading) {
      continue;
    }
    if (!aRows) {
      claim.mStage = claim_stage::WriteOutcomeUnknown;
      DelayClaim(claim, aNow, aRandom);
      continue;
    }
    const auto row = aRows->find(claim.mKey);
    ResolveClaim(
      aBoard, claim, row == aRows->end() ? nullptr : &row->second, aNow);
  }
}

bool
BeginExecution(claim_registry& aBoard,
               const std::string& aAttempt,
               time_point aNow)
{
  const auto found = aBoard.mClaims.find(aAttempt);
  if (found == aBoard.mClaims.end() ||
      found->second.mStage != claim_stage::Held ||
      aNow >= found->second.mDeadline) {
    return false;
  }
  found->second.mStage = claim_stage::Running;
  return true;
}

void
RecordExecution(claim_registry& aBoard,
                const std::string& aAttempt,
                claim_row aOutcome)
{
  const auto found = aBoard.mClaims.find(aAttempt);
  if (found == aBoard.mClaims.end()) {
    return;
  }
  claim_row row = ClaimRowFor(aBoard, found->second);
  row.mDone = true;
  row.mStatus = aOutcome.mStatus;
  row.mContentType = std::move(aOutcome.mContentType);
  row.mBody = std::move(aOutcome.mBody);
  aBoard.mResults.push_back({ found->second.mKey, std::move(row), aAttempt });
  aBoard.mClaims.erase(found);
}

bool
GiveUp(claim_registry& aBoard, const std::string& aAttempt, time_point aNow)
{
  const auto found = aBoard.mClaims.find(aAttempt);
  if (found == aBoard.mClaims.end()) {
    return aBoard.mAbandonedAttempts.contains(aAttempt);
  }
  if (found->second.mStage == claim_stage::Running) {
    return false;
  }
  aBoard.mAbandonedAttempts.insert_or_assign(aAttempt,
                                             aNow + kAbandonedRetention);
  aBoard.mClaims.erase(found);
  return true;
}

const claim*
FindClaim(const claim_registry& aBoard, const std::string& aAttempt)
{
  const auto found = aBoard.mClaims.find(aAttempt);
  return found == aBoard.mClaims.end() ? nullptr : &found->second;
}

void
DropClaim(claim_registry& aBoard, const std::string& aAttempt)
{
  aBoard.mClaims.erase(aAttempt);
}

std::optional<time_point>
NextStoreRequestTime(const claim_registry& aBoard)
{
  std::optional<time_point> next;
  const auto consider = [&next](time_point aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  for (const auto& [attempt, claim] : aBoard.mClaims) {
    if (claim.mStage == claim_stage::Queued && !aBoard.mWriteInFlight) {
      consider(std::max(claim.mNotBefore, aBoard.mNextWrite));
    }
    if (claim.mStage == claim_stage::WriteOutcomeUnknown &&
        !aBoard.mReadInFlight) {
      consider(claim.mNotBefore);
    }
  }
  if (!aBoard.mResults.empty() && !aBoard.mWriteInFlight) {
    consider(aBoard.mNextWrite);
  }
  return next;
}

} // namespace primrose
