#include "RequestTimeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace primrose::control {

namespace {

/// Events that change what an entry believes, and whose newest line before a
/// request therefore says what it believed then.
constexpr std::array<std::string_view, 7> kStateEvents = {
  "started",       "draining",           "manifest_in_force", "store_lost",
  "store_reached", "store_history_lost", "peer_lost"
};
constexpr std::array<std::string_view, 2> kEndpointStateEvents = {
  "endpoint_listed",
  "endpoint_avoided"
};

template<std::size_t N>
bool
ContainsName(const std::array<std::string_view, N>& aNames,
             std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

/// Who decided on the request, when, and which endpoints it met.
struct request_trace
{
  std::vector<std::string> mLines;
  std::set<std::string> mEntries;
  std::set<std::string> mEndpoints;
  std::string mFirst; ///< Times, which sort as texts.
  std::string mLast;
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
    trace.mEntries.insert(LogFieldValue(line, "by"));
    AddEndpoints(trace.mEndpoints, LogFieldValue(line, "endpoint"));
    AddEndpoints(trace.mEndpoints, LogFieldValue(line, "readers"));
    const std::string time = LogFieldValue(line, "time");
    trace.mFirst = trace.mFirst.empty() ? time : std::min(trace.mFirst, time);
    trace.mLast = std::max(trace.mLast, time);
  }
  return trace;
}

/// True if a line tells what an entry of the trace believed.
bool
IsStateChange(const std::string& aLine, const request_trace& aTrace)
{
  const std::string event = LogFieldValue(aLine, "event");
  const bool known =
    ContainsName(kStateEvents, event) ||
    (ContainsName(kEndpointStateEvents, event) &&
     aTrace.mEndpoints.contains(LogFieldValue(aLine, "endpoint")));
  return known && aTrace.mEntries.contains(LogFieldValue(aLine, "by"));
}

/// What a process believed ended with it: lines of an entry from before its
/// newest start say nothing of the request.
void
DropStatesBeforeRestart(std::map<std::string, std::string>& aBefore)
{
  std::map<std::string, std::string> started;
  for (const auto& [subject, line] : aBefore) {
    if (LogFieldValue(line, "event") == "started") {
      started[LogFieldValue(line, "by")] = LogFieldValue(line, "time");
    }
  }
  std::erase_if(aBefore, [&started](const auto& aEntry) {
    return LogFieldValue(aEntry.second, "time") <
           started[LogFieldValue(aEntry.second, "by")];
  });
}

/// Lines with the same of this replace each other.
std::string
StateKeyOf(const std::string& aLine)
{
  std::string subject;
  for (const std::string_view key : { "by", "event", "table", "endpoint" }) {
    subject += LogFieldValue(aLine, key) + '\n';
  }
  return subject;
}

} // namespace

std::string
LogFieldValue(std::string_view aLine, std::string_view aKey)
{
  std::size_t at = 0;
  while ((at = aLine.find(aKey, at)) != std::string_view::npos) {
    const std::size_t end = at + aKey.size();
    const bool begins = at == 0 || aLine[at - 1] == ' ';
    if (!begins || end >= aLine.size() || aLine[end] != '=') {
      at = end;
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
  std::vector<std::string> story = trace.mLines;
  std::map<std::string, std::string> before;
  for (const std::string& line : aLines) {
    if (!IsStateChange(line, trace) ||
        LogFieldValue(line, "request") == aRequest) {
      continue;
    }
    const std::string time = LogFieldValue(line, "time");
    if (time < trace.mFirst) {
      std::string& held = before[StateKeyOf(line)];
      held = held.empty() || LogFieldValue(held, "time") <= time ? line : held;
    } else if (time <= trace.mLast) {
      story.push_back(line);
    }
  }
  DropStatesBeforeRestart(before);
  for (const auto& [subject, line] : before) {
    story.push_back(line);
  }
  std::stable_sort(story.begin(),
                   story.end(),
                   [](const std::string& aOne, const std::string& aOther) {
                     return LogFieldValue(aOne, "time") <
                            LogFieldValue(aOther, "time");
                   });
  return story;
}

} // namespace primrose::control
