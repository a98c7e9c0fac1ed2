#include "LibWire/Connection.h"

#include "LibObserve/LibObserve.h"
#include "LibWire/Timer.h"

namespace primrose {

namespace {

constexpr duration kAgentConnectTimeout = std::chrono::milliseconds(1000);

/// The largest message taken from a peer: a prompt of a million tokens is
/// about 4 MB; more than this is refused before memory is spent on it.
capnp::ReaderOptions
MessageLimits()
{
  capnp::ReaderOptions options;
  constexpr std::uint64_t kWords = std::uint64_t{ 32 } * 1024 * 1024 / 8;
  constexpr int kNesting = 16;
  options.traversalLimitInWords = kWords;
  options.nestingLimit = kNesting;
  return options;
}

struct server_connection
{
  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mRpc;

  server_connection(kj::Own<kj::AsyncIoStream> aStream,
                    wire::Gate::Client aGate)
    : mStream(kj::mv(aStream))
    , mNetwork(*mStream, capnp::rpc::twoparty::Side::SERVER, MessageLimits())
    , mRpc(capnp::makeRpcServer(mNetwork, kj::mv(aGate)))
  {
  }
};

} // namespace

void
rpc_server::failure_log::taskFailed(kj::Exception&& aException)
{
  Log(log_level::Debug,
      "rpc_connection_ended",
      { { "why", aException.getDescription().cStr() } });
}

rpc_server::rpc_server(wire::Gate::Client aGate)
  : mGate(kj::mv(aGate))
{
}

result<std::unique_ptr<rpc_server>>
rpc_server::Open(const ip_address& aAddress, wire::Gate::Client aGate)
{
  std::unique_ptr<rpc_server> server(new rpc_server(kj::mv(aGate)));
  rpc_server* const self = server.get();
  BOOST_LEAF_ASSIGN(
    server->mListener,
    listener::Open(aAddress, [self](kj::Own<kj::AsyncIoStream> aStream) {
      self->Accept(kj::mv(aStream));
    }));
  return server;
}

void
rpc_server::Accept(kj::Own<kj::AsyncIoStream> aStream)
{
  kj::Own<server_connection> connection =
    kj::heap<server_connection>(kj::mv(aStream), mGate);
  kj::Promise<void> ended = connection->mNetwork.onDisconnect();
  mConnections.add(ended.attach(kj::mv(connection)));
}

struct agent_connection::open_connection
{
  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mRpc;
  kj::Maybe<kj::Promise<void>> mWatch;

  explicit open_connection(kj::Own<kj::AsyncIoStream> aStream)
    : mStream(kj::mv(aStream))
    , mNetwork(*mStream, capnp::rpc::twoparty::Side::CLIENT, MessageLimits())
    , mRpc(capnp::makeRpcClient(mNetwork))
  {
  }

  wire::Gate::Client Gate()
  {
    capnp::MallocMessageBuilder message;
    capnp::rpc::twoparty::VatId::Builder vat =
      message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return mRpc.bootstrap(vat).castAs<wire::Gate>();
  }
};

agent_connection::agent_connection(ip_address aAddress,
                                   std::string aKey,
                                   std::string aCaller)
  : mAddress(std::move(aAddress))
  , mKey(std::move(aKey))
  , mCaller(std::move(aCaller))
{
}

agent_connection::~agent_connection() = default;

kj::Promise<wire::Agent::Client>
agent_connection::Open()
{
  return WithTimeout(Connect(mAddress), kAgentConnectTimeout)
    .then([this](kj::Own<kj::AsyncIoStream> aStream) {
      mConnection = std::make_shared<open_connection>(kj::mv(aStream));
      auto request = mConnection->Gate().openRequest();
      request.setKey(mKey);
      request.setCaller(mCaller);
      std::weak_ptr<open_connection> const watched = mConnection;
      mConnection->mWatch = mConnection->mNetwork.onDisconnect()
                              .then([this, watched]() {
                                if (watched.lock() == mConnection) {
                                  mNeedsReconnect = true;
                                }
                              })
                              .eagerlyEvaluate(nullptr);
      return request.send().then(
        [](capnp::Response<wire::Gate::OpenResults> aAnswer) {
          return aAnswer.getAgent();
        });
    });
}

kj::Promise<wire::Agent::Client>
agent_connection::Get()
{
  KJ_IF_MAYBE (opening, mOpening) {
    if (!mNeedsReconnect) {
      return opening->addBranch();
    }
  }
  mNeedsReconnect = false;
  kj::ForkedPromise<wire::Agent::Client> opening =
    Open()
      .catch_(
        [this](kj::Exception&& aException) -> kj::Promise<wire::Agent::Client> {
          // Only marked: the fork must not be destroyed by its own callback.
          mNeedsReconnect = true;
          return kj::mv(aException);
        })
      .fork();
  kj::Promise<wire::Agent::Client> branch = opening.addBranch();
  mOpening = kj::mv(opening);
  return branch;
}

} // namespace primrose
