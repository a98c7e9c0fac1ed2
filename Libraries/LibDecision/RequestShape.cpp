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
  std::vector<std::uint64_t> marks;
  std::uint64_t chain = 0;
  std::size_t done = 0;
  for (std::size_t end = kMinPrefixTokens * kBytesPerToken;
       end <= aPrompt.size();
       end *= 2) {
    // Chained: each text is hashed once, and equal marks mean equal prefixes.
    chain = Hash(aPrompt.substr(done, end - done), chain);
    marks.push_back(chain);
    done = end;
  }
  return marks;
}

} // namespace primrose
