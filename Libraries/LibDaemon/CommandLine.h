#pragma once

/// Command-line options that all programs have: --help, --version, --settings
/// FILE, --check, --log-level. Exit codes: 0 success, 1 failure, 2 wrong
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
  /// Name of the environment variable with the path of the settings file, used
  /// if --settings is not given. Empty if the program has no such variable.
  std::string mSettingsEnvironmentVariable;
};

struct common_options
{
  std::string mSettingsFile;
  bool mCheckOnly = false;
  log_level mLogLevel = log_level::Info;
  boost::program_options::variables_map mValues;
};

/// Parses the arguments. Returns an exit code if the program has to exit now:
/// help or the version was printed, or the arguments are wrong (reported in one
/// line on standard error).
std::optional<int>
ReadCommandLine(int aCount,
                const char* const* aArguments,
                const program_description& aProgram,
                common_options& aOptions);

/// Prints a failure as one line on standard error and returns its exit code.
int
ReportFailure(const std::string& aProgram, const failure& aFailure);

/// The body of `main`: parses the arguments, runs `aStart` with them and
/// returns the exit code. A failure is printed as one line.
int
RunProgram(int aCount,
           const char* const* aArguments,
           const program_description& aProgram,
           result<int> (*aStart)(const common_options&));

} // namespace primrose
