#include "LibGateway/EndpointConnectionPool.h"

#include <algorithm>
#include <limits>

namespace primrose {

namespace {

/// Written bytes without an acknowledgement for this long: the endpoint's
/// machine is gone or cut off. Ten round trips of the farthest data centre.
constexpr channel_limits kLimits{ std::chrono::milliseconds(900),
                                  std::chrono::seconds(1) };
/// An endpoint closes an idle connection at its own timeout; one that is used
/// at that very moment is reset, so it is given up this much earlier.
constexpr duration kSafetyBeforeTimeout = std::chrono::milliseconds(1000);

/// Part of an endpoint's connections that entries keep idle, together; the rest
/// is for requests in progress. With 350 entries before an endpoint that takes
/// 364 connections none is kept.
constexpr double kIdleShare = 0.5;

} // namespace

endpoint_connection_pool::endpoint_connection_pool(event_loop& aLoop,
                                                   const gateway_state& aBoard)
  : mLoop(aLoop)
  , mBoard(aBoard)
{
}

endpoint_connection_pool::~endpoint_connection_pool() = default;

std::shared_ptr<tcp_channel>
endpoint_connection_pool::TakeIdle(const std::string& aId)
{
  const auto found = mIdle.find(aId);
  if (found == mIdle.end()) {
    return nullptr;
  }
  const time_point now = mLoop.Now();
  while (!found->second.empty()) {
    // The newest: the others may grow old and be closed.
    kept taken = std::move(found->second.back());
    found->second.pop_back();
    if (taken.mChannel->Open() && taken.mUntil > now &&
        taken.mChannel->Input().empty()) {
      taken.mChannel->SetOwner(nullptr);
      return taken.mChannel;
    }
    taken.mChannel->Close();
  }
  return nullptr;
}

std::shared_ptr<tcp_channel>
endpoint_connection_pool::Connect(const ip_address& aAddress)
{
  return std::make_shared<tcp_channel>(mLoop, aAddress, kLimits);
}

std::size_t
endpoint_connection_pool::MaxIdleConnections(const std::string& aId) const
{
  constexpr std::size_t kAny = std::numeric_limits<std::size_t>::max();
  const auto known = mBoard.mEndpoints.mEndpoints.find(aId);
  if (known == mBoard.mEndpoints.mEndpoints.end() ||
      mBoard.mManifest == nullptr) {
    return 0;
  }
  const service* const serves =
    mBoard.mManifest->FindService(known->second.mListed.mService);
  if (serves == nullptr || serves->mMaxConnections == 0) {
    return kAny;
  }
  return static_cast<std::size_t>(kIdleShare * serves->mMaxConnections /
                                  static_cast<double>(EntryCount(mBoard)));
}

void
endpoint_connection_pool::Keep(const std::string& aId,
                               std::shared_ptr<tcp_channel> aChannel,
                               duration aIdleTimeout)
{
  const std::size_t most = MaxIdleConnections(aId);
  if (aIdleTimeout <= kSafetyBeforeTimeout || most == 0) {
    aChannel->Close();
    mLoop.DeleteLater(std::move(aChannel));
    return;
  }
  std::deque<kept>& idle = mIdle[aId];
  if (idle.size() >= most) {
    // The oldest is the first to be closed by the endpoint anyway.
    idle.front().mChannel->Close();
    mLoop.DeleteLater(std::move(idle.front().mChannel));
    idle.pop_front();
  }
  aChannel->SetOwner(this);
  idle.push_back(
    { std::move(aChannel), mLoop.Now() + aIdleTimeout - kSafetyBeforeTimeout });
}

void
endpoint_connection_pool::CloseIdle(const std::string& aId)
{
  const auto found = mIdle.find(aId);
  if (found == mIdle.end()) {
    return;
  }
  for (kept& one : found->second) {
    one.mChannel->Close();
    mLoop.DeleteLater(std::move(one.mChannel));
  }
  mIdle.erase(found);
}

void
endpoint_connection_pool::CloseExpired()
{
  const time_point now = mLoop.Now();
  for (auto& [id, channels] : mIdle) {
    while (!channels.empty() && channels.front().mUntil <= now) {
      channels.front().mChannel->Close();
      mLoop.DeleteLater(std::move(channels.front().mChannel));
      channels.pop_front();
    }
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
endpoint_connection_pool::Drop(const tcp_channel& aChannel)
{
  for (auto& [id, channels] : mIdle) {
    const auto found = std::find_if(
      channels.begin(), channels.end(), [&aChannel](const kept& aKept) {
        return aKept.mChannel.get() == &aChannel;
      });
    if (found != channels.end()) {
      found->mChannel->Close();
      mLoop.DeleteLater(std::move(found->mChannel));
      channels.erase(found);
      return;
    }
  }
}

void
endpoint_connection_pool::OnInput(tcp_channel& aChannel)
{
  // A second answer to a request that was answered already: it belongs to
  // nobody, and the next request on this connection must not be given it.
  Drop(aChannel);
}

void
endpoint_connection_pool::OnEnd(tcp_channel& aChannel, channel_end)
{
  Drop(aChannel);
}

} // namespace primrose
