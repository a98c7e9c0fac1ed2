#pragma once

/// The client of the table service.
///
/// Protocol (JSON over HTTP):
/// - `POST /tables/transact` `{"puts":[{"table","key","value","if"}]}` where
///   `if` is `"absent"` (the row must not exist) or `{"member": text}` (this
///   member of the stored row must have that value). Without `if` the write is
///   unconditional. The transaction is atomic: the answer is 200
///   `{"committed":true}`, or 409 `{"committed":false,"conflicts":[key…]}`.
/// - `GET /vms`: 200 `{"vms":[row…]}` with an `ETag`, or 304 if `If-None-Match`
///   has the current one.
/// - `POST /tables/read` `{"table","keys":[…]}`: 200 `{"rows":{key: value}}`.

#include "LibDecision/LibDecision.h"
#include "LibHttp/LibHttp.h"

#include <kj/async.h>

namespace primrose {

struct transaction_result
{
  write_outcome mOutcome = write_outcome::Lost;
  std::vector<std::string> mConflicts;

  bool operator==(const transaction_result&) const = default;
};

class table_client
{
public:
  table_client(http_client& aHttp, std::string aAddress);

  /// The promise is never rejected. After an error or a timeout the write may
  /// have taken effect, so the outcome is then `Lost`.
  kj::Promise<transaction_result> WriteClaims(
    const std::vector<claim_write>& aWrites);

  /// The rows that exist among these keys, or nothing if the service gave no
  /// valid answer.
  kj::Promise<std::optional<std::map<std::string, claim_row>>> ReadClaims(
    const std::vector<std::string>& aKeys);

  /// The platform's list of VMs, or nothing if the service gave no valid
  /// answer. The request carries the ETag of the cached list, because the list
  /// takes a third of a megabyte at 1,550 VMs and changes only a few hundred
  /// times a day.
  kj::Promise<std::optional<std::vector<listed_endpoint>>> ListEndpoints();

private:
  http_client& mHttp;
  std::string mUrl;
  std::string mListEtag;
  std::vector<listed_endpoint> mList;
};

json
ToJson(const claim_row& aRow);
/// Parses a claim row; nothing if the value is not one.
std::optional<claim_row>
ParseClaimRow(const json& aValue);

json
ToJson(const listed_endpoint& aEndpoint);
/// Parses a row of the list of VMs; nothing if the value is not one.
std::optional<listed_endpoint>
ParseListedEndpoint(const json& aValue);

} // namespace primrose
