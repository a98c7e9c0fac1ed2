#include "LibNet/HttpResponder.h"

namespace primrose {

namespace {

constexpr channel_limits kLimits{ std::chrono::seconds(5),
                                  std::chrono::seconds(10) };

} // namespace

http_responder::http_responder(event_loop& aLoop,
                               int aSocket,
                               request_handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mChannel(std::make_shared<tcp_channel>(aLoop, aSocket, kLimits))
  , mReader(http_role::Request, http_limits{})
{
  mChannel->SetOwner(this);
}

void
http_responder::Serve(event_loop& aLoop, int aSocket, request_handler aHandler)
{
  const std::shared_ptr<http_responder> responder(
    new http_responder(aLoop, aSocket, std::move(aHandler)));
  responder->mSelf = responder;
}

void
http_responder::OnInput(tcp_channel& aChannel)
{
  const read_state state = mReader.Read(aChannel.Input());
  if (state == read_state::Head || state == read_state::Body) {
    return;
  }
  if (state != read_state::Complete) {
    Close();
    return;
  }
  const answer response = mHandler(mReader.Head());
  std::string text = "HTTP/1.1 " + std::to_string(response.mStatus) + ' ';
  text.append(ReasonPhrase(response.mStatus)).append("\r\n");
  AppendField(text, "Content-Type", "text/plain");
  AppendField(text, "Content-Length", std::to_string(response.mBody.size()));
  text.append("\r\n").append(response.mBody);
  aChannel.Write(text);
  if (!mReader.Head().mKeepAlive) {
    aChannel.SetOwner(nullptr);
    aChannel.CloseWhenDrained();
    mLoop.DeleteLater(std::move(mSelf));
    return;
  }
  mReader.Restart();
}

void
http_responder::OnEnd(tcp_channel&, channel_end)
{
  Close();
}

void
http_responder::Close()
{
  mChannel->Close();
  mLoop.DeleteLater(std::move(mSelf));
}

} // namespace primrose
