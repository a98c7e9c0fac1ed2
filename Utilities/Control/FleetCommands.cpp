#include "Control.h"

#include <iostream>
#include <spdlog/fmt/fmt.h>
#include <sstream>

namespace primrose::control {

namespace {

constexpr unsigned kGood = 200;
constexpr duration kOperatorRequestTimeout = std::chrono::seconds(5);

/// The JSON of an entry's answer, or a failure with what it said.
result<json>
FetchJson(control_context& aContext, const std::string& aUrl)
{
  BOOST_LEAF_ASSIGN(http_response const response, Ask(aContext, "GET", aUrl));
  BOOST_LEAF_ASSIGN(json body, ParseObject(response.mBody));
  if (response.mStatus != kGood) {
    return Fail(error_kind::EndpointFailed,
                body.contains("error")
                  ? body["error"].value("message", response.mBody)
                  : response.mBody);
  }
  return body;
}

std::optional<json>
FetchStatus(control_context& aContext, const std::string& aEntry)
{
  outcome<json> status = Capture<json>(
    [&]() { return FetchJson(aContext, "http://" + aEntry + "/status"); });
  return status.mValue;
}

void
PrintGateway(const std::string& aAddress, const json& aStatus)
{
  std::cout << fmt::format("{} at {} ({}): {} in flight, settings revision "
                           "{}{}\n",
                           aStatus.value("name", "?"),
                           aAddress,
                           aStatus.value("data_centre", "?"),
                           aStatus.value("in_flight", 0),
                           aStatus.value("settings_revision", 0),
                           aStatus.value("leaving", false) ? ", leaving" : "");
  for (const json& endpoint : aStatus.value("endpoints", json::array())) {
    std::cout << fmt::format("  {:<20}{:<9}{:<16}{:<12}{:<9}{}\n",
                             endpoint.value("name", "?"),
                             endpoint.value("kind", "?"),
                             endpoint.value("serves", "?"),
                             endpoint.value("data_centre", "?"),
                             endpoint.value("state", "?"),
                             endpoint.value("address", "?"));
  }
}

void
PrintDecision(const json& aDecision)
{
  std::cout << fmt::format("{:<8}{} (settings revision {})\n",
                           aDecision.value("decision", "?"),
                           aDecision.value("text", ""),
                           aDecision.value("revision", 0));
  for (const json& one : aDecision.value("alternatives", json::array())) {
    std::cout << fmt::format("          {:<20}score {:<10.4g}{}\n",
                             one.value("name", "?"),
                             one.value("score", 0.0),
                             one.value("note", ""));
  }
  for (const json& cause : aDecision.value("settings", json::array())) {
    std::cout << fmt::format("          because {} = {:g}, set at {}\n",
                             cause.value("setting", "?"),
                             cause.value("value", 0.0),
                             cause.value("from", "?"));
  }
}

} // namespace

result<http_response>
Ask(control_context& aContext,
    const std::string& aMethod,
    const std::string& aUrl,
    const std::string& aBody)
{
  http_request request{ aMethod, aUrl };
  request.mBody = aBody;
  request.mHeaders.emplace("Authorization",
                           "Bearer " + aContext.mSettings.mOperatorKey);
  try {
    return WithTimeout(aContext.mHttp.Send(std::move(request)),
                       kOperatorRequestTimeout)
      .wait(aContext.mLoop.Scope());
  } catch (const kj::Exception& problem) {
    return Fail(error_kind::EndpointFailed,
                fmt::format("{}: {}", aUrl, problem.getDescription().cStr()));
  }
}

result<int>
ShowStatus(control_context& aContext)
{
  json all = json::object();
  for (const std::string& entry : aContext.mSettings.mEntries) {
    const std::optional<json> status = FetchStatus(aContext, entry);
    all[entry] = status.value_or(json(nullptr));
    if (aContext.mJson) {
      continue;
    }
    if (status) {
      PrintGateway(entry, *status);
    } else {
      std::cout << entry << " does not answer\n";
    }
  }
  if (aContext.mJson) {
    std::cout << all.dump(2) << "\n";
  }
  return kExitSuccess;
}

result<int>
ExplainRequest(control_context& aContext)
{
  const std::string& request = aContext.mArguments[0];
  const std::string owner(OwnerOf(request));
  failure why{ error_kind::NotFound,
               "no entry is named in the settings",
               ran_state::No,
               std::nullopt };
  for (const std::string& entry : aContext.mSettings.mEntries) {
    // The request's id names the entry that knows it; others are asked only
    // as long as that one has not been found.
    const outcome<json> answer = Capture<json>([&]() {
      return FetchJson(aContext,
                       fmt::format("http://{}/explain/{}", entry, request));
    });
    if (!answer) {
      why = answer.mFailure;
      continue;
    }
    if (aContext.mJson) {
      std::cout << answer.mValue->dump(2) << "\n";
      return kExitSuccess;
    }
    std::cout << fmt::format("{} at {}\n", request, owner);
    for (const json& decision : (*answer.mValue)["decisions"]) {
      PrintDecision(decision);
    }
    return kExitSuccess;
  }
  return Fail(why);
}

result<int>
DrainNode(control_context& aContext)
{
  const std::string& address = aContext.mArguments[0];
  BOOST_LEAF_ASSIGN(http_response const response,
                    Ask(aContext, "POST", "http://" + address + "/drain"));
  if (response.mStatus != kGood) {
    return Fail(error_kind::EndpointFailed, response.mBody);
  }
  std::cout << address << " drains: " << response.mBody << "\n";
  return kExitSuccess;
}

result<int>
ListVm(control_context& aContext)
{
  const std::vector<std::string>& words = aContext.mArguments;
  const std::optional<vm_kind> kind = ParseVmKind(words[1]);
  if (!kind) {
    return Fail(error_kind::SettingsInvalid,
                "expected engine, service or entry, found \"" + words[1] +
                  "\"");
  }
  const listed_endpoint endpoint{ words[0], words[3], words[2], words[4],
                                  words[5], *kind,    false };
  BOOST_LEAF_ASSIGN(
    http_response const response,
    Ask(aContext,
        "PUT",
        "http://" + aContext.mSettings.mPlatform + "/vms/" + words[0],
        ToJson(endpoint).dump()));
  return response.mStatus == kGood ? kExitSuccess : kExitFailure;
}

result<int>
ShowMetric(control_context& aContext)
{
  const std::string url = "http://" + aContext.mArguments[0] + "/metrics";
  BOOST_LEAF_ASSIGN(http_response const response, Ask(aContext, "GET", url));
  const std::string wanted = aContext.mArguments[1] + " ";
  std::istringstream lines(response.mBody);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(wanted)) {
      std::cout << line.substr(wanted.size()) << "\n";
      return kExitSuccess;
    }
  }
  return Fail(error_kind::NotFound, url + " has no " + aContext.mArguments[1]);
}

result<int>
WaitFor(control_context& aContext)
{
  const double wanted = ParseNumber(aContext.mArguments[0]).value_or(0);
  const double seconds = ParseNumber(aContext.mArguments[1]).value_or(0);
  constexpr duration kPause = std::chrono::milliseconds(200);
  const system_clock_source clock;
  const time_point end = clock.Now() + FromSeconds(seconds);
  while (clock.Now() < end) {
    bool all = true;
    for (const std::string& entry : aContext.mSettings.mEntries) {
      const std::optional<json> status = FetchStatus(aContext, entry);
      all = all && status &&
            static_cast<double>((*status)["endpoints"].size()) >= wanted;
    }
    if (all) {
      return kExitSuccess;
    }
    Delay(kPause).wait(aContext.mLoop.Scope());
  }
  return Fail(error_kind::DeadlineExceeded,
              "not every entry knows all the endpoints in time");
}

} // namespace primrose::control
