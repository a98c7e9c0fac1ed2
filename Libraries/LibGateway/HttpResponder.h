#pragma once

/// Answers the balancer's and the monitoring's questions, one a connection or
/// many.

#include "LibNet/LibNet.h"

namespace primrose {

class http_responder final : public channel_owner
{
public:
  struct answer
  {
    unsigned mStatus = 0;
    std::string mBody;
  };
  using asked = std::function<answer()>;

  /// Answers each request on the socket and ends with it.
  static void Serve(event_loop& aLoop, int aSocket, asked aAsked);

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  http_responder(event_loop& aLoop, int aSocket, asked aAsked);
  void Close();

  event_loop& mLoop;
  asked mAsked;
  std::shared_ptr<tcp_channel> mChannel;
  http_reader mReader;
  std::shared_ptr<http_responder> mSelf; ///< Until the connection ends.
};

} // namespace primrose
