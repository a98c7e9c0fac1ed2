/// primrose-agent: runs beside an endpoint; all requests to the endpoint pass
/// through it.

#include "AgentServer.h"

#include "LibDaemon/LibDaemon.h"

#include <iostream>

using namespace primrose;
using namespace primrose::agent;

namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } * 1024;
constexpr const char* kJsonType = "application/json";

void
HandleHttp(agent_service& aService, http_exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  if (path == "/healthz") {
    aExchange.Answer(200, "text/plain", "ok\n");
  } else if (path == "/readyz") {
    const bool ready = aService.IsReady();
    aExchange.Answer(
      ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    aExchange.Answer(200, "text/plain; version=0.0.4", aService.Metrics());
  } else if (path == "/status") {
    aExchange.Answer(200, kJsonType, aService.Status().dump());
  } else if (path == "/drain" && aExchange.Method() == "POST") {
    const bool allowed = aService.IsOperator(aExchange.BearerKey());
    if (!allowed) {
      aExchange.AnswerFailure({ error_kind::Forbidden,
                                "draining needs the operators' key",
                                ran_state::No,
                                std::nullopt });
      return;
    }
    aService.Drain();
    aExchange.Answer(
      200, kJsonType, json{ { "in_flight", aService.InFlight() } }.dump());
  } else {
    aExchange.AnswerFailure(
      { error_kind::NotFound, path, ran_state::No, std::nullopt });
  }
}

result<int>
Start(const common_options& aOptions)
{
  BOOST_LEAF_ASSIGN(node_settings const settings,
                    LoadNodeSettings(aOptions.mSettingsFile, node_role::Agent));
  BOOST_LEAF_ASSIGN(settings_tree const tree, LoadTree(settings.mTree));
  BOOST_LEAF_ASSIGN(ip_address const rpc, ParseAddress(settings.mRpc));
  BOOST_LEAF_ASSIGN(ip_address const http, ParseAddress(settings.mHttp));
  if (aOptions.mCheckOnly) {
    std::cout << aOptions.mSettingsFile << ": good\n";
    return kExitSuccess;
  }
  StartLog(settings.mName, aOptions.mLogLevel);
  const system_clock_source clock;
  main_loop loop;
  agent_service service(
    clock, settings, tree, [&loop]() { loop.QuitAfterDelay(); });
  BOOST_LEAF_ASSIGN(std::unique_ptr<rpc_server> const rpcServer,
                    rpc_server::Open(rpc, MakeGate(service)));
  BOOST_LEAF_ASSIGN(
    std::unique_ptr<http_server> const httpServer,
    http_server::Open(http.mHost,
                      http.mPort,
                      kMaxBodyBytes,
                      [&](std::shared_ptr<http_exchange> aExchange) {
                        HandleHttp(service, *aExchange);
                      }));
  const std::string httpBound =
    ip_address{ http.mHost, httpServer->Port() }.Text();
  BOOST_LEAF_CHECK(WriteAddressFile(settings.mAddressFile,
                                    { { "role", "agent" },
                                      { "name", settings.mName },
                                      { "http", httpBound },
                                      { "rpc", rpcServer->Address().Text() },
                                      { "standin", settings.mEndpoint } }));
  Log(log_level::Info,
      "listening",
      { { "rpc", rpcServer->Address().Text() }, { "http", httpBound } });
  loop.OnTerminate([&service]() { service.Drain(); });
  service.Start();
  return loop.Run();
}

} // namespace

int
main(int argc, char** argv)
{
  const program_description program{ "primrose-agent",
                                     PRIMROSE_VERSION,
                                     "the only way to one endpoint" };
  return RunProgram(argc, argv, program, &Start);
}
