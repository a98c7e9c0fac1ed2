#include "AgentPool.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

/// Mean interval between reads of the platform's list. 350 entries that read it
/// every five seconds cause 70 reads per second; the platform serves two
/// thousand.
constexpr double kListPollSeconds = 5;
/// Mean interval until a first list has arrived, and while the list is empty.
constexpr double kInitialListPollSeconds = 0.25;

} // namespace

agent_pool::agent_pool(const clock_source& aClock,
                       entry_state& aState,
                       table_client& aStore)
  : mClock(aClock)
  , mBoard(aState)
  , mStore(aStore)
{
}

void
agent_pool::Start()
{
  mTasks.add(PollEndpointList());
}

kj::Promise<void>
agent_pool::PollEndpointList()
{
  return mStore.ListEndpoints()
    .then([this](std::optional<std::vector<listed_endpoint>> aList) {
      if (aList) {
        ApplyEndpointList(*aList);
      } else {
        mBoard.mMetrics.Count("primrose_list_failures_total");
      }
      return Delay(NextPollDelay());
    })
    .then([this]() { return PollEndpointList(); });
}

duration
agent_pool::NextPollDelay()
{
  const double mean = mBoard.mDirectory.mEndpoints.empty()
                        ? kInitialListPollSeconds
                        : kListPollSeconds;
  // A random factor of 0.5 to 1.5 (half to one and a half) spreads the reads of
  // many entries over time.
  return FromSeconds(mean * (0.5 + Uniform(mBoard.mRandom)));
}

void
agent_pool::ApplyEndpointList(const std::vector<listed_endpoint>& aList)
{
  const directory_change change =
    ApplyList(mBoard.mDirectory, aList, mClock.Now());
  for (const std::string& name : change.mAdded) {
    Log(log_level::Info, "endpoint_added", { { "endpoint", name } });
  }
  for (const std::string& name : change.mLeaving) {
    Log(log_level::Info, "endpoint_leaving", { { "endpoint", name } });
  }
  for (const std::string& name : change.mGone) {
    Log(log_level::Info, "endpoint_gone", { { "endpoint", name } });
    mAgentConnections.erase(name);
  }
}

std::shared_ptr<agent_connection>
agent_pool::ConnectionTo(const std::string& aEndpoint)
{
  const auto known = mAgentConnections.find(aEndpoint);
  if (known != mAgentConnections.end()) {
    return known->second;
  }
  const auto view = mBoard.mDirectory.mEndpoints.find(aEndpoint);
  if (view == mBoard.mDirectory.mEndpoints.end()) {
    return nullptr;
  }
  const outcome<ip_address> address = Capture<ip_address>(
    [&]() { return ParseAddress(view->second.mListed.mAddress); });
  if (!address) {
    return nullptr;
  }
  std::shared_ptr<agent_connection> connection =
    std::make_shared<agent_connection>(
      *address.mValue, mBoard.mSettings.mRpcKey, mBoard.mSettings.mName);
  mAgentConnections.emplace(aEndpoint, connection);
  return connection;
}

} // namespace primrose::entry
