#include "AgentPool.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

/// How often the platform's list is read. 350 entries that read it every five
/// seconds are 70 reads a second of the platform's two thousand.
constexpr double kListPollSeconds = 5;
/// Until a first list has come, and while it is empty.
constexpr double kInitialListPollSeconds = 0.25;

} // namespace

agent_pool::agent_pool(const clock_source& aClock,
                       entry_state& aBoard,
                       table_client& aStore)
  : mClock(aClock)
  , mBoard(aBoard)
  , mStore(aStore)
{
}

void
agent_pool::Start()
{
  mTasks.add(Watch());
}

kj::Promise<void>
agent_pool::Watch()
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
    .then([this]() { return Watch(); });
}

duration
agent_pool::NextPollDelay()
{
  const double mean = mBoard.mDirectory.mEndpoints.empty()
                        ? kInitialListPollSeconds
                        : kListPollSeconds;
  // Jitter of half to one and a half, so that entries spread out.
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

std::shared_ptr<agent_link>
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
  std::shared_ptr<agent_link> link = std::make_shared<agent_link>(
    *address.mValue, mBoard.mSettings.mRpcKey, mBoard.mSettings.mName);
  mAgentConnections.emplace(aEndpoint, link);
  return link;
}

} // namespace primrose::entry
