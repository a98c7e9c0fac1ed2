/// primrose-entry: accepts callers' HTTP requests and places them on endpoints.

#include "EntryService.h"

#include "LibDaemon/LibDaemon.h"

#include <iostream>

using namespace primrose;
using namespace primrose::entry;

namespace {

/// Large enough for a prompt of a million tokens: about 4 MB of text, of which
/// JSON escaping can double the size.
constexpr std::size_t kMaxBodyBytes = std::size_t{ 12 } * 1024 * 1024;

result<int>
Start(const common_options& aOptions)
{
  BOOST_LEAF_ASSIGN(node_settings const settings,
                    LoadNodeSettings(aOptions.mSettingsFile, node_role::Entry));
  BOOST_LEAF_ASSIGN(settings_tree const tree, LoadTree(settings.mTree));
  BOOST_LEAF_ASSIGN(ip_address const http, ParseAddress(settings.mHttp));
  if (aOptions.mCheckOnly) {
    std::cout << aOptions.mSettingsFile << ": good\n";
    return kExitSuccess;
  }
  StartLog(settings.mName, aOptions.mLogLevel);
  const system_clock_source clock;
  main_loop loop;
  entry_service service(
    clock, settings, tree, [&]() { loop.QuitAfterDelay(); });
  BOOST_LEAF_ASSIGN(
    std::unique_ptr<http_server> const server,
    http_server::Open(http.mHost,
                      http.mPort,
                      kMaxBodyBytes,
                      [&](std::shared_ptr<http_exchange> aExchange) {
                        service.Handle(std::move(aExchange));
                      }));
  const std::string boundAddress =
    ip_address{ http.mHost, server->Port() }.Text();
  BOOST_LEAF_CHECK(WriteAddressFile(settings.mAddressFile,
                                    { { "role", "entry" },
                                      { "name", settings.mName },
                                      { "http", boundAddress } }));
  Log(log_level::Info, "listening", { { "http", boundAddress } });
  loop.OnTerminate([&service]() { service.Drain(); });
  service.Start();
  return loop.Run();
}

} // namespace

int
main(int argc, char** argv)
{
  const program_description program{ "primrose-entry",
                                     PRIMROSE_VERSION,
                                     "takes callers' requests" };
  return RunProgram(argc, argv, program, &Start);
}
