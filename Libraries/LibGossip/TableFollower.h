#pragma once

/// Follows one table of the platform's store: a full read, then long polls for
/// changes while it is this gateway's turn to read (LibFleet/ReadDuty). After a
/// failed call, or if the store has lost the history since the last revision,
/// it reads the whole table again.

#include "LibGossip/GatewayState.h"

namespace primrose {

/// True if the table has more rows than this page.
bool
HasMoreRows(const table_read_result& aReading);

/// Where the next page begins: a key that sorts directly after the last one.
std::string
NextPageKey(const table_read_result& aReading);

class table_follower
{
public:
  struct listener
  {
    /// Called with the full table as of a revision.
    std::function<void(const table_read_result&)> mOnTable;
    /// Called with the rows that have changed.
    std::function<void(const table_read_result&)> mOnChanges;
    /// Called when the store has stated that there are no changes.
    std::function<void()> mOnConfirmed;
    /// Called when the store did not answer or refused a call.
    std::function<void()> mOnLost;
  };

  /// After a change the next poll waits for `aBatchDelay`, so that a series of
  /// changes arrives in few answers. It must be short compared with the time
  /// within which changes have to take effect.
  table_follower(event_loop& aLoop,
                 const store_adapter& aAdapter,
                 gateway_state& aBoard,
                 const gateway_settings& aSettings,
                 belief aBelief,
                 std::string aTable,
                 duration aBatchDelay,
                 listener aListener);
  ~table_follower();
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;

  void Start();
  /// Abandons the running call and sends a new one at once. Called when a peer
  /// has a newer version, since the running call may then be lost. The call is
  /// kept if a part of its answer has arrived or it is not older than
  /// `aTimeout`.
  void Refresh(duration aTimeout);
  /// True after a successful call, until one gets no answer or is refused.
  bool Reached() const { return mReached; }
  /// True while peers' copies keep this gateway's copy current.
  bool Resting() const { return mResting; }
  /// True while a call is in flight.
  bool AwaitsAnswer() const { return mCaller.Busy(); }
  /// Reads the store if it is this gateway's turn; called several times a
  /// second.
  void Tick();
  /// A peer's rows have made the copy complete as of this revision.
  void OnCopiedFromPeer(std::uint64_t aRevision);

private:
  /// Polls for changes since the last revision, or starts a full read if there
  /// is no revision or changes may have been missed.
  void Resume();
  /// Resumes if it is this gateway's turn to read, and rests otherwise.
  void ResumeOrRest();
  bool MustRead() const;
  /// Reads one page of a full read; an empty key starts from the beginning.
  void ReadTableFrom(const std::string& aFromKey);
  /// Decodes an answer; logs slow and large ones.
  table_read_result DecodeAnswer(const http_answer& aAnswer);
  void OnTablePage(table_read_result aReading, time_point aSentAt);
  /// How long the store may hold the next poll.
  duration PollWait();
  void ReadChanges();
  void OnChanges(const table_read_result& aReading, time_point aSentAt);
  /// Updates state, log and metrics after a failed call.
  void RecordFailure(const table_read_result& aReading);
  /// Records the failure and schedules a retry with back-off.
  void RetryAfterFailure(const table_read_result& aReading);
  void RecordSuccess();
  event_loop& mLoop;
  const store_adapter& mAdapter;
  gateway_state& mBoard;
  const gateway_settings& mSettings;
  belief mBelief;
  std::string mTable;
  duration mChangeBatchDelay;
  bool mChangeBatchPending = false; ///< The next poll is delayed.
  listener mListener;
  serial_http_client mCaller;
  table_read_result mAccumulated;
  time_point mFullReadSentAt{}; ///< When its first page was asked for.
  std::optional<std::uint64_t> mRevision;
  /// If set, the next call is a full read. Polling instead would transfer each
  /// version of each row since the last revision, while a full read has only
  /// the newest of each.
  bool mMayHaveMissedChanges = false;
  /// The last answer reached all gateways at the same moment, so the next poll
  /// gets a random wait.
  bool mJitterNextPoll = false;
  bool mResting = false;
  bool mReached = false;
  bool mFailing = false;
  time_point mFailingSince{};
  unsigned mFailures = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
