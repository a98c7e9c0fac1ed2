#include "LibGateway/ReachabilityCheck.h"

namespace primrose {

reachability_check::reachability_check(event_loop& aLoop,
                                       endpoint_connection_pool& aConnections,
                                       const ip_address& aAddress,
                                       result_callback aOnResult)
  : mLoop(aLoop)
  , mChannel(aConnections.Connect(aAddress))
  , mOnResult(std::move(aOnResult))
{
  mChannel->SetOwner(this);
  mTimer = mLoop.After(kConnectTimeout, [this]() {
    mTimer = 0;
    Finish(reachability::Silent);
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
  Finish(reachability::Reached);
}

void
reachability_check::OnEnd(tcp_channel&, channel_end)
{
  Finish(reachability::Refused);
}

void
reachability_check::Finish(reachability aResult)
{
  mLoop.Cancel(mTimer);
  mChannel->Close();
  mLoop.DeleteLater(std::move(mChannel));
  mChannel = nullptr;
  const result_callback notify = std::exchange(mOnResult, {});
  if (notify) {
    notify(aResult);
  }
}

} // namespace primrose
