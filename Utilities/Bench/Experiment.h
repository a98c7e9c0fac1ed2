#pragma once

/// An experiment file: fleet, traffic, loads and policies, and the runs that
/// follow from it.

#include "LibRules/LibRules.h"
#include "Simulation.h"

#include <functional>
#include <string>
#include <vector>

namespace primrose::bench {

struct experiment
{
  std::string mName;
  simulation_settings mWorld;
  traffic_mix mMix;
  std::vector<double> mLoads; ///< Parts of the nominal capacity.
  std::vector<bench_policy> mPolicies;
  double mSeconds = 600;
  std::uint64_t mSeed = 1;
  tokens mLongPrompt = 32768;

  bool operator==(const experiment&) const = default;
};

/// Reads and checks an experiment file; the tree it names is relative to it.
result<experiment>
LoadExperiment(const std::string& aFile);

/// Sample values and their count; percentiles are of the sample itself.
struct sample
{
  std::vector<double> mValues;
  double At(double aPart) const;
  bool operator==(const sample&) const = default;
};

struct run_summary
{
  std::string mPolicy;
  double mLoad = 0;
  std::size_t mArrivalCount = 0;
  std::size_t mComplete = 0;
  std::size_t mRefused = 0;
  std::size_t mTimedOutCount = 0;
  double mGoodput =
    0; ///< Nominal engine-seconds completed a second, over the fleet's.
  double mBusy = 0;
  sample mShortSlowdown;
  sample
    mShortSlowdownWithoutLong; ///< The same short requests, no long ones there.
  sample mShortFirstToken;
  sample mMiddleFirstToken;
  sample mLongFirstToken; ///< Prompts over 100,000 tokens.
  double mProbesPerRequest = 0;
  double mReservationsPerRequest = 0;
  double mShareError = 0; ///< Largest distance from a fair share.
  tokens mLeakedTokens = 0;

  bool operator==(const run_summary&) const = default;
};

/// Runs every policy at every load, a few at a time; `aProgress` is called
/// from the calling thread after each run.
std::vector<run_summary>
RunExperiment(const experiment& aExperiment,
              std::size_t aThreads,
              const std::function<void(std::size_t, std::size_t)>& aProgress);

} // namespace primrose::bench
