#pragma once

/// What the load tool sends; read from its settings file.

#include "LibSettings/LibSettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace primrose::load {

struct caller_key
{
  std::string mOrganisation;
  std::string mKey;

  bool operator==(const caller_key&) const = default;
};

struct prompt_size
{
  std::uint64_t mTokens = 0;
  std::uint64_t mCount = 0;

  bool operator==(const prompt_size&) const = default;
};

struct load_plan
{
  std::vector<std::string> mEntries;
  std::vector<caller_key> mCallers;
  std::string mModel;
  std::string mService;
  std::string mGuardedPath;
  std::string mPlainPath;
  std::vector<prompt_size> mPrompts;
  std::uint64_t mPlainCalls = 0;
  std::uint64_t mGuardedCalls = 0;
  std::uint64_t mConcurrency = 8;
  std::uint64_t mOutputTokens = 16;
  std::uint64_t mSeed = 1;
  double mTimeLimitSeconds = 120;

  bool operator==(const load_plan&) const = default;
};

result<load_plan>
ReadLoadPlan(const std::string& aFile);

} // namespace primrose::load
