/// primrose-standin: emulates an external system (a model engine, a plain
/// service or the platform) in tests and in the first run.

#include "Emulator.h"

#include "LibDaemon/LibDaemon.h"

#include <cstdlib>
#include <iostream>
#include <kj/async.h>

using namespace primrose;
using namespace primrose::standin;

namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } * 1024 * 1024;
constexpr std::int64_t kDefaultListLagMs = 2000;

/// Passes requests to the emulator, except those that a switched-on fault
/// intercepts.
class faulty_server
{
public:
  explicit faulty_server(std::unique_ptr<emulator> aEmulator)
    : mEmulator(std::move(aEmulator))
  {
  }

  void Handle(exchange aExchange)
  {
    if (aExchange->Path() == "/faults") {
      AnswerIfFailed(aExchange, [&]() { return SetFaults(aExchange); });
      return;
    }
    const faults& active = mEmulator->mFaults;
    if (active.mSilent) {
      mHeldOpenExchanges.push_back(std::move(aExchange));
      return;
    }
    if (active.mDown || active.mRefuse > 0) {
      mEmulator->mFaults.mRefuse -= active.mDown ? 0 : 1;
      aExchange->AnswerFailure({ error_kind::Overloaded,
                                 "a fault is switched on",
                                 ran_state::No,
                                 std::nullopt });
      return;
    }
    if (active.mSlowMs > 0) {
      mTasks.add(
        Delay(std::chrono::milliseconds(active.mSlowMs))
          .then([this, aExchange]() { mEmulator->Handle(aExchange); }));
      return;
    }
    mEmulator->Handle(aExchange);
  }

private:
  result<void> SetFaults(const exchange& aExchange)
  {
    if (aExchange->Method() == "POST") {
      BOOST_LEAF_ASSIGN(mEmulator->mFaults,
                        ReadFaults(mEmulator->mFaults, aExchange->Body()));
      mEmulator->FaultsChanged();
      if (mEmulator->mFaults.mDie) {
        std::_Exit(kExitFailure);
      }
    }
    AnswerJson(aExchange, ToJson(mEmulator->mFaults));
    return {};
  }

  std::unique_ptr<emulator> mEmulator;
  std::vector<exchange> mHeldOpenExchanges;
  task_failure_logger mFailures;
  kj::TaskSet mTasks{ mFailures };
};

result<std::unique_ptr<emulator>>
MakeEmulator(const std::string& aKind,
             const node_settings& aSettings,
             duration aListLag,
             const clock_source& aClock)
{
  if (aKind == "platform") {
    return MakePlatformEmulator(aClock, aListLag);
  }
  if (aKind == "service") {
    return MakeServiceEmulator();
  }
  if (aKind != "engine") {
    return Fail(error_kind::SettingsInvalid,
                "--face: expected engine, service or platform, found \"" +
                  aKind + "\"");
  }
  BOOST_LEAF_ASSIGN(settings_tree const tree, LoadTree(aSettings.mTree));
  const model_settings* const model = tree.Model(aSettings.mServes);
  if (model == nullptr) {
    return Fail(error_kind::SettingsInvalid,
                "serves: no model \"" + aSettings.mServes + "\" in the tree");
  }
  return MakeEngineEmulator(aClock, *model);
}

result<int>
Start(const common_options& aOptions)
{
  BOOST_LEAF_ASSIGN(
    node_settings const settings,
    LoadNodeSettings(aOptions.mSettingsFile, node_role::StandIn));
  const std::string kind = aOptions.mValues["face"].as<std::string>();
  const duration listLag = std::chrono::milliseconds(
    aOptions.mValues["list-lag-ms"].as<std::int64_t>());
  const system_clock_source clock;
  main_loop loop;
  BOOST_LEAF_ASSIGN(std::unique_ptr<emulator> emulated,
                    MakeEmulator(kind, settings, listLag, clock));
  BOOST_LEAF_ASSIGN(ip_address const address, ParseAddress(settings.mHttp));
  if (aOptions.mCheckOnly) {
    std::cout << aOptions.mSettingsFile << ": good\n";
    return kExitSuccess;
  }
  StartLog(settings.mName, aOptions.mLogLevel);
  faulty_server faultyServer(std::move(emulated));
  BOOST_LEAF_ASSIGN(
    std::unique_ptr<http_server> server,
    http_server::Open(
      address.mHost, address.mPort, kMaxBodyBytes, [&](exchange aExchange) {
        faultyServer.Handle(std::move(aExchange));
      }));
  const std::string bound = ip_address{ address.mHost, server->Port() }.Text();
  BOOST_LEAF_CHECK(WriteAddressFile(settings.mAddressFile,
                                    { { "role", "standin-" + kind },
                                      { "name", settings.mName },
                                      { "http", bound } }));
  Log(log_level::Info, "listening", { { "http", bound }, { "face", kind } });
  return loop.Run();
}

} // namespace

int
main(int argc, char** argv)
{
  program_description program{
    "primrose-standin",
    PRIMROSE_VERSION,
    "stands in for a model engine, a plain service or the platform"
  };
  program.mExtraOptions.add_options()(
    "face",
    boost::program_options::value<std::string>()->default_value("engine"),
    "engine, service or platform");
  program.mExtraOptions.add_options()(
    "list-lag-ms",
    boost::program_options::value<std::int64_t>()->default_value(
      kDefaultListLagMs),
    "platform: how late a change shows in the list of VMs");
  return RunProgram(argc, argv, program, &Start);
}
