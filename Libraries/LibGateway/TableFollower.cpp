#include "LibGateway/TableFollower.h"

#include "LibGateway/GatewayMetrics.h"

#include <algorithm>
#include <set>

namespace primrose {

namespace {

constexpr duration kLongPollSlack = std::chrono::milliseconds(500);
/// A whole reading takes some milliseconds; a slow platform up to 250.
constexpr duration kReadTimeout = std::chrono::milliseconds(900);
/// Answers over these are logged: a few versions of a manifest of some hundred
/// routes, or a tenth of the seconds within which a change is to be in force.
constexpr std::size_t kLargeAnswer = std::size_t{ 256 } * 1024;
constexpr duration kSlowAnswer = std::chrono::milliseconds(200);
/// So many bytes of versions that are replaced within the same answer show that
/// changes come faster than they are read here, as on a narrow link or after a
/// pause of the machine. 256 KB take a seventh of a second at 20 Mbit/s.
constexpr std::size_t kMaxSupersededBytes = std::size_t{ 256 } * 1024;

/// Bytes of rows of which the same answer has a later version.
std::size_t
SupersededBytes(const table_read_result& aReading)
{
  std::set<std::string_view> later;
  std::size_t bytes = 0;
  for (auto row = aReading.mRows.rbegin(); row != aReading.mRows.rend();
       ++row) {
    if (!later.insert(row->mKey).second && row->mValue.has_value()) {
      bytes += row->mValue->size();
    }
  }
  return bytes;
}

} // namespace

bool
HasMoreRows(const table_read_result& aReading)
{
  return aReading.mTruncated && !aReading.mRows.empty();
}

std::string
NextPageKey(const table_read_result& aReading)
{
  return aReading.mRows.back().mKey + '\x01';
}

table_follower::table_follower(event_loop& aLoop,
                               const gateway_adapter& aAdapter,
                               gateway_state& aBoard,
                               const ip_address& aStore,
                               std::string aTable,
                               duration aGather,
                               listener aListener)
  : mLoop(aLoop)
  , mAdapter(aAdapter)
  , mBoard(aBoard)
  , mTable(std::move(aTable))
  , mChangeBatchDelay(aGather)
  , mListener(std::move(aListener))
  , mCaller(aLoop, aStore)
{
}

table_follower::~table_follower()
{
  mLoop.Cancel(mTimer);
}

void
table_follower::Start()
{
  ReadTableFrom("");
}

void
table_follower::Refresh(duration aPatience)
{
  // What peers know already is asked for when the changes have gathered.
  if (mChangeBatchPending) {
    return;
  }
  // A question that was just asked, or whose answer is coming, is not silent.
  if (mCaller.Busy() &&
      (mCaller.Received() > 0 || mCaller.TimeInFlight() < aPatience)) {
    Log(log_level::Info,
        "store_answer_awaited",
        { { "table", mTable },
          { "revision", mRevision.value_or(0) },
          { "asked_ms", Milliseconds(mCaller.TimeInFlight()) },
          { "received_bytes", mCaller.Received() } });
    return;
  }
  Log(log_level::Warning,
      "store_asked_anew",
      { { "table", mTable },
        { "revision", mRevision.value_or(0) },
        { "asked_ms", Milliseconds(mCaller.TimeInFlight()) },
        { "received_bytes", mCaller.Received() } });
  if (mCaller.Busy()) {
    mBoard.mMetrics.Count(
      Labelled("gateway_store_given_up_total", "table", mTable));
    // A silent path gives no error: unless the question counts as unanswered,
    // the store never counts as lost here, and no peer is asked.
    RecordFailure(table_read_result{});
  }
  mCaller.CancelCalls();
  mLoop.Cancel(mTimer);
  Ask();
}

void
table_follower::Ask()
{
  if (mRevision.has_value() && !mMayHaveMissedChanges) {
    ReadChanges();
  } else {
    ReadTableFrom("");
  }
}

void
table_follower::ReadTableFrom(const std::string& aFromKey)
{
  if (aFromKey.empty()) {
    mGathered = table_read_result{};
  }
  mCaller.Call(
    mAdapter.mReadTable(mTable, aFromKey),
    kReadTimeout,
    [this](const http_answer& aAnswer) { OnTablePage(Decode(aAnswer)); });
}

table_read_result
table_follower::Decode(const http_answer& aAnswer)
{
  table_read_result reading = mAdapter.mDecodeTable(aAnswer);
  mBoard.mMetrics.Count(
    Labelled("gateway_store_read_bytes_total", "table", mTable),
    static_cast<double>(aAnswer.mBody.size()));
  if (aAnswer.mBody.size() > kLargeAnswer || aAnswer.mArrival > kSlowAnswer) {
    Log(log_level::Info,
        "store_answer",
        { { "table", mTable },
          { "rows", reading.mRows.size() },
          { "bytes", aAnswer.mBody.size() },
          { "arrival_ms", Milliseconds(aAnswer.mArrival) },
          { "held_revision", mRevision.value_or(0) },
          { "revision", reading.mRevision } });
  }
  return reading;
}

void
table_follower::OnTablePage(table_read_result aReading)
{
  if (aReading.mOutcome != table_read_result::outcome::Good) {
    RetryAfterFailure(aReading);
    return;
  }
  RecordSuccess();
  const bool first = mGathered.mRows.empty();
  // A table in several answers is as old as the first of them.
  mGathered.mRevision = first ? aReading.mRevision : mGathered.mRevision;
  mGathered.mRows.insert(
    mGathered.mRows.end(), aReading.mRows.begin(), aReading.mRows.end());
  if (HasMoreRows(aReading)) {
    ReadTableFrom(NextPageKey(aReading));
    return;
  }
  // A reading may be behind what was known; what came before stays known.
  mRevision = std::max(mRevision.value_or(0), mGathered.mRevision);
  mMayHaveMissedChanges = false;
  mJitterNextPoll = true;
  mListener.mWhole(mGathered);
  mGathered = table_read_result{};
  ReadChanges();
}

void
table_follower::ReadChanges()
{
  const duration wait = LongPollWait(
    mBoard.mPeers.size(),
    mJitterNextPoll ? std::optional(Uniform(mBoard.mRandom)) : std::nullopt);
  mJitterNextPoll = false;
  mCaller.Call(
    mAdapter.mReadChanges(mTable, *mRevision, wait),
    wait + kLongPollSlack,
    [this](const http_answer& aAnswer) { OnChanges(Decode(aAnswer)); });
}

void
table_follower::OnChanges(const table_read_result& aReading)
{
  if (aReading.mOutcome != table_read_result::outcome::Good) {
    RetryAfterFailure(aReading);
    return;
  }
  RecordSuccess();
  mFailures = 0;
  mRevision = std::max(*mRevision, aReading.mRevision);
  if (aReading.mRows.empty()) {
    ReadChanges();
    return;
  }
  mJitterNextPoll = true;
  mListener.mChanges(aReading);
  mMayHaveMissedChanges = SupersededBytes(aReading) > kMaxSupersededBytes;
  if (mMayHaveMissedChanges) {
    Ask();
    return;
  }
  mChangeBatchPending = true;
  mTimer = mLoop.After(mChangeBatchDelay, [this]() {
    mTimer = 0;
    mChangeBatchPending = false;
    ReadChanges();
  });
}

void
table_follower::RecordSuccess()
{
  if (!mReached) {
    Log(log_level::Info,
        "store_reached",
        { { "table", mTable },
          { "away_ms",
            mTroubled ? Milliseconds(mLoop.Now() - mFailingSince) : 0 },
          { "failures", mFailures } });
  }
  mBoard.mStoreAnsweredAt[mTable] = mLoop.Now();
  CountStoreCall(mBoard.mMetrics, table_read_result::outcome::Good);
  mReached = true;
  mTroubled = false;
}

void
table_follower::RecordFailure(const table_read_result& aReading)
{
  const bool lost =
    aReading.mOutcome == table_read_result::outcome::HistoryLost;
  if (lost) {
    Log(log_level::Warning,
        "store_history_lost",
        { { "table", mTable }, { "revision", mRevision.value_or(0) } });
  } else if (!mTroubled) {
    mTroubled = true;
    mFailingSince = mLoop.Now();
    Log(log_level::Warning,
        "store_lost",
        { { "table", mTable },
          { "outcome",
            aReading.mOutcome == table_read_result::outcome::Refused
              ? "refused"
              : "no_answer" },
          { "revision", mRevision.value_or(0) } });
  }
  mReached = mReached && lost;
  mMayHaveMissedChanges = true;
  CountStoreCall(mBoard.mMetrics, aReading.mOutcome);
  mBoard.mMetrics.Count("gateway_store_failures_total");
}

void
table_follower::RetryAfterFailure(const table_read_result& aReading)
{
  RecordFailure(aReading);
  const duration pause =
    StoreBackoff(mFailures++, mBoard.mPeers.size(), Uniform(mBoard.mRandom));
  mTimer = mLoop.After(pause, [this]() {
    mTimer = 0;
    Ask();
  });
}

} // namespace primrose
