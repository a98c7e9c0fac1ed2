#pragma once

/// The contents of an engine's prefix cache as a bounded least-recently-used
/// set of prefix hashes. The agent keeps one as an estimate of its engine's
/// cache; the engine model uses one as its actual cache.

#include "LibDecision/RequestShape.h"

#include <list>
#include <unordered_map>

namespace primrose {

struct cached_prefix
{
  std::uint64_t mPrefixHash = 0;
  tokens mTokens = 0; ///< Tokens not covered by the shorter prefixes already.

  bool operator==(const cached_prefix&) const = default;
};

class prefix_cache
{
public:
  explicit prefix_cache(tokens aCapacity = 0)
    : mCapacity(aCapacity)
  {
  }

  /// Tokens of the longest cached prefix; does not change the eviction order.
  tokens CachedTokens(const std::vector<std::uint64_t>& aPrefixHashes) const;
  /// Marks these prefixes as most recently used and adds those that are
  /// missing.
  void Insert(const std::vector<std::uint64_t>& aPrefixHashes);
  void Erase(std::uint64_t aPrefixHash);
  void Clear();
  /// Changes the memory limit and evicts at once what exceeds it.
  void Resize(tokens aCapacity);
  tokens Used() const { return mUsed; }
  std::size_t Size() const { return mIndex.size(); }

private:
  void Evict();

  tokens mCapacity;
  tokens mUsed = 0;
  std::list<cached_prefix> mRecency; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> mIndex;
};

} // namespace primrose
