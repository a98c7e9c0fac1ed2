#pragma once

/// What an engine's prefix cache holds, as a bounded least-recently-used set
/// of prompt marks. The agent keeps one as its belief about the engine; the
/// engine model keeps one as the truth.

#include "LibDecision/RequestShape.h"

#include <list>
#include <unordered_map>

namespace primrose {

struct cached_prefix
{
  std::uint64_t mPrefixHash = 0;
  tokens mTokens = 0; ///< Those that the shorter marks do not hold already.

  bool operator==(const cached_prefix&) const = default;
};

class prefix_cache
{
public:
  explicit prefix_cache(tokens aCapacity = 0)
    : mCapacity(aCapacity)
  {
  }

  /// Tokens of the longest held prefix; touches nothing.
  tokens Held(const std::vector<std::uint64_t>& aMarks) const;
  /// Takes note that these prefixes were just read.
  void Insert(const std::vector<std::uint64_t>& aMarks);
  void Erase(std::uint64_t aMark);
  void Clear();
  /// Lowers or raises the memory that may be used, evicting at once.
  void Resize(tokens aCapacity);
  tokens Used() const { return mUsed; }
  std::size_t Size() const { return mIndex.size(); }

private:
  void Evict();

  tokens mCapacity;
  tokens mUsed = 0;
  std::list<cached_prefix> mOrder; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> mIndex;
};

} // namespace primrose
