#pragma once

/// A fleet of engine models with an agent's board each, a few entries, and a
/// fixed delay between them, in virtual time. It calls the same decisions as
/// the daemons do. There is no network, no store and no VM in it.

#include "LibModel/LibModel.h"
#include "Mix.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace primrose::bench {

/// How a request's engine is chosen. The first four are what serving layers
/// usually do; they see a load report that lags.
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
  std::size_t mEntries = 4;
  duration mOneWayDelay = std::chrono::microseconds(1500);
  duration mLoadReportLag = std::chrono::milliseconds(500);
  double mProbeLossRate = 0;        ///< Part of the probes that get no answer.
  double mQueueWaitSeconds = 2;     ///< Of a short request at one agent.
  double mLongQueueWaitSeconds = 5; ///< Of a long one.
  /// Engines that die at half the time, to come back empty after 60 s.
  std::size_t mEngineCrashes = 0;
  bool operator==(const simulation_settings&) const = default;
};

enum class request_outcome : std::uint8_t
{
  Complete,
  Refused, ///< Told "not run" before anything ran.
  Late,    ///< Its time limit came first.
  Failed,  ///< Its engine died under it.
};

struct request_record
{
  std::size_t mArrival = 0;
  request_outcome mEnd = request_outcome::Refused;
  double mSecondsToFirstToken = 0; ///< Seconds from arrival.
  double mSecondsToEnd = 0;
  double mSecondsToRefusal = 0;

  bool operator==(const request_record&) const = default;
};

struct simulation_result
{
  std::vector<request_record> mRequests;
  std::uint64_t mProbes = 0;
  std::uint64_t mReservations = 0;
  double mBusySeconds = 0;  ///< Over all engines.
  tokens mLeakedTokens = 0; ///< Held by boards and engines at the end: 0.

  bool operator==(const simulation_result&) const = default;
};

/// Runs all arrivals to their ends.
simulation_result
RunSimulation(const simulation_settings& aSettings,
              const bench_policy& aPolicy,
              const traffic_mix& aMix,
              const std::vector<arrival>& aArrivals,
              std::uint64_t aSeed);

} // namespace primrose::bench
