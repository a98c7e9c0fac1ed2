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
constexpr duration kPause = std::chrono::milliseconds(20);
constexpr int kLooks = 3000; ///< A minute of pauses.

/// Fast engines, so that tests take no longer than they must.
json
Tree()
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
  std::ofstream(mFolder + "/tree.json") << Tree().dump();
  const auto standIn = [&](const std::string& aName, const std::string& aFace) {
    WriteSettings(aName,
                  { { "name", aName },
                    { "http", "127.0.0.1:0" },
                    { "tree", "tree.json" },
                    { "serves", "model" },
                    { "address_file", aName + ".address" } });
    Start(aName,
          { "primrose-standin", "--face", aFace, "--list-lag-ms", "100" });
  };
  standIn("platform", "platform");
  for (int i = 1; i <= aSize.mEngines; ++i) {
    standIn(fmt::format("engine-{}", i), "engine");
    StartAgent(fmt::format("agent-{}", i), fmt::format("engine-{}", i), true);
  }
  for (int i = 1; i <= aSize.mServices; ++i) {
    standIn(fmt::format("service-{}", i), "service");
    StartAgent(
      fmt::format("desk-agent-{}", i), fmt::format("service-{}", i), false);
  }
  for (int i = 1; i <= aSize.mEntries; ++i) {
    const std::string name = fmt::format("entry-{}", i);
    WriteSettings(name, NodeSettings(name));
    Start(name, { "primrose-entry" });
  }
  const std::size_t agents = static_cast<std::size_t>(aSize.mEngines) +
                             static_cast<std::size_t>(aSize.mServices);
  for (int i = 1; i <= aSize.mEntries; ++i) {
    const std::string name = fmt::format("entry-{}", i);
    Until("the entry knows all endpoints", [&]() {
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
fleet::NodeSettings(const std::string& aName) const
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
  json settings = NodeSettings(aName);
  settings["rpc"] = "127.0.0.1:0";
  settings["endpoint"] = Address(aStandIn);
  settings["endpoint_kind"] = aIsEngine ? "engine" : "service";
  settings["serves"] = aIsEngine ? "model" : "desk";
  WriteSettings(aName, settings);
  Start(aName, { "primrose-agent" });
  if (aIsEngine) {
    Until("the agent is ready",
          [&]() { return Get(aName, "/readyz").mStatus == 200; });
  }
  ListVm(aName,
         aIsEngine ? "engine" : "service",
         aIsEngine ? "model" : "desk",
         Address(aName, "rpc"));
}

void
fleet::ListVm(const std::string& aName,
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
  std::vector<const char*> words;
  words.reserve(aCommand.size() + 1);
  for (const std::string& word : aCommand) {
    words.push_back(word.c_str());
  }
  words.push_back(nullptr);
  GError* error = nullptr;
  one.mHandle =
    g_subprocess_newv(words.data(), G_SUBPROCESS_FLAGS_STDERR_SILENCE, &error);
  CPPUNIT_ASSERT_MESSAGE(error == nullptr ? "" : error->message,
                         one.mHandle != nullptr);
  Until(aName + " listens", [&]() {
    std::ifstream read(file);
    one.mAddresses = json::parse(read, nullptr, false);
    return one.mAddresses.is_object();
  });
}

void
fleet::Replace(const std::string& aName)
{
  process& old = mProcesses.at(aName);
  g_subprocess_force_exit(old.mHandle);
  g_subprocess_wait(old.mHandle, nullptr, nullptr);
  g_object_unref(old.mHandle);
  const std::vector<std::string> command = old.mCommand;
  Start(aName, command);
  ListVm(aName, "engine", "model", Address(aName, "rpc"));
}

void
fleet::Signal(const std::string& aName, int aSignal)
{
  g_subprocess_send_signal(mProcesses.at(aName).mHandle, aSignal);
}

int
fleet::ExitCode(const std::string& aName)
{
  GSubprocess* const handle = mProcesses.at(aName).mHandle;
  Until(aName + " ends",
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
  constexpr duration kLimit = std::chrono::seconds(60);
  return WithTimeout(mHttp.Send(std::move(aRequest)), kLimit)
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
fleet::Fault(const std::string& aName, const json& aFaults)
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
fleet::Guarded(int aEntry, const std::string& aKey) const
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
fleet::Until(const std::string& aWhat, const std::function<bool()>& aHolds)
{
  for (int look = 0; look < kLooks; ++look) {
    bool holds = false;
    try {
      holds = aHolds();
    } catch (const kj::Exception&) {
      // Whoever is asked may be starting or just killed; asked again.
    } catch (const json::exception&) {
    }
    if (holds) {
      return;
    }
    Sleep(kPause);
  }
  CPPUNIT_FAIL("waited in vain: " + aWhat);
}

void
fleet::Sleep(duration aTime)
{
  Delay(aTime).wait(mLoop.Scope());
}

std::vector<std::string>
EventsOf(const std::string& aBody)
{
  sse_parser parser;
  const outcome<std::vector<std::string>> events =
    Capture<std::vector<std::string>>([&]() { return parser.Feed(aBody); });
  return events.mValue.value_or(std::vector<std::string>());
}

std::string
TextOf(const std::vector<std::string>& aEvents)
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
PromptOf(std::size_t aTokens, const std::string& aSeed)
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
