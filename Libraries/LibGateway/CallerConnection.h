#pragma once

/// One connection of a caller: reads requests one after another and carries
/// each answer back.

#include "LibGateway/Exchange.h"

namespace primrose {

class caller_connection final
  : public channel_owner
  , public response_writer
{
public:
  using closed = std::function<void(caller_connection&)>;

  caller_connection(const gateway_context& aContext,
                    int aSocket,
                    closed aClosed);
  ~caller_connection() override;
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  bool Busy() const { return mExchange != nullptr; }
  /// Closes the connection if no request is waiting on it.
  void CloseIfIdle();

  void OnInput(tcp_channel& aChannel) override;
  void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;
  void OnDrained(tcp_channel& aChannel) override;

  void Write(std::string_view aBytes) override;
  std::size_t Pending() const override;
  void Finish(bool aKeepAlive) override;
  void Cut() override;

private:
  void Read();
  void Begin();
  void Reject(error_kind aKind, const std::string& aWhy);
  void StartIdleTimer();
  void Close(bool aDrain);

  gateway_context mContext;
  closed mClosed;
  std::shared_ptr<tcp_channel> mChannel;
  http_reader mReader;
  std::shared_ptr<exchange> mExchange;
  timer_id mTimer = 0;
};

} // namespace primrose
