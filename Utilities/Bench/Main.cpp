/// primrose-bench: load and policy experiments in virtual time.

#include "LibDaemon/LibDaemon.h"
#include "Report.h"

#include <iostream>
#include <spdlog/fmt/fmt.h>
#include <thread>
#include <unistd.h>

using namespace primrose;
using namespace primrose::bench;

namespace {

result<int>
Start(const common_options& aOptions)
{
  BOOST_LEAF_ASSIGN(experiment const planned,
                    LoadExperiment(aOptions.mSettingsFile));
  if (aOptions.mCheckOnly) {
    std::cout << aOptions.mSettingsFile << ": good\n";
    return kExitSuccess;
  }
  const std::size_t threads = aOptions.mValues["threads"].as<std::size_t>();
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const std::vector<run_summary> runs =
    RunExperiment(planned,
                  std::max<std::size_t>(1, threads),
                  [&](std::size_t aDone, std::size_t aAll) {
                    if (terminal || aDone == aAll) {
                      std::cerr << fmt::format("{}{} of {} runs{}",
                                               terminal ? "\r" : "",
                                               aDone,
                                               aAll,
                                               aDone == aAll ? "\n" : "")
                                << std::flush;
                    }
                  });
  std::cout << FormatTable(runs);
  if (aOptions.mValues.count("output") != 0) {
    BOOST_LEAF_CHECK(
      WriteReport(planned, runs, aOptions.mValues["output"].as<std::string>()));
  }
  return kExitSuccess;
}

} // namespace

int
main(int argc, char** argv)
{
  program_description program{
    "primrose-bench",
    PRIMROSE_VERSION,
    "load and policy experiments in virtual time (--settings: an experiment)"
  };
  program.mExtraOptions.add_options()(
    "output",
    boost::program_options::value<std::string>(),
    "folder for the table, JSON lines, data and gnuplot script");
  program.mExtraOptions.add_options()(
    "threads",
    boost::program_options::value<std::size_t>()->default_value(
      std::max(1U, std::thread::hardware_concurrency() / 2)),
    "runs at a time");
  return RunProgram(argc, argv, program, &Start);
}
