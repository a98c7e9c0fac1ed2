#pragma once

/// One connection of a caller: parses its requests one after another and writes
/// the answers.

#include "LibGateway/Exchange.h"

namespace primrose {

class caller_connection final
  : public channel_owner
  , public response_writer
{
public:
  using closed_callback = std::function<void(caller_connection&)>;

  caller_connection(const gateway_context& aContext,
                    int aSocket,
                    closed_callback aOnClosed);
  ~caller_connection() override;
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  bool Busy() const { return mExchange != nullptr; }
  /// Closes the connection unless a request is in progress or partly read.
  void CloseIfIdle();

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;
  void OnDrained(tcp_channel& aChannel) override;

  void Write(std::string_view aBytes) override;
  std::size_t Pending() const override;
  void SetUnwritten(std::size_t aBytes) override;
  void Finish(bool aKeepAlive) override;
  void Abort() override;

private:
  void Read();
  void Begin();
  void Reject(error_kind aKind, const std::string& aWhy);
  void StartIdleTimer();
  void Close(bool aDrain);
  void OnAnswerMemoryExhausted();

  gateway_context mContext;
  closed_callback mOnClosed;
  std::shared_ptr<tcp_channel> mChannel;
  std::shared_ptr<held_answer> mHeldAnswer;
  http_reader mReader;
  std::shared_ptr<exchange> mExchange;
  timer_id mTimer = 0;
};

} // namespace primrose
