#include "LibStore/TableClient.h"

#include "LibWire/LibWire.h"

#include <glib.h>

namespace primrose {

namespace {

constexpr const char* kClaimTable = "claims";
/// An answer later than this counts as lost.
constexpr duration kStoreTimeout = std::chrono::seconds(2);
constexpr std::size_t kLargestAnswer = std::size_t{ 16 } * 1024 * 1024;

std::string
Encode(const std::string& aBytes)
{
  gchar* const encoded = g_base64_encode(
    reinterpret_cast<const guchar*>(aBytes.data()), aBytes.size());
  std::string text = encoded;
  g_free(encoded);
  return text;
}

std::string
Decode(const std::string& aText)
{
  gsize size = 0;
  guchar* const decoded = g_base64_decode(aText.c_str(), &size);
  std::string bytes(reinterpret_cast<const char*>(decoded), size);
  g_free(decoded);
  return bytes;
}

json
ToJson(const claim_write& aWrite)
{
  json put = { { "table", kClaimTable },
               { "key", aWrite.mKey },
               { "value", ToJson(aWrite.mRow) } };
  if (aWrite.mReplacesAttempt.empty()) {
    put["if"] = "absent";
  } else {
    put["if"] = { { "attempt", aWrite.mReplacesAttempt } };
  }
  return put;
}

transaction_result
ParseTransactionResult(const http_response& aResponse)
{
  const json answer = json::parse(aResponse.mBody, nullptr, false);
  if (!answer.is_object()) {
    return {};
  }
  if (aResponse.mStatus == 200 && answer.value("committed", false)) {
    return { write_outcome::Committed, {} };
  }
  if (aResponse.mStatus != 409 || !answer.contains("conflicts")) {
    return {};
  }
  return { write_outcome::Conflict,
           answer["conflicts"].get<std::vector<std::string>>() };
}

std::map<std::string, claim_row>
ParseClaimRows(const json& aAnswer)
{
  std::map<std::string, claim_row> rows;
  for (const auto& [key, value] : aAnswer.at("rows").items()) {
    std::optional<claim_row> row = ParseClaimRow(value);
    if (row) {
      rows.emplace(key, std::move(*row));
    }
  }
  return rows;
}

std::optional<std::vector<listed_endpoint>>
ParseEndpointList(const http_response& aResponse)
{
  const json answer = json::parse(aResponse.mBody, nullptr, false);
  if (aResponse.mStatus != 200 || !answer.is_object() ||
      !answer.contains("vms") || !answer["vms"].is_array()) {
    return std::nullopt;
  }
  std::vector<listed_endpoint> listed;
  for (const json& vm : answer["vms"]) {
    std::optional<listed_endpoint> endpoint = ParseListedEndpoint(vm);
    if (endpoint) {
      listed.push_back(std::move(*endpoint));
    }
  }
  return listed;
}

} // namespace

table_client::table_client(http_client& aHttp, std::string aAddress)
  : mHttp(aHttp)
  , mUrl("http://" + std::move(aAddress))
{
}

kj::Promise<transaction_result>
table_client::WriteClaims(const std::vector<claim_write>& aWrites)
{
  json puts = json::array();
  for (const claim_write& write : aWrites) {
    puts.push_back(ToJson(write));
  }
  http_request request{ "POST", mUrl + "/tables/transact" };
  request.mBody = json{ { "puts", puts } }.dump();
  return WithTimeout(mHttp.Send(std::move(request), kLargestAnswer),
                     kStoreTimeout)
    .then(
      [](http_response aResponse) { return ParseTransactionResult(aResponse); })
    .catch_([](kj::Exception&&) { return transaction_result{}; });
}

kj::Promise<std::optional<std::map<std::string, claim_row>>>
table_client::ReadClaims(const std::vector<std::string>& aKeys)
{
  using rows = std::optional<std::map<std::string, claim_row>>;
  http_request request{ "POST", mUrl + "/tables/read" };
  request.mBody = json{ { "table", kClaimTable }, { "keys", aKeys } }.dump();
  return WithTimeout(mHttp.Send(std::move(request), kLargestAnswer),
                     kStoreTimeout)
    .then([](http_response aResponse) -> rows {
      const json answer = json::parse(aResponse.mBody, nullptr, false);
      const bool good = aResponse.mStatus == 200 && answer.is_object() &&
                        answer.contains("rows") && answer["rows"].is_object();
      return good ? rows(ParseClaimRows(answer)) : std::nullopt;
    })
    .catch_([](kj::Exception&&) -> rows { return std::nullopt; });
}

kj::Promise<std::optional<std::vector<listed_endpoint>>>
table_client::ListEndpoints()
{
  using endpoints = std::optional<std::vector<listed_endpoint>>;
  http_request request{ "GET", mUrl + "/vms" };
  if (!mListEtag.empty()) {
    request.mHeaders.emplace("If-None-Match", mListEtag);
  }
  return WithTimeout(mHttp.Send(std::move(request), kLargestAnswer),
                     kStoreTimeout)
    .then([this](http_response aResponse) -> endpoints {
      constexpr unsigned kNotModified = 304;
      if (aResponse.mStatus == kNotModified) {
        return mList;
      }
      endpoints listed = ParseEndpointList(aResponse);
      if (listed) {
        const auto tag = aResponse.mHeaders.find("etag");
        mListEtag = tag == aResponse.mHeaders.end() ? "" : tag->second;
        mList = *listed;
      }
      return listed;
    })
    .catch_([](kj::Exception&&) -> endpoints { return std::nullopt; });
}

json
ToJson(const claim_row& aRow)
{
  return { { "attempt", aRow.mAttempt },
           { "agent", aRow.mAgent },
           { "request_hash", aRow.mRequestHash },
           { "ends_ms", aRow.mExpiresAtMs },
           { "done", aRow.mDone },
           { "status", aRow.mStatus },
           { "content_type", aRow.mContentType },
           { "body", Encode(aRow.mBody) } };
}

std::optional<claim_row>
ParseClaimRow(const json& aValue)
{
  try {
    claim_row row;
    aValue.at("attempt").get_to(row.mAttempt);
    aValue.at("agent").get_to(row.mAgent);
    aValue.at("request_hash").get_to(row.mRequestHash);
    aValue.at("ends_ms").get_to(row.mExpiresAtMs);
    aValue.at("done").get_to(row.mDone);
    aValue.at("status").get_to(row.mStatus);
    aValue.at("content_type").get_to(row.mContentType);
    row.mBody = Decode(aValue.at("body").get<std::string>());
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json
ToJson(const listed_endpoint& aEndpoint)
{
  return { { "name", aEndpoint.mName },
           { "address", aEndpoint.mAddress },
           { "serves", aEndpoint.mServes },
           { "region", aEndpoint.mRegion },
           { "data_centre", aEndpoint.mDataCentre },
           { "kind", VmKindName(aEndpoint.mKind) },
           { "state", aEndpoint.mLeaving ? "leaving" : "live" } };
}

std::optional<listed_endpoint>
ParseListedEndpoint(const json& aValue)
{
  try {
    listed_endpoint endpoint;
    aValue.at("name").get_to(endpoint.mName);
    aValue.at("address").get_to(endpoint.mAddress);
    aValue.at("serves").get_to(endpoint.mServes);
    aValue.at("region").get_to(endpoint.mRegion);
    aValue.at("data_centre").get_to(endpoint.mDataCentre);
    const std::optional<vm_kind> kind =
      ParseVmKind(aValue.at("kind").get<std::string>());
    if (!kind) {
      return std::nullopt;
    }
    endpoint.mKind = *kind;
    endpoint.mLeaving = aValue.at("state").get<std::string>() == "leaving";
    return endpoint;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace primrose
