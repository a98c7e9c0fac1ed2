#pragma once

/// The properties of a request that decisions use: lengths in tokens, never its
/// text.

#include "LibCore/LibCore.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrose {

using tokens = std::uint64_t;

/// Why an agent refuses a reservation. The order is that of the wire protocol.
enum class refusal : std::uint8_t
{
  None,
  Leaving,
  NoRoom,
  TooLate,
  EngineDown,
  WrongModel,
  Cancelled,
  Duplicate,
};

std::string_view
RefusalName(refusal aRefusal);

/// The role of an engine for a prompt: it holds the whole prompt, or one part
/// of a prompt that is spread over a group of engines. The lead of a group
/// writes the answer.
enum class hold_role : std::uint8_t
{
  Whole,
  Lead,
  Member,
};

struct request_shape
{
  std::string mModel;
  std::string mOrganisation;
  /// For a member of a group: the tokens of its part.
  tokens mPromptTokens = 0;
  tokens mMaxTokens = 0;
  std::vector<std::uint64_t> mPrefixHashes; ///< See `PrefixHashes`.
  unsigned mPriority = 1;                   ///< 0 is served first.
  bool mLong = false; ///< Placed and scheduled as a long prompt.

  bool operator==(const request_shape&) const = default;
  /// Engine memory for the prompt and the longest possible answer.
  tokens MemoryTokens() const { return mPromptTokens + mMaxTokens; }
};

/// An estimate of a text's length in tokens. Engines count exactly; the
/// estimate is for placement and limits and errs on the safe side for plain
/// prose.
tokens
EstimateTokens(std::string_view aText);

/// Length in tokens of the shortest prefix that is hashed; each further hash
/// covers a prefix twice as long.
inline constexpr tokens kMinPrefixTokens = 1024;

/// Hashes of the prompt's prefixes of 1024, 2048, 4096, … tokens. A prompt of a
/// million tokens has ten hashes, so a probe can carry them all.
std::vector<std::uint64_t>
PrefixHashes(std::string_view aPrompt);

/// The length in tokens of the prefix that the hash at this index covers.
tokens
PrefixLength(std::size_t aIndex);

} // namespace primrose
