#include "LibNet/HttpClientCall.h"

#include <algorithm>

namespace primrose {

namespace {

/// An answer that has begun may stop for so long: several retransmissions on a
/// link that loses packets, and a third of the seconds within which a change is
/// to be in force.
constexpr duration kLongestStop = std::chrono::seconds(1);
/// And take so long in all, so that a server that sends a byte now and then
/// does not hold a call for ever: 16 MB, the most that is read, on 10 Mbit/s.
constexpr duration kLongestArrival = std::chrono::seconds(13);

} // namespace

http_caller::http_caller(event_loop& aLoop, ip_address aServer)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
  , mReader(http_role::Answer, http_limits{})
{
}

http_caller::~http_caller()
{
  mLoop.Cancel(mTimer);
}

void
http_caller::Call(const http_call& aCall, duration aTimeout, answered aAnswered)
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
http_caller::SendNext()
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
  ExpectWithin(mWaiting.front().mTimeout);
}

void
http_caller::ExpectWithin(duration aTime)
{
  mLoop.Cancel(mTimer);
  mTimer = mLoop.After(aTime, [this]() {
    mTimer = 0;
    DropChannel();
    Settle({});
  });
}

void
http_caller::Abandon()
{
  mLoop.Cancel(mTimer);
  DropChannel();
  mWaiting.clear();
  mBusy = false;
}

duration
http_caller::Asking() const
{
  return mBusy ? mLoop.Now() - mAsked : duration::zero();
}

void
http_caller::DropChannel()
{
  if (mChannel != nullptr) {
    mChannel->Close();
    mLoop.DeleteLater(std::move(mChannel));
    mChannel = nullptr;
  }
}

void
http_caller::Settle(const http_answer& aAnswer)
{
  mLoop.Cancel(mTimer);
  const answered notify = std::move(mWaiting.front().mAnswered);
  mWaiting.pop_front();
  mBusy = false;
  notify(aAnswer);
  SendNext();
}

void
http_caller::OnInput(tcp_channel& aChannel)
{
  if (!mBusy) {
    // Bytes that no call asked for.
    DropChannel();
    return;
  }
  mFirstByte = mReceived == 0 ? mLoop.Now() : mFirstByte;
  mReceived += aChannel.Input().size();
  const read_state state = mReader.Read(aChannel.Input());
  if (state == read_state::Head || state == read_state::Body) {
    const duration left = mFirstByte + kLongestArrival - mLoop.Now();
    ExpectWithin(std::clamp(left, duration::zero(), kLongestStop));
    return;
  }
  if (state != read_state::Complete) {
    DropChannel();
    Settle({});
    return;
  }
  const http_answer answer{ mReader.Head().mStatus,
                            std::move(mReader.Body()),
                            mLoop.Now() - mFirstByte };
  if (!mReader.Head().mKeepAlive) {
    DropChannel();
  }
  Settle(answer);
}

void
http_caller::OnEnd(tcp_channel&, channel_end)
{
  DropChannel();
  if (mBusy) {
    Settle({});
  }
}

} // namespace primrose
