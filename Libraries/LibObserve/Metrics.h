#pragma once

/// Metrics: counters, gauges and distributions, written in the text exposition
/// format that monitoring systems scrape.

// NOTE: Boost 1.81 uses string streams in the quantile without including them.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>
#include <string>
#include <string_view>

namespace primrose {

/// A distribution with estimated percentiles (the P-square method of
/// Boost.Accumulators: constant memory, so a report must give the sample's
/// size beside the estimate).
class distribution
{
public:
  distribution();
  void Add(double aValue);
  std::size_t Count() const;
  double Sum() const;
  double Quantile(double aProbability) const;

private:
  using accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::sum,
      boost::accumulators::tag::extended_p_square_quantile>>;
  accumulator mValues;
};

/// The metrics of one process. Names are `family` or `family{label="value"}`.
class metrics
{
public:
  void Count(const std::string& aName, double aBy = 1);
  void Set(const std::string& aName, double aValue);
  void Observe(const std::string& aName, double aValue);
  double Value(const std::string& aName) const;
  std::string Exposition() const;

private:
  std::map<std::string, double> mCounters;
  std::map<std::string, double> mGauges;
  std::map<std::string, distribution> mDistributions;
};

/// `family{key="value"}` with the value escaped.
std::string
Labelled(std::string_view aFamily,
         std::string_view aKey,
         std::string_view aValue);

} // namespace primrose
