#pragma once

/// Filters the chunks of a streamed answer. Chunks may arrive late, twice or
/// from an abandoned attempt; only the next chunk of the current attempt is
/// delivered to the caller.

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
  Stale, ///< From another attempt or already delivered: dropped.
  Gap,   ///< A chunk is missing: the stream is broken.
};

chunk_verdict
AcceptChunk(stream_cursor& aCursor,
            const std::string& aAttempt,
            std::uint64_t aSequence);

/// True if an end of stream that reports `aChunks` chunks completes the answer,
/// that is, all of them were delivered.
bool
IsCompleteAnswer(const stream_cursor& aCursor,
                 const std::string& aAttempt,
                 std::uint64_t aChunks);

} // namespace primrose
