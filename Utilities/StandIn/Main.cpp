/// primrose-standin: stands in for the outside systems in tests and in the
/// first run: a model engine, a plain service, or the platform.

#include "Emulator.h"

#include "LibDaemon/LibDaemon.h"

#include <cstdlib>
#include <iostream>
#include <kj/async.h>

using namespace primrose;
using namespace primrose::standin;

namespace {

constexpr std::size_t kLargestBody = std::size_t{ 64 } * 1024 * 1024;
constexpr std::int64_t kDefaultListLagMs = 2000;

class stand_in
{
public:
  explicit stand_in(std::unique_ptr<face> aFace)
    : mFace(std::move(aFace))
  {
  }

  void Handle(exchange aExchange)
  {
    if (aExchange->Path() == "/faults") {
      Guarded(aExchange, [&]() { return SetFaults(aExchange); });
      return;
    }
    const faults& active = mFace->mFaults;
    if (active.mSilent) {
      mHeldOpenExchanges.push_back(std::move(aExchange));
      return;
    }
    if (active.mDown || active.mRefuse > 0) {
      mFace->mFaults.mRefuse -= active.mDown ? 0 : 1;
      aExchange->AnswerFailure({ error_kind::Overloaded,
                                 "a fault is switched on",
                                 ran_state::No,
                                 std::nullopt });
      return;
    }
    if (active.mSlowMs > 0) {
      mTasks.add(Delay(std::chrono::milliseconds(active.mSlowMs))
                   .then([this, aExchange]() { mFace->Handle(aExchange); }));
      return;
    }
    mFace->Handle(aExchange);
  }

private:
  result<void> SetFaults(const exchange& aExchange)
  {
    if (aExchange->Method() == "POST") {
      BOOST_LEAF_ASSIGN(mFace->mFaults,
                        ReadFaults(mFace->mFaults, aExchange->Body()));
      mFace->FaultsChanged();
      if (mFace->mFaults.mDie) {
        std::_Exit(kExitFailure);
      }
    }
    AnswerJson(aExchange, ToJson(mFace->mFaults));
    return {};
  }

  std::unique_ptr<face> mFace;
  std::vector<exchange> mHeldOpenExchanges;
  task_failure_logger mFailures;
  kj::TaskSet mTasks{ mFailures };
};

result<std::unique_ptr<face>>
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
  BOOST_LEAF_ASSIGN(std::unique_ptr<face> made,
                    MakeEmulator(kind, settings, listLag, clock));
  BOOST_LEAF_ASSIGN(ip_address const address, ParseAddress(settings.mHttp));
  if (aOptions.mCheckOnly) {
    std::cout << aOptions.mSettingsFile << ": good\n";
    return kExitSuccess;
  }
  StartLog(settings.mName, aOptions.mLogLevel);
  stand_in standIn(std::move(made));
  BOOST_LEAF_ASSIGN(
    std::unique_ptr<http_server> server,
    http_server::Open(
      address.mHost, address.mPort, kLargestBody, [&](exchange aExchange) {
        standIn.Handle(std::move(aExchange));
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
