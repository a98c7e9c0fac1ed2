#pragma once

/// The platform's table of requests that are held: what entries that all end at
/// once would otherwise forget, and where one trial is given to one entry.
///
/// A held request has a row of its digest, and each trial that was taken one
/// more. Rows are only ever added, or all of a request's removed together, so
/// that nothing depends on the order of writes whose answers were lost.

#include "LibGateway/GatewayState.h"

namespace primrose {

class quarantine_table
{
public:
  using learnt =
    std::function<void(const std::vector<quarantined_request>& aHeld)>;
  using claimed = std::function<void(write_outcome aOutcome)>;

  quarantine_table(event_loop& aLoop,
                   const gateway_settings& aSettings,
                   const gateway_adapter& aAdapter,
                   gateway_state& aBoard);
  quarantine_table(const quarantine_table&) = delete;
  quarantine_table& operator=(const quarantine_table&) = delete;

  /// Reads the table once, again and again until that is done.
  void Learn(learnt aLearnt);
  /// Leaves a row of the request, for as long as it is held here.
  void Add(request_digest aRequest);
  /// Asks for the right to make this trial; only one entry ever gets it.
  void ClaimTrial(request_digest aRequest, unsigned aTrial, claimed aClaimed);
  /// Removes all rows of a request that is held no more.
  void Remove(request_digest aRequest);
  /// Tries again what the store did not do; called several times a second.
  void Tick();
  /// The store answers again.
  void RetryNow();

private:
  void LoadRowsFrom(const std::string& aKey);
  void RetryLater() { mRetryAt = mLoop.Now() + kPause; }
  /// Between two tries: 350 entries together make 500 of the store's 2,000
  /// calls a second while it turns all of them away.
  static constexpr duration kPause = std::chrono::milliseconds(700);

  event_loop& mLoop;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  learnt mOnLoaded;
  std::map<request_digest, quarantined_request> mRead;
  std::optional<std::string>
    mNextKeyToLoad; ///< From this key on, at `mRetryAt`.
  std::set<request_digest> mToAdd;
  std::set<request_digest> mToRemove;
  time_point mRetryAt{};
  serial_http_client mCaller;
};

/// A row's key, and what it says; nothing if the key is none of this table.
std::string
QuarantineRowKey(request_digest aRequest);
std::string
TrialRowKey(request_digest aRequest, unsigned aTrial);
std::optional<quarantined_request>
ParseQuarantineRowKey(std::string_view aKey);

} // namespace primrose
