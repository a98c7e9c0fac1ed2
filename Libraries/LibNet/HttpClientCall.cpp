#include "LibNet/HttpClientCall.h"

#include <algorithm>

namespace primrose {

namespace {

/// An answer that has begun may stop for so long: several retransmissions on a
/// link that loses packets, and a third of the seconds within which a change is
/// to be in force.
constexpr duration kReceiveGapTimeout = std::chrono::seconds(1);
/// And take so long in all, so that a server that sends a byte now and then
/// does not hold a call for ever: 16 MB, the most that is read, on 10 Mbit/s.
constexpr duration kReceiveTimeout = std::chrono::seconds(13);

} // namespace

serial_http_client::serial_http_client(event_loop& aLoop, ip_address aServer)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
  , mReader(http_role::Answer, http_limits{})
{
}

serial_http_client::~serial_http_client()
{
  mLoop.Cancel(mTimer);
}

void
serial_http_client::Call(const http_call& aCall,
                         duration aTimeout,
                         answered aAnswered)
{
  std::string bytes = aCall.mMethod + ' ' + aCall.mTarget + " HTTP/1.1\r\n";
  AppendField(bytes, "Host", mServer.Text());
  for (const http_field& field : aCall.mFields) {
    AppendField(bytes, field.mName, field.mValue);
  }
  if (!aCall.mContentType.empty()) {
    AppendField(bytes, "Content-Type", aCall.mContentType);
  }
  if (aCall.mMethod != "GET") {
    AppendField(bytes, "Content-Length", std::to_string(aCall.mBody.size()));
  }
  bytes += "\r\n" + aCall.mBody;
  mWaiting.push_back({ std::move(bytes), aTimeout, std::move(aAnswered) });
  SendNext();
}

void
serial_http_client::SendNext()
{
  if (mBusy || mWaiting.empty()) {
    return;
  }
  mBusy = true;
  if (mChannel == nullptr || !mChannel->Open()) {
    DropChannel();
    mChannel = std::make_shared<tcp_channel>(mLoop, mServer, channel_limits{});
    mChannel->SetOwner(this);
  }
  mReader.Restart();
  mReceived = 0;
  mAsked = mLoop.Now();
  mChannel->Write(mWaiting.front().mBytes);
  RestartTimeout(mWaiting.front().mTimeout);
}

void
serial_http_client::RestartTimeout(duration aTime)
{
  mLoop.Cancel(mTimer);
  mTimer = mLoop.After(aTime, [this]() {
    mTimer = 0;
    DropChannel();
    Settle({});
  });
}

void
serial_http_client::CancelCalls()
{
  mLoop.Cancel(mTimer);
  DropChannel();
  mWaiting.clear();
  mBusy = false;
}

duration
serial_http_client::TimeInFlight() const
{
  return mBusy ? mLoop.Now() - mAsked : duration::zero();
}

void
serial_http_client::DropChannel()
{
  if (mChannel != nullptr) {
    mChannel->Close();
    mLoop.DeleteLater(std::move(mChannel));
    mChannel = nullptr;
  }
}

void
serial_http_client::Settle(const http_answer& aAnswer)
{
  mLoop.Cancel(mTimer);
  const answered notify = std::move(mWaiting.front().mAnswered);
  mWaiting.pop_front();
  mBusy = false;
  notify(aAnswer);
  SendNext();
}

void
serial_http_client::OnInput(tcp_channel& aChannel)
{
  if (!mBusy) {
    // Bytes that no call asked for.
    DropChannel();
    return;
  }
  mFirstByteAt = mReceived == 0 ? mLoop.Now() : mFirstByteAt;
  mReceived += aChannel.Input().size();
  const read_state state = mReader.Read(aChannel.Input());
  if (state == read_state::Head || state == read_state::Body) {
    const duration left = mFirstByteAt + kReceiveTimeout - mLoop.Now();
    RestartTimeout(std::clamp(left, duration::zero(), kReceiveGapTimeout));
    return;
  }
  if (state != read_state::Complete) {
    DropChannel();
    Settle({});
    return;
  }
  const http_answer answer{ mReader.Head().mStatus,
                            std::move(mReader.Body()),
                            mLoop.Now() - mFirstByteAt };
  if (!mReader.Head().mKeepAlive) {
    DropChannel();
  }
  Settle(answer);
}

void
serial_http_client::OnEnd(tcp_channel&, channel_end)
{
  DropChannel();
  if (mBusy) {
    Settle({});
  }
}

} // namespace primrose
