/// primrose-load: sends a mixed load through entries, checks every answer and
/// prints a table of outcomes and of the time to the first token.

#include "LoadRun.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

using namespace primrose;
using namespace primrose::load;

namespace {

double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const std::size_t rank = static_cast<std::size_t>(
    std::lround(aPart * static_cast<double>(aValues.size() - 1)));
  return aValues[rank];
}

struct table_row
{
  std::size_t mSent = 0;
  std::size_t mCorrect = 0;
  std::vector<double> mFirstTokens;
  std::vector<double> mSeconds;
};

void
PrintTable(const std::vector<request_result>& aResults)
{
  std::map<std::pair<request_kind, std::uint64_t>, table_row> rows;
  for (const request_result& result : aResults) {
    table_row& row = rows[{ result.mRequest.mKind, result.mRequest.mTokens }];
    ++row.mSent;
    row.mCorrect += result.mCorrect ? 1 : 0;
    row.mSeconds.push_back(result.mSeconds);
    if (result.mRequest.mKind == request_kind::Streamed && result.mCorrect) {
      row.mFirstTokens.push_back(result.mFirstTokenSeconds);
    }
  }
  std::cout << fmt::format("{:<13}{:>10}{:>6}{:>7}{:>14}{:>14}{:>10}\n",
                           "kind",
                           "tokens",
                           "sent",
                           "right",
                           "first tok p50",
                           "first tok p95",
                           "all p95");
  for (const auto& [key, row] : rows) {
    const bool streamed = key.first == request_kind::Streamed;
    const std::vector<double>& firstTokens = row.mFirstTokens;
    const auto first = [&firstTokens, streamed](double aPart) {
      return streamed ? fmt::format("{:.3f} s", Percentile(firstTokens, aPart))
                      : std::string("-");
    };
    std::cout << fmt::format("{:<13}{:>10}{:>6}{:>7}{:>14}{:>14}{:>8.3f} s\n",
                             KindName(key.first),
                             key.second == 0 ? std::string("-")
                                             : std::to_string(key.second),
                             row.mSent,
                             row.mCorrect,
                             first(0.5),
                             first(0.95),
                             Percentile(row.mSeconds, 0.95));
  }
}

int
RunLoad(load_run& aRun, main_loop& aLoop, std::size_t aTotal)
{
  const bool terminal = isatty(STDERR_FILENO) != 0;
  aRun
    .Run([&](std::size_t aDone) {
      constexpr std::size_t kLineEvery = 20;
      if (terminal || aDone % kLineEvery == 0 || aDone == aTotal) {
        std::cerr << fmt::format("{}{} of {} answered{}",
                                 terminal ? "\r" : "",
                                 aDone,
                                 aTotal,
                                 terminal && aDone < aTotal ? "" : "\n")
                  << std::flush;
      }
    })
    .wait(aLoop.Scope());
  PrintTable(aRun.Results());
  std::size_t wrong = 0;
  for (const request_result& result : aRun.Results()) {
    if (!result.mCorrect) {
      ++wrong;
      std::cout << fmt::format("wrong: {} of {} tokens: {}\n",
                               KindName(result.mRequest.mKind),
                               result.mRequest.mTokens,
                               result.mProblem);
    }
  }
  std::cout << fmt::format(
    "{} of {} requests ended rightly\n", aTotal - wrong, aTotal);
  return wrong == 0 ? kExitSuccess : kExitFailure;
}

/// Alternates between the entry and the engine itself, so that whatever else
/// the machine does falls on both.
int
CompareWithEngine(load_run& aRun, main_loop& aLoop, const std::string& aEngine)
{
  constexpr std::uint64_t kRounds = 200;
  std::vector<double> through;
  std::vector<double> direct;
  for (std::uint64_t i = 0; i < kRounds; ++i) {
    through.push_back(aRun.MeasureFirstToken("", i).wait(aLoop.Scope()));
    direct.push_back(aRun.MeasureFirstToken(aEngine, i).wait(aLoop.Scope()));
  }
  for (const double part : { 0.5, 0.95 }) {
    const double own = Percentile(through, part);
    const double engine = Percentile(direct, part);
    std::cout << fmt::format("first token p{:.0f}: through the entry {:.2f} "
                             "ms, direct {:.2f} ms, ratio {:.3f}, n {}\n",
                             part * 100,
                             own * 1000,
                             engine * 1000,
                             own / engine,
                             kRounds);
  }
  return kExitSuccess;
}

result<int>
Start(const common_options& aOptions)
{
  BOOST_LEAF_ASSIGN(load_plan const plan, ReadLoadPlan(aOptions.mSettingsFile));
  if (aOptions.mCheckOnly) {
    std::cout << aOptions.mSettingsFile << ": good\n";
    return kExitSuccess;
  }
  const system_clock_source clock;
  main_loop loop;
  // The load is waited for outside of the loop's own run, so that quitting the
  // loop would not end it.
  constexpr int kInterrupted = 130;
  loop.OnTerminate([]() { std::_Exit(kInterrupted); });
  if (aOptions.mValues.count("compare") != 0) {
    // One token: a longer answer would still be written, and slow its engine,
    // when the next request comes.
    load_plan one = plan;
    one.mOutputTokens = 1;
    load_run run(clock, one);
    return CompareWithEngine(
      run, loop, aOptions.mValues["compare"].as<std::string>());
  }
  load_run run(clock, plan);
  return RunLoad(run, loop, PlanRequests(plan).size());
}

} // namespace

int
main(int argc, char** argv)
{
  program_description program{ "primrose-load",
                               PRIMROSE_VERSION,
                               "sends a checked load through entries" };
  program.mExtraOptions.add_options()(
    "compare",
    boost::program_options::value<std::string>(),
    "address of an engine: compare the time to the first token through the "
    "entry with that of the engine itself");
  return RunProgram(argc, argv, program, &Start);
}
