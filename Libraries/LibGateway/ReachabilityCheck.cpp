#include "LibGateway/ReachabilityCheck.h"

namespace primrose {

reachability_check::reachability_check(event_loop& aLoop,
                                       endpoint_connection_pool& aConnections,
                                       const ip_address& aAddress,
                                       found aFound)
  : mLoop(aLoop)
  , mChannel(aConnections.Connect(aAddress))
  , mOnResult(std::move(aFound))
{
  mChannel->SetOwner(this);
  mTimer = mLoop.After(kConnectTimeout, [this]() {
    mTimer = 0;
    Settle(reachability::Silent);
  });
}

reachability_check::~reachability_check()
{
  mLoop.Cancel(mTimer);
  if (mChannel != nullptr) {
    mChannel->Close();
    mLoop.DeleteLater(std::move(mChannel));
  }
}

void
reachability_check::OnConnected(tcp_channel&)
{
  Settle(reachability::Reached);
}

void
reachability_check::OnEnd(tcp_channel&, channel_end)
{
  Settle(reachability::Refused);
}

void
reachability_check::Settle(reachability aResult)
{
  mLoop.Cancel(mTimer);
  mChannel->Close();
  mLoop.DeleteLater(std::move(mChannel));
  mChannel = nullptr;
  const found notify = std::exchange(mOnResult, {});
  if (notify) {
    notify(aResult);
  }
}

} // namespace primrose
