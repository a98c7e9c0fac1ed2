#pragma once

/// Access to the store's table of quarantined requests. It preserves the
/// quarantine if all gateways end at once, and grants each trial to only one
/// gateway.
///
/// A quarantined request has a row with its digest as key, and one more row for
/// each claimed trial. Rows are only added, or all rows of a request are
/// removed together, so the result does not depend on the order of writes whose
/// answers were lost.

#include "LibGossip/LibGossip.h"

namespace primrose {

class quarantine_table
{
public:
  using loaded_callback =
    std::function<void(const std::vector<quarantined_request>& aQuarantined)>;
  using claim_callback = std::function<void(write_outcome aOutcome)>;

  quarantine_table(event_loop& aLoop,
                   const gateway_settings& aSettings,
                   const store_adapter& aAdapter,
                   gateway_state& aBoard);
  quarantine_table(const quarantine_table&) = delete;
  quarantine_table& operator=(const quarantine_table&) = delete;

  /// Reads the table once; retries until that succeeds.
  void LoadRows(loaded_callback aOnLoaded);
  /// Adds a row for the request; retries while it is quarantined here.
  void Add(request_digest aRequest);
  /// Claims this trial; only one gateway ever succeeds.
  void ClaimTrial(request_digest aRequest,
                  unsigned aTrial,
                  claim_callback aCallback);
  /// Removes all rows of a request that is no longer quarantined.
  void Remove(request_digest aRequest);
  /// Retries failed operations when due; called several times a second.
  void Tick();
  /// Retries at once, since the store answers again.
  void RetryNow();

private:
  void LoadRowsFrom(const std::string& aKey);
  void RetryLater() { mRetryAt = mLoop.Now() + kRetryDelay; }
  /// Delay before a retry. With it, 350 gateways make 500 of the store's 2,000
  /// calls a second while the store refuses all of them.
  static constexpr duration kRetryDelay = std::chrono::milliseconds(700);

  event_loop& mLoop;
  const store_adapter& mAdapter;
  gateway_state& mBoard;
  loaded_callback mOnLoaded;
  std::map<request_digest, quarantined_request> mLoaded;
  std::optional<std::string> mNextKeyToLoad; ///< Read from here at `mRetryAt`.
  std::set<request_digest> mToAdd;
  std::set<request_digest> mToRemove;
  time_point mRetryAt{};
  serial_http_client mCaller;
};

/// Key of the row of a quarantined request.
std::string
QuarantineRowKey(request_digest aRequest);
/// Key of the row of a claimed trial.
std::string
TrialRowKey(request_digest aRequest, unsigned aTrial);
/// Parses either kind of key; no value if it is neither.
std::optional<quarantined_request>
ParseQuarantineRowKey(std::string_view aKey);

} // namespace primrose
