#include "LibDecision/PrefixCache.h"

namespace primrose {

tokens
prefix_cache::Held(const std::vector<std::uint64_t>& aMarks) const
{
  tokens held = 0;
  for (std::size_t i = 0; i < aMarks.size(); ++i) {
    if (!mIndex.contains(aMarks[i])) {
      break;
    }
    held = PrefixLength(i);
  }
  return held;
}

void
prefix_cache::Insert(const std::vector<std::uint64_t>& aMarks)
{
  // Longest first, so that the shorter prefixes end up more recently used: a
  // long prefix is of no use once a shorter one of its chain is gone.
  for (std::size_t i = aMarks.size(); i-- > 0;) {
    const auto known = mIndex.find(aMarks[i]);
    if (known != mIndex.end()) {
      mOrder.splice(mOrder.begin(), mOrder, known->second);
      continue;
    }
    const tokens shorter = i == 0 ? 0 : PrefixLength(i - 1);
    mOrder.push_front({ aMarks[i], PrefixLength(i) - shorter });
    mIndex.emplace(aMarks[i], mOrder.begin());
    mUsed += mOrder.front().mTokens;
  }
  Evict();
}

void
prefix_cache::Erase(std::uint64_t aMark)
{
  const auto known = mIndex.find(aMark);
  if (known == mIndex.end()) {
    return;
  }
  mUsed -= known->second->mTokens;
  mOrder.erase(known->second);
  mIndex.erase(known);
}

void
prefix_cache::Clear()
{
  mOrder.clear();
  mIndex.clear();
  mUsed = 0;
}

void
prefix_cache::Resize(tokens aCapacity)
{
  mCapacity = aCapacity;
  Evict();
}

void
prefix_cache::Evict()
{
  while (mUsed > mCapacity && !mOrder.empty()) {
    Erase(mOrder.back().mPrefixHash);
  }
}

} // namespace primrose
