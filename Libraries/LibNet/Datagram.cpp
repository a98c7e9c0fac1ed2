#include "LibNet/Datagram.h"
#include "LibNet/SystemAddress.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace primrose {

namespace {

/// The largest datagram that IPv4 can carry.
constexpr std::size_t kMaxDatagramBytes = 65536;
/// Datagrams read in one loop iteration. The bound keeps a peer that sends many
/// datagrams from delaying callers.
constexpr int kMaxDatagramsPerTurn = 64;

} // namespace

datagram_socket::datagram_socket(event_loop& aLoop,
                                 int aSocket,
                                 receive_callback aOnReceive)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mOnReceive(std::move(aOnReceive))
{
  mLoop.Watch(mSocket, EPOLLIN, *this);
}

datagram_socket::~datagram_socket()
{
  mLoop.Unwatch(mSocket);
  close(mSocket);
}

result<std::unique_ptr<datagram_socket>>
datagram_socket::Open(event_loop& aLoop,
                      const ip_address& aAddress,
                      receive_callback aOnReceive)
{
  const int descriptor =
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (descriptor < 0 || bind(descriptor,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) != 0) {
    const std::string reason = std::strerror(errno);
    if (descriptor >= 0) {
      close(descriptor);
    }
    return Fail(error_kind::SettingsInvalid,
                "cannot receive on " + aAddress.Text() + ": " + reason);
  }
  return std::unique_ptr<datagram_socket>(
    new datagram_socket(aLoop, descriptor, std::move(aOnReceive)));
}

std::uint16_t
datagram_socket::Port() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void
datagram_socket::Send(std::string_view aBytes, const ip_address& aTo)
{
  const sockaddr_in address = ToSockaddr(aTo);
  (void)sendto(mSocket,
               aBytes.data(),
               aBytes.size(),
               MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof(address));
}

void
datagram_socket::OnEvents(std::uint32_t)
{
  static std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t received = recvfrom(mSocket,
                                      buffer.data(),
                                      buffer.size(),
                                      0,
                                      reinterpret_cast<sockaddr*>(&from),
                                      &size);
    if (received < 0) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    mOnReceive({ buffer.data(), static_cast<std::size_t>(received) },
               { text.data(), ntohs(from.sin_port) });
  }
}

} // namespace primrose
