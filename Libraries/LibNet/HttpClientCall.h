#pragma once

/// An HTTP client that sends its calls one at a time over one persistent
/// connection to one server, for example to the platform's store. If an answer
/// does not begin before its timeout, or stalls, the connection is closed,
/// since a late answer could be mistaken for that of the next call. An answer
/// that keeps arriving gets more time (`kReceiveTimeout`): how long it takes
/// depends on its size and on the link, and a retry would only transfer the
/// same bytes again.

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
  http_fields mFields; ///< Fields besides those that every call has.

  bool operator==(const http_call&) const = default;
};

/// The bytes of a request to this server.
std::string
RequestBytes(const http_call& aCall, const ip_address& aServer);

struct http_answer
{
  unsigned mStatus = 0; ///< 0: no answer was received.
  std::string mBody;
  duration mArrival{};  ///< Time from the first byte to the last.
  time_point mSentAt{}; ///< When the call was sent.
  /// Bytes that were received, also of an answer that was not complete.
  std::size_t mReceivedBytes = 0;
  http_fields mFields; ///< Of the head; empty if no answer was received.

  bool operator==(const http_answer&) const = default;
};

class serial_http_client final : public channel_owner
{
public:
  using answer_callback = std::function<void(const http_answer&)>;

  serial_http_client(event_loop& aLoop, ip_address aServer);
  ~serial_http_client() override;
  serial_http_client(const serial_http_client&) = delete;
  serial_http_client& operator=(const serial_http_client&) = delete;

  /// Queues a call. An answer without a length ends with its connection, and
  /// nothing but its content shows whether it was cut before. `aOnAnswer` is
  /// called once, never from within `Call`, and not at all after `CancelCalls`.
  /// The answer has to begin within `aTimeout` after the call was sent.
  void Call(const http_call& aCall,
            duration aTimeout,
            answer_callback aOnAnswer);
  /// Closes the connection and drops all calls without calling their
  /// callbacks.
  void CancelCalls();
  /// True while a call is in flight.
  bool Busy() const { return mBusy; }
  /// Bytes received so far of the answer to the call in flight; 0 if there is
  /// none.
  std::size_t Received() const { return mBusy ? mReceived : 0; }
  /// Time since the call in flight was sent; 0 if there is none.
  duration TimeInFlight() const;

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  struct queued_call
  {
    std::string mBytes;
    duration mTimeout{};
    answer_callback mOnAnswer;
  };
  void SendNext();
  void DeliverAnswer();
  void FinishCall(const http_answer& aAnswer);
  /// Ends the call in flight without a complete answer.
  void FailCall();
  void DropChannel();
  /// Fails the call in flight unless more bytes arrive within `aTime`.
  void RestartTimeout(duration aTime);

  event_loop& mLoop;
  ip_address mServer;
  std::shared_ptr<tcp_channel> mChannel;
  http_reader mReader;
  std::deque<queued_call> mQueue;
  bool mBusy = false;
  std::size_t mReceived = 0;
  time_point mSentAt{};
  time_point mFirstByteAt{};
  timer_id mTimer = 0;
};

} // namespace primrose
