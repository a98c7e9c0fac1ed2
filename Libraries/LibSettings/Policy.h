#pragma once

/// The policy values that a node of the settings tree may override, each with
/// its unit, range and default. A single table describes them; reading,
/// checking, resolving and explaining settings all iterate over that table.

#include "LibSettings/ObjectReader.h"

#include <span>
#include <string>

namespace primrose {

/// The effective values at one node of the tree. Times are in seconds, memory
/// and lengths in tokens. The members follow the names of the settings in the
/// table of `PolicyValues`, which also gives their meanings.
struct policy
{
  double mTimeLimitSeconds = 120;
  double mLongestTimeLimitSeconds = 3600;
  double mPriority = 1;
  double mShareWeight = 1;
  double mTokensPerSecond = 1e9;
  double mConcurrentTokens = 1e12;
  double mLongestPromptTokens = 1000000;
  double mLongPromptTokens = 32768;
  double mProbes = 4;
  double mProbeTimeoutSeconds = 0.25;
  double mQueueWaitSeconds = 2;
  double mLongMemoryPart = 0.9;
  double mLongTokensAtOnce = 400000;
  double mLongSpread = 1;
  double mLongPartTokens = 64000;
  double mMostParts = 8;
  double mLongPatience = 0;
  double mLongQueueWaitSeconds = 5;
  double mLongAttempts = 20;
  double mShortProtection = 1;
  double mAgeingSeconds = 20;
  double mLeaseSeconds = 10;
  double mAttempts = 4;
  double mBackoffSeconds = 0.05;
  double mRetryBudget = 0.2;

  bool operator==(const policy&) const = default;
};

/// A row of the table: a setting's name and the member that stores it.
struct policy_value
{
  std::string_view mName;
  double policy::*mMember;
  number_range mRange;
  std::string_view mMeaning;
};

/// The table of all policy values, in the order of their names' first mention.
std::span<const policy_value>
PolicyValues();

/// The row with this name, or null.
const policy_value*
FindPolicyValue(std::string_view aName);

} // namespace primrose
