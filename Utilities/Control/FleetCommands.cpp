#include "Control.h"

#include <iostream>
#include <spdlog/fmt/fmt.h>
#include <sstream>

namespace primrose::control {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr duration kOperatorRequestTimeout = std::chrono::seconds(5);

/// Sends a GET request and parses the JSON answer. An answer other than 200
/// becomes a failure with the error message of its body.
result<json>
FetchJson(control_context& aContext, const std::string& aUrl)
{
  BOOST_LEAF_ASSIGN(http_response const response,
                    SendOperatorRequest(aContext, "GET", aUrl));
  BOOST_LEAF_ASSIGN(json body, ParseObject(response.mBody));
  if (response.mStatus != kStatusOk) {
    return Fail(error_kind::EndpointFailed,
                body.contains("error")
                  ? body["error"].value("message", response.mBody)
                  : response.mBody);
  }
  return body;
}

std::optional<json>
FetchStatus(control_context& aContext, const std::string& aGateway)
{
  outcome<json> status = Capture<json>(
    [&]() { return FetchJson(aContext, "http://" + aGateway + "/status"); });
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
  for (const json& alternative :
       aDecision.value("alternatives", json::array())) {
    std::cout << fmt::format("          {:<20}score {:<10.4g}{}\n",
                             alternative.value("name", "?"),
                             alternative.value("score", 0.0),
                             alternative.value("note", ""));
  }
  for (const json& setting : aDecision.value("settings", json::array())) {
    std::cout << fmt::format("          because {} = {:g}, set at {}\n",
                             setting.value("setting", "?"),
                             setting.value("value", 0.0),
                             setting.value("from", "?"));
  }
}

} // namespace

result<http_response>
SendOperatorRequest(control_context& aContext,
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
  json statuses = json::object();
  for (const std::string& gateway : aContext.mSettings.mGateways) {
    const std::optional<json> status = FetchStatus(aContext, gateway);
    statuses[gateway] = status.value_or(json(nullptr));
    if (aContext.mJson) {
      continue;
    }
    if (status) {
      PrintGateway(gateway, *status);
    } else {
      std::cout << gateway << " does not answer\n";
    }
  }
  if (aContext.mJson) {
    std::cout << statuses.dump(2) << "\n";
  }
  return kExitSuccess;
}

result<int>
ExplainRequest(control_context& aContext)
{
  const std::string& request = aContext.mArguments[0];
  const std::string owner(OwnerOf(request));
  failure lastFailure{ error_kind::NotFound,
                       "no entry is named in the settings",
                       ran_state::No,
                       std::nullopt };
  for (const std::string& gateway : aContext.mSettings.mGateways) {
    // Only the gateway that the request's id names has its decisions. The
    // gateways are queried one after another until that one answers.
    const outcome<json> answer = Capture<json>([&]() {
      return FetchJson(aContext,
                       fmt::format("http://{}/explain/{}", gateway, request));
    });
    if (!answer) {
      lastFailure = answer.mFailure;
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
  return Fail(lastFailure);
}

result<int>
DrainNode(control_context& aContext)
{
  const std::string& address = aContext.mArguments[0];
  BOOST_LEAF_ASSIGN(
    http_response const response,
    SendOperatorRequest(aContext, "POST", "http://" + address + "/drain"));
  if (response.mStatus != kStatusOk) {
    return Fail(error_kind::EndpointFailed, response.mBody);
  }
  std::cout << address << " drains: " << response.mBody << "\n";
  return kExitSuccess;
}

result<int>
ListVm(control_context& aContext)
{
  const std::vector<std::string>& arguments = aContext.mArguments;
  const std::optional<vm_kind> kind = ParseVmKind(arguments[1]);
  if (!kind) {
    return Fail(error_kind::SettingsInvalid,
                "expected engine, service or entry, found \"" + arguments[1] +
                  "\"");
  }
  const listed_endpoint endpoint{ arguments[0], arguments[3], arguments[2],
                                  arguments[4], arguments[5], *kind,
                                  false };
  BOOST_LEAF_ASSIGN(http_response const response,
                    SendOperatorRequest(aContext,
                                        "PUT",
                                        "http://" +
                                          aContext.mSettings.mPlatform +
                                          "/vms/" + arguments[0],
                                        ToJson(endpoint).dump()));
  return response.mStatus == kStatusOk ? kExitSuccess : kExitFailure;
}

result<int>
ShowMetric(control_context& aContext)
{
  const std::string url = "http://" + aContext.mArguments[0] + "/metrics";
  BOOST_LEAF_ASSIGN(http_response const response,
                    SendOperatorRequest(aContext, "GET", url));
  const std::string prefix = aContext.mArguments[1] + " ";
  std::istringstream lines(response.mBody);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(prefix)) {
      std::cout << line.substr(prefix.size()) << "\n";
      return kExitSuccess;
    }
  }
  return Fail(error_kind::NotFound, url + " has no " + aContext.mArguments[1]);
}

result<int>
ShowRestrictions(control_context& aContext)
{
  BOOST_LEAF_ASSIGN(
    http_response const response,
    SendOperatorRequest(
      aContext, "GET", "http://" + aContext.mArguments[0] + "/metrics"));
  std::istringstream lines(response.mBody);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("gateway_data_centre_evacuated{") ||
        line.starts_with("gateway_endpoint_cold_seconds{") ||
        line.starts_with("gateway_endpoints_cold ")) {
      std::cout << line << "\n";
    }
  }
  return kExitSuccess;
}

result<int>
WaitFor(control_context& aContext)
{
  const double wantedEndpoints =
    ParseNumber(aContext.mArguments[0]).value_or(0);
  const double timeoutSeconds = ParseNumber(aContext.mArguments[1]).value_or(0);
  constexpr duration kPollInterval = std::chrono::milliseconds(200);
  const system_clock_source clock;
  const time_point deadline = clock.Now() + FromSeconds(timeoutSeconds);
  while (clock.Now() < deadline) {
    bool allReady = true;
    for (const std::string& gateway : aContext.mSettings.mGateways) {
      const std::optional<json> status = FetchStatus(aContext, gateway);
      allReady =
        allReady && status &&
        static_cast<double>((*status)["endpoints"].size()) >= wantedEndpoints;
    }
    if (allReady) {
      return kExitSuccess;
    }
    Delay(kPollInterval).wait(aContext.mLoop.Scope());
  }
  return Fail(error_kind::DeadlineExceeded,
              "not every entry knows all the endpoints in time");
}

} // namespace primrose::control
