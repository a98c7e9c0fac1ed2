/// primrosectl: the operators' command-line tool.

#include "Control.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <spdlog/fmt/fmt.h>

using namespace primrose;
using namespace primrose::control;

namespace options = boost::program_options;

namespace {

/// Enough for "story" with one log file of each gateway.
constexpr std::size_t kMaxWords = 400;

constexpr std::array kCommands = {
  command{ "check",
           "TREE",
           "check a settings tree; every problem on a line",
           1,
           1,
           false,
           &CheckTree },
  command{ "show",
           "TREE PATH",
           "effective values at fleet or ORGANISATION[/SERVICE[/WORKLOAD]] and "
           "where each comes from",
           2,
           2,
           false,
           &ShowEffective },
  command{ "diff",
           "TREE TREE",
           "what differs between two trees",
           2,
           2,
           false,
           &DiffTrees },
  command{ "key",
           "",
           "make a key and its hash for the settings",
           0,
           0,
           false,
           &MakeKey },
  command{ "story",
           "REQUEST LOG...",
           "what gateways' logs tell of a request, and what they believed",
           2,
           kMaxWords - 1,
           false,
           &ShowRequestTimeline },
  command{ "status",
           "",
           "entries and the endpoints they see",
           0,
           0,
           true,
           &ShowStatus },
  command{ "explain",
           "REQUEST",
           "why a request was treated as it was",
           1,
           1,
           true,
           &ExplainRequest },
  command{ "drain",
           "ADDRESS",
           "let an entry or agent (its HTTP address) finish and leave",
           1,
           1,
           true,
           &DrainNode },
  command{ "list-vm",
           "NAME KIND SERVES ADDRESS REGION DATA_CENTRE",
           "tell the platform's list of a VM",
           6,
           6,
           true,
           &ListVm },
  command{ "wait-for",
           "COUNT SECONDS",
           "wait until every entry knows so many VMs",
           2,
           2,
           true,
           &WaitFor },
  command{ "metric",
           "ADDRESS NAME",
           "the value of one metric of an entry or agent",
           2,
           2,
           true,
           &ShowMetric },
  command{ "restrictions",
           "ADDRESS",
           "data centres that a gateway (its metrics' address) knows to be "
           "evacuated, and endpoints to be cold",
           1,
           1,
           false,
           &ShowRestrictions },
};

void
PrintHelp(const options::options_description& aOptions)
{
  std::cout << "primrosectl - the operators' tool\n\n"
               "Usage: primrosectl [options] COMMAND [ARGUMENTS]\n\n"
               "Commands:\n";
  for (const command& one : kCommands) {
    std::cout << fmt::format(
      "  {:<10}{}\n            {}\n", one.mName, one.mArguments, one.mPurpose);
  }
  std::cout << "\n"
            << aOptions
            << "\nThe settings file names the platform, the entries and the "
               "operators' key:\n"
               "{ \"platform\": \"ADDRESS\", \"operator_key\": \"KEY\", "
               "\"entries\": [\"ADDRESS\"] }\n";
}

int
ReportUsageError(const std::string& aProblem)
{
  std::cerr << "primrosectl: " << aProblem << " (see --help)\n";
  return kExitUsage;
}

result<int>
Execute(const command& aCommand,
        const options::variables_map& aValues,
        std::vector<std::string> aArguments)
{
  main_loop loop;
  http_client http;
  control_context context{
    {}, loop, http, aValues.count("json") != 0, std::move(aArguments)
  };
  if (aCommand.mNeedsSettings) {
    if (aValues.count("settings") == 0) {
      return Fail(error_kind::SettingsInvalid,
                  fmt::format("{} needs --settings FILE", aCommand.mName));
    }
    BOOST_LEAF_ASSIGN(
      context.mSettings,
      LoadControlSettings(aValues["settings"].as<std::string>()));
  }
  return aCommand.mHandler(context);
}

int
RunCommand(const options::variables_map& aValues,
           std::vector<std::string> aWords)
{
  const auto found =
    std::find_if(kCommands.begin(), kCommands.end(), [&](const command& aOne) {
      return aOne.mName == aWords.front();
    });
  if (found == kCommands.end()) {
    std::vector<std::string> known;
    known.reserve(kCommands.size());
    for (const command& one : kCommands) {
      known.emplace_back(one.mName);
    }
    const std::optional<std::string> nearest =
      NearestWord(aWords.front(), known);
    return ReportUsageError(fmt::format(
      "unknown command \"{}\"{}",
      aWords.front(),
      nearest ? fmt::format("; did you mean \"{}\"?", *nearest) : ""));
  }
  aWords.erase(aWords.begin());
  if (aWords.size() < found->mMinArguments ||
      aWords.size() > found->mMaxArguments) {
    return ReportUsageError(
      fmt::format("usage: {} {}", found->mName, found->mArguments));
  }
  const outcome<int> ended =
    Capture<int>([&]() { return Execute(*found, aValues, std::move(aWords)); });
  return ended ? *ended.mValue : ReportFailure("primrosectl", ended.mFailure);
}

} // namespace

result<control_settings>
primrose::control::LoadControlSettings(const std::string& aFile)
{
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(aFile));
  BOOST_LEAF_ASSIGN(json const document, ParseSettings(text, aFile));
  settings_problems problems;
  object_reader reader(&document, "", problems);
  control_settings settings;
  settings.mPlatform = reader.RequiredText("platform");
  settings.mOperatorKey = reader.RequiredText("operator_key");
  settings.mGateways = reader.Texts("entries");
  reader.Finish();
  BOOST_LEAF_CHECK(RequireNoProblems(problems, aFile));
  return settings;
}

int
main(int argc, char** argv)
{
  options::options_description visible("Options");
  visible.add_options()("help", "print this help");
  visible.add_options()("version", "print the version");
  visible.add_options()(
    "settings", options::value<std::string>(), "where the fleet is");
  visible.add_options()("json", "print for a program");
  visible.add_options()("check", "read and check the settings file, then end");
  visible.add_options()("log-level",
                        options::value<std::string>()->default_value("error"),
                        "debug, info, warning or error");
  options::options_description all;
  all.add(visible).add_options()("words",
                                 options::value<std::vector<std::string>>());
  options::positional_options_description positions;
  positions.add("words", static_cast<int>(kMaxWords));
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                     .options(all)
                     .positional(positions)
                     .run(),
                   values);
  } catch (const options::error& problem) {
    return ReportUsageError(problem.what());
  }
  log_level level = log_level::Error;
  if (!ParseLogLevel(values["log-level"].as<std::string>(), level)) {
    return ReportUsageError(
      "--log-level: expected debug, info, warning or error");
  }
  StartLog("primrosectl", level);
  if (values.count("help") != 0) {
    PrintHelp(visible);
    return kExitSuccess;
  }
  if (values.count("version") != 0) {
    std::cout << "primrosectl " << PRIMROSE_VERSION << "\n";
    return kExitSuccess;
  }
  if (values.count("check") != 0 && values.count("settings") != 0) {
    const outcome<control_settings> read = Capture<control_settings>([&]() {
      return LoadControlSettings(values["settings"].as<std::string>());
    });
    return read ? kExitSuccess : ReportFailure("primrosectl", read.mFailure);
  }
  if (values.count("words") == 0) {
    return ReportUsageError("no command");
  }
  return RunCommand(values, values["words"].as<std::vector<std::string>>());
}
