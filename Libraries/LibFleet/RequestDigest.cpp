#include "LibFleet/RequestDigest.h"

#include "LibCore/LibCore.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace primrose {

request_digest
DigestOf(const request_identity& aIdentity)
{
  // Each part's hash is the seed of the next, so that moving text from one part
  // to another changes the digest.
  request_digest digest = 0;
  for (const std::string_view part : { aIdentity.mHost,
                                       aIdentity.mTarget,
                                       aIdentity.mOrganisation,
                                       aIdentity.mBody }) {
    digest = Hash(part, digest);
  }
  return digest & ~kPromptPartBit;
}

request_digest
DigestOfPromptPart(std::string_view aPartId)
{
  return Hash(aPartId, 0) | kPromptPartBit;
}

std::string
DigestText(request_digest aDigest)
{
  constexpr std::size_t kDigits = 16;
  std::array<char, kDigits + 1> text{};
  (void)std::snprintf(text.data(), text.size(), "%016" PRIx64, aDigest);
  return text.data();
}

} // namespace primrose
