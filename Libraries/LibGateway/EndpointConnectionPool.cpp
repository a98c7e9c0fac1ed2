#include "LibGateway/EndpointConnectionPool.h"

#include <algorithm>
#include <limits>

namespace primrose {

namespace {

/// Time without an acknowledgement of written bytes after which the endpoint's
/// machine counts as unreachable: ten round trips to the farthest data centre.
constexpr channel_limits kLimits{ std::chrono::milliseconds(900),
                                  std::chrono::seconds(1) };
/// An endpoint closes an idle connection at its own timeout and resets a
/// request sent at that moment, so the gateway closes the connection this much
/// earlier.
constexpr duration kCloseBeforeTimeout = std::chrono::milliseconds(1000);

/// Fraction of an endpoint's connections that all gateways together may keep
/// idle; the rest is for requests in progress. With 350 gateways and an
/// endpoint that accepts 364 connections, no connection is kept idle.
constexpr double kIdleShare = 0.5;

} // namespace

endpoint_connection_pool::endpoint_connection_pool(event_loop& aLoop,
                                                   const gateway_state& aState)
  : mLoop(aLoop)
  , mBoard(aState)
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
    // Take the newest, so that the older ones reach their timeout and are
    // closed.
    idle_connection taken = std::move(found->second.back());
    found->second.pop_back();
    if (taken.mChannel->Open() && taken.mExpires > now &&
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
endpoint_connection_pool::PutIdle(const std::string& aId,
                                  std::shared_ptr<tcp_channel> aChannel,
                                  duration aIdleTimeout)
{
  const std::size_t maxIdle = MaxIdleConnections(aId);
  if (aIdleTimeout <= kCloseBeforeTimeout || maxIdle == 0) {
    aChannel->Close();
    mLoop.DeleteLater(std::move(aChannel));
    return;
  }
  std::deque<idle_connection>& idle = mIdle[aId];
  if (idle.size() >= maxIdle) {
    // The oldest is the first that the endpoint would close anyway.
    idle.front().mChannel->Close();
    mLoop.DeleteLater(std::move(idle.front().mChannel));
    idle.pop_front();
  }
  aChannel->SetOwner(this);
  idle.push_back(
    { std::move(aChannel), mLoop.Now() + aIdleTimeout - kCloseBeforeTimeout });
}

void
endpoint_connection_pool::CloseIdle(const std::string& aId)
{
  const auto found = mIdle.find(aId);
  if (found == mIdle.end()) {
    return;
  }
  for (idle_connection& one : found->second) {
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
    while (!channels.empty() && channels.front().mExpires <= now) {
      channels.front().mChannel->Close();
      mLoop.DeleteLater(std::move(channels.front().mChannel));
      channels.pop_front();
    }
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
endpoint_connection_pool::CloseAndRemove(const tcp_channel& aChannel)
{
  for (auto& [id, channels] : mIdle) {
    const auto found =
      std::find_if(channels.begin(),
                   channels.end(),
                   [&aChannel](const idle_connection& aConnection) {
                     return aConnection.mChannel.get() == &aChannel;
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
  // Data on an idle connection is a second answer to a completed request.
  // Reusing the connection would hand it to the next request.
  CloseAndRemove(aChannel);
}

void
endpoint_connection_pool::OnEnd(tcp_channel& aChannel, channel_end)
{
  CloseAndRemove(aChannel);
}

} // namespace primrose
