#pragma once

/// Tells that a request is one that came before, at whichever entry.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

/// Names a request by what stays when a caller sends it again: its id does not.
using request_digest = std::uint64_t;

/// What stays of a request: where it goes, whose it is, and what it says.
struct request_identity
{
  std::string_view mHost;
  std::string_view mTarget; ///< Path and query.
  std::string_view mOrganisation;
  std::string_view mBody;

  bool operator==(const request_identity&) const = default;
};

/// The same at all entries and after each of their starts.
request_digest
DigestOf(const request_identity& aIdentity);

/// The digest as logs, metrics and rows of the platform show it: 16 digits.
std::string
DigestText(request_digest aDigest);

} // namespace primrose
