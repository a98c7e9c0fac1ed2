#pragma once

/// Reports of an experiment: a table, JSON lines, and plot data with a gnuplot
/// script.

#include "Experiment.h"

#include <string>

namespace primrose::bench {

std::string
FormatTable(const std::vector<run_summary>& aRuns);
std::string
FormatJsonLines(const std::vector<run_summary>& aRuns);

/// Writes NAME.txt, NAME.jsonl, NAME.dat and NAME.gp into the folder, where
/// NAME is the experiment's name. Run in that folder, gnuplot NAME.gp draws
/// NAME.png.
result<void>
WriteReport(const experiment& aExperiment,
            const std::vector<run_summary>& aRuns,
            const std::string& aFolder);

} // namespace primrose::bench
