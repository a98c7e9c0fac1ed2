#pragma once

/// Reads an experiment file (fleet, traffic, loads and policies) and simulates
/// each of its policies at each of its loads.

#include "LibRules/LibRules.h"
#include "Simulation.h"

#include <functional>
#include <string>
#include <vector>

namespace primrose::bench {

struct experiment
{
  std::string mName;
  simulation_settings mSimulation;
  traffic_mix mMix;
  std::vector<double> mLoads; ///< Fractions of the nominal capacity.
  std::vector<bench_policy> mPolicies;
  double mSeconds = 600;
  std::uint64_t mSeed = 1;
  tokens mLongPromptTokens = 32768;

  bool operator==(const experiment&) const = default;
};

/// Reads and validates an experiment file. The path of the settings tree in it
/// is relative to the file's folder.
result<experiment>
LoadExperiment(const std::string& aFile);

/// Sorted sample values. Quantiles are sample values, without interpolation.
struct sample
{
  std::vector<double> mValues;
  double Quantile(double aPart) const;
  bool operator==(const sample&) const = default;
};

struct run_summary
{
  std::string mPolicy;
  double mLoad = 0;
  std::size_t mArrivalCount = 0;
  std::size_t mCompleteCount = 0;
  std::size_t mRefusedCount = 0;
  std::size_t mTimedOutCount = 0;
  double mGoodput = 0; ///< Nominal engine-seconds of completed requests, as a
                       ///< fraction of all engine-seconds.
  double mUtilisation = 0;
  sample mShortSlowdown;
  sample mShortSlowdownWithoutLong; ///< The same short requests run without the
                                    ///< long ones.
  sample mShortFirstToken;
  sample mMiddleFirstToken;
  sample mLongFirstToken; ///< Prompts over 100,000 tokens.
  double mProbesPerRequest = 0;
  double mReservationsPerRequest = 0;
  double mShareError = 0; ///< Largest deviation from a fair share.
  tokens mLeakedTokens = 0;

  bool operator==(const run_summary&) const = default;
};

/// Simulates every policy at every load, `aThreads` runs at a time. After each
/// run `aProgress` is called in the calling thread with the number of finished
/// runs and of all runs.
std::vector<run_summary>
RunExperiment(const experiment& aExperiment,
              std::size_t aThreads,
              const std::function<void(std::size_t, std::size_t)>& aProgress);

} // namespace primrose::bench
