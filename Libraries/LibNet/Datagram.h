#pragma once

/// UDP datagrams between the processes of this project.

#include "LibNet/EventLoop.h"

#include <string_view>

namespace primrose {

/// A bound UDP socket that passes each received datagram to a callback.
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

  /// Sends a datagram, or drops it if the kernel's send buffer is full. The
  /// network may lose datagrams too, so callers must tolerate a loss.
  void Send(std::string_view aBytes, const ip_address& aTo);
  /// The bound port, also if the kernel chose it.
  std::uint16_t Port() const;
  void OnEvents(std::uint32_t aEvents) override;

private:
  datagram_socket(event_loop& aLoop, int aSocket, receive_callback aOnReceive);

  event_loop& mLoop;
  int mSocket;
  receive_callback mOnReceive;
};

} // namespace primrose
