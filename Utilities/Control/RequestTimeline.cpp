#include "RequestTimeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace primrose::control {

namespace {

/// Events that change the known state of a gateway. The newest line of such an
/// event before a request gives the gateway's state when the request arrived.
constexpr std::array<std::string_view, 7> kStateEvents = {
  "started",       "draining",           "manifest_in_force", "store_lost",
  "store_reached", "store_history_lost", "peer_lost"
};
constexpr std::array<std::string_view, 4> kEndpointStateEvents = {
  "endpoint_listed",
  "endpoint_avoided",
  "endpoint_says_leaving",
  "endpoint_asks_rest"
};

constexpr std::string_view kOrganisationStateEvent = "organisation_use";

template<std::size_t N>
bool
ContainsName(const std::array<std::string_view, N>& aNames,
             std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

/// The log lines of a request, the gateways that wrote them, the endpoints that
/// they name, and the time span that they cover.
struct request_trace
{
  std::vector<std::string> mLines;
  std::set<std::string> mGateways;
  std::set<std::string> mEndpoints;
  std::set<std::string> mOrganisations;
  std::string mFirstTime; ///< Times are compared as strings.
  std::string mLastTime;
};

void
AddEndpoints(std::set<std::string>& aEndpoints, const std::string& aIds)
{
  std::size_t begin = 0;
  while (begin < aIds.size()) {
    const std::size_t end = std::min(aIds.find(',', begin), aIds.size());
    aEndpoints.insert(aIds.substr(begin, end - begin));
    begin = end + 1;
  }
}

request_trace
TraceRequest(const std::vector<std::string>& aLines, std::string_view aRequest)
{
  request_trace trace;
  for (const std::string& line : aLines) {
    if (LogFieldValue(line, "request") != aRequest) {
      continue;
    }
    trace.mLines.push_back(line);
    trace.mGateways.insert(LogFieldValue(line, "by"));
    AddEndpoints(trace.mEndpoints, LogFieldValue(line, "endpoint"));
    AddEndpoints(trace.mEndpoints, LogFieldValue(line, "readers"));
    trace.mOrganisations.insert(LogFieldValue(line, "organisation"));
    const std::string time = LogFieldValue(line, "time");
    trace.mFirstTime =
      trace.mFirstTime.empty() ? time : std::min(trace.mFirstTime, time);
    trace.mLastTime = std::max(trace.mLastTime, time);
  }
  return trace;
}

/// True if a line records a change of known state in one of the trace's
/// gateways, of that gateway itself or of one of the trace's endpoints or
/// organisations.
bool
IsStateChange(const std::string& aLine, const request_trace& aTrace)
{
  const std::string event = LogFieldValue(aLine, "event");
  const bool changesState =
    ContainsName(kStateEvents, event) ||
    (ContainsName(kEndpointStateEvents, event) &&
     aTrace.mEndpoints.contains(LogFieldValue(aLine, "endpoint"))) ||
    (event == kOrganisationStateEvent &&
     aTrace.mOrganisations.contains(LogFieldValue(aLine, "organisation")));
  return changesState && aTrace.mGateways.contains(LogFieldValue(aLine, "by"));
}

/// Removes a gateway's lines from before its newest start: a gateway process
/// does not keep its state across a restart.
void
DropStatesBeforeRestart(std::map<std::string, std::string>& aBefore)
{
  std::map<std::string, std::string> started;
  for (const auto& [stateKey, line] : aBefore) {
    if (LogFieldValue(line, "event") == "started") {
      started[LogFieldValue(line, "by")] = LogFieldValue(line, "time");
    }
  }
  std::erase_if(aBefore, [&started](const auto& aItem) {
    return LogFieldValue(aItem.second, "time") <
           started[LogFieldValue(aItem.second, "by")];
  });
}

/// Returns a key for the piece of state that a line records. A newer line
/// supersedes older lines with the same key.
std::string
StateKeyOf(const std::string& aLine)
{
  std::string stateKey;
  for (const std::string_view key :
       { "by", "event", "table", "endpoint", "organisation" }) {
    stateKey += LogFieldValue(aLine, key) + '\n';
  }
  return stateKey;
}

} // namespace

std::string
LogFieldValue(std::string_view aLine, std::string_view aKey)
{
  std::size_t position = 0;
  while ((position = aLine.find(aKey, position)) != std::string_view::npos) {
    const std::size_t end = position + aKey.size();
    const bool startsKey = position == 0 || aLine[position - 1] == ' ';
    if (!startsKey || end >= aLine.size() || aLine[end] != '=') {
      position = end;
      continue;
    }
    if (end + 1 < aLine.size() && aLine[end + 1] == '"') {
      const std::size_t quote = aLine.find('"', end + 2);
      return std::string(aLine.substr(end + 2, quote - end - 2));
    }
    return std::string(aLine.substr(end + 1, aLine.find(' ', end) - end - 1));
  }
  return "";
}

std::vector<std::string>
RequestTimeline(const std::vector<std::string>& aLines,
                std::string_view aRequest)
{
  const request_trace trace = TraceRequest(aLines, aRequest);
  if (trace.mLines.empty()) {
    return {};
  }
  std::vector<std::string> timeline = trace.mLines;
  std::map<std::string, std::string> statesBefore;
  for (const std::string& line : aLines) {
    if (!IsStateChange(line, trace) ||
        LogFieldValue(line, "request") == aRequest) {
      continue;
    }
    const std::string time = LogFieldValue(line, "time");
    if (time < trace.mFirstTime) {
      std::string& newest = statesBefore[StateKeyOf(line)];
      newest =
        newest.empty() || LogFieldValue(newest, "time") <= time ? line : newest;
    } else if (time <= trace.mLastTime) {
      timeline.push_back(line);
    }
  }
  DropStatesBeforeRestart(statesBefore);
  for (const auto& [stateKey, line] : statesBefore) {
    timeline.push_back(line);
  }
  std::stable_sort(timeline.begin(),
                   timeline.end(),
                   [](const std::string& aOne, const std::string& aOther) {
                     return LogFieldValue(aOne, "time") <
                            LogFieldValue(aOther, "time");
                   });
  return timeline;
}

} // namespace primrose::control
