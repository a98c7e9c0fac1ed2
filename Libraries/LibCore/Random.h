#pragma once

/// Seeded random numbers. Decision code uses a generator that is passed in by
/// the caller, so that a run can be reproduced from its seed.

#include <cstdint>
#include <random>

namespace primrose {

using random_engine = std::mt19937_64;

/// A random seed from the operating system, different at each process start.
std::uint64_t
FreshSeed();

/// Uniform in [0, 1). Gives the same numbers on every platform. The standard
/// distributions don't, because their algorithms depend on the library.
double
Uniform(random_engine& aEngine);

/// Uniform in [0, aBound); 0 when the bound is 0.
std::uint64_t
Below(random_engine& aEngine, std::uint64_t aBound);

/// Exponentially distributed with the given mean.
double
Exponential(random_engine& aEngine, double aMean);

} // namespace primrose
