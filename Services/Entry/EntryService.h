#pragma once

/// The entry's HTTP interface for callers' requests and operators' commands.

#include "CallRun.h"
#include "CompletionRun.h"

namespace primrose::entry {

class entry_service
{
public:
  entry_service(const clock_source& aClock,
                node_settings aSettings,
                settings_tree aTree,
                std::function<void()> aDrained);

  void Start();
  void Handle(std::shared_ptr<http_exchange> aExchange);
  /// Refuses new requests. The constructor's `aDrained` is called once nothing
  /// is in flight.
  void Drain();

private:
  using exchange = std::shared_ptr<http_exchange>;

  void HandleCaller(const exchange& aExchange);
  result<void> BeginCompletion(const exchange& aExchange,
                               const std::string& aId);
  result<void> BeginCall(const exchange& aExchange, const std::string& aId);
  result<void> AdmitCompletion(const completion_request& aRequest);
  void HandleOperator(const exchange& aExchange);
  void Explain(const exchange& aExchange, const std::string& aRequest);
  json Status() const;
  void CheckDrained();
  bool IsOperator(const http_exchange& aExchange) const;

  const clock_source& mClock;
  http_client mHttp;
  entry_state mBoard;
  table_client mStore;
  agent_pool mPool;
  id_maker mRequestIds;
  id_maker mAttemptIds;
  placer mPlacer;
  std::function<void()> mDrained;
  task_failure_logger mFailures;
  kj::TaskSet mTasks{ mFailures };
};

/// A request's decision records as JSON, for the `/explain/` path.
json
RecordsToJson(const std::vector<decision_record>& aRecords);

} // namespace primrose::entry
