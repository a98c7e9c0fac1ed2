/// primrose-soak: runs real gateway processes under injected faults and checks
/// every guarantee against the records of callers and endpoints.

#include "SoakEnvironment.h"

#include "LibDaemon/CommandLine.h"
#include "LibObserve/LibObserve.h"

#include <glib.h>
#include <iostream>
#include <map>

using namespace primrose;
using namespace primrose::soak;

namespace {

namespace options = boost::program_options;

constexpr double kMinCallsServed = 0.75;
constexpr double kMinStreamsServed = 0.5;

struct soak_options
{
  std::uint64_t mSeed = 1;
  unsigned mSeconds = 20;
  soak_size mSize;
  std::string mProgram;
  bool mUntimed = false;
};

/// True if a run served enough to be judged by: more than this share of the
/// requests that could be served. Streams can be cut or displaced by larger
/// ones, calls only fail with a faulty endpoint.
bool
IsEnough(const served_share& aShare, double aMinShare)
{
  return aShare.mPossible > 0 &&
         static_cast<double>(aShare.mServed) >
           aMinShare * static_cast<double>(aShare.mPossible);
}

int
Report(const soak_history& aHistory, const std::string& aFolder)
{
  std::map<unsigned, std::size_t> byStatus;
  for (const request_record& request : aHistory.mRequests) {
    ++byStatus[request.mStatus];
  }
  std::cout << "requests=" << aHistory.mRequests.size();
  for (const auto& [status, count] : byStatus) {
    std::cout << " status_" << status << "=" << count;
  }
  std::cout << '\n';
  const std::vector<guarantee_violation> violations = CheckHistory(aHistory);
  for (const guarantee_violation& one : violations) {
    std::cout << "broken request=" << one.mRequest << " what=\"" << one.mWhat
              << "\"\n";
    for (const request_record& request : aHistory.mRequests) {
      if (request.mId == one.mRequest) {
        const auto executions = aHistory.mExecutions.find(request.mId);
        std::cout << "  entry=" << request.mGateway + 1
                  << " kind=" << static_cast<int>(request.mKind)
                  << " status=" << request.mStatus << " took_ms="
                  << Milliseconds(request.mEndedAt - request.mSentAt)
                  << " bytes=" << request.mBytesReceived << " runs="
                  << (executions == aHistory.mExecutions.end()
                        ? 0
                        : executions->second)
                  << "; its story: grep request=" << request.mId << ' '
                  << aFolder << "/entry-" << request.mGateway + 1 << ".log.*\n";
      }
    }
  }
  const served_share calls = CallsServed(aHistory);
  const served_share streams = StreamsServed(aHistory);
  std::cout << "calls_served=" << calls.mServed << " of=" << calls.mPossible
            << " streams_served=" << streams.mServed
            << " of=" << streams.mPossible << '\n';
  const bool served =
    IsEnough(calls, kMinCallsServed) && IsEnough(streams, kMinStreamsServed);
  std::cout << "logs=" << aFolder << " broken=" << violations.size()
            << (served ? "" : " served=too_little") << '\n';
  return violations.empty() && served ? kExitSuccess : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  soak_options soakOptions;
  options::options_description known("Options");
  known.add_options()("help", "print this help");
  known.add_options()("seed",
                      options::value<std::uint64_t>(&soakOptions.mSeed),
                      "of the plan of faults");
  known.add_options()("seconds",
                      options::value<unsigned>(&soakOptions.mSeconds),
                      "of load under faults");
  known.add_options()("entries",
                      options::value<std::size_t>(&soakOptions.mSize.mGateways),
                      "gateway processes, 100 at most");
  known.add_options()("untimed",
                      options::bool_switch(&soakOptions.mUntimed),
                      "judge no bounds of time");
  known.add_options()(
    "program",
    options::value<std::string>(&soakOptions.mProgram)->required(),
    "the gateway's program");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    if (values.count("help") != 0) {
      std::cout << known;
      return kExitSuccess;
    }
    options::notify(values);
  } catch (const options::error& problem) {
    std::cerr << "primrose-soak: " << problem.what() << '\n';
    return kExitUsage;
  }
  StartLog("soak", log_level::Error);
  gchar* const madeFolder = g_dir_make_tmp("primrose-soak-XXXXXX", nullptr);
  const std::string folder = madeFolder;
  g_free(madeFolder);
  std::cout << "seed=" << soakOptions.mSeed
            << " seconds=" << soakOptions.mSeconds
            << " entries=" << soakOptions.mSize.mGateways << '\n';
  soak_environment environment(
    soakOptions.mProgram, folder, soakOptions.mSeed, soakOptions.mSize);
  environment.Run(std::chrono::seconds(soakOptions.mSeconds),
                  soakOptions.mSeed);
  soak_history history = environment.History();
  history.mCheckTimes = !soakOptions.mUntimed;
  return Report(history, folder);
}
