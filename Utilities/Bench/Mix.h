#pragma once

/// The traffic of an experiment: open-loop Poisson arrivals with a mix of
/// prompt lengths and organisations. All arrivals are drawn from one seed
/// before the run begins.

#include "LibDecision/LibDecision.h"

#include <string>
#include <vector>

namespace primrose::bench {

/// A class of requests. Prompt lengths are log-uniform between the bounds.
struct length_class
{
  std::string mName;
  double mWeight = 1;
  double mMinPromptTokens = 1000;
  double mMaxPromptTokens = 8000;
  /// Mean of the exponentially distributed output tokens, which are clamped to
  /// at least 4 and at most 8 times the mean.
  double mMeanOutput = 64;
  unsigned mPriority = 1;
  double mTimeLimitSeconds = 600;

  bool operator==(const length_class&) const = default;
};

struct organisation_share
{
  std::string mName;
  double mWeight = 1;      ///< Relative share of the arrivals.
  double mShareWeight = 1; ///< "share_weight" in the settings.

  bool operator==(const organisation_share&) const = default;
};

struct traffic_mix
{
  std::vector<length_class> mClasses;
  std::vector<organisation_share> mOrganisations;
  /// Fraction of requests with a shared prefix.
  double mSharedPrefixPart = 0.3;

  bool operator==(const traffic_mix&) const = default;
};

struct arrival
{
  time_point mTime;
  std::size_t mClass = 0;
  std::size_t mOrganisation = 0;
  request_shape mShape;
  tokens mOutput = 0;
  time_point mDeadline;

  bool operator==(const arrival&) const = default;
};

/// Engine-seconds that a request costs if its engine always prefills whole
/// chunks. Load is stated in this unit.
double
NominalCost(const request_shape& aShape,
            tokens aOutput,
            const engine_shape& aEngine);

/// Token-seconds of memory that a request occupies on a busy engine.
double
NominalMemory(const request_shape& aShape,
              tokens aOutput,
              const engine_shape& aEngine);

/// Arrivals per second that fully use the engines' time or their memory,
/// whichever is reached first.
double
NominalCapacity(const traffic_mix& aMix,
                const engine_shape& aEngine,
                std::size_t aEngines);

std::vector<arrival>
DrawArrivals(const traffic_mix& aMix,
             double aPerSecond,
             duration aDuration,
             tokens aLongPromptTokens,
             std::uint64_t aSeed);

} // namespace primrose::bench
