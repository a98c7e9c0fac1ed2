#include "LibWire/GlibStream.h"

#include "LibWire/Timer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace primrose {

namespace {

/// Not atomic, since all streams run in one thread.
stream_traffic gTraffic;

/// Fulfils a promise from GLib once a descriptor is ready.
struct readiness
{
  kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
  guint mSource = 0;

  readiness() = default;
  readiness(const readiness&) = delete;
  readiness& operator=(const readiness&) = delete;
  ~readiness()
  {
    if (mSource != 0) {
      g_source_remove(mSource);
    }
  }

  static gboolean Fire(int /*aDescriptor*/, GIOCondition, gpointer aSelf)
  {
    readiness* const self = static_cast<readiness*>(aSelf);
    self->mSource = 0;
    self->mFulfiller->fulfill();
    return G_SOURCE_REMOVE;
  }
};

kj::Promise<void>
WhenReady(int aDescriptor, GIOCondition aCondition)
{
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  kj::Own<readiness> state = kj::heap<readiness>();
  state->mFulfiller = kj::mv(pair.fulfiller);
  state->mSource =
    g_unix_fd_add(aDescriptor, aCondition, &readiness::Fire, state.get());
  return pair.promise.attach(kj::mv(state));
}

kj::Exception
SocketError(const char* aWhat)
{
  return KJ_EXCEPTION(DISCONNECTED, aWhat, strerror(errno));
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

class glib_stream final : public kj::AsyncIoStream
{
public:
  glib_stream(int aDescriptor, traffic_class aClass)
    : mDescriptor(aDescriptor)
    , mCounted(aClass == traffic_class::Rpc)
  {
  }
  ~glib_stream() noexcept(false) { close(mDescriptor); }
  glib_stream(const glib_stream&) = delete;
  glib_stream& operator=(const glib_stream&) = delete;

  kj::Promise<size_t> tryRead(void* aBuffer,
                              size_t aMinimum,
                              size_t aMaximum) override
  {
    return ReadMore(static_cast<kj::byte*>(aBuffer), aMinimum, aMaximum, 0);
  }

  kj::Promise<void> write(const void* aBuffer, size_t aSize) override
  {
    const kj::byte* next = static_cast<const kj::byte*>(aBuffer);
    while (aSize > 0) {
      const ssize_t sent = send(mDescriptor, next, aSize, MSG_NOSIGNAL);
      if (sent < 0 && !WouldBlock()) {
        return SocketError("write failed");
      }
      if (sent < 0) {
        return WhenReady(mDescriptor, G_IO_OUT).then([this, next, aSize]() {
          return write(next, aSize);
        });
      }
      CountSent(static_cast<std::uint64_t>(sent));
      next += sent;
      aSize -= static_cast<size_t>(sent);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    if (aPieces.size() == 0) {
      return kj::READY_NOW;
    }
    // Send small messages in one gathered call: a send for each segment would
    // put the segment table and the message into separate packets.
    constexpr size_t kMaxPieces = 16;
    const size_t count = std::min(aPieces.size(), kMaxPieces);
    iovec vectors[kMaxPieces];
    for (size_t i = 0; i < count; ++i) {
      vectors[i].iov_base = const_cast<kj::byte*>(aPieces[i].begin());
      vectors[i].iov_len = aPieces[i].size();
    }
    msghdr message{};
    message.msg_iov = vectors;
    message.msg_iovlen = count;
    const ssize_t sent = sendmsg(mDescriptor, &message, MSG_NOSIGNAL);
    if (sent < 0 && !WouldBlock()) {
      return SocketError("write failed");
    }
    const size_t done = sent < 0 ? 0 : static_cast<size_t>(sent);
    CountSent(done);
    return WriteRest(aPieces, done);
  }

  kj::Promise<void> whenWriteDisconnected() override
  {
    return WhenReady(mDescriptor,
                     static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR));
  }

  void shutdownWrite() override { shutdown(mDescriptor, SHUT_WR); }
  void abortRead() override { shutdown(mDescriptor, SHUT_RD); }

private:
  void CountSent(std::uint64_t aBytes)
  {
    gTraffic.mSent += mCounted ? aBytes : 0;
  }

  kj::Promise<size_t> ReadMore(kj::byte* aBuffer,
                               size_t aMinimum,
                               size_t aMaximum,
                               size_t aDone)
  {
    while (true) {
      const ssize_t got =
        recv(mDescriptor, aBuffer + aDone, aMaximum - aDone, 0);
      if (got == 0) {
        return aDone;
      }
      if (got < 0 && !WouldBlock()) {
        return SocketError("read failed");
      }
      if (got < 0) {
        return WhenReady(mDescriptor, G_IO_IN)
          .then([this, aBuffer, aMinimum, aMaximum, aDone]() {
            return ReadMore(aBuffer, aMinimum, aMaximum, aDone);
          });
      }
      gTraffic.mReceived += mCounted ? static_cast<std::uint64_t>(got) : 0;
      aDone += static_cast<size_t>(got);
      if (aDone >= aMinimum) {
        return aDone;
      }
    }
  }

  kj::Promise<void> WriteRest(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces,
    size_t aSent)
  {
    while (aPieces.size() > 0 && aSent >= aPieces[0].size()) {
      aSent -= aPieces[0].size();
      aPieces = aPieces.slice(1, aPieces.size());
    }
    if (aPieces.size() == 0) {
      return kj::READY_NOW;
    }
    const kj::ArrayPtr<const kj::byte> first =
      aPieces[0].slice(aSent, aPieces[0].size());
    const kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> others =
      aPieces.slice(1, aPieces.size());
    return write(first.begin(), first.size()).then([this, others]() {
      return write(others);
    });
  }

  int mDescriptor;
  bool mCounted;
};

sockaddr_in
SocketAddress(const ip_address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  return address;
}

void
DisableNagle(int aDescriptor)
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

stream_traffic
TotalTraffic()
{
  return gTraffic;
}

kj::Own<kj::AsyncIoStream>
WrapSocket(int aDescriptor, traffic_class aClass)
{
  DisableNagle(aDescriptor);
  return kj::heap<glib_stream>(aDescriptor, aClass);
}

kj::Promise<kj::Own<kj::AsyncIoStream>>
Connect(const ip_address& aAddress, traffic_class aClass)
{
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return SocketError("no socket");
  }
  kj::Own<kj::AsyncIoStream> stream = WrapSocket(descriptor, aClass);
  const sockaddr_in address = SocketAddress(aAddress);
  const int connected = connect(
    descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (connected != 0 && errno != EINPROGRESS) {
    return SocketError("connect failed");
  }
  return WhenReady(descriptor, G_IO_OUT)
    .then([descriptor, stream = kj::mv(stream)]() mutable
          -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) {
        errno = error;
        return SocketError("connect failed");
      }
      return kj::mv(stream);
    });
}

listener::listener(int aDescriptor, ip_address aAddress, handler aHandler)
  : mDescriptor(aDescriptor)
  , mAddress(std::move(aAddress))
  , mHandler(std::move(aHandler))
{
  const GUnixFDSourceFunc ready =
    [](int, GIOCondition, gpointer aSelf) -> gboolean {
    static_cast<listener*>(aSelf)->AcceptAll();
    return G_SOURCE_CONTINUE;
  };
  mSource = g_unix_fd_add(mDescriptor, G_IO_IN, ready, this);
}

listener::~listener()
{
  g_source_remove(mSource);
  close(mDescriptor);
}

result<std::unique_ptr<listener>>
listener::Open(const ip_address& aAddress, handler aHandler)
{
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = SocketAddress(aAddress);
  sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  if (bind(descriptor, generic, size) != 0 ||
      listen(descriptor, SOMAXCONN) != 0 ||
      getsockname(descriptor, generic, &size) != 0) {
    const std::string message =
      fmt::format("cannot listen on {}: {}", aAddress.Text(), strerror(errno));
    close(descriptor);
    return Fail(error_kind::BadValue, message);
  }
  const ip_address bound{ aAddress.mHost, ntohs(address.sin_port) };
  return std::unique_ptr<listener>(
    new listener(descriptor, bound, std::move(aHandler)));
}

void
listener::AcceptAll()
{
  while (true) {
    const int accepted =
      accept4(mDescriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    mHandler(WrapSocket(accepted));
  }
}

} // namespace primrose
