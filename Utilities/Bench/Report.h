#pragma once

/// What people see of an experiment: a table, JSON lines, and data with a
/// gnuplot script for the plot.

#include "Experiment.h"

#include <string>

namespace primrose::bench {

std::string
FormatTable(const std::vector<run_summary>& aRuns);
std::string
FormatJsonLines(const std::vector<run_summary>& aRuns);

/// Writes NAME.txt, NAME.jsonl, NAME.dat and NAME.gp into the folder. The
/// script draws NAME.png when gnuplot is run on it there.
result<void>
WriteReport(const experiment& aExperiment,
            const std::vector<run_summary>& aRuns,
            const std::string& aFolder);

} // namespace primrose::bench
