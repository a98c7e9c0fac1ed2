#pragma once

/// What arrives in an experiment: open-loop Poisson arrivals of a mix of
/// lengths and organisations, all drawn from one seed before the run begins.

#include "LibDecision/LibDecision.h"

#include <string>
#include <vector>

namespace primrose::bench {

/// A class of requests: prompt lengths are log-uniform between the bounds.
struct length_class
{
  std::string mName;
  double mWeight = 1;
  double mLeast = 1000;
  double mMost = 8000;
  double mMeanOutput = 64; ///< Exponential, at least 4 and at most 8 times it.
  unsigned mPriority = 1;
  double mTimeLimitSeconds = 600;

  bool operator==(const length_class&) const = default;
};

struct organisation_share
{
  std::string mName;
  double mWeight = 1;      ///< Part of the arrivals.
  double mShareWeight = 1; ///< Its weight in the settings.

  bool operator==(const organisation_share&) const = default;
};

struct traffic_mix
{
  std::vector<length_class> mClasses;
  std::vector<organisation_share> mOrganisations;
  double mSharedPrefixPart = 0.3; ///< Requests that begin like others do.

  bool operator==(const traffic_mix&) const = default;
};

struct arrival
{
  time_point mAt;
  std::size_t mClass = 0;
  std::size_t mOrganisation = 0;
  request_shape mShape;
  tokens mOutput = 0;
  time_point mDeadline;

  bool operator==(const arrival&) const = default;
};

/// Engine-seconds that a request costs when its engine always reads whole
/// chunks; the unit in which load is stated.
double
NominalCost(const request_shape& aShape,
            tokens aOutput,
            const engine_shape& aEngine);

/// Token-seconds of memory that a request holds on a busy engine.
double
NominalMemory(const request_shape& aShape,
              tokens aOutput,
              const engine_shape& aEngine);

/// Arrivals a second at which the engines' time or their memory, whichever is
/// the scarcer, is wholly used.
double
NominalCapacity(const traffic_mix& aMix,
                const engine_shape& aEngine,
                std::size_t aEngines);

std::vector<arrival>
DrawArrivals(const traffic_mix& aMix,
             double aPerSecond,
             duration aLength,
             tokens aLongPrompt,
             std::uint64_t aSeed);

} // namespace primrose::bench
