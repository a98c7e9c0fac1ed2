#include "LibGossip/PeerSnapshot.h"

#include "LibGossip/PeerNews.capnp.h"
#include "LibNet/LibNet.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <charconv>
#include <cstring>

namespace primrose {

namespace {

constexpr unsigned kStatusOk = 200;
/// A healthy peer answers within milliseconds.
constexpr duration kFetchTimeout = std::chrono::milliseconds(400);
/// Large enough for a manifest of some thousand routes and two thousand
/// endpoints, in words of eight bytes.
constexpr std::size_t kMaxSnapshotWords = std::size_t{ 4 } * 1024 * 1024;

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

void
WriteRows(capnp::List<wire::BelievedRow>::Builder aList,
          const std::vector<row_change<std::string>>& aRows)
{
  for (unsigned i = 0; i < aRows.size(); ++i) {
    WriteRow(aList[i], aRows[i]);
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

constexpr std::string_view kOperatorsField = "operators=";
constexpr std::string_view kEndpointsField = "endpoints=";
/// Gateways of earlier builds neither send nor know it.
constexpr std::string_view kCompressedField = "compressed=1";

std::string
WriteTarget(const held_revisions& aHeld)
{
  return "/beliefs?" + std::string(kOperatorsField) +
         std::to_string(aHeld.mOperators) + '&' + std::string(kEndpointsField) +
         std::to_string(aHeld.mEndpoints) + '&' + std::string(kCompressedField);
}

/// The number after a field of the target; 0 if there is none.
std::uint64_t
NumberAfter(std::string_view aTarget, std::string_view aField)
{
  const std::size_t at = aTarget.find(aField);
  std::uint64_t number = 0;
  if (at != std::string_view::npos) {
    (void)std::from_chars(aTarget.data() + at + aField.size(),
                          aTarget.data() + aTarget.size(),
                          number);
  }
  return number;
}

held_revisions
ReadTarget(std::string_view aTarget)
{
  return { NumberAfter(aTarget, kOperatorsField),
           NumberAfter(aTarget, kEndpointsField) };
}

result<table_snapshot>
DecodePlainSnapshot(const std::string& aBytes)
{
  const std::size_t size = aBytes.size() / sizeof(capnp::word);
  if (aBytes.empty() || aBytes.size() % sizeof(capnp::word) != 0 ||
      size > kMaxSnapshotWords) {
    return Fail(error_kind::BadValue, "not a peer's beliefs");
  }
  std::vector<capnp::word> words(size);
  std::memcpy(words.data(), aBytes.data(), aBytes.size());
  // Cap'n Proto reports malformed messages by exceptions.
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxSnapshotWords;
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), size),
                                         options);
    const wire::PeerBeliefs::Reader encoded =
      reader.getRoot<wire::PeerBeliefs>();
    table_snapshot rows;
    if (encoded.hasManifest()) {
      rows.mManifest = ReadRow(encoded.getManifest());
    }
    for (const wire::BelievedRow::Reader row : encoded.getEndpoints()) {
      rows.mEndpoints.push_back(ReadRow(row));
    }
    for (const wire::BelievedRow::Reader row : encoded.getEvacuations()) {
      rows.mEvacuations.push_back(ReadRow(row));
    }
    rows.mOperatorRevision = encoded.getOperatorRevision();
    rows.mListRevision = encoded.getListRevision();
    rows.mIsFullList = encoded.getListIsFull();
    return rows;
  } catch (const kj::Exception& aError) {
    return Fail(error_kind::BadValue, aError.getDescription().cStr());
  }
}

} // namespace

std::string
EncodeSnapshot(const table_snapshot& aRows)
{
  capnp::MallocMessageBuilder message;
  wire::PeerBeliefs::Builder encoded = message.initRoot<wire::PeerBeliefs>();
  if (aRows.mManifest.has_value()) {
    WriteRow(encoded.initManifest(), *aRows.mManifest);
  }
  WriteRows(
    encoded.initEndpoints(static_cast<unsigned>(aRows.mEndpoints.size())),
    aRows.mEndpoints);
  WriteRows(
    encoded.initEvacuations(static_cast<unsigned>(aRows.mEvacuations.size())),
    aRows.mEvacuations);
  encoded.setOperatorRevision(aRows.mOperatorRevision);
  encoded.setListRevision(aRows.mListRevision);
  encoded.setListIsFull(aRows.mIsFullList);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const char> bytes = words.asChars();
  return { bytes.begin(), bytes.size() };
}

result<table_snapshot>
DecodeSnapshot(const std::string& aBytes)
{
  if (!IsCompressed(aBytes)) {
    return DecodePlainSnapshot(aBytes);
  }
  BOOST_LEAF_ASSIGN(
    std::string const plain,
    Decompress(aBytes, kMaxSnapshotWords * sizeof(capnp::word)));
  return DecodePlainSnapshot(plain);
}

snapshot_exchange::snapshot_exchange(event_loop& aLoop,
                                     const gateway_settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
{
}

const std::string&
snapshot_exchange::AnswerFor(const held_revisions& aHeld, bool aCompressed)
{
  const held_revisions own = mRevisions();
  if (!mLastAnswer.has_value() || mLastAnswer->mHeld != aHeld ||
      mLastAnswer->mOwn != own || mLastAnswer->mCompressed != aCompressed) {
    const std::string plain = EncodeSnapshot(mSource(aHeld));
    mLastAnswer = {
      aHeld, own, aCompressed, aCompressed ? Compress(plain) : plain
    };
  }
  return mLastAnswer->mBytes;
}

result<void>
snapshot_exchange::Open(snapshot_source aSource,
                        std::function<held_revisions()> aRevisions)
{
  mSource = std::move(aSource);
  mRevisions = std::move(aRevisions);
  BOOST_LEAF_ASSIGN(
    mListener, tcp_listener::Open(mLoop, mSettings.mPeers, [this](int aSocket) {
      http_responder::Serve(mLoop, aSocket, [this](const http_head& aHead) {
        const bool compressed =
          aHead.mTarget.find(kCompressedField) != std::string::npos;
        return http_responder::answer{
          kStatusOk, AnswerFor(ReadTarget(aHead.mTarget), compressed)
        };
      });
    }));
  return {};
}

void
snapshot_exchange::Ask(const std::string& aHost,
                       const held_revisions& aHeld,
                       fetch_callback aCallback)
{
  if (mFetching) {
    return;
  }
  mFetching = true;
  // This may run inside the callback of the previous call, so its caller object
  // is deleted only later.
  mLoop.DeleteLater(std::move(mCaller));
  mCaller = std::make_shared<serial_http_client>(
    mLoop, ip_address{ aHost, mSettings.mPeers.mPort });
  mCaller->Call(
    { "GET", WriteTarget(aHeld), "", "", {} },
    kFetchTimeout,
    [this, aHost, callback = std::move(aCallback)](const http_answer& aAnswer) {
      mFetching = false;
      const outcome<table_snapshot> rows =
        Capture<table_snapshot>([&aAnswer]() -> result<table_snapshot> {
          if (aAnswer.mStatus != kStatusOk) {
            return Fail(error_kind::StoreUnavailable, "no answer");
          }
          return DecodeSnapshot(aAnswer.mBody);
        });
      Log(log_level::Info,
          "peer_asked",
          { { "host", aHost },
            { "outcome", rows ? "good" : rows.mFailure.mMessage },
            { "endpoints", rows ? rows.mValue->mEndpoints.size() : 0 } });
      callback(rows.mValue);
    });
}

} // namespace primrose
