#include "LibObserve/Metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <set>
#include <spdlog/fmt/fmt.h>
#include <vector>

namespace primrose {

namespace {

namespace acc = boost::accumulators;

/// Upper bounds of histogram buckets, in seconds. They cover the latency
/// targets and pause limits of both deployments (0.1 to 4 s), the time limits
/// of calls and the duration of a lookup.
constexpr std::array<double, 17> kBucketBounds = {
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25,
  0.3,   0.6,   1,    1.5,  3,    4,   10,   15
};

std::string
FamilyOf(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

void
WriteSamples(std::string& aText,
             const std::map<std::string, double>& aValues,
             std::string_view aType)
{
  std::set<std::string> families;
  for (const auto& [name, value] : aValues) {
    const std::string family = FamilyOf(name);
    if (families.insert(family).second) {
      aText += fmt::format("# TYPE {} {}\n", family, aType);
    }
    aText += fmt::format("{} {:.10g}\n", name, value);
  }
}

} // namespace

struct histogram::storage
{
  using accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
  using buckets = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::variable<>(kBucketBounds)));

  accumulator mCountAndSum;
  buckets mBuckets = boost::histogram::make_histogram(
    boost::histogram::axis::variable<>(kBucketBounds));
};

histogram::histogram()
  : mStorage(std::make_unique<storage>())
{
}

histogram::~histogram() = default;

void
histogram::Add(double aValue)
{
  mStorage->mCountAndSum(aValue);
  mStorage->mBuckets(aValue);
}

void
histogram::Write(std::string& aText, const std::string& aName) const
{
  aText += fmt::format("# TYPE {} histogram\n", aName);
  // Bucket i - 1 holds the values between bounds i - 1 and i; bucket -1 is the
  // underflow bucket below the first bound.
  double below = 0;
  for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
    below +=
      static_cast<double>(mStorage->mBuckets.at(static_cast<int>(i) - 1));
    aText += fmt::format(
      "{}_bucket{{le=\"{:g}\"}} {}\n", aName, kBucketBounds[i], below);
  }
  const std::size_t count = acc::count(mStorage->mCountAndSum);
  aText += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", aName, count);
  aText +=
    fmt::format("{}_sum {:.10g}\n", aName, acc::sum(mStorage->mCountAndSum));
  aText += fmt::format("{}_count {}\n", aName, count);
}

void
metrics::Count(const std::string& aName, double aBy)
{
  mCounters[aName] += aBy;
}

void
metrics::Set(const std::string& aName, double aValue)
{
  mGauges[aName] = aValue;
}

void
metrics::ClearGauges(std::string_view aFamily)
{
  const std::string prefix = std::string(aFamily) + '{';
  std::erase_if(mGauges, [&prefix](const auto& aGauge) {
    return aGauge.first.starts_with(prefix);
  });
}

void
metrics::Observe(const std::string& aName, double aValue)
{
  mHistograms[aName].Add(aValue);
}

double
metrics::Value(const std::string& aName) const
{
  const auto counter = mCounters.find(aName);
  if (counter != mCounters.end()) {
    return counter->second;
  }
  const auto gauge = mGauges.find(aName);
  return gauge == mGauges.end() ? 0 : gauge->second;
}

std::string
metrics::Exposition() const
{
  std::string text;
  WriteSamples(text, mCounters, "counter");
  WriteSamples(text, mGauges, "gauge");
  for (const auto& [name, values] : mHistograms) {
    values.Write(text, name);
  }
  return text;
}

std::string
Labelled(std::string_view aFamily,
         std::string_view aKey,
         std::string_view aValue)
{
  std::string escaped;
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return fmt::format("{}{{{}=\"{}\"}}", aFamily, aKey, escaped);
}

} // namespace primrose
