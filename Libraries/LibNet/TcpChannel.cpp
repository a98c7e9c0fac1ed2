#include "LibNet/TcpChannel.h"
#include "LibNet/SystemAddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace primrose {

namespace {

/// Bytes read in one call; more than a usual burst of events of one stream.
constexpr std::size_t kReadBytes = std::size_t{ 32 } * 1024;
/// Length of the kernel's queue of connections that are not accepted yet; it
/// absorbs bursts of new connections.
constexpr int kBacklog = 1024;
/// Connections accepted in one loop iteration. The bound keeps a burst of new
/// callers from delaying the events of streams that are already open.
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
  SetSocketOptions(aLimits);
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
  SetSocketOptions(aLimits);
  const sockaddr_in address = ToSockaddr(aPeer);
  (void)connect(
    mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  // Success, "in progress" and failure are all reported later through
  // readiness, so that `OnEnd` is never called inside the constructor.
  mWatchedEvents = EPOLLOUT | EPOLLIN | EPOLLRDHUP;
  mLoop.Watch(mSocket, mWatchedEvents, *this);
}

tcp_channel::~tcp_channel()
{
  Close();
}

void
tcp_channel::SetSocketOptions(const channel_limits& aLimits)
{
  SetOption(mSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  if (aLimits.mAckTimeout > duration::zero()) {
    SetOption(mSocket,
              IPPROTO_TCP,
              TCP_USER_TIMEOUT,
              static_cast<int>(Milliseconds(aLimits.mAckTimeout)));
  }
  if (aLimits.mKeepaliveIdle > duration::zero()) {
    // A connection through a network partition, or to a machine without power,
    // stays idle for ever without an error; only keepalive probes detect it.
    const int seconds =
      std::max(1, static_cast<int>(Seconds(aLimits.mKeepaliveIdle)));
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
  // A failed send is reported again through readiness, where the channel can
  // be ended without re-entering the code that called `Write`.
  RemoveSentBytes();
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
  mLoop.Unwatch(mSocket);
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
tcp_channel::NotifyEnd(channel_end aEnd)
{
  channel_owner* const owner = mOwner;
  if (owner == nullptr) {
    Close();
    return;
  }
  mOwner = nullptr;
  mLoop.Unwatch(mSocket);
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
      NotifyEnd(channel_end::Reset);
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
    // Bytes that arrived before a reset or an end are still valid, so read
    // first. While reading is paused, only the end of the connection leads to
    // a read.
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
  static std::array<char, kReadBytes> buffer;
  const ssize_t received = recv(mSocket, buffer.data(), buffer.size(), 0);
  if (received < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      NotifyEnd(channel_end::Reset);
    }
    return;
  }
  if (received == 0) {
    NotifyEnd(channel_end::Finished);
    return;
  }
  mInput.append(buffer.data(), static_cast<std::size_t>(received));
  if (mOwner != nullptr) {
    mOwner->OnInput(*this);
  }
}

void
tcp_channel::RemoveSentBytes()
{
  if (mSentBytes > Pending()) {
    mOutput.erase(0, mSentBytes);
    mSentBytes = 0;
  }
}

void
tcp_channel::Flush()
{
  while (Pending() > 0) {
    const ssize_t sent =
      send(mSocket, mOutput.data() + mSentBytes, Pending(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        RemoveSentBytes();
        return;
      }
      NotifyEnd(channel_end::Reset);
      return;
    }
    mSentBytes += static_cast<std::size_t>(sent);
  }
  // A connection that stays open must not keep the memory of a large answer.
  std::string().swap(mOutput);
  mSentBytes = 0;
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

void
CloseUnread(int aSocket)
{
  close(aSocket);
}

std::size_t
DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? static_cast<std::size_t>(limit.rlim_cur)
           : 0;
}

tcp_listener::tcp_listener(event_loop& aLoop,
                           int aSocket,
                           accept_callback aOnAccept)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mOnAccept(std::move(aOnAccept))
{
  mLoop.Watch(mSocket, EPOLLIN, *this);
}

tcp_listener::~tcp_listener()
{
  mLoop.Unwatch(mSocket);
  close(mSocket);
}

result<std::unique_ptr<tcp_listener>>
tcp_listener::Open(event_loop& aLoop,
                   const ip_address& aAddress,
                   accept_callback aOnAccept)
{
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return Fail(error_kind::Internal,
                std::string("no socket: ") + std::strerror(errno));
  }
  SetOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    close(descriptor);
    return Fail(error_kind::SettingsInvalid,
                "cannot listen on " + aAddress.Text() + ": " + reason);
  }
  return std::unique_ptr<tcp_listener>(
    new tcp_listener(aLoop, descriptor, std::move(aOnAccept)));
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
    const int accepted =
      accept4(mSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    mOnAccept(accepted);
  }
}

} // namespace primrose
