#include "Report.h"

#include <filesystem>
#include <fstream>
#include <spdlog/fmt/fmt.h>

namespace primrose::bench {

namespace {

double
Ratio(double aValue, double aBase)
{
  return aBase > 0 ? aValue / aBase : 0;
}

result<void>
WriteText(const std::filesystem::path& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText;
  file.close();
  if (!file) {
    return Fail(error_kind::SettingsInvalid,
                aPath.string() + ": cannot be written");
  }
  return {};
}

/// One block for each policy: load, p95 slowdown of the short ones, p95 first
/// token of the long ones.
std::string
DataOf(const experiment& aExperiment, const std::vector<run_summary>& aRuns)
{
  std::string data;
  for (const bench_policy& policy : aExperiment.mPolicies) {
    data += fmt::format("\"{}\"\n", policy.mName);
    for (const run_summary& run : aRuns) {
      if (run.mPolicy == policy.mName) {
        data += fmt::format("{} {} {}\n",
                            run.mLoad * 100,
                            run.mShortSlowdown.At(0.95),
                            run.mLongFirstToken.At(0.95));
      }
    }
    data += "\n\n";
  }
  return data;
}

std::string
FormatPlotScript(const experiment& aExperiment)
{
  const std::size_t last = aExperiment.mPolicies.size() - 1;
  return fmt::format("set terminal pngcairo size 1200,500\n"
                     "set output '{0}.png'\n"
                     "set multiplot layout 1,2 title '{0}'\n"
                     "set logscale y\n"
                     "set grid\n"
                     "set key top left\n"
                     "set xlabel 'load, % of nominal capacity'\n"
                     "set ylabel 'slowdown of short requests, p95'\n"
                     "plot for [i=0:{1}] '{0}.dat' index i using 1:2 with "
                     "linespoints title columnheader(1)\n"
                     "set ylabel 'first token of prompts over 100k, p95, s'\n"
                     "plot for [i=0:{1}] '{0}.dat' index i using 1:3 with "
                     "linespoints title columnheader(1)\n",
                     aExperiment.mName,
                     last);
}

} // namespace

std::string
FormatTable(const std::vector<run_summary>& aRuns)
{
  std::string table = fmt::format(
    "{:<23}{:>5}{:>7}{:>7}{:>5}{:>8}{:>7}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}"
    "{:>6}{:>6}\n",
    "policy",
    "load",
    "sent",
    "refus",
    "late",
    "goodput",
    "s-p95",
    "s-p99",
    "r-p95",
    "r-p99",
    "sf-p95",
    "mf-p95",
    "lf-p50",
    "lf-p95",
    "probe",
    "share");
  for (const run_summary& run : aRuns) {
    table += fmt::format(
      "{:<23}{:>5.2f}{:>7}{:>7}{:>5}{:>8.3f}{:>7.2f}{:>8.2f}{:>8.2f}{:>8.2f}"
      "{:>8.2f}{:>8.2f}{:>8.2f}{:>8.2f}{:>6.1f}{:>6.3f}\n",
      run.mPolicy,
      run.mLoad,
      run.mArrivalCount,
      run.mRefused,
      run.mTimedOutCount,
      run.mGoodput,
      run.mShortSlowdown.At(0.95),
      run.mShortSlowdown.At(0.99),
      Ratio(run.mShortSlowdown.At(0.95),
            run.mShortSlowdownWithoutLong.At(0.95)),
      Ratio(run.mShortSlowdown.At(0.99),
            run.mShortSlowdownWithoutLong.At(0.99)),
      run.mShortFirstToken.At(0.95),
      run.mMiddleFirstToken.At(0.95),
      run.mLongFirstToken.At(0.5),
      run.mLongFirstToken.At(0.95),
      run.mProbesPerRequest,
      run.mShareError);
  }
  table += "\ns-: slowdown of short requests (up to 8k tokens; time taken over "
           "time alone on an idle engine)\n"
           "r-: the same over that of a run without long prompts\n"
           "sf-, mf-, lf-: first token in s of prompts up to 8k, up to 100k, "
           "over 100k tokens\n";
  return table;
}

std::string
FormatJsonLines(const std::vector<run_summary>& aRuns)
{
  std::string lines;
  for (const run_summary& run : aRuns) {
    const json line = {
      { "policy", run.mPolicy },
      { "load", run.mLoad },
      { "offered", run.mArrivalCount },
      { "complete", run.mComplete },
      { "refused", run.mRefused },
      { "late", run.mTimedOutCount },
      { "goodput", run.mGoodput },
      { "busy", run.mBusy },
      { "short_count", run.mShortSlowdown.mValues.size() },
      { "short_slowdown_p50", run.mShortSlowdown.At(0.5) },
      { "short_slowdown_p95", run.mShortSlowdown.At(0.95) },
      { "short_slowdown_p99", run.mShortSlowdown.At(0.99) },
      { "alone_slowdown_p95", run.mShortSlowdownWithoutLong.At(0.95) },
      { "alone_slowdown_p99", run.mShortSlowdownWithoutLong.At(0.99) },
      { "short_first_p95", run.mShortFirstToken.At(0.95) },
      { "middle_first_p95", run.mMiddleFirstToken.At(0.95) },
      { "long_count", run.mLongFirstToken.mValues.size() },
      { "long_first_p50", run.mLongFirstToken.At(0.5) },
      { "long_first_p95", run.mLongFirstToken.At(0.95) },
      { "probes_per_request", run.mProbesPerRequest },
      { "reservations_per_request", run.mReservationsPerRequest },
      { "share_error", run.mShareError },
      { "memory_left", run.mLeakedTokens }
    };
    lines += line.dump() + "\n";
  }
  return lines;
}

result<void>
WriteReport(const experiment& aExperiment,
            const std::vector<run_summary>& aRuns,
            const std::string& aFolder)
{
  const std::filesystem::path folder(aFolder);
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  const std::string& name = aExperiment.mName;
  BOOST_LEAF_CHECK(WriteText(folder / (name + ".txt"), FormatTable(aRuns)));
  BOOST_LEAF_CHECK(
    WriteText(folder / (name + ".jsonl"), FormatJsonLines(aRuns)));
  BOOST_LEAF_CHECK(
    WriteText(folder / (name + ".dat"), DataOf(aExperiment, aRuns)));
  BOOST_LEAF_CHECK(
    WriteText(folder / (name + ".gp"), FormatPlotScript(aExperiment)));
  return {};
}

} // namespace primrose::bench
