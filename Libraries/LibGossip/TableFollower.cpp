#include "LibGossip/TableFollower.h"

#include "LibGossip/GatewayMetrics.h"

#include <algorithm>
#include <set>

namespace primrose {

namespace {

constexpr duration kLongPollSlack = std::chrono::milliseconds(500);
/// A full read takes some milliseconds, and up to 250 ms if the store is slow.
constexpr duration kReadTimeout = std::chrono::milliseconds(900);
/// Answers over these limits are logged: the size of a few versions of a
/// manifest with some hundred routes, and a tenth of the time within which a
/// change must take effect.
constexpr std::size_t kLargeAnswer = std::size_t{ 256 } * 1024;
constexpr duration kSlowAnswer = std::chrono::milliseconds(200);
/// If an answer has more bytes than this of superseded row versions, changes
/// arrive faster than they are read, as on a slow link or after a pause of the
/// machine. 256 KB take a seventh of a second at 20 Mbit/s.
constexpr std::size_t kMaxSupersededBytes = std::size_t{ 256 } * 1024;

/// Bytes of row versions that a later version in the same answer
/// supersedes.
std::size_t
SupersededBytes(const table_read_result& aReading)
{
  std::set<std::string_view> newerKeys;
  std::size_t bytes = 0;
  for (auto row = aReading.mRows.rbegin(); row != aReading.mRows.rend();
       ++row) {
    if (!newerKeys.insert(row->mKey).second && row->mValue.has_value()) {
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
                               const store_adapter& aAdapter,
                               gateway_state& aBoard,
                               const gateway_settings& aSettings,
                               belief aBelief,
                               std::string aTable,
                               duration aBatchDelay,
                               listener aListener)
  : mLoop(aLoop)
  , mAdapter(aAdapter)
  , mBoard(aBoard)
  , mSettings(aSettings)
  , mBelief(aBelief)
  , mTable(std::move(aTable))
  , mChangeBatchDelay(aBatchDelay)
  , mListener(std::move(aListener))
  , mCaller(aLoop, aSettings.mStore)
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
table_follower::Refresh(duration aTimeout)
{
  // The delayed poll will return the changes that peers already have. A gateway
  // whose turn it is not gets them from a peer.
  if (mChangeBatchPending || mResting) {
    return;
  }
  // A recent call, or one whose answer is arriving, is not considered
  // lost.
  if (mCaller.Busy() &&
      (mCaller.Received() > 0 || mCaller.TimeInFlight() < aTimeout)) {
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
    // A network path that drops packets gives no error. The abandoned call has
    // to count as a failure, or else the store would never count as lost
    // here and no snapshot would be fetched from a peer.
    RecordFailure(table_read_result{});
  }
  mCaller.CancelCalls();
  mLoop.Cancel(mTimer);
  Resume();
}

void
table_follower::Resume()
{
  if (mRevision.has_value() && !mMayHaveMissedChanges) {
    ReadChanges();
  } else {
    ReadTableFrom("");
  }
}

bool
table_follower::MustRead() const
{
  return MustReadStore(mBoard, mBelief, mSettings.mChangeBound, mLoop.Now());
}

void
table_follower::ResumeOrRest()
{
  mResting = mRevision.has_value() && !MustRead();
  if (!mResting) {
    Resume();
  }
}

void
table_follower::Tick()
{
  if (mResting && MustRead()) {
    mResting = false;
    Resume();
  }
}

void
table_follower::OnCopiedFromPeer(std::uint64_t aRevision)
{
  mRevision = std::max(mRevision.value_or(0), aRevision);
}

void
table_follower::ReadTableFrom(const std::string& aFromKey)
{
  if (aFromKey.empty()) {
    mAccumulated = table_read_result{};
  }
  mCaller.Call(mAdapter.mReadTable(mTable, aFromKey),
               kReadTimeout,
               [this](const http_answer& aAnswer) {
                 OnTablePage(DecodeAnswer(aAnswer), aAnswer.mSentAt);
               });
}

table_read_result
table_follower::DecodeAnswer(const http_answer& aAnswer)
{
  table_read_result reading = mAdapter.mDecodeTable(aAnswer);
  if (reading.mStoreTime.has_value()) {
    mBoard.mStoreClock = UpdatedClock(
      mBoard.mStoreClock, *reading.mStoreTime, aAnswer.mSentAt, mLoop.Now());
  }
  mBoard.mMetrics.Count(
    Labelled("gateway_store_read_bytes_total", "table", mTable),
    static_cast<double>(aAnswer.mBody.size()));
  if (reading.mOutcome == table_read_result::outcome::NoAnswer &&
      aAnswer.mReceivedBytes > 0 && !mFailing) {
    Log(log_level::Warning,
        "store_answer_incomplete",
        { { "table", mTable },
          { "status", aAnswer.mStatus },
          { "received_bytes", aAnswer.mReceivedBytes } });
  }
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
table_follower::OnTablePage(table_read_result aReading, time_point aSentAt)
{
  if (aReading.mOutcome != table_read_result::outcome::Good) {
    RetryAfterFailure(aReading);
    return;
  }
  RecordSuccess();
  // A table read in several pages is only as new as its first page.
  if (mAccumulated.mRows.empty()) {
    mAccumulated.mRevision = aReading.mRevision;
    mAccumulated.mStoreTime = aReading.mStoreTime;
    mFullReadSentAt = aSentAt;
  }
  mAccumulated.mRows.insert(
    mAccumulated.mRows.end(), aReading.mRows.begin(), aReading.mRows.end());
  if (HasMoreRows(aReading)) {
    ReadTableFrom(NextPageKey(aReading));
    return;
  }
  // A full read may be older than changes received before; the revision never
  // goes back.
  mRevision = std::max(mRevision.value_or(0), mAccumulated.mRevision);
  mMayHaveMissedChanges = false;
  mJitterNextPoll = true;
  mListener.mOnTable(mAccumulated);
  const std::optional<store_time> storeTime = mAccumulated.mStoreTime;
  mAccumulated = table_read_result{};
  RecordRead(mBoard, mBelief, storeTime, mFullReadSentAt);
  ResumeOrRest();
}

duration
table_follower::PollWait()
{
  if (FreshnessOf(mBoard, mBelief).mReaderRank >= kTableReaders) {
    // Only to confirm the copy at once; a change makes it wait no longer.
    return std::chrono::milliseconds(1);
  }
  return std::min(ReaderPollWait(mSettings.mChangeBound),
                  LongPollWait(mBoard.mPeers.size(),
                               mJitterNextPoll
                                 ? std::optional(Uniform(mBoard.mRandom))
                                 : std::nullopt));
}

void
table_follower::ReadChanges()
{
  const duration wait = PollWait();
  mJitterNextPoll = false;
  mCaller.Call(mAdapter.mReadChanges(mTable, *mRevision, wait),
               wait + kLongPollSlack,
               [this](const http_answer& aAnswer) {
                 OnChanges(DecodeAnswer(aAnswer), aAnswer.mSentAt);
               });
}

void
table_follower::OnChanges(const table_read_result& aReading, time_point aSentAt)
{
  if (aReading.mOutcome != table_read_result::outcome::Good) {
    RetryAfterFailure(aReading);
    return;
  }
  RecordSuccess();
  mFailures = 0;
  mRevision = std::max(*mRevision, aReading.mRevision);
  RecordRead(mBoard, mBelief, aReading.mStoreTime, aSentAt);
  if (aReading.mRows.empty()) {
    mListener.mOnConfirmed();
    ResumeOrRest();
    return;
  }
  mJitterNextPoll = true;
  mListener.mOnChanges(aReading);
  mMayHaveMissedChanges = SupersededBytes(aReading) > kMaxSupersededBytes;
  if (mMayHaveMissedChanges) {
    Resume();
    return;
  }
  mChangeBatchPending = true;
  mTimer = mLoop.After(mChangeBatchDelay, [this]() {
    mTimer = 0;
    mChangeBatchPending = false;
    ResumeOrRest();
  });
}

void
table_follower::RecordSuccess()
{
  if (!mReached) {
    Log(
      log_level::Info,
      "store_reached",
      { { "table", mTable },
        { "away_ms", mFailing ? Milliseconds(mLoop.Now() - mFailingSince) : 0 },
        { "failures", mFailures } });
  }
  mBoard.mStoreAnsweredAt[mTable] = mLoop.Now();
  CountStoreCall(mBoard.mMetrics, table_read_result::outcome::Good);
  mReached = true;
  mFailing = false;
}

void
table_follower::RecordFailure(const table_read_result& aReading)
{
  const bool historyLost =
    aReading.mOutcome == table_read_result::outcome::HistoryLost;
  if (historyLost) {
    Log(log_level::Warning,
        "store_history_lost",
        { { "table", mTable }, { "revision", mRevision.value_or(0) } });
  } else if (!mFailing) {
    mFailing = true;
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
  mReached = mReached && historyLost;
  mMayHaveMissedChanges = true;
  CountStoreCall(mBoard.mMetrics, aReading.mOutcome);
  mBoard.mMetrics.Count("gateway_store_failures_total");
  if (!historyLost) {
    mListener.mOnLost();
  }
}

void
table_follower::RetryAfterFailure(const table_read_result& aReading)
{
  RecordFailure(aReading);
  const duration pause =
    StoreBackoff(mFailures++, mBoard.mPeers.size(), Uniform(mBoard.mRandom));
  mTimer = mLoop.After(pause, [this]() {
    mTimer = 0;
    ResumeOrRest();
  });
}

} // namespace primrose
