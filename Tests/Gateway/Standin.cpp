#include "Standin.h"

#include <unistd.h>

#include <cppunit/TestAssert.h>
#include <glib.h>
#include <nlohmann/json.hpp>

namespace primrose::test {

using json = nlohmann::json;

namespace {

constexpr channel_limits kNoLimits{};

std::string
EncodeBase64(const std::string& aText)
{
  gchar* const text = g_base64_encode(
    reinterpret_cast<const guchar*>(aText.data()), aText.size());
  std::string encoded = text;
  g_free(text);
  return encoded;
}

std::string
DecodeUri(const std::string& aText)
{
  gchar* const text = g_uri_unescape_string(aText.c_str(), nullptr);
  std::string decoded = text;
  g_free(text);
  return decoded;
}

std::string
QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t at = aTarget.find(aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

} // namespace

standin_server::connection::connection(standin_server& aServer,
                                       event_loop& aLoop,
                                       int aSocket)
  : mServer(aServer)
  , mChannel(std::make_shared<tcp_channel>(aLoop, aSocket, kNoLimits))
  , mReader(http_role::Request, http_limits{})
{
  mChannel->SetOwner(this);
}

void
standin_server::connection::OnInput(tcp_channel& aChannel)
{
  if (mReader.State() == read_state::Complete) {
    return;
  }
  if (mReader.Read(aChannel.Input()) == read_state::Complete) {
    mServer.mHandler(*this, mReader.Head(), mReader.Body());
  }
}

void
standin_server::connection::OnEnd(tcp_channel&, channel_end)
{
  mEnded = true;
}

void
standin_server::connection::Next()
{
  mReader.Restart();
}

standin_server::standin_server(event_loop& aLoop, handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
{
  outcome<std::unique_ptr<tcp_listener>> opened =
    Capture<std::unique_ptr<tcp_listener>>([this]() {
      return tcp_listener::Open(mLoop, { "127.0.0.1", 0 }, [this](int aSocket) {
        mConnections.push_back(
          std::make_shared<connection>(*this, mLoop, aSocket));
      });
    });
  CPPUNIT_ASSERT(opened);
  mListener = std::move(*opened.mValue);
}

ip_address
standin_server::Address() const
{
  return { "127.0.0.1", mListener->Port() };
}

std::size_t
standin_server::Ended() const
{
  std::size_t ended = 0;
  for (const std::shared_ptr<connection>& one : mConnections) {
    ended += one->mEnded ? 1 : 0;
  }
  return ended;
}

void
standin_server::End()
{
  for (const std::shared_ptr<connection>& one : mConnections) {
    one->mChannel->Close();
    one->mEnded = true;
  }
  // End() may be called from a callback of the listener.
  mLoop.DeleteLater(std::move(mListener));
}

standin_store::standin_store(event_loop& aLoop)
  : mLoop(aLoop)
  , mServer(
      aLoop,
      [this](standin_server::connection& aConnection,
             const http_head& aHead,
             const std::string& aBody) { Handle(aConnection, aHead, aBody); })
{
}

void
standin_store::StoreRow(const std::string& aTable,
                        const std::string& aKey,
                        row aRow)
{
  // Only a gateway that was paused or cut off for long requests older changes.
  constexpr std::size_t kMaxHistoryLength = 4096;
  mRows[{ aTable, aKey }] = aRow;
  mHistory.push_back({ aTable, aKey, std::move(aRow) });
  if (mHistory.size() > kMaxHistoryLength) {
    mOldestKnownRevision =
      std::max(mOldestKnownRevision, mHistory.front().mRow.mRevision);
    mHistory.pop_front();
  }
}

void
standin_store::Put(const std::string& aTable,
                   const std::string& aKey,
                   const std::string& aValue)
{
  StoreRow(aTable, aKey, { aValue, ++mRevision, false });
  AnswerLongPolls();
}

void
standin_store::Remove(const std::string& aTable, const std::string& aKey)
{
  StoreRow(aTable, aKey, { "", ++mRevision, true });
  AnswerLongPolls();
}

void
standin_store::LoseHistory()
{
  mOldestKnownRevision = ++mRevision;
  mHistory.clear();
  std::vector<long_poll> waiting;
  waiting.swap(mLongPolls);
  for (const long_poll& one : waiting) {
    one.mConnection->mChannel->Close();
  }
}

void
standin_store::StopAnswering()
{
  mResponseMode = response_mode::Silent;
  mLongPolls.clear();
}

void
standin_store::ThrottleAnswers(std::size_t aSliceBytes, duration aEvery)
{
  mSliceBytes = aSliceBytes;
  mSliceEvery = aEvery;
}

bool
standin_store::Has(const std::string& aTable, const std::string& aKey) const
{
  const auto found = mRows.find({ aTable, aKey });
  return found != mRows.end() && !found->second.mDeleted;
}

std::size_t
standin_store::RequestsForTable(const std::string& aTable) const
{
  const auto found = mRequestsByTable.find(aTable);
  return found == mRequestsByTable.end() ? 0 : found->second;
}

std::size_t
standin_store::RowsSentFromTable(const std::string& aTable) const
{
  const auto found = mRowsSentByTable.find(aTable);
  return found == mRowsSentByTable.end() ? 0 : found->second;
}

namespace {

json
MakeRowJson(const std::string& aTable,
            const std::string& aKey,
            const std::string& aValue,
            std::uint64_t aRevision,
            bool aDeleted)
{
  json one = { { "table", aTable },
               { "part", "" },
               { "key", aKey },
               { "schema_ver", aRevision } };
  if (aDeleted) {
    one["deleted"] = true;
  } else {
    one["value"] = EncodeBase64(aValue);
  }
  return one;
}

std::string
MakeRowsAnswer(const json& aRows,
               std::uint64_t aRevision,
               bool aTruncated,
               time_point aNow)
{
  // The store's clock has started at another time than that of the gateways.
  constexpr duration kLead = std::chrono::hours(3);
  const json body = { { "rows", aRows },
                      { "truncated", aTruncated },
                      { "schema_ver", aRevision },
                      { "now_ms",
                        Milliseconds(aNow.time_since_epoch() + kLead) } };
  return body.dump();
}

} // namespace

std::string
standin_store::ReadTable(const std::string& aTable, const std::string& aFrom)
{
  json rows = json::array();
  bool truncated = false;
  for (const auto& [name, stored] : mRows) {
    if (name.first != aTable || stored.mDeleted || name.second < aFrom) {
      continue;
    }
    truncated = rows.size() == mPageSize;
    if (truncated) {
      break;
    }
    rows.push_back(
      MakeRowJson(aTable, name.second, stored.mValue, stored.mRevision, false));
  }
  mRowsSentByTable[aTable] += rows.size();
  return MakeRowsAnswer(rows, mRevision, truncated, mLoop.Now());
}

std::string
standin_store::ReadChanges(const std::string& aTable, std::uint64_t aAfter)
{
  constexpr std::size_t kMaxAnswerBytes = std::size_t{ 1024 } * 1024;
  json rows = json::array();
  std::size_t bytes = 0;
  std::uint64_t revision = mRevision;
  for (const change& one : mHistory) {
    if (one.mTable != aTable || one.mRow.mRevision <= aAfter) {
      continue;
    }
    bytes += one.mRow.mValue.size();
    if (bytes > kMaxAnswerBytes && !rows.empty()) {
      revision = rows.back().at("schema_ver").get<std::uint64_t>();
      break;
    }
    rows.push_back(MakeRowJson(aTable,
                               one.mKey,
                               one.mRow.mValue,
                               one.mRow.mRevision,
                               one.mRow.mDeleted));
  }
  if (rows.empty()) {
    return "";
  }
  mRowsSentByTable[aTable] += rows.size();
  return MakeRowsAnswer(rows, revision, false, mLoop.Now());
}

std::shared_ptr<standin_server::connection>
standin_store::FindConnection(
  const standin_server::connection& aConnection) const
{
  for (const std::shared_ptr<standin_server::connection>& one :
       mServer.Connections()) {
    if (one.get() == &aConnection) {
      return one;
    }
  }
  return nullptr;
}

void
standin_store::Answer(standin_server::connection& aConnection,
                      unsigned aStatus,
                      const std::string& aBody)
{
  const std::string status = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  if (mAnswerEnd != answer_end::Length) {
    const bool cut = mAnswerEnd == answer_end::CutConnection;
    aConnection.mChannel->Write(
      status + "\r\n" + aBody.substr(0, cut ? aBody.size() / 2 : aBody.size()));
    aConnection.mChannel->CloseWhenDrained();
    return;
  }
  const std::string text = status +
                           "Content-Length: " + std::to_string(aBody.size()) +
                           "\r\n\r\n" + aBody;
  if (mSliceBytes == 0) {
    aConnection.mChannel->Write(text);
    aConnection.Next();
    return;
  }
  mThrottledAnswers.push_back({ FindConnection(aConnection), text });
  if (!mSlicesScheduled) {
    mSlicesScheduled = true;
    SendSlices();
  }
}

void
standin_store::SendSlices()
{
  for (throttled_answer& one : mThrottledAnswers) {
    if (one.mConnection->mEnded) {
      ++mAbortedAnswers;
      one.mUnsent.clear();
      continue;
    }
    const std::size_t size = std::min(mSliceBytes, one.mUnsent.size());
    one.mConnection->mChannel->Write(one.mUnsent.substr(0, size));
    one.mUnsent.erase(0, size);
    if (one.mUnsent.empty()) {
      one.mConnection->Next();
    }
  }
  std::erase_if(mThrottledAnswers, [](const throttled_answer& aOne) {
    return aOne.mUnsent.empty();
  });
  mSlicesScheduled = !mThrottledAnswers.empty();
  if (mSlicesScheduled) {
    (void)mLoop.After(mSliceEvery, [this]() { SendSlices(); });
  }
}

void
standin_store::Handle(standin_server::connection& aConnection,
                      const http_head& aHead,
                      const std::string& aBody)
{
  ++mCalls;
  const std::string path = aHead.mTarget.substr(0, aHead.mTarget.find('?'));
  const std::string table = QueryParameter(aHead.mTarget, "table");
  ++mRequestsByTable[table];
  if (mResponseMode == response_mode::Silent) {
    return;
  }
  if (mResponseMode == response_mode::Refusing) {
    Answer(aConnection, 503, "{}");
    return;
  }
  if (path == "/rows-get") {
    Answer(aConnection,
           200,
           ReadTable(table, DecodeUri(QueryParameter(aHead.mTarget, "from"))));
    return;
  }
  if (path == "/rows-tx") {
    Answer(aConnection,
           Transact(aBody) ? 200 : 412,
           R"({"schema_ver":1,"now_ms":1})");
    return;
  }
  const std::uint64_t after =
    std::stoull(QueryParameter(aHead.mTarget, "after"));
  if (after < mOldestKnownRevision) {
    Answer(aConnection, 410, "{}");
    return;
  }
  const duration wait = std::chrono::milliseconds(
    std::stoll(QueryParameter(aHead.mTarget, "wait_ms")));
  mLongPolls.push_back(
    { FindConnection(aConnection), table, after, mLoop.Now() + wait });
  (void)mLoop.After(wait, [this]() { AnswerLongPolls(); });
  AnswerLongPolls();
}

bool
standin_store::Transact(const std::string& aBody)
{
  const json change = json::parse(aBody);
  for (const json& one : change.at("expected_rev")) {
    const auto stored = mRows.find({ one.at("table"), one.at("key") });
    const std::uint64_t revision =
      stored == mRows.end() || stored->second.mDeleted
        ? 0
        : stored->second.mRevision;
    if (revision != one.at("schema_ver").get<std::uint64_t>()) {
      return false;
    }
  }
  for (const json& one : change.at("puts")) {
    StoreRow(one.at("table"), one.at("key"), { "x", ++mRevision, false });
  }
  for (const json& one : change.at("remove")) {
    StoreRow(one.at("table"), one.at("key"), { "", ++mRevision, true });
  }
  return true;
}

void
standin_store::AnswerLongPolls()
{
  if (mResponseMode != response_mode::Good) {
    return;
  }
  std::vector<long_poll> waiting;
  waiting.swap(mLongPolls);
  for (const long_poll& one : waiting) {
    if (one.mConnection->mEnded) {
      continue;
    }
    const std::string changes = ReadChanges(one.mTable, one.mAfter);
    if (!changes.empty()) {
      Answer(*one.mConnection, 200, changes);
    } else if (mLoop.Now() < one.mUntil) {
      mLongPolls.push_back(one);
    } else {
      Answer(*one.mConnection,
             200,
             MakeRowsAnswer(json::array(), one.mAfter, false, mLoop.Now()));
    }
  }
}

standin_caller::standin_caller(event_loop& aLoop, std::uint16_t aPort)
  : standin_caller(aLoop, ip_address{ "127.0.0.1", aPort })
{
}

standin_caller::standin_caller(event_loop& aLoop, const ip_address& aGateway)
  : mChannel(std::make_shared<tcp_channel>(aLoop, aGateway, kNoLimits))
{
  mChannel->SetOwner(this);
}

namespace {

struct parsed_answer
{
  read_state mState = read_state::Head;
  http_head mHead;
  std::string mBody;
};

parsed_answer
ParseAnswer(std::string aBytes, bool aEnded)
{
  http_reader reader(http_role::Answer, http_limits{});
  (void)reader.Read(aBytes);
  if (aEnded && reader.State() != read_state::Complete) {
    (void)reader.Finish();
  }
  return { reader.State(), reader.Head(), reader.Body() };
}

} // namespace

bool
standin_caller::Answered() const
{
  return ParseAnswer(ReceivedBytes(), mEnded).mState == read_state::Complete;
}

unsigned
standin_caller::Status() const
{
  return ParseAnswer(ReceivedBytes(), mEnded).mHead.mStatus;
}

std::string
standin_caller::Body() const
{
  return ParseAnswer(ReceivedBytes(), mEnded).mBody;
}

std::optional<std::string>
standin_caller::Field(std::string_view aName) const
{
  const parsed_answer answer = ParseAnswer(ReceivedBytes(), mEnded);
  const std::optional<std::string_view> value =
    FieldValue(answer.mHead.mFields, aName);
  if (!value.has_value()) {
    return std::nullopt;
  }
  return std::string(*value);
}

gateway_fixture::gateway_fixture()
  : mStore(mLoop)
{
  mSettings.mName = "entry-1";
  mSettings.mDataCentre = "a";
  mSettings.mCallers = { "127.0.0.1", 0 };
  mSettings.mReadiness = { "127.0.0.1", 0 };
  mSettings.mMetrics = { "127.0.0.1", 0 };
  mSettings.mPeers = { "127.0.0.1", 0 };
  mSettings.mStore = mStore.Address();
  mSettings.mGrace = std::chrono::seconds(8);
  mSettings.mRepeats = { 0.2, 100, std::chrono::seconds(10) };
}

void
gateway_fixture::Until(const std::function<bool()>& aCondition,
                       const std::string& aWhat)
{
  constexpr duration kWaitLimit = std::chrono::seconds(60);
  const time_point end = mLoop.Now() + kWaitLimit;
  while (!aCondition()) {
    CPPUNIT_ASSERT_MESSAGE(aWhat, mLoop.Now() < end);
    timer_id wake = mLoop.After(std::chrono::milliseconds(5), []() {});
    mLoop.Turn();
    mLoop.Cancel(wake);
  }
}

void
gateway_fixture::For(duration aTime)
{
  const time_point end = mLoop.Now() + aTime;
  Until([this, end]() { return mLoop.Now() >= end; }, "time passes");
}

void
gateway_fixture::List(const std::string& aId,
                      const std::string& aService,
                      const ip_address& aAddress,
                      const std::string& aState)
{
  ListEndpoint(mStore, aId, aService, aAddress, aState);
}

void
ListEndpoint(standin_store& aStore,
             const std::string& aId,
             const std::string& aService,
             const ip_address& aAddress,
             const std::string& aState,
             const listing_details& aDetails)
{
  json row = { { "service", aService },
               { "addr", aAddress.Text() },
               { "zone", aDetails.mDataCentre },
               { "version", "v1" },
               { "slots", 16 },
               { "state", aState },
               { "cold_left_ms", aDetails.mColdMs },
               { "seq", 1 } };
  if (aDetails.mBorn.has_value()) {
    row["born"] = *aDetails.mBorn;
  }
  aStore.Put("servers", aId, row.dump());
}

void
gateway_fixture::PutManifest(std::uint64_t aVersion,
                             const std::string& aExtra,
                             std::size_t aMoreRoutes)
{
  WriteManifest(mStore, aVersion, aExtra, aMoreRoutes);
}

void
WriteManifest(standin_store& aStore,
              std::uint64_t aVersion,
              const std::string& aExtra,
              std::size_t aMoreRoutes,
              const manifest_restrictions& aRestrictions)
{
  json routes = json::array();
  const auto add = [&routes](const std::string& aPath,
                             const std::string& aKind,
                             const std::string& aService,
                             unsigned aAttempts,
                             bool aResumable) {
    json one = { { "name", aPath },
                 { "host", "h.example" },
                 { "prefix", "/" + aPath + "/" },
                 { "kind", aKind },
                 { "timeout_ms", 5000 },
                 { "target_latency_ms", 2000 },
                 { "priority", 1 },
                 { "service", aService },
                 { "max_attempts", aAttempts },
                 { "auth_exempt", false },
                 { "resumable", aResumable } };
    if (aKind == "stream") {
      one["gap_aim_ms"] = 250;
    }
    routes.push_back(one);
  };
  add("safe", "safe", "desk", 2, false);
  // The route allows a second attempt, but a call on it must not run twice.
  add("unsafe", "unsafe", "desk", 2, false);
  add("stream", "stream", "model", 2, true);
  if (!aExtra.empty()) {
    add(aExtra, "safe", "desk", 2, false);
  }
  for (std::size_t i = 0; i < aMoreRoutes; ++i) {
    add("more-" + std::to_string(i), "safe", "desk", 2, false);
  }
  // Routes without a latency target or a time limit of their own.
  add("unhurried", "safe", "desk", 2, false);
  add("unhurried-stream", "stream", "model", 2, true);
  for (json& one : routes) {
    if (one["name"].get<std::string>().starts_with("unhurried")) {
      one.erase("target_latency_ms");
      one.erase("timeout_ms");
      one.erase("gap_aim_ms");
    }
  }
  if (!aRestrictions.mRouteRegions.empty()) {
    for (json& one : routes) {
      one["allowed_regions"] = aRestrictions.mRouteRegions;
    }
  }
  json tenant = { { "name", "hanbit" },
                  { "api_keys", json::array({ "key-1" }) } };
  if (!aRestrictions.mOrganisationRegions.empty()) {
    tenant["allowed_regions"] = aRestrictions.mOrganisationRegions;
  }
  json services =
    json::array({ json{ { "name", "desk" }, { "max_conns", 100 } },
                  json{ { "name", "model" }, { "max_conns", 300 } } });
  for (json& one : services) {
    one["cold_per_s"] = aRestrictions.mColdRequestsPerSecond;
    one["cold_start_s"] = aRestrictions.mColdSeconds;
  }
  const json engine = { { "slots", 16 },
                        { "kv_cache_tokens", kDeclaredMemoryTokens },
                        { "stride", 51 },
                        { "step_ms", 0.85 },
                        { "per_seq_ms", 0.00425 },
                        { "context_per_k", 0.00285 },
                        { "read_per_s", kDeclaredPrefillTokensPerSecond },
                        { "pairs_per_m", kDeclaredPrefillMsPerMillionPairs },
                        { "usual", { { "answer", 1600 } } } };
  services.back()["engine"] = engine;
  const json whole = { { "version", aVersion },
                       { "routes", routes },
                       { "services", services },
                       { "limits",
                         { { "max_header_bytes", 16384 },
                           { "max_body_bytes", 4194304 },
                           { "header_timeout_ms", 3000 },
                           { "idle_timeout_ms", 15000 } } },
                       { "tenants", json::array({ tenant }) } };
  aStore.Put("op", "config", whole.dump());
}

std::uint16_t
gateway_fixture::FreePort()
{
  return test::FreePort(mLoop);
}

namespace {

/// Returns true if the port is free on 127.0.0.1 for both TCP and UDP.
bool
IsFree(event_loop& aLoop, std::uint16_t aPort)
{
  const ip_address address{ "127.0.0.1", aPort };
  return Capture<int>([&aLoop, &address]() -> result<int> {
           BOOST_LEAF_CHECK(tcp_listener::Open(
             aLoop, address, [](int aSocket) { ::close(aSocket); }));
           BOOST_LEAF_CHECK(datagram_socket::Open(
             aLoop, address, [](std::string_view, const ip_address&) {}));
           return 0;
         })
    .mValue.has_value();
}

} // namespace

std::uint16_t
FreePort(event_loop& aLoop)
{
  random_engine random(FreshSeed());
  for (;;) {
    const std::uint16_t port = static_cast<std::uint16_t>(
      kFirstPort + Below(random, kLastPort - kFirstPort));
    if (IsFree(aLoop, port)) {
      return port;
    }
  }
}

void
gateway_fixture::Start()
{
  mGateway = std::make_unique<gateway>(mLoop, mSettings, platform::Adapter());
  CPPUNIT_ASSERT(Capture<int>([this]() -> result<int> {
    BOOST_LEAF_CHECK(mGateway->Start());
    return 0;
  }));
  Until(
    [this]() {
      return mGateway->Board().mManifest != nullptr &&
             mGateway->Board().mEndpointsKnown &&
             mGateway->Board().mQuarantineKnown;
    },
    "the manifest, the endpoint list and the quarantine table are read");
}

std::string
gateway_fixture::Request(const std::string& aId,
                         const std::string& aKind,
                         const std::string& aFields,
                         const std::string& aBody) const
{
  return RequestText(aId, aKind, aFields, aBody);
}

std::string
RequestText(const std::string& aId,
            const std::string& aKind,
            const std::string& aFields,
            const std::string& aBody)
{
  return "POST /" + aKind +
         "/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + aId +
         "\r\nAuthorization: Token key-1\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
SuccessHead(const http_head& aRequest, const std::string& aFraming)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " +
         std::string(*FieldValue(aRequest.mFields, "request-id")) +
         "\r\nResponse-Seal: proof\r\n" + aFraming + "\r\n";
}

} // namespace primrose::test
