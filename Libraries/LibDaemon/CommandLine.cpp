#include "LibDaemon/CommandLine.h"

#include <cstdlib>
#include <iostream>

namespace primrose {

namespace options = boost::program_options;

namespace {

int
ReportUsage(const program_description& aProgram, const std::string& aProblem)
{
  std::cerr << aProgram.mName << ": " << aProblem << " (see --help)\n";
  return kExitUsage;
}

void
PrintHelp(const program_description& aProgram,
          const options::options_description& aAll)
{
  std::cout << aProgram.mName << " - " << aProgram.mPurpose << "\n\n"
            << "Usage: " << aProgram.mName << " --settings FILE [options]\n\n"
            << aAll
            << "\nEnds with 0 when all went well, 1 when it failed, 2 when "
               "arguments or\nsettings are wrong.\n";
}

} // namespace

std::optional<int>
ReadCommandLine(int aCount,
                const char* const* aArguments,
                const program_description& aProgram,
                common_options& aOptions)
{
  std::string level = "info";
  options::options_description all("Options");
  all.add_options()("help", "print this help");
  all.add_options()("version", "print the version");
  all.add_options()("settings",
                    options::value<std::string>(&aOptions.mSettingsFile),
                    "settings of this process (JSON with comments)");
  all.add_options()("check", "read and check the settings, then end");
  all.add_options()("log-level",
                    options::value<std::string>(&level),
                    "debug, info, warning or error");
  all.add(aProgram.mExtraOptions);
  try {
    options::store(options::parse_command_line(aCount, aArguments, all),
                   aOptions.mValues);
    options::notify(aOptions.mValues);
  } catch (const options::error& problem) {
    return ReportUsage(aProgram, problem.what());
  }
  if (aOptions.mValues.count("help") != 0) {
    PrintHelp(aProgram, all);
    return kExitSuccess;
  }
  if (aOptions.mValues.count("version") != 0) {
    std::cout << aProgram.mName << " " << aProgram.mVersion << "\n";
    return kExitSuccess;
  }
  if (!ParseLogLevel(level, aOptions.mLogLevel)) {
    return ReportUsage(
      aProgram,
      "--log-level: expected debug, info, warning or error, found \"" + level +
        "\"");
  }
  aOptions.mCheckOnly = aOptions.mValues.count("check") != 0;
  if (aOptions.mSettingsFile.empty() &&
      !aProgram.mSettingsEnvironmentVariable.empty()) {
    const char* const named =
      std::getenv(aProgram.mSettingsEnvironmentVariable.c_str());
    aOptions.mSettingsFile = named == nullptr ? "" : named;
  }
  if (aOptions.mSettingsFile.empty()) {
    return ReportUsage(aProgram, "--settings FILE is required");
  }
  return std::nullopt;
}

int
ReportFailure(const std::string& aProgram, const failure& aFailure)
{
  std::cerr << aProgram << ": " << aFailure.mMessage << "\n";
  const bool isUsage = aFailure.mKind == error_kind::SettingsInvalid;
  return isUsage ? kExitUsage : kExitFailure;
}

int
RunProgram(int aCount,
           const char* const* aArguments,
           const program_description& aProgram,
           result<int> (*aStart)(const common_options&))
{
  common_options options;
  const std::optional<int> end =
    ReadCommandLine(aCount, aArguments, aProgram, options);
  if (end) {
    return *end;
  }
  const outcome<int> ran = Capture<int>([&]() { return aStart(options); });
  return ran ? *ran.mValue : ReportFailure(aProgram.mName, ran.mFailure);
}

} // namespace primrose
