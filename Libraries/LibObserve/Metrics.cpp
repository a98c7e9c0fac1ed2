#include "LibObserve/Metrics.h"

#include <array>
#include <set>
#include <spdlog/fmt/fmt.h>
#include <vector>

namespace primrose {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kProbabilities = { 0.5, 0.95, 0.99 };

std::string
FamilyOf(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

void
WriteSimple(std::string& aText,
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

distribution::distribution()
  : mValues(acc::extended_p_square_probabilities =
              std::vector<double>(kProbabilities.begin(), kProbabilities.end()))
{
}

void
distribution::Add(double aValue)
{
  mValues(aValue);
}

std::size_t
distribution::Count() const
{
  return acc::count(mValues);
}

double
distribution::Sum() const
{
  return acc::sum(mValues);
}

double
distribution::Quantile(double aProbability) const
{
  return acc::quantile(mValues, acc::quantile_probability = aProbability);
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
metrics::Observe(const std::string& aName, double aValue)
{
  mDistributions[aName].Add(aValue);
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
  WriteSimple(text, mCounters, "counter");
  WriteSimple(text, mGauges, "gauge");
  for (const auto& [name, values] : mDistributions) {
    text += fmt::format("# TYPE {} summary\n", name);
    for (const double probability : kProbabilities) {
      text += fmt::format("{}{{quantile=\"{}\"}} {:.6g}\n",
                          name,
                          probability,
                          values.Quantile(probability));
    }
    text += fmt::format("{}_sum {:.10g}\n", name, values.Sum());
    text += fmt::format("{}_count {}\n", name, values.Count());
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
