#pragma once

/// The client of the table service.
///
/// Protocol (JSON over HTTP):
/// - `POST /tables/transact` `{"puts":[{"table","key","value","if"}]}` where
///   `if` is `"absent"` or `{"member": text}` (the present row's member must
///   have that value); absent `if`: no condition. All or nothing: 200
///   `{"committed":true}`, or 409 `{"committed":false,"conflicts":[key…]}`.
/// - `GET /vms`: 200 `{"vms":[row…]}` with an `ETag`, or 304 to a matching
///   `If-None-Match`.
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

  /// Never fails: whatever went wrong, the write may have taken effect, and
  /// the outcome says `Lost`.
  kj::Promise<transaction_result> WriteClaims(
    const std::vector<claim_write>& aWrites);

  /// The rows that exist, or nothing if the service did not answer.
  kj::Promise<std::optional<std::map<std::string, claim_row>>> ReadClaims(
    const std::vector<std::string>& aKeys);

  /// The platform's list of VMs, or nothing. The list is asked for with the
  /// tag of the one that is known: at 1,550 VMs it has a third of a megabyte,
  /// and it changes a few hundred times a day.
  kj::Promise<std::optional<std::vector<listed_endpoint>>> ListEndpoints();

private:
  http_client& mHttp;
  std::string mUrl;
  std::string mListEtag;
  std::vector<listed_endpoint> mList;
};

json
ToJson(const claim_row& aRow);
/// Nothing if the value is not a claim row.
std::optional<claim_row>
ParseClaimRow(const json& aValue);

json
ToJson(const listed_endpoint& aEndpoint);
std::optional<listed_endpoint>
ParseListedEndpoint(const json& aValue);

} // namespace primrose
