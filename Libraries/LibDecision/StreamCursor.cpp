#include "LibDecision/StreamCursor.h"

namespace primrose {

chunk_verdict
AcceptChunk(stream_cursor& aCursor,
            const std::string& aAttempt,
            std::uint64_t aSequence)
{
  if (aAttempt != aCursor.mAttempt || aSequence < aCursor.mNext) {
    return chunk_verdict::Stale;
  }
  if (aSequence > aCursor.mNext) {
    return chunk_verdict::Gap;
  }
  ++aCursor.mNext;
  return chunk_verdict::Deliver;
}

bool
IsCompleteAnswer(const stream_cursor& aCursor,
                 const std::string& aAttempt,
                 std::uint64_t aChunks)
{
  return aAttempt == aCursor.mAttempt && aChunks == aCursor.mNext;
}

} // namespace primrose
