#pragma once

/// Seeded randomness. Decisions draw from a generator that their caller owns,
/// so that the same seed gives the same run.

#include <cstdint>
#include <random>

namespace primrose {

using random_engine = std::mt19937_64;

/// A seed that differs for every process start.
std::uint64_t
FreshSeed();

/// Uniform in [0, 1). Same result on every platform, unlike the standard
/// distributions, whose algorithms are left to the library.
double
Uniform(random_engine& aEngine);

/// Uniform in [0, aBound); 0 when the bound is 0.
std::uint64_t
Below(random_engine& aEngine, std::uint64_t aBound);

/// Exponentially distributed with this mean.
double
Exponential(random_engine& aEngine, double aMean);

} // namespace primrose
