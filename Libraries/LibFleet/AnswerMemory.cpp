#include "LibFleet/AnswerMemory.h"

#include <algorithm>
#include <vector>

namespace primrose {

namespace {

void
RecountAll(answer_memory& aMemory)
{
  std::vector<answer_holder*> holders;
  holders.reserve(aMemory.mHeld.size());
  for (const auto& [holder, bytes] : aMemory.mHeld) {
    holders.push_back(holder);
  }
  for (answer_holder* const holder : holders) {
    UpdateHeldBytes(aMemory, *holder);
  }
}

} // namespace

void
ReleaseHeldBytes(answer_memory& aMemory, answer_holder& aHolder)
{
  const auto found = aMemory.mHeld.find(&aHolder);
  if (found != aMemory.mHeld.end()) {
    aMemory.mBytes -= found->second;
    aMemory.mHeld.erase(found);
  }
}

void
UpdateHeldBytes(answer_memory& aMemory, answer_holder& aHolder)
{
  const std::size_t bytes = aHolder.HeldAnswerBytes();
  if (bytes == 0) {
    ReleaseHeldBytes(aMemory, aHolder);
    return;
  }
  std::size_t& counted = aMemory.mHeld[&aHolder];
  aMemory.mBytes = aMemory.mBytes - counted + bytes;
  counted = bytes;
}

bool
IsOverLimit(const answer_memory& aMemory)
{
  return aMemory.mBytes > aMemory.mLimit;
}

answer_holder*
AnswerToEnd(answer_memory& aMemory)
{
  if (IsOverLimit(aMemory)) {
    RecountAll(aMemory);
  }
  if (!IsOverLimit(aMemory)) {
    return nullptr;
  }
  const auto largest =
    std::max_element(aMemory.mHeld.begin(),
                     aMemory.mHeld.end(),
                     [](const auto& aOne, const auto& aOther) {
                       return aOne.second < aOther.second;
                     });
  return largest->first;
}

} // namespace primrose
