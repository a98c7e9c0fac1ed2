#pragma once

/// The shape of a request as decisions see it: lengths in tokens, never text.

#include "LibCore/LibCore.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrose {

using tokens = std::uint64_t;

/// Why an agent does not take work. The order is that of the wire protocol.
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

/// What an engine holds of a prompt: all of it, or a part of one that is
/// larger than an engine; the lead is the one that answers.
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
  tokens mPromptTokens = 0; ///< For a group's part: of this part.
  tokens mMaxTokens = 0;
  std::vector<std::uint64_t> mPrefixHashes; ///< See `PrefixHashes`.
  unsigned mPriority = 1;                   ///< 0 is served first.
  bool mLong = false;

  bool operator==(const request_shape&) const = default;
  tokens MemoryTokens() const { return mPromptTokens + mMaxTokens; }
};

/// An estimate of a text's tokens. NOTE: engines count exactly; this is for
/// placing and for limits, and is on the safe side for plain prose.
tokens
EstimateTokens(std::string_view aText);

/// The shortest prefix that is worth knowing of, in tokens; each further mark
/// stands for a prefix twice as long.
inline constexpr tokens kMinPrefixTokens = 1024;

/// Hashes of the prompt's prefixes of 1024, 2048, 4096… tokens. A million
/// tokens give ten marks, so that a probe can carry them all.
std::vector<std::uint64_t>
PrefixHashes(std::string_view aPrompt);

/// The length in tokens of the prefix that the mark at this index stands for.
tokens
PrefixLength(std::size_t aIndex);

} // namespace primrose
