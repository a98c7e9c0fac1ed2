#pragma once

/// The bytes of answers that a gateway holds for its callers, over all
/// requests, and their limit. Beyond the limit the largest answers are ended:
/// one endpoint that sends without end, or one caller that does not read, must
/// not take the memory of all others.

#include <cstddef>
#include <map>

namespace primrose {

/// Holds bytes of an answer until a caller has received them.
class answer_holder
{
public:
  virtual ~answer_holder() = default;
  virtual std::size_t HeldAnswerBytes() const = 0;
  /// Ends the answer and frees its bytes.
  virtual void EndAnswer() = 0;
};

struct answer_memory
{
  std::size_t mLimit = 0;
  std::size_t mBytes = 0; ///< Sum of `mHeld`.
  /// As of the last `UpdateHeldBytes`; none that hold nothing.
  std::map<answer_holder*, std::size_t> mHeld;
};

/// Counts the bytes of the holder anew. Each holder that was counted has to be
/// released before it is deleted.
void
UpdateHeldBytes(answer_memory& aMemory, answer_holder& aHolder);

void
ReleaseHeldBytes(answer_memory& aMemory, answer_holder& aHolder);

/// True if the bytes, as last counted, exceed the limit.
bool
IsOverLimit(const answer_memory& aMemory);

/// The holder of most bytes, if all together exceed the limit; else null.
/// Counts all holders anew before it says so, since bytes are sent unnoticed.
answer_holder*
AnswerToEnd(answer_memory& aMemory);

} // namespace primrose
