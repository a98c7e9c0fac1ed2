#pragma once

/// One attempt to have a request answered by one endpoint, from sending it to
/// the end of the answer.

#include "LibGateway/Adapter.h"
#include "LibGateway/EndpointConnectionPool.h"

namespace primrose {

/// How an attempt ended without a complete answer.
enum class attempt_end : std::uint8_t
{
  NotConnected,    ///< Nothing reached the endpoint.
  NotExecuted,     ///< The endpoint states that it did not run it.
  StaleConnection, ///< A reused connection closed before any byte came.
  ConnectionLost,  ///< The connection ended before the answer did. May have
                   ///< been executed.
  Truncated,       ///< The answer ended inside its body. Has been executed in
                   ///< part.
  InvalidAnswer,   ///< The bytes were no valid answer. May have been executed.
};

class attempt;

class attempt_owner
{
public:
  virtual ~attempt_owner() = default;
  /// The head of a valid answer has arrived.
  virtual void OnAnswerHead(attempt& aAttempt) = 0;
  /// More of the answer's body has arrived in `Body()`.
  virtual void OnAnswerBody(attempt& aAttempt) = 0;
  /// True if the answer's body, all of which has arrived, is complete as its
  /// content defines it. `OnAnswerBody` has been called for all of it.
  virtual bool IsBodyComplete(const attempt& aAttempt) const = 0;
  /// The answer is complete.
  virtual void OnAnswerEnd(attempt& aAttempt) = 0;
  virtual void OnAttemptEnd(attempt& aAttempt,
                            attempt_end aEnd,
                            const std::string& aWhy) = 0;
};

class attempt final : public channel_owner
{
public:
  attempt(event_loop& aLoop,
          endpoint_connection_pool& aConnections,
          const gateway_adapter& aAdapter,
          attempt_owner& aOwner,
          endpoint aEndpoint,
          std::string aRequestId);
  ~attempt() override;
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  /// Sends the request. `aNewConnection` forbids the use of an idle connection,
  /// which the endpoint could close at the same moment because of its idle
  /// timeout.
  void Send(std::string aHead, const std::string& aBody, bool aNewConnection);
  /// Ends the attempt and closes its connection without a call of the owner.
  void Cancel();
  void PauseReading(bool aPaused);

  const endpoint& Endpoint() const { return mEndpoint; }
  const http_head& Head() const { return mReader.Head(); }
  const answer_info& Info() const { return mAnswerInfo; }
  std::string& Body() { return mReader.Body(); }
  const std::string& Body() const { return mReader.Body(); }
  /// The length of the body, if the head declares it.
  std::optional<std::size_t> DeclaredLength() const
  {
    return mReader.DeclaredLength();
  }
  body_framing Framing() const { return mReader.Framing(); }
  bool WasSent() const { return mSent; }
  /// Time from the choice of the endpoint until the request was written to a
  /// connection; zero if an idle one was reused, no value if none was made.
  std::optional<duration> ConnectTime() const { return mConnectTime; }
  /// True if the endpoint's machine refused the connection, which a running
  /// endpoint would have accepted.
  bool ConnectionRefused() const { return mConnectionRefused; }
  /// True once the head of a valid answer has arrived.
  bool AnswerStarted() const { return mHeadAccepted; }
  time_point SentAt() const { return mSentAt; }

  void OnConnected(tcp_channel& aChannel) override;
  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;

private:
  void End(attempt_end aEnd, const std::string& aWhy);
  bool AcceptHead();
  void Complete();
  bool AnsweredEarly() const;
  void DropChannel();

  event_loop& mLoop;
  endpoint_connection_pool& mConnections;
  const gateway_adapter& mAdapter;
  attempt_owner* mOwner;
  endpoint mEndpoint;
  std::string mRequestId;
  std::shared_ptr<tcp_channel> mChannel;
  http_reader mReader;
  answer_info mAnswerInfo;
  bool mReusedConnection = false; ///< The connection served a request before.
  bool mSent = false;
  std::optional<duration> mConnectTime;
  bool mHeadAccepted = false;
  bool mConnectionRefused = false;
  time_point mSentAt{};
  std::size_t mBodyBytes = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
