#include "LibGateway/PeerSnapshot.h"

#include "LibGateway/HttpResponder.h"
#include "LibGateway/PeerNews.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>

namespace primrose {

namespace {

constexpr unsigned kGood = 200;
/// A peer answers within milliseconds; one that does not is in trouble itself.
constexpr duration kFetchTimeout = std::chrono::milliseconds(400);
/// A manifest of some thousand routes with two thousand endpoints, in words of
/// eight bytes.
constexpr std::size_t kMostWords = std::size_t{ 4 } * 1024 * 1024;

void
WriteRow(wire::BelievedRow::Builder aRow,
         const row_change<std::string>& aChange)
{
  aRow.setKey(aChange.mKey.c_str());
  aRow.setRevision(aChange.mRevision);
  aRow.setGone(!aChange.mValue.has_value());
  if (aChange.mValue.has_value()) {
    aRow.setValue(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(aChange.mValue->data()),
                   aChange.mValue->size()));
  }
}

row_change<std::string>
ReadRow(wire::BelievedRow::Reader aRow)
{
  row_change<std::string> change;
  change.mKey = aRow.getKey().cStr();
  change.mRevision = aRow.getRevision();
  if (!aRow.getGone()) {
    const capnp::Data::Reader value = aRow.getValue();
    change.mValue.emplace(reinterpret_cast<const char*>(value.begin()),
                          value.size());
  }
  return change;
}

} // namespace

std::string
EncodeSnapshot(const table_snapshot& aRows)
{
  capnp::MallocMessageBuilder message;
  wire::PeerBeliefs::Builder beliefs = message.initRoot<wire::PeerBeliefs>();
  if (aRows.mManifest.has_value()) {
    WriteRow(beliefs.initManifest(), *aRows.mManifest);
  }
  capnp::List<wire::BelievedRow>::Builder rows =
    beliefs.initEndpoints(static_cast<unsigned>(aRows.mEndpoints.size()));
  for (unsigned i = 0; i < aRows.mEndpoints.size(); ++i) {
    WriteRow(rows[i], aRows.mEndpoints[i]);
  }
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const char> bytes = words.asChars();
  return { bytes.begin(), bytes.size() };
}

result<table_snapshot>
DecodeSnapshot(const std::string& aBytes)
{
  const std::size_t size = aBytes.size() / sizeof(capnp::word);
  if (aBytes.empty() || aBytes.size() % sizeof(capnp::word) != 0 ||
      size > kMostWords) {
    return Fail(error_kind::BadValue, "not a peer's beliefs");
  }
  std::vector<capnp::word> words(size);
  std::memcpy(words.data(), aBytes.data(), aBytes.size());
  // The library answers a message that is none with an exception.
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMostWords;
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), size),
                                         options);
    const wire::PeerBeliefs::Reader beliefs =
      reader.getRoot<wire::PeerBeliefs>();
    table_snapshot rows;
    if (beliefs.hasManifest()) {
      rows.mManifest = ReadRow(beliefs.getManifest());
    }
    for (const wire::BelievedRow::Reader row : beliefs.getEndpoints()) {
      rows.mEndpoints.push_back(ReadRow(row));
    }
    return rows;
  } catch (const kj::Exception& aError) {
    return Fail(error_kind::BadValue, aError.getDescription().cStr());
  }
}

snapshot_exchange::snapshot_exchange(event_loop& aLoop,
                                     const gateway_settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
{
}

result<void>
snapshot_exchange::Open(held aHeld)
{
  BOOST_LEAF_ASSIGN(
    mListener,
    tcp_listener::Open(
      mLoop, mSettings.mPeers, [this, held = std::move(aHeld)](int aSocket) {
        http_responder::Serve(mLoop, aSocket, [held]() {
          return http_responder::answer{ kGood, EncodeSnapshot(held()) };
        });
      }));
  return {};
}

void
snapshot_exchange::Ask(const std::string& aHost, received aReceived)
{
  if (mFetching) {
    return;
  }
  mFetching = true;
  // The question before this one may be what asks, from within its own answer.
  mLoop.DeleteLater(std::move(mCaller));
  mCaller = std::make_shared<serial_http_client>(
    mLoop, ip_address{ aHost, mSettings.mPeers.mPort });
  mCaller->Call(
    { "GET", "/beliefs", "", "", {} },
    kFetchTimeout,
    [this, aHost, then = std::move(aReceived)](const http_answer& aAnswer) {
      mFetching = false;
      const outcome<table_snapshot> rows =
        Capture<table_snapshot>([&aAnswer]() -> result<table_snapshot> {
          if (aAnswer.mStatus != kGood) {
            return Fail(error_kind::StoreUnavailable, "no answer");
          }
          return DecodeSnapshot(aAnswer.mBody);
        });
      Log(log_level::Info,
          "peer_asked",
          { { "host", aHost },
            { "outcome", rows ? "good" : rows.mFailure.mMessage },
            { "endpoints", rows ? rows.mValue->mEndpoints.size() : 0 } });
      then(rows.mValue);
    });
}

} // namespace primrose
