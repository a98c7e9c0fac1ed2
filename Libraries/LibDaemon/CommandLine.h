#pragma once

/// The options that every program takes: --help, --version, --settings FILE,
/// --check, --log-level; and the ends of a program: 0 well, 1 failed, 2 wrong
/// arguments or settings.

#include "LibCore/LibCore.h"
#include "LibObserve/LibObserve.h"

#include <boost/program_options.hpp>

#include <optional>
#include <string>

namespace primrose {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

struct program_description
{
  std::string mName;
  std::string mVersion;
  std::string mPurpose;
  boost::program_options::options_description mExtraOptions{ "More options" };
  /// An environment variable that names the settings file where --settings
  /// does not; empty if there is none.
  std::string mSettingsEnvironmentVariable;
};

struct common_options
{
  std::string mSettingsFile;
  bool mCheckOnly = false;
  log_level mLogLevel = log_level::Info;
  boost::program_options::variables_map mValues;
};

/// Reads the arguments. Gives an exit code where the program has to end now:
/// help or the version was printed, or the arguments are wrong (one line on
/// standard error).
std::optional<int>
ReadCommandLine(int aCount,
                const char* const* aArguments,
                const program_description& aProgram,
                common_options& aOptions);

/// Prints a failure as one line and gives the exit code for it.
int
ReportFailure(const std::string& aProgram, const failure& aFailure);

/// A whole program: reads the arguments, runs `aStart` with them and gives the
/// exit code of `main`. A failure is printed as one line.
int
RunProgram(int aCount,
           const char* const* aArguments,
           const program_description& aProgram,
           result<int> (*aStart)(const common_options&));

} // namespace primrose
