#pragma once

/// Datagrams between the system's own processes.

#include "LibNet/EventLoop.h"

#include <string_view>

namespace primrose {

class datagram_socket final : public io_handler
{
public:
  using receive_callback =
    std::function<void(std::string_view aBytes, const ip_address& aFrom)>;

  static result<std::unique_ptr<datagram_socket>> Open(
    event_loop& aLoop,
    const ip_address& aAddress,
    receive_callback aOnReceive);
  ~datagram_socket() override;
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /// Sends, or drops where the system has no room; datagrams may be lost
  /// anyway, so nobody may rely on one.
  void Send(std::string_view aBytes, const ip_address& aTo);
  /// The port, also where the system chose it.
  std::uint16_t Port() const;
  void OnEvents(std::uint32_t aEvents) override;

private:
  datagram_socket(event_loop& aLoop, int aSocket, receive_callback aOnReceive);

  event_loop& mLoop;
  int mSocket;
  receive_callback mOnReceive;
};

} // namespace primrose
