#include "LibGateway/QuarantineTable.h"

#include "LibGossip/LibGossip.h"

#include <charconv>

namespace primrose {

namespace {

/// A store call takes 4 ms, and up to 250 ms if the store is slow.
constexpr duration kTimeout = std::chrono::milliseconds(900);
/// A request waits for the answer to a claim. After this time it is refused, as
/// it would be without the trial.
constexpr duration kClaimTimeout = std::chrono::milliseconds(400);

constexpr std::size_t kDigestDigits = 16;
constexpr int kHexBase = 16;

} // namespace

std::string
QuarantineRowKey(request_digest aRequest)
{
  return DigestText(aRequest);
}

std::string
TrialRowKey(request_digest aRequest, unsigned aTrial)
{
  return DigestText(aRequest) + '-' + std::to_string(aTrial);
}

std::optional<quarantined_request>
ParseQuarantineRowKey(std::string_view aKey)
{
  quarantined_request held;
  const char* const end = aKey.data() + aKey.size();
  const std::from_chars_result digits =
    std::from_chars(aKey.data(), end, held.mRequest, kHexBase);
  if (digits.ec != std::errc{} || digits.ptr != aKey.data() + kDigestDigits) {
    return std::nullopt;
  }
  if (digits.ptr == end) {
    return held;
  }
  const std::from_chars_result trial =
    std::from_chars(digits.ptr + 1, end, held.mTrials);
  if (*digits.ptr != '-' || trial.ec != std::errc{} || trial.ptr != end) {
    return std::nullopt;
  }
  return held;
}

quarantine_table::quarantine_table(event_loop& aLoop,
                                   const gateway_settings& aSettings,
                                   const store_adapter& aAdapter,
                                   gateway_state& aBoard)
  : mLoop(aLoop)
  , mAdapter(aAdapter)
  , mBoard(aBoard)
  , mCaller(aLoop, aSettings.mStore)
{
}

void
quarantine_table::LoadRows(loaded_callback aOnLoaded)
{
  mOnLoaded = std::move(aOnLoaded);
  LoadRowsFrom("");
}

void
quarantine_table::LoadRowsFrom(const std::string& aKey)
{
  mCaller.Call(
    mAdapter.mReadTable(mAdapter.mQuarantineTable, aKey),
    kTimeout,
    [this, aKey](const http_answer& aAnswer) {
      const table_read_result reading = mAdapter.mDecodeTable(aAnswer);
      CountStoreCall(mBoard.mMetrics, reading.mOutcome);
      if (reading.mOutcome != table_read_result::outcome::Good) {
        mNextKeyToLoad = aKey;
        RetryLater();
        return;
      }
      for (const row_change<std::string>& row : reading.mRows) {
        const std::optional<quarantined_request> parsed =
          ParseQuarantineRowKey(row.mKey);
        if (parsed.has_value()) {
          quarantined_request& held = mLoaded[parsed->mRequest];
          held.mRequest = parsed->mRequest;
          held.mTrials = std::max(held.mTrials, parsed->mTrials);
        }
      }
      if (HasMoreRows(reading)) {
        LoadRowsFrom(NextPageKey(reading));
        return;
      }
      std::vector<quarantined_request> all;
      for (const auto& [request, held] : std::exchange(mLoaded, {})) {
        all.push_back(held);
      }
      mOnLoaded(all);
    });
}

void
quarantine_table::Add(request_digest aRequest)
{
  mCaller.Call(mAdapter.mInsertRow(
                 mAdapter.mQuarantineTable, QuarantineRowKey(aRequest), "held"),
               kTimeout,
               [this, aRequest](const http_answer& aAnswer) {
                 const write_outcome outcome = mAdapter.mReadWrite(aAnswer);
                 if (outcome == write_outcome::Done ||
                     outcome == write_outcome::Exists) {
                   return;
                 }
                 mToAdd.insert(aRequest);
                 RetryLater();
               });
}

void
quarantine_table::ClaimTrial(request_digest aRequest,
                             unsigned aTrial,
                             claim_callback aCallback)
{
  mCaller.Call(
    mAdapter.mInsertRow(
      mAdapter.mQuarantineTable, TrialRowKey(aRequest, aTrial), "taken"),
    kClaimTimeout,
    [this, callback = std::move(aCallback)](const http_answer& aAnswer) {
      callback(mAdapter.mReadWrite(aAnswer));
    });
}

void
quarantine_table::Remove(request_digest aRequest)
{
  std::vector<std::string> keys = { QuarantineRowKey(aRequest) };
  for (unsigned trial = 1; trial <= kMaxTrials; ++trial) {
    keys.push_back(TrialRowKey(aRequest, trial));
  }
  mCaller.Call(mAdapter.mRemoveRows(mAdapter.mQuarantineTable, keys),
               kTimeout,
               [this, aRequest](const http_answer& aAnswer) {
                 if (mAdapter.mReadWrite(aAnswer) != write_outcome::Done) {
                   mToRemove.insert(aRequest);
                   RetryLater();
                 }
               });
}

void
quarantine_table::RetryNow()
{
  mRetryAt = mLoop.Now();
  Tick();
}

void
quarantine_table::Tick()
{
  if (mLoop.Now() < mRetryAt) {
    return;
  }
  if (mNextKeyToLoad.has_value()) {
    LoadRowsFrom(*std::exchange(mNextKeyToLoad, std::nullopt));
  }
  for (const request_digest request : std::exchange(mToAdd, {})) {
    if (mBoard.mQuarantine.mHeld.contains(request)) {
      Add(request);
    }
  }
  for (const request_digest request : std::exchange(mToRemove, {})) {
    if (!mBoard.mQuarantine.mHeld.contains(request)) {
      Remove(request);
    }
  }
}

} // namespace primrose
