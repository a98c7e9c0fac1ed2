#include "LibCore/Random.h"

#include <cmath>

namespace primrose {

std::uint64_t
FreshSeed()
{
  std::random_device device;
  constexpr unsigned kHalfWordBits = 32;
  return (static_cast<std::uint64_t>(device()) << kHalfWordBits) | device();
}

double
Uniform(random_engine& aEngine)
{
  constexpr unsigned kDroppedBits = 11;
  constexpr double kScale = 0x1.0p-53;
  return static_cast<double>(aEngine() >> kDroppedBits) * kScale;
}

std::uint64_t
Below(random_engine& aEngine, std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  return aEngine() % aBound;
}

double
Exponential(random_engine& aEngine, double aMean)
{
  return -aMean * std::log1p(-Uniform(aEngine));
}

} // namespace primrose
