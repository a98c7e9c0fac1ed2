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

/// The largest datagram that IPv4 carries.
constexpr std::size_t kMostBytes = 65536;
/// Taken in one turn, so that a talkative peer does not hold up callers.
constexpr int kMaxDatagramsPerTurn = 64;

} // namespace

datagram_socket::datagram_socket(event_loop& aLoop,
                                 int aSocket,
                                 received aReceived)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mReceived(std::move(aReceived))
{
  mLoop.Watch(mSocket, EPOLLIN, *this);
}

datagram_socket::~datagram_socket()
{
  mLoop.Forget(mSocket);
  close(mSocket);
}

result<std::unique_ptr<datagram_socket>>
datagram_socket::Open(event_loop& aLoop,
                      const ip_address& aAddress,
                      received aReceived)
{
  const int opened =
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (opened < 0 || bind(opened,
                         reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) != 0) {
    const std::string why = std::strerror(errno);
    if (opened >= 0) {
      close(opened);
    }
    return Fail(error_kind::SettingsInvalid,
                "cannot receive on " + aAddress.Text() + ": " + why);
  }
  return std::unique_ptr<datagram_socket>(
    new datagram_socket(aLoop, opened, std::move(aReceived)));
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
  static std::array<char, kMostBytes> scratch;
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t got = recvfrom(mSocket,
                                 scratch.data(),
                                 scratch.size(),
                                 0,
                                 reinterpret_cast<sockaddr*>(&from),
                                 &size);
    if (got < 0) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    mReceived({ scratch.data(), static_cast<std::size_t>(got) },
              { text.data(), ntohs(from.sin_port) });
  }
}

} // namespace primrose
