#pragma once

/// Calls over one kept connection to one server, one at a time: what the
/// platform's store is asked through. A call whose answer does not begin in its
/// time, or stops on its way, ends the connection, since a late answer would
/// belong to nobody. An answer that keeps coming is waited for: how long it
/// takes depends on its size and on the link, and to ask again would bring the
/// same bytes once more.

#include "LibNet/HttpReader.h"
#include "LibNet/TcpChannel.h"

#include <deque>

namespace primrose {

struct http_call
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::string mContentType;
  http_fields mFields; ///< Besides those that every call has.

  bool operator==(const http_call&) const = default;
};

struct http_answer
{
  unsigned mStatus = 0; ///< 0: no answer came.
  std::string mBody;
  duration mArrival{}; ///< From its first byte to its last.

  bool operator==(const http_answer&) const = default;
};

class serial_http_client final : public channel_owner
{
public:
  using answered = std::function<void(const http_answer&)>;

  serial_http_client(event_loop& aLoop, ip_address aServer);
  ~serial_http_client() override;
  serial_http_client(const serial_http_client&) = delete;
  serial_http_client& operator=(const serial_http_client&) = delete;

  /// `aAnswered` is called exactly once, never from within `Call`; the answer
  /// has to begin within `aTimeout` of its turn.
  void Call(const http_call& aCall, duration aTimeout, answered aAnswered);
  /// Drops the connection and all calls; none of them is answered any more.
  void CancelCalls();
  /// True while a call is open.
  bool Busy() const { return mBusy; }
  /// Bytes of the answer to the open call that have come; 0 without a call.
  std::size_t Received() const { return mBusy ? mReceived : 0; }
  /// How long the open call has been out; 0 without a call.
  duration TimeInFlight() const;

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  struct waiting
  {
    std::string mBytes;
    duration mTimeout{};
    answered mAnswered;
  };
  void SendNext();
  void Settle(const http_answer& aAnswer);
  void DropChannel();
  /// The open call counts as unanswered after so long without another byte.
  void RestartTimeout(duration aTime);

  event_loop& mLoop;
  ip_address mServer;
  std::shared_ptr<tcp_channel> mChannel;
  http_reader mReader;
  std::deque<waiting> mWaiting;
  bool mBusy = false;
  std::size_t mReceived = 0;
  time_point mAsked{};
  time_point mFirstByteAt{};
  timer_id mTimer = 0;
};

} // namespace primrose
