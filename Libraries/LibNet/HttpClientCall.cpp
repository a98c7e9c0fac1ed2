#include "LibNet/HttpClientCall.h"

#include <algorithm>

namespace primrose {

namespace {

/// Longest pause between two parts of an answer. It covers several
/// retransmissions on a link that loses packets, and is a third of the seconds
/// within which a change is to be in force.
constexpr duration kReceiveGapTimeout = std::chrono::seconds(1);
/// Longest time from the first to the last byte of an answer, so that a server
/// that sends a byte now and then can't block a call for ever. Enough for 16
/// MB, the largest body that is read, at 10 Mbit/s.
constexpr duration kReceiveTimeout = std::chrono::seconds(13);

} // namespace

std::string
RequestBytes(const http_call& aCall, const ip_address& aServer)
{
  std::string bytes = aCall.mMethod + ' ' + aCall.mTarget + " HTTP/1.1\r\n";
  AppendField(bytes, "Host", aServer.Text());
  for (const http_field& field : aCall.mFields) {
    AppendField(bytes, field.mName, field.mValue);
  }
  if (!aCall.mContentType.empty()) {
    AppendField(bytes, "Content-Type", aCall.mContentType);
  }
  if (aCall.mMethod != "GET" || !aCall.mBody.empty()) {
    AppendField(bytes, "Content-Length", std::to_string(aCall.mBody.size()));
  }
  return bytes + "\r\n" + aCall.mBody;
}

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
                         answer_callback aOnAnswer)
{
  mQueue.push_back(
    { RequestBytes(aCall, mServer), aTimeout, std::move(aOnAnswer) });
  SendNext();
}

void
serial_http_client::SendNext()
{
  if (mBusy || mQueue.empty()) {
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
  mSentAt = mLoop.Now();
  mChannel->Write(mQueue.front().mBytes);
  RestartTimeout(mQueue.front().mTimeout);
}

void
serial_http_client::RestartTimeout(duration aTime)
{
  mLoop.Cancel(mTimer);
  mTimer = mLoop.After(aTime, [this]() {
    mTimer = 0;
    DropChannel();
    FailCall();
  });
}

void
serial_http_client::CancelCalls()
{
  mLoop.Cancel(mTimer);
  DropChannel();
  mQueue.clear();
  mBusy = false;
}

duration
serial_http_client::TimeInFlight() const
{
  return mBusy ? mLoop.Now() - mSentAt : duration::zero();
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
serial_http_client::FinishCall(const http_answer& aAnswer)
{
  mLoop.Cancel(mTimer);
  const answer_callback notify = std::move(mQueue.front().mOnAnswer);
  mQueue.pop_front();
  mBusy = false;
  notify(aAnswer);
  SendNext();
}

void
serial_http_client::FailCall()
{
  http_answer none;
  none.mSentAt = mSentAt;
  none.mReceivedBytes = mReceived;
  mReader.Restart();
  FinishCall(none);
}

void
serial_http_client::OnInput(tcp_channel& aChannel)
{
  if (!mBusy) {
    // Unsolicited bytes: no call is in progress.
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
    FailCall();
    return;
  }
  DeliverAnswer();
}

void
serial_http_client::DeliverAnswer()
{
  const http_answer answer{ mReader.Head().mStatus,
                            std::move(mReader.Body()),
                            mLoop.Now() - mFirstByteAt,
                            mSentAt,
                            mReceived,
                            mReader.Head().mFields };
  if (!mReader.Head().mKeepAlive) {
    DropChannel();
  }
  FinishCall(answer);
}

void
serial_http_client::OnEnd(tcp_channel&, channel_end aEnd)
{
  DropChannel();
  if (!mBusy) {
    return;
  }
  if (aEnd == channel_end::Finished &&
      mReader.Finish() == read_state::Complete) {
    DeliverAnswer();
    return;
  }
  FailCall();
}

} // namespace primrose
