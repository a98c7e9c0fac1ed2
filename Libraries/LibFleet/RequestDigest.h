#pragma once

/// Recognizes a request that a caller sends again, at any gateway.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

/// Hash of the parts of a request that stay the same when a caller sends it
/// again. The request id is not among them, since it changes.
using request_digest = std::uint64_t;

/// The parts of a request that its digest covers.
struct request_identity
{
  std::string_view mHost;
  std::string_view mTarget; ///< Path and query.
  std::string_view mOrganisation;
  std::string_view mBody;

  bool operator==(const request_identity&) const = default;
};

/// The same in all gateways and after restarts.
request_digest
DigestOf(const request_identity& aIdentity);

/// The digest as logs, metrics and rows of the platform show it: 16
/// hexadecimal digits.
std::string
DigestText(request_digest aDigest);

} // namespace primrose
