#include "LibNet/TcpChannel.h"
#include "LibNet/SystemAddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace primrose {

namespace {

/// Read in one call; larger than a usual burst of events of one stream.
constexpr std::size_t kReadBytes = std::size_t{ 32 } * 1024;
/// New connections that may wait while a burst is taken in.
constexpr int kBacklog = 1024;
/// Connections accepted in one turn, so that a herd of new callers does not
/// hold up the events of the streams that are already open.
constexpr int kAcceptsPerTurn = 32;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

tcp_channel::tcp_channel(event_loop& aLoop,
                         int aSocket,
                         const channel_limits& aLimits)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mConnected(true)
{
  Prepare(aLimits);
  mWatchedEvents = EPOLLIN | EPOLLRDHUP;
  mLoop.Watch(mSocket, mWatchedEvents, *this);
}

tcp_channel::tcp_channel(event_loop& aLoop,
                         const ip_address& aPeer,
                         const channel_limits& aLimits)
  : mLoop(aLoop)
  , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
  if (mSocket < 0) {
    return;
  }
  Prepare(aLimits);
  const sockaddr_in address = ToSockaddr(aPeer);
  (void)connect(
    mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  // Success, "in progress" and failure alike are told by readiness, so that
  // the owner never hears of the end inside the constructor.
  mWatchedEvents = EPOLLOUT | EPOLLIN | EPOLLRDHUP;
  mLoop.Watch(mSocket, mWatchedEvents, *this);
}

tcp_channel::~tcp_channel()
{
  Close();
}

void
tcp_channel::Prepare(const channel_limits& aLimits)
{
  SetOption(mSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  if (aLimits.mAckTimeout > duration::zero()) {
    SetOption(mSocket,
              IPPROTO_TCP,
              TCP_USER_TIMEOUT,
              static_cast<int>(Milliseconds(aLimits.mAckTimeout)));
  }
  if (aLimits.mProbeAfter > duration::zero()) {
    // A connection through a partition or to a machine without power stays
    // silent for ever; only probes of our own show it.
    const int seconds =
      std::max(1, static_cast<int>(Seconds(aLimits.mProbeAfter)));
    SetOption(mSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(mSocket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    SetOption(mSocket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    SetOption(mSocket, IPPROTO_TCP, TCP_KEEPCNT, 2);
  }
}

void
tcp_channel::UpdateWatchedEvents()
{
  std::uint32_t events = EPOLLRDHUP;
  if (!mPaused) {
    events |= EPOLLIN;
  }
  if (mWantWrite || !mConnected) {
    events |= EPOLLOUT;
  }
  if (events != mWatchedEvents && mSocket >= 0) {
    mWatchedEvents = events;
    mLoop.ChangeEvents(mSocket, events);
  }
}

void
tcp_channel::Write(std::string_view aBytes)
{
  if (mSocket < 0) {
    return;
  }
  if (mConnected && Pending() == 0) {
    const ssize_t sent =
      send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    if (aBytes.empty()) {
      return;
    }
  }
  // An error of the send shows again as readiness, where it can end the
  // channel without re-entering the writer.
  mOutput.append(aBytes);
  mWantWrite = true;
  UpdateWatchedEvents();
}

void
tcp_channel::PauseReading(bool aPaused)
{
  mPaused = aPaused;
  UpdateWatchedEvents();
}

void
tcp_channel::Close()
{
  if (mSocket < 0) {
    return;
  }
  mLoop.Forget(mSocket);
  close(mSocket);
  mSocket = -1;
  mOwner = nullptr;
}

void
tcp_channel::Abort()
{
  if (mSocket < 0) {
    return;
  }
  const linger immediately{ 1, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
  Close();
}

void
tcp_channel::CloseWhenDrained()
{
  if (Pending() == 0) {
    Close();
    return;
  }
  mCloseWhenDrained = true;
}

void
tcp_channel::End(channel_end aEnd)
{
  channel_owner* const owner = mOwner;
  if (owner == nullptr) {
    Close();
    return;
  }
  mOwner = nullptr;
  mLoop.Forget(mSocket);
  close(mSocket);
  mSocket = -1;
  owner->OnEnd(*this, aEnd);
}

void
tcp_channel::OnEvents(std::uint32_t aEvents)
{
  if (!mConnected && (aEvents & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      End(channel_end::Reset);
      return;
    }
    mConnected = true;
    Flush();
    if (mSocket >= 0 && mOwner != nullptr) {
      mOwner->OnConnected(*this);
    }
    if (mSocket >= 0) {
      UpdateWatchedEvents();
    }
    return;
  }
  if ((aEvents & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    // What arrived before a reset or an end still counts, so read first. A
    // paused reader hears only of the peer's leaving.
    if (!mPaused || (aEvents & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0) {
      Read();
    }
  }
  if (mSocket >= 0 && (aEvents & EPOLLOUT) != 0) {
    Flush();
  }
}

void
tcp_channel::Read()
{
  static std::array<char, kReadBytes> scratch;
  const ssize_t got = recv(mSocket, scratch.data(), scratch.size(), 0);
  if (got < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      End(channel_end::Reset);
    }
    return;
  }
  if (got == 0) {
    End(channel_end::Finished);
    return;
  }
  mInput.append(scratch.data(), static_cast<std::size_t>(got));
  if (mOwner != nullptr) {
    mOwner->OnInput(*this);
  }
}

void
tcp_channel::Flush()
{
  while (Pending() > 0) {
    const ssize_t sent =
      send(mSocket, mOutput.data() + mSent, Pending(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        return;
      }
      End(channel_end::Reset);
      return;
    }
    mSent += static_cast<std::size_t>(sent);
  }
  mOutput.clear();
  mSent = 0;
  mWantWrite = false;
  if (mCloseWhenDrained) {
    Close();
    return;
  }
  UpdateWatchedEvents();
  if (mOwner != nullptr) {
    mOwner->OnDrained(*this);
  }
}

tcp_listener::tcp_listener(event_loop& aLoop, int aSocket, accepted aAccepted)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mAccepted(std::move(aAccepted))
{
  mLoop.Watch(mSocket, EPOLLIN, *this);
}

tcp_listener::~tcp_listener()
{
  mLoop.Forget(mSocket);
  close(mSocket);
}

result<std::unique_ptr<tcp_listener>>
tcp_listener::Open(event_loop& aLoop,
                   const ip_address& aAddress,
                   accepted aAccepted)
{
  const int listening =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listening < 0) {
    return Fail(error_kind::Internal,
                std::string("no socket: ") + std::strerror(errno));
  }
  SetOption(listening, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (bind(listening,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listening, kBacklog) != 0) {
    const std::string why = std::strerror(errno);
    close(listening);
    return Fail(error_kind::SettingsInvalid,
                "cannot listen on " + aAddress.Text() + ": " + why);
  }
  return std::unique_ptr<tcp_listener>(
    new tcp_listener(aLoop, listening, std::move(aAccepted)));
}

std::uint16_t
tcp_listener::Port() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void
tcp_listener::OnEvents(std::uint32_t)
{
  for (int i = 0; i < kAcceptsPerTurn; ++i) {
    const int taken =
      accept4(mSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (taken < 0) {
      return;
    }
    mAccepted(taken);
  }
}

} // namespace primrose
