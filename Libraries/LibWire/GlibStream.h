#pragma once

/// TCP connections as KJ streams that wait for readiness through GLib, and
/// functions to open and accept them.

#include "LibCore/LibCore.h"

#include <kj/async-io.h>

#include <functional>
#include <string>

namespace primrose {

/// What a stream carries; only RPC is counted as traffic.
enum class traffic_class : std::uint8_t
{
  Rpc,
  Http,
};

/// Bytes that this process has sent and received over its streams of RPC.
struct stream_traffic
{
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;

  bool operator==(const stream_traffic&) const = default;
};

/// The traffic of this process since its start.
stream_traffic
TotalTraffic();

/// Makes a stream that owns a connected, non-blocking socket.
kj::Own<kj::AsyncIoStream>
WrapSocket(int aDescriptor, traffic_class aClass = traffic_class::Rpc);

/// Connects, or fails with a KJ exception of type DISCONNECTED.
kj::Promise<kj::Own<kj::AsyncIoStream>>
Connect(const ip_address& aAddress, traffic_class aClass = traffic_class::Rpc);

/// Listens until destroyed and passes each accepted connection to a handler.
class listener
{
public:
  using handler = std::function<void(kj::Own<kj::AsyncIoStream>)>;

  static result<std::unique_ptr<listener>> Open(const ip_address& aAddress,
                                                handler aHandler);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  /// The bound address, with the port that the kernel chose if 0 was requested.
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
