#include "LibDecision/RequestShape.h"

#include <array>

namespace primrose {

namespace {

constexpr std::size_t kBytesPerToken = 4;

constexpr std::array<std::string_view, 8> kRefusalNames = {
  "none",        "leaving",     "no_room",   "too_late",
  "engine_down", "wrong_model", "cancelled", "duplicate"
};

} // namespace

std::string_view
RefusalName(refusal aRefusal)
{
  return kRefusalNames.at(static_cast<std::size_t>(aRefusal));
}

tokens
EstimateTokens(std::string_view aText)
{
  return (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
}

tokens
PrefixLength(std::size_t aIndex)
{
  return kMinPrefixTokens << aIndex;
}

std::vector<std::uint64_t>
PrefixHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t chainedHash = 0;
  std::size_t hashedBytes = 0;
  for (std::size_t end = kMinPrefixTokens * kBytesPerToken;
       end <= aPrompt.size();
       end *= 2) {
    // The hashes are chained: each byte is hashed once, and equal hashes mean
    // equal prefixes.
    chainedHash =
      Hash(aPrompt.substr(hashedBytes, end - hashedBytes), chainedHash);
    hashes.push_back(chainedHash);
    hashedBytes = end;
  }
  return hashes;
}

} // namespace primrose
