#pragma once

/// Metrics: counters, gauges and histograms, written in the Prometheus text
/// exposition format.

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace primrose {

/// A histogram of times in seconds, with fixed bucket bounds and constant
/// memory. Unlike percentiles, bucket counts of several processes can be added
/// up.
class histogram
{
public:
  histogram();
  ~histogram();
  histogram(const histogram&) = delete;
  histogram& operator=(const histogram&) = delete;

  void Add(double aValue);
  /// Appends the histogram in the text exposition format.
  void Write(std::string& aText, const std::string& aName) const;

private:
  struct storage;
  std::unique_ptr<storage> mStorage;
};

/// The metrics of one process. Names are `family` or `family{label="value"}`.
class metrics
{
public:
  void Count(const std::string& aName, double aBy = 1);
  void Set(const std::string& aName, double aValue);
  /// Removes the gauges of a family, for labels that come and go.
  void ClearGauges(std::string_view aFamily);
  void Observe(const std::string& aName, double aValue);
  double Value(const std::string& aName) const;
  std::string Exposition() const;

private:
  std::map<std::string, double> mCounters;
  std::map<std::string, double> mGauges;
  std::map<std::string, histogram> mHistograms;
};

/// `family{key="value"}` with the value escaped.
std::string
Labelled(std::string_view aFamily,
         std::string_view aKey,
         std::string_view aValue);

} // namespace primrose
