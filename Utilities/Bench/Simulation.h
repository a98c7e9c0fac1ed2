#pragma once

/// Simulates a fleet in virtual time: engine models with an agent each, a few
/// gateways, and a fixed message delay between gateways and agents. It calls
/// the same decision functions as the daemons. Network, store and VMs are not
/// simulated.

#include "LibModel/LibModel.h"
#include "Mix.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace primrose::bench {

/// How the engine of a request is chosen. The first four are baselines, common
/// policies of serving layers. TwoChoices and ShortestQueue use load reports,
/// which lag behind the real load.
enum class placement_kind : std::uint8_t
{
  RoundRobin,
  LeastRequests,
  TwoChoices,
  ShortestQueue,
  Probing,
};

struct bench_policy
{
  std::string mName;
  placement_kind mPlacement = placement_kind::Probing;
  placement_rules mRules;
  agent_limits mLimits;
  unsigned mAttempts = 4;
  unsigned mLongAttempts = 20;
  bool mEnginePriorities = true;

  bool operator==(const bench_policy&) const = default;
};

struct simulation_settings
{
  engine_shape mEngine;
  std::size_t mEngines = 20;
  std::size_t mGateways = 4;
  duration mOneWayDelay = std::chrono::microseconds(1500);
  duration mLoadReportLag = std::chrono::milliseconds(500);
  double mProbeLossRate = 0; ///< Fraction of probes without an answer.
  /// Maximum time in the queue of one agent, for short and for long requests.
  double mQueueWaitSeconds = 2;
  double mLongQueueWaitSeconds = 5;
  /// Number of engines that crash half-way through the run. They restart empty
  /// after 60 s.
  std::size_t mEngineCrashes = 0;
  bool operator==(const simulation_settings&) const = default;
};

enum class request_outcome : std::uint8_t
{
  Complete,
  Refused,  ///< Rejected before any of it was executed.
  TimedOut, ///< Reached its time limit.
  Failed,   ///< Lost because its engine crashed.
};

struct request_record
{
  std::size_t mArrival = 0;
  request_outcome mOutcome = request_outcome::Refused;
  double mSecondsToFirstToken = 0; ///< All times count from arrival.
  double mSecondsToEnd = 0;
  double mSecondsToRefusal = 0;

  bool operator==(const request_record&) const = default;
};

struct simulation_result
{
  std::vector<request_record> mRequests;
  std::uint64_t mProbes = 0;
  std::uint64_t mReservations = 0;
  double mBusySeconds = 0; ///< Sum over all engines.
  /// Still reserved in agents and engines at the end; must be 0.
  tokens mLeakedTokens = 0;

  bool operator==(const simulation_result&) const = default;
};

/// Simulates until every request has ended.
simulation_result
RunSimulation(const simulation_settings& aSettings,
              const bench_policy& aPolicy,
              const traffic_mix& aMix,
              const std::vector<arrival>& aArrivals,
              std::uint64_t aSeed);

} // namespace primrose::bench
