#include "LibDecision/PrefixCache.h"

namespace primrose {

tokens
prefix_cache::CachedTokens(
  const std::vector<std::uint64_t>& aPrefixHashes) const
{
  tokens cached = 0;
  for (std::size_t i = 0; i < aPrefixHashes.size(); ++i) {
    if (!mIndex.contains(aPrefixHashes[i])) {
      break;
    }
    cached = PrefixLength(i);
  }
  return cached;
}

void
prefix_cache::Insert(const std::vector<std::uint64_t>& aPrefixHashes)
{
  // Longest first, so that the shorter prefixes end up more recently used: a
  // long prefix is useless once a shorter one of its chain is evicted.
  for (std::size_t i = aPrefixHashes.size(); i-- > 0;) {
    const auto known = mIndex.find(aPrefixHashes[i]);
    if (known != mIndex.end()) {
      mRecency.splice(mRecency.begin(), mRecency, known->second);
      continue;
    }
    const tokens shorterLength = i == 0 ? 0 : PrefixLength(i - 1);
    mRecency.push_front({ aPrefixHashes[i], PrefixLength(i) - shorterLength });
    mIndex.emplace(aPrefixHashes[i], mRecency.begin());
    mUsed += mRecency.front().mTokens;
  }
  Evict();
}

void
prefix_cache::Erase(std::uint64_t aPrefixHash)
{
  const auto known = mIndex.find(aPrefixHash);
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
