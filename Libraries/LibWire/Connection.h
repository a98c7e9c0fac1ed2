#pragma once

/// Cap'n Proto RPC over our streams: a server that hands every peer the gate,
/// and a client connection to one agent that reconnects by itself.

#include "LibWire/GlibStream.h"
#include "LibWire/Primrose.capnp.h"

#include <capnp/rpc-twoparty.h>

#include <memory>

namespace primrose {

/// Serves one bootstrap capability on a listening socket.
class rpc_server
{
public:
  static result<std::unique_ptr<rpc_server>> Open(const ip_address& aAddress,
                                                  wire::Gate::Client aGate);
  const ip_address& Address() const { return mListener->Address(); }
  /// Stops taking connections; those that are open go on.
  void StopListening() { mListener.reset(); }

private:
  explicit rpc_server(wire::Gate::Client aGate);
  void Accept(kj::Own<kj::AsyncIoStream> aStream);

  class failure_log final : public kj::TaskSet::ErrorHandler
  {
    void taskFailed(kj::Exception&& aException) override;
  };

  wire::Gate::Client mGate;
  failure_log mFailures;
  kj::TaskSet mConnections{ mFailures };
  std::unique_ptr<listener> mListener;
};

/// A connection to one agent. It connects at first use and again after the
/// connection broke.
class agent_connection
{
public:
  agent_connection(ip_address aAddress, std::string aKey, std::string aCaller);
  ~agent_connection();
  agent_connection(const agent_connection&) = delete;
  agent_connection& operator=(const agent_connection&) = delete;

  /// The agent; fails with DISCONNECTED if it cannot be reached.
  kj::Promise<wire::Agent::Client> Get();
  const ip_address& Address() const { return mAddress; }

private:
  struct open_connection;
  kj::Promise<wire::Agent::Client> Open();

  ip_address mAddress;
  std::string mKey;
  std::string mCaller;
  kj::Maybe<kj::ForkedPromise<wire::Agent::Client>> mOpening;
  std::shared_ptr<open_connection> mConnection;
  /// The connection broke or could not be made; the next use makes a new one.
  bool mNeedsReconnect = false;
};

} // namespace primrose
