#include "AgentPool.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

/// How often the platform's list is read. 350 entries that read it every five
/// seconds are 70 reads a second of the platform's two thousand.
constexpr double kLookSeconds = 5;
/// Until a first list has come, and while it is empty.
constexpr double kFirstLookSeconds = 0.25;

} // namespace

agent_pool::agent_pool(const clock_source& aClock,
                       entry_board& aBoard,
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
        TakeList(*aList);
      } else {
        mBoard.mMetrics.Count("primrose_list_failures_total");
      }
      return Delay(NextLook());
    })
    .then([this]() { return Watch(); });
}

duration
agent_pool::NextLook()
{
  const double mean =
    mBoard.mDirectory.mEndpoints.empty() ? kFirstLookSeconds : kLookSeconds;
  // Jitter of half to one and a half, so that entries spread out.
  return FromSeconds(mean * (0.5 + Uniform(mBoard.mRandom)));
}

void
agent_pool::TakeList(const std::vector<listed_endpoint>& aList)
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
    mLinks.erase(name);
  }
}

std::shared_ptr<agent_connection>
agent_pool::Link(const std::string& aEndpoint)
{
  const auto known = mLinks.find(aEndpoint);
  if (known != mLinks.end()) {
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
  std::shared_ptr<agent_connection> link = std::make_shared<agent_connection>(
    *address.mValue, mBoard.mSettings.mRpcKey, mBoard.mSettings.mName);
  mLinks.emplace(aEndpoint, link);
  return link;
}

} // namespace primrose::entry
