#include "Mix.h"

#include <algorithm>
#include <cmath>
#include <spdlog/fmt/fmt.h>

namespace primrose::bench {

namespace {

constexpr double kMinOutputTokens = 4;
constexpr double kMaxOutputFactor = 8;
constexpr std::uint64_t kSharedPrefixCount = 40;

template<typename T>
std::size_t
PickByWeight(const std::vector<T>& aItems, random_engine& aRandom)
{
  double sum = 0;
  for (const T& item : aItems) {
    sum += item.mWeight;
  }
  double at = Uniform(aRandom) * sum;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    at -= aItems[i].mWeight;
    if (at < 0) {
      return i;
    }
  }
  return aItems.size() - 1;
}

double
LogUniform(random_engine& aRandom, double aLeast, double aMost)
{
  return aLeast * std::pow(aMost / aLeast, Uniform(aRandom));
}

/// Marks of a prompt that shares its first part with others of the prefix.
std::vector<std::uint64_t>
DrawPrefixHashes(const traffic_mix& aMix,
                 tokens aPrompt,
                 std::uint64_t aNumber,
                 random_engine& aRandom)
{
  const bool shares = Uniform(aRandom) < aMix.mSharedPrefixPart;
  const std::uint64_t prefix = Below(aRandom, kSharedPrefixCount);
  const tokens shared = shares ? kMinPrefixTokens << Below(aRandom, 3) : 0;
  std::vector<std::uint64_t> marks;
  for (std::size_t i = 0; PrefixLength(i) <= aPrompt; ++i) {
    const bool same = PrefixLength(i) <= shared;
    marks.push_back(Hash(
      fmt::format("{}/{}/{}", same ? "p" : "r", same ? prefix : aNumber, i)));
  }
  return marks;
}

double
MeanPrompt(const length_class& aClass)
{
  const double ratio = aClass.mMost / aClass.mLeast;
  return ratio <= 1 ? aClass.mLeast
                    : (aClass.mMost - aClass.mLeast) / std::log(ratio);
}

} // namespace

double
NominalCost(const request_shape& aShape,
            tokens aOutput,
            const engine_shape& aEngine)
{
  const double chunk = static_cast<double>(aEngine.mChunk);
  const double perToken =
    1 / aEngine.mPrefillTokensPerSecond + aEngine.mBaseStepSeconds / chunk;
  return static_cast<double>(aShape.mPromptTokens) * perToken +
         static_cast<double>(aOutput) * aEngine.mSecondsPerSequence;
}

double
NominalMemory(const request_shape& aShape,
              tokens aOutput,
              const engine_shape& aEngine)
{
  const double chunk = static_cast<double>(aEngine.mChunk);
  const double fullStep = StepSeconds(aEngine, 1, aEngine.mChunk, 0);
  const double steps = static_cast<double>(aShape.mPromptTokens) / chunk +
                       static_cast<double>(aOutput);
  return static_cast<double>(aShape.MemoryTokens()) * steps * fullStep;
}

double
NominalCapacity(const traffic_mix& aMix,
                const engine_shape& aEngine,
                std::size_t aEngines)
{
  double weights = 0;
  double cost = 0;
  double memory = 0;
  for (const length_class& one : aMix.mClasses) {
    request_shape mean;
    mean.mPromptTokens = static_cast<tokens>(MeanPrompt(one));
    mean.mMaxTokens = static_cast<tokens>(kMaxOutputFactor * one.mMeanOutput);
    const tokens output = static_cast<tokens>(one.mMeanOutput);
    weights += one.mWeight;
    cost += one.mWeight * NominalCost(mean, output, aEngine);
    memory += one.mWeight * NominalMemory(mean, output, aEngine);
  }
  const double byTime = weights / cost;
  const double byMemory =
    static_cast<double>(aEngine.mCapacity) * weights / memory;
  return static_cast<double>(aEngines) * std::min(byTime, byMemory);
}

std::vector<arrival>
DrawArrivals(const traffic_mix& aMix,
             double aPerSecond,
             duration aLength,
             tokens aLongPrompt,
             std::uint64_t aSeed)
{
  random_engine random(aSeed);
  std::vector<arrival> arrivals;
  time_point now{};
  const time_point end = now + aLength;
  while (true) {
    now += FromSeconds(Exponential(random, 1 / aPerSecond));
    if (now >= end) {
      return arrivals;
    }
    arrival next;
    next.mAt = now;
    next.mClass = PickByWeight(aMix.mClasses, random);
    next.mOrganisation = PickByWeight(aMix.mOrganisations, random);
    const length_class& one = aMix.mClasses[next.mClass];
    request_shape& shape = next.mShape;
    shape.mModel = "model";
    shape.mOrganisation = aMix.mOrganisations[next.mOrganisation].mName;
    shape.mPromptTokens =
      static_cast<tokens>(LogUniform(random, one.mLeast, one.mMost));
    const double output = Exponential(random, one.mMeanOutput);
    next.mOutput = static_cast<tokens>(
      std::clamp(output, kMinOutputTokens, kMaxOutputFactor * one.mMeanOutput));
    // What a caller allows is more than what comes.
    shape.mMaxTokens = static_cast<tokens>(kMaxOutputFactor * one.mMeanOutput);
    shape.mPriority = one.mPriority;
    shape.mLong = shape.mPromptTokens >= aLongPrompt;
    shape.mPrefixHashes =
      DrawPrefixHashes(aMix, shape.mPromptTokens, arrivals.size(), random);
    next.mDeadline = now + FromSeconds(one.mTimeLimitSeconds);
    arrivals.push_back(std::move(next));
  }
}

} // namespace primrose::bench
