#pragma once

/// A TCP connection as a KJ stream whose readiness comes from GLib, and the
/// listening and connecting that make one.

#include "LibCore/LibCore.h"

#include <kj/async-io.h>

#include <functional>
#include <string>

namespace primrose {

/// Bytes that this process has sent and received over all its streams.
struct stream_traffic
{
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;

  bool operator==(const stream_traffic&) const = default;
};

stream_traffic
TotalTraffic();

/// Takes ownership of a connected, non-blocking socket.
kj::Own<kj::AsyncIoStream>
WrapSocket(int aDescriptor);

/// Connects, or fails with a KJ exception of type DISCONNECTED.
kj::Promise<kj::Own<kj::AsyncIoStream>>
Connect(const ip_address& aAddress);

/// Listens until destroyed and hands over each accepted connection.
class listener
{
public:
  using handler = std::function<void(kj::Own<kj::AsyncIoStream>)>;

  static result<std::unique_ptr<listener>> Open(const ip_address& aAddress,
                                                handler aHandler);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  /// The address in fact bound; tells the port when 0 was asked for.
  const ip_address& Address() const { return mAddress; }

private:
  listener(int aDescriptor, ip_address aAddress, handler aHandler);
  void AcceptAll();

  int mDescriptor;
  ip_address mAddress;
  handler mHandler;
  unsigned mSource = 0;
};

} // namespace primrose
