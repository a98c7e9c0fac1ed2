#pragma once

/// Which chunk of an answer may be passed on next. Chunks can come late, twice
/// or from an attempt that was given up; only the current attempt's next one
/// reaches the caller.

#include "LibCore/LibCore.h"

#include <string>

namespace primrose {

struct stream_cursor
{
  std::string mAttempt;
  std::uint64_t mNext = 0;

  bool operator==(const stream_cursor&) const = default;
};

enum class chunk_verdict : std::uint8_t
{
  Deliver,
  Stale, ///< Another attempt's, or one that was delivered: drop it.
  Gap,   ///< A chunk is missing: the stream is broken.
};

chunk_verdict
AcceptChunk(stream_cursor& aCursor,
            const std::string& aAttempt,
            std::uint64_t aSequence);

/// True if an ending that counts so many chunks ends the whole answer.
bool
IsCompleteAnswer(const stream_cursor& aCursor,
                 const std::string& aAttempt,
                 std::uint64_t aChunks);

} // namespace primrose
