#include "LibDecision/PrefixCache.h"

namespace primrose {

tokens
prefix_cache::CachedTokens(const std::vector<std::uint64_t>& aMarks) const
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
      mRecency.splice(mRecency.begin(), mRecency, known->second);
      continue;
    }
    const tokens shorter = i == 0 ? 0 : PrefixLength(i - 1);
    mRecency.push_front({ aMarks[i], PrefixLength(i) - shorter });
    mIndex.emplace(aMarks[i], mRecency.begin());
    mUsed += mRecency.front().mTokens;
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
  mRecency.erase(known->second);
  mIndex.erase(known);
}

void
prefix_cache::Clear()
{
  mRecency.clear();
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
  while (mUsed > mCapacity && !mRecency.empty()) {
    Erase(mRecency.back().mPrefixHash);
  }
}

} // namespace primrose
