/// primrose-soak: real gateways under faults from outside, with every promise
/// checked from what callers and endpoints saw.

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

struct soak_options
{
  std::uint64_t mSeed = 1;
  unsigned mSeconds = 20;
  soak_size mSize;
  std::string mProgram;
  bool mUntimed = false;
};

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
  const std::vector<guarantee_violation> broken = CheckHistory(aHistory);
  for (const guarantee_violation& one : broken) {
    std::cout << "broken request=" << one.mRequest << " what=\"" << one.mWhat
              << "\"\n";
    for (const request_record& request : aHistory.mRequests) {
      if (request.mId == one.mRequest) {
        const auto runs = aHistory.mRuns.find(request.mId);
        std::cout << "  entry=" << request.mEntry + 1
                  << " kind=" << static_cast<int>(request.mKind)
                  << " status=" << request.mStatus
                  << " took_ms=" << Milliseconds(request.mEnded - request.mSent)
                  << " bytes=" << request.mBytes << " runs="
                  << (runs == aHistory.mRuns.end() ? 0 : runs->second)
                  << "; its story: grep request=" << request.mId << ' '
                  << aFolder << "/entry-" << request.mEntry + 1 << ".log.*\n";
      }
    }
  }
  // A soak in which hardly anything was served proves nothing.
  const bool served = byStatus[200] * 2 > aHistory.mRequests.size() &&
                      !aHistory.mRequests.empty();
  std::cout << "logs=" << aFolder << " broken=" << broken.size()
            << (served ? "" : " served=too_little") << '\n';
  return broken.empty() && served ? kExitSuccess : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  soak_options asked;
  options::options_description known("Options");
  known.add_options()("help", "print this help");
  known.add_options()("seed",
                      options::value<std::uint64_t>(&asked.mSeed),
                      "of the plan of faults");
  known.add_options()("seconds",
                      options::value<unsigned>(&asked.mSeconds),
                      "of load under faults");
  known.add_options()("entries",
                      options::value<std::size_t>(&asked.mSize.mEntries),
                      "gateway processes, 100 at most");
  known.add_options()("untimed",
                      options::bool_switch(&asked.mUntimed),
                      "judge no bounds of time");
  known.add_options()("program",
                      options::value<std::string>(&asked.mProgram)->required(),
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
  gchar* const made = g_dir_make_tmp("primrose-soak-XXXXXX", nullptr);
  const std::string folder = made;
  g_free(made);
  std::cout << "seed=" << asked.mSeed << " seconds=" << asked.mSeconds
            << " entries=" << asked.mSize.mEntries << '\n';
  soak_environment world(asked.mProgram, folder, asked.mSeed, asked.mSize);
  world.Run(std::chrono::seconds(asked.mSeconds), asked.mSeed);
  soak_history history = world.History();
  history.mTimed = !asked.mUntimed;
  return Report(history, folder);
}
