#include "LibGateway/EndpointConnections.h"

#include <algorithm>

namespace primrose {

namespace {

/// Written bytes without an acknowledgement for this long: the endpoint's
/// machine is gone or cut off. Ten round trips of the farthest data centre.
constexpr channel_limits kLimits{ std::chrono::milliseconds(900),
                                  std::chrono::seconds(1) };
/// An endpoint closes an idle connection at its own timeout; one that is used
/// at that very moment is reset, so it is given up this much earlier.
constexpr duration kSafetyBeforeTimeout = std::chrono::milliseconds(1000);

} // namespace

endpoint_connections::endpoint_connections(event_loop& aLoop)
  : mLoop(aLoop)
{
}

endpoint_connections::~endpoint_connections() = default;

std::shared_ptr<tcp_channel>
endpoint_connections::TakeIdle(const std::string& aId)
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
endpoint_connections::Connect(const ip_address& aAddress)
{
  return std::make_shared<tcp_channel>(mLoop, aAddress, kLimits);
}

void
endpoint_connections::Keep(const std::string& aId,
                           std::shared_ptr<tcp_channel> aChannel,
                           duration aIdleTimeout)
{
  if (aIdleTimeout <= kSafetyBeforeTimeout) {
    aChannel->Close();
    mLoop.DeleteLater(std::move(aChannel));
    return;
  }
  aChannel->SetOwner(this);
  mIdle[aId].push_back(
    { std::move(aChannel), mLoop.Now() + aIdleTimeout - kSafetyBeforeTimeout });
}

void
endpoint_connections::CloseIdle(const std::string& aId)
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
endpoint_connections::CloseOverdue()
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
endpoint_connections::Drop(const tcp_channel& aChannel)
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
endpoint_connections::OnInput(tcp_channel& aChannel)
{
  // A second answer to a request that was answered already: it belongs to
  // nobody, and the next request on this connection must not be given it.
  Drop(aChannel);
}

void
endpoint_connections::OnEnd(tcp_channel& aChannel, channel_end)
{
  Drop(aChannel);
}

} // namespace primrose
