#pragma once

/// Recognizes a request that a caller sends again, at any gateway, and a part
/// of a prompt that different requests share.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

/// Hash of what stays the same when a caller sends a request again, or of one
/// part of a prompt. The request id is not covered, since it changes.
using request_digest = std::uint64_t;

/// Set in the digests of parts of prompts only.
inline constexpr request_digest kPromptPartBit = request_digest{ 1 } << 63U;

/// What the digest of a request covers.
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

/// The digest of the part of a prompt with this id, the same in all requests.
request_digest
DigestOfPromptPart(std::string_view aPartId);

constexpr bool
IsPromptPart(request_digest aDigest)
{
  return (aDigest & kPromptPartBit) != 0;
}

/// The digest as logs, metrics and rows of the platform show it: 16
/// hexadecimal digits.
std::string
DigestText(request_digest aDigest);

} // namespace primrose
