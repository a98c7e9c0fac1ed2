#pragma once

/// The entry's RPC connections to agents, and the polling of the platform's
/// list of endpoints.

#include "EntryState.h"

#include "LibDaemon/LibDaemon.h"
#include "LibStore/LibStore.h"

namespace primrose::entry {

class agent_pool
{
public:
  agent_pool(const clock_source& aClock,
             entry_state& aState,
             table_client& aStore);

  void Start();
  /// The connection to an endpoint's agent, or null if the endpoint is not
  /// listed or its address is invalid. Shared, because a request may outlive
  /// the endpoint's row in the list.
  std::shared_ptr<agent_connection> ConnectionTo(const std::string& aEndpoint);

private:
  kj::Promise<void> PollEndpointList();
  void ApplyEndpointList(const std::vector<listed_endpoint>& aList);
  duration NextPollDelay();

  const clock_source& mClock;
  entry_state& mBoard;
  table_client& mStore;
  std::map<std::string, std::shared_ptr<agent_connection>> mAgentConnections;
  task_failure_logger mFailures;
  kj::TaskSet mTasks{ mFailures };
};

} // namespace primrose::entry
