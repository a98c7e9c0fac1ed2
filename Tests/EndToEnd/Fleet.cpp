#include "Fleet.h"

#include "LibSettings/LibSettings.h"
#include "LibStore/LibStore.h"

#include <cppunit/TestAssert.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <glib/gstdio.h>
#include <spdlog/fmt/fmt.h>

namespace primrose::test {

namespace {

constexpr const char* kCallerKey = "test-caller-key";
constexpr const char* kOperatorKey = "test-operator-key";
constexpr duration kPollInterval = std::chrono::milliseconds(20);
constexpr int kMaxPolls = 3000; ///< One minute at kPollInterval.

/// Returns the settings tree, with fast engines to keep the tests short.
json
MakeSettingsTree()
{
  return {
    { "values",
      { { "time_limit_s", 30 }, { "lease_s", 3 }, { "probe_timeout_s", 1 } } },
    { "models",
      { { "model",
          { { "engine_tokens", 400000 },
            { "prefill_tokens_per_s", 2000000 },
            { "base_step_s", 0.004 } } } } },
    { "services", { { "desk", { { "guarded_paths", { "/check-in" } } } } } },
    { "organisations",
      { { "tester", { { "key_sha256", { KeyHash(kCallerKey) } } } } } }
  };
}

} // namespace

fleet::fleet(main_loop& aLoop, const fleet_size& aSize)
  : mLoop(aLoop)
{
  gchar* const folder = g_dir_make_tmp("primrose-XXXXXX", nullptr);
  mFolder = folder;
  g_free(folder);
  std::ofstream(mFolder + "/tree.json") << MakeSettingsTree().dump();
  const auto startStandIn = [&](const std::string& aName,
                                const std::string& aRole) {
    WriteSettings(aName,
                  { { "name", aName },
                    { "http", "127.0.0.1:0" },
                    { "tree", "tree.json" },
                    { "serves", "model" },
                    { "address_file", aName + ".address" } });
    Start(aName,
          { "primrose-standin", "--face", aRole, "--list-lag-ms", "100" });
  };
  startStandIn("platform", "platform");
  for (int i = 1; i <= aSize.mEngines; ++i) {
    startStandIn(fmt::format("engine-{}", i), "engine");
    StartAgent(fmt::format("agent-{}", i), fmt::format("engine-{}", i), true);
  }
  for (int i = 1; i <= aSize.mServices; ++i) {
    startStandIn(fmt::format("service-{}", i), "service");
    StartAgent(
      fmt::format("desk-agent-{}", i), fmt::format("service-{}", i), false);
  }
  for (int i = 1; i <= aSize.mEntries; ++i) {
    const std::string name = fmt::format("entry-{}", i);
    WriteSettings(name, MakeNodeSettings(name));
    Start(name, { "primrose-entry" });
  }
  const std::size_t agents = static_cast<std::size_t>(aSize.mEngines) +
                             static_cast<std::size_t>(aSize.mServices);
  for (int i = 1; i <= aSize.mEntries; ++i) {
    const std::string name = fmt::format("entry-{}", i);
    WaitUntil("the entry has discovered all endpoints", [&]() {
      return GetJson(name, "/status")["endpoints"].size() == agents;
    });
  }
}

fleet::~fleet()
{
  for (auto& [name, one] : mProcesses) {
    g_subprocess_send_signal(one.mHandle, SIGCONT);
    g_subprocess_force_exit(one.mHandle);
    g_subprocess_wait(one.mHandle, nullptr, nullptr);
    g_object_unref(one.mHandle);
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

json
fleet::MakeNodeSettings(const std::string& aName) const
{
  return { { "name", aName },
           { "http", "127.0.0.1:0" },
           { "tree", "tree.json" },
           { "region", "region" },
           { "data_centre", "centre" },
           { "platform", Address("platform") },
           { "rpc_key", "test-rpc-key" },
           { "operator_key_sha256", KeyHash(kOperatorKey) },
           { "address_file", aName + ".address" } };
}

void
fleet::WriteSettings(const std::string& aName, const json& aSettings)
{
  std::ofstream(mFolder + "/" + aName + ".json") << aSettings.dump();
}

void
fleet::StartAgent(const std::string& aName,
                  const std::string& aStandIn,
                  bool aIsEngine)
{
  json settings = MakeNodeSettings(aName);
  settings["rpc"] = "127.0.0.1:0";
  settings["endpoint"] = Address(aStandIn);
  settings["endpoint_kind"] = aIsEngine ? "engine" : "service";
  settings["serves"] = aIsEngine ? "model" : "desk";
  WriteSettings(aName, settings);
  Start(aName, { "primrose-agent" });
  if (aIsEngine) {
    WaitUntil("the agent is ready",
              [&]() { return Get(aName, "/readyz").mStatus == 200; });
  }
  RegisterVm(aName,
             aIsEngine ? "engine" : "service",
             aIsEngine ? "model" : "desk",
             Address(aName, "rpc"));
}

void
fleet::RegisterVm(const std::string& aName,
                  const std::string& aKind,
                  const std::string& aServes,
                  const std::string& aAddress)
{
  const listed_endpoint listed{ aName,    aAddress, aServes,
                                "region", "centre", *ParseVmKind(aKind),
                                false };
  http_request request{ "PUT",
                        "http://" + Address("platform") + "/vms/" + aName };
  request.mBody = ToJson(listed).dump();
  Send(std::move(request));
}

void
fleet::Start(const std::string& aName, std::vector<std::string> aCommand)
{
  process& one = mProcesses[aName];
  one.mCommand = aCommand;
  const std::string file = mFolder + "/" + aName + ".address";
  g_remove(file.c_str());
  aCommand[0] = std::string(PRIMROSE_BIN) + "/" + aCommand[0];
  aCommand.insert(aCommand.end(),
                  { "--settings", mFolder + "/" + aName + ".json" });
  std::vector<const char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(argument.c_str());
  }
  arguments.push_back(nullptr);
  GError* error = nullptr;
  one.mHandle = g_subprocess_newv(
    arguments.data(), G_SUBPROCESS_FLAGS_STDERR_SILENCE, &error);
  CPPUNIT_ASSERT_MESSAGE(error == nullptr ? "" : error->message,
                         one.mHandle != nullptr);
  WaitUntil(aName + " listens", [&]() {
    std::ifstream addressFile(file);
    one.mAddresses = json::parse(addressFile, nullptr, false);
    return one.mAddresses.is_object();
  });
}

void
fleet::KillAndReplace(const std::string& aName)
{
  process& old = mProcesses.at(aName);
  g_subprocess_force_exit(old.mHandle);
  g_subprocess_wait(old.mHandle, nullptr, nullptr);
  g_object_unref(old.mHandle);
  const std::vector<std::string> command = old.mCommand;
  Start(aName, command);
  RegisterVm(aName, "engine", "model", Address(aName, "rpc"));
}

void
fleet::Signal(const std::string& aName, int aSignal)
{
  g_subprocess_send_signal(mProcesses.at(aName).mHandle, aSignal);
}

int
fleet::WaitForExitCode(const std::string& aName)
{
  GSubprocess* const handle = mProcesses.at(aName).mHandle;
  WaitUntil(aName + " ends",
            [&]() { return g_subprocess_get_identifier(handle) == nullptr; });
  return g_subprocess_get_if_exited(handle)
           ? g_subprocess_get_exit_status(handle)
           : -1;
}

std::string
fleet::Address(const std::string& aName, const std::string& aMember) const
{
  return mProcesses.at(aName).mAddresses.at(aMember).get<std::string>();
}

http_response
fleet::Send(http_request aRequest)
{
  constexpr duration kSendTimeout = std::chrono::seconds(60);
  return WithTimeout(mHttp.Send(std::move(aRequest)), kSendTimeout)
    .wait(mLoop.Scope());
}

http_response
fleet::Get(const std::string& aName, const std::string& aPath)
{
  http_request request{ "GET", "http://" + Address(aName) + aPath };
  request.mHeaders["Authorization"] = std::string("Bearer ") + kOperatorKey;
  return Send(std::move(request));
}

json
fleet::GetJson(const std::string& aName, const std::string& aPath)
{
  return json::parse(Get(aName, aPath).mBody);
}

void
fleet::InjectFaults(const std::string& aName, const json& aFaults)
{
  http_request request{ "POST", "http://" + Address(aName) + "/faults" };
  request.mBody = aFaults.dump();
  CPPUNIT_ASSERT_EQUAL(200U, Send(std::move(request)).mStatus);
}

http_request
fleet::Completion(int aEntry,
                  const std::string& aPrompt,
                  int aOutput,
                  bool aStream) const
{
  http_request request{ "POST",
                        fmt::format("http://{}/v1/completions",
                                    Address(fmt::format("entry-{}", aEntry))) };
  request.mHeaders["Authorization"] = std::string("Bearer ") + kCallerKey;
  request.mBody = json{
    { "model", "model" },
    { "prompt", aPrompt },
    { "max_tokens", aOutput },
    { "stream", aStream }
  }.dump();
  return request;
}

http_request
fleet::GuardedCall(int aEntry, const std::string& aKey) const
{
  http_request request{ "POST",
                        fmt::format("http://{}/services/desk/check-in",
                                    Address(fmt::format("entry-{}", aEntry))) };
  request.mHeaders["Authorization"] = std::string("Bearer ") + kCallerKey;
  request.mHeaders["Idempotency-Key"] = aKey;
  request.mBody = "{\"office\":7}";
  return request;
}

void
fleet::WaitUntil(const std::string& aDescription,
                 const std::function<bool()>& aCondition)
{
  for (int poll = 0; poll < kMaxPolls; ++poll) {
    bool satisfied = false;
    try {
      satisfied = aCondition();
    } catch (const kj::Exception&) {
      // The process may be starting or just killed; the condition is polled
      // again.
    } catch (const json::exception&) {
    }
    if (satisfied) {
      return;
    }
    Sleep(kPollInterval);
  }
  CPPUNIT_FAIL("condition not met within a minute: " + aDescription);
}

void
fleet::Sleep(duration aTime)
{
  Delay(aTime).wait(mLoop.Scope());
}

std::vector<std::string>
ParseEventData(const std::string& aBody)
{
  sse_parser parser;
  const outcome<std::vector<std::string>> events =
    Capture<std::vector<std::string>>([&]() { return parser.Feed(aBody); });
  return events.mValue.value_or(std::vector<std::string>());
}

std::string
JoinCompletionText(const std::vector<std::string>& aEvents)
{
  std::string text;
  for (const std::string& data : aEvents) {
    const json event = json::parse(data, nullptr, false);
    if (event.is_object() && event.contains("choices") &&
        event["choices"][0]["finish_reason"].is_null()) {
      text += event["choices"][0]["text"].get<std::string>();
    }
  }
  return text;
}

std::string
MakePrompt(std::size_t aTokens, const std::string& aSeed)
{
  std::string prompt = aSeed;
  while (prompt.size() < aTokens * 4) {
    prompt +=
      " " + std::to_string(
              Hash(prompt.substr(prompt.size() > 64 ? prompt.size() - 64 : 0)));
  }
  prompt.resize(aTokens * 4);
  return prompt;
}

std::string
ErrorKind(const http_response& aResponse)
{
  const json body = json::parse(aResponse.mBody, nullptr, false);
  return body.is_object() && body.contains("error")
           ? body["error"].value("kind", "")
           : "";
}

std::string
ErrorRan(const http_response& aResponse)
{
  const json body = json::parse(aResponse.mBody, nullptr, false);
  return body.is_object() && body.contains("error")
           ? body["error"].value("ran", "")
           : "";
}

} // namespace primrose::test
