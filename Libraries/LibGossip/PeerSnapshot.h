#pragma once

/// Lets a gateway fetch table rows from a peer, as the store gave them: all
/// gateways that do not read the store themselves get changes in this way. Rows
/// carry their revisions, so that a row from a peer never replaces a newer one.

#include "LibGossip/GatewayState.h"

namespace primrose {

struct table_snapshot
{
  std::optional<row_change<std::string>> mManifest;
  /// Evacuation orders in force or taken back, by data centre.
  std::vector<row_change<std::string>> mEvacuations;
  std::vector<row_change<std::string>> mEndpoints;
  /// Revisions as of which the tables are complete; 0 if not stated.
  std::uint64_t mOperatorRevision = 0;
  std::uint64_t mListRevision = 0;
  /// Endpoints that have no row are gone. Otherwise `mEndpoints` has only what
  /// changed after the revision that was asked for.
  bool mIsFullList = false;

  bool operator==(const table_snapshot&) const = default;
};

/// The revisions as of which a gateway has the tables that it asks a peer for.
struct held_revisions
{
  std::uint64_t mOperators = 0;
  std::uint64_t mEndpoints = 0;

  bool operator==(const held_revisions&) const = default;
};

std::string
EncodeSnapshot(const table_snapshot& aRows);
result<table_snapshot>
DecodeSnapshot(const std::string& aBytes);

/// Serves this gateway's snapshot to peers and fetches a snapshot from a peer.
class snapshot_exchange
{
public:
  using snapshot_source = std::function<table_snapshot(const held_revisions&)>;
  /// Called with no value if the peer gave no valid answer.
  using fetch_callback =
    std::function<void(const std::optional<table_snapshot>&)>;

  snapshot_exchange(event_loop& aLoop, const gateway_settings& aSettings);
  snapshot_exchange(const snapshot_exchange&) = delete;
  snapshot_exchange& operator=(const snapshot_exchange&) = delete;

  /// `aSource` collects the rows. The answers are kept while `aRevisions`,
  /// those of this gateway's own copies, stay the same.
  result<void> Open(snapshot_source aSource,
                    std::function<held_revisions()> aRevisions);
  /// Fetches what one peer has beyond these revisions; does nothing while a
  /// fetch is running.
  void Ask(const std::string& aHost,
           const held_revisions& aHeld,
           fetch_callback aCallback);
  bool Fetching() const { return mFetching; }

private:
  event_loop& mLoop;
  const gateway_settings& mSettings;
  std::function<held_revisions()> mRevisions;
  /// The answer for a gateway with these revisions, compressed if it asked for
  /// that. The last one is kept, since peers mostly lack the same change.
  const std::string& AnswerFor(const held_revisions& aHeld, bool aCompressed);

  struct last_answer
  {
    held_revisions mHeld;
    held_revisions mOwn; ///< Revisions of the rows in the answer.
    bool mCompressed = false;
    std::string mBytes;
  };
  std::optional<last_answer> mLastAnswer;
  snapshot_source mSource;
  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<serial_http_client> mCaller;
  bool mFetching = false;
};

} // namespace primrose
