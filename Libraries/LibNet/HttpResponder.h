#pragma once

/// A minimal HTTP server connection for requests without bodies: the load
/// balancer's health checks, metrics scrapes and table snapshots for peers.
/// Supports keep-alive.

#include "LibNet/EventLoop.h"
#include "LibNet/HttpReader.h"
#include "LibNet/TcpChannel.h"

namespace primrose {

class http_responder final : public channel_owner
{
public:
  struct answer
  {
    unsigned mStatus = 0;
    std::string mBody;
  };
  using request_handler = std::function<answer(const http_head&)>;

  /// Answers each request on the socket; deletes itself with the connection.
  static void Serve(event_loop& aLoop, int aSocket, request_handler aHandler);

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  http_responder(event_loop& aLoop, int aSocket, request_handler aHandler);
  void Close();

  event_loop& mLoop;
  request_handler mHandler;
  std::shared_ptr<tcp_channel> mChannel;
  http_reader mReader;
  std::shared_ptr<http_responder> mSelf; ///< Until the connection ends.
};

} // namespace primrose
