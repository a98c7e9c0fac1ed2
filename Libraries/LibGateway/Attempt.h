#pragma once

/// One sending of a request to one endpoint, until its answer has ended.

#include "LibGateway/EndpointConnectionPool.h"

namespace primrose {

/// What an attempt tells the exchange that it belongs to.
enum class attempt_end : std::uint8_t
{
  NotConnected,   ///< No connection: the endpoint saw nothing.
  NotRun,         ///< The endpoint promises not to have run it.
  Stale,          ///< A kept connection was closed before any byte came back.
  ConnectionLost, ///< The connection ended before the answer did. It may have
                  ///< run.
  Broken,         ///< What came was no answer to it. It may have run.
};

class attempt;

class attempt_owner
{
public:
  virtual ~attempt_owner() = default;
  /// The head of a proper answer is there.
  virtual void OnAnswerHead(attempt& aAttempt) = 0;
  /// More of the body stands in `Body()`.
  virtual void OnAnswerBody(attempt& aAttempt) = 0;
  /// The answer is whole.
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

  /// Sends; `aFresh` asks for a connection of its own, which no idle timeout
  /// of the endpoint can close at the same moment.
  void Send(std::string aHead, const std::string& aBody, bool aFresh);
  /// Ends the attempt without a word; the endpoint sees its connection close.
  void Cancel();
  void PauseReading(bool aPaused);

  const endpoint& Endpoint() const { return mEndpoint; }
  const http_head& Head() const { return mReader.Head(); }
  const answer_info& Facts() const { return mFacts; }
  std::string& Body() { return mReader.Body(); }
  bool Sent() const { return mSent; }
  /// A process that is there would have taken the connection.
  bool ConnectionRefused() const { return mConnectionRefused; }
  /// The head of a proper answer has come.
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
  answer_info mFacts;
  bool mReusedConnection = false; ///< The connection had served before.
  bool mSent = false;
  bool mHeadAccepted = false;
  bool mConnectionRefused = false;
  time_point mSentAt{};
  std::size_t mBodyBytes = 0;
  timer_id mTimer = 0;
};

} // namespace primrose
