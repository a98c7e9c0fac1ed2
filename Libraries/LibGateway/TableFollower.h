#pragma once

/// Keeps a copy of one table of the platform: a whole reading, then a long poll
/// for changes, again and again, through whatever the platform does.

#include "LibGateway/GatewayState.h"

namespace primrose {

/// True if the table has more rows than this answer.
bool
HasMoreRows(const table_read_result& aReading);

/// Where the next answer begins: the first key that sorts behind the last one.
std::string
NextPageKey(const table_read_result& aReading);

class table_follower
{
public:
  struct listener
  {
    /// A whole reading as of a revision.
    std::function<void(const table_read_result&)> mWhole;
    std::function<void(const table_read_result&)> mChanges;
  };

  /// After changes the next question waits for `aGather`, so that a row of them
  /// comes in few answers; short against the bound on such changes.
  table_follower(event_loop& aLoop,
                 const gateway_adapter& aAdapter,
                 gateway_state& aBoard,
                 const ip_address& aStore,
                 std::string aTable,
                 duration aGather,
                 listener aListener);
  ~table_follower();
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;

  void Start();
  /// Asks anew at once: somebody else knows of a change that was not heard of
  /// here, so the question that is open may have gone silent. It is left open
  /// if its answer is coming, or if it is not older than `aPatience`.
  void Refresh(duration aPatience);
  /// False while the last call failed.
  bool Reached() const { return mReached; }

private:
  /// The changes since the newest revision that is known, or the whole table.
  void Ask();
  void ReadTableFrom(const std::string& aFromKey);
  /// Reads an answer; logs what took long, or carried much.
  table_read_result Decode(const http_answer& aAnswer);
  void OnTablePage(table_read_result aReading);
  void ReadChanges();
  void OnChanges(const table_read_result& aReading);
  void RecordFailure(const table_read_result& aReading);
  void RetryAfterFailure(const table_read_result& aReading);
  void RecordSuccess();

  event_loop& mLoop;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  std::string mTable;
  duration mChangeBatchDelay;
  bool mChangeBatchPending =
    false; ///< The next question waits for further changes.
  listener mListener;
  serial_http_client mCaller;
  table_read_result mGathered;
  std::optional<std::uint64_t> mRevision;
  /// Changes may have been missed. They are not asked for one after the other,
  /// which brings each version of each row that there was: the whole table has
  /// one of each.
  bool mMayHaveMissedChanges = false;
  /// The last answer came to all entries at one moment.
  bool mJitterNextPoll = false;
  bool mReached = false;
  bool mTroubled = false;
  time_point mFailingSince{};
  unsigned mFailures = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
