#pragma once

/// Extracts the timeline of one request from gateways' logs: the lines of every
/// decision on the request, and the lines that give the known state of the
/// gateways involved at that time.

#include <string>
#include <string_view>
#include <vector>

namespace primrose::control {

/// Returns the value of a key in a log line of key=value pairs, or an empty
/// string if the line does not contain the key.
std::string
LogFieldValue(std::string_view aLine, std::string_view aKey);

/// Returns the lines that concern a request, ordered by time; none if no line
/// names the request. For each piece of gateway state (manifest, store,
/// endpoints of the request) this includes the newest line before the request
/// and all lines up to the request's last one.
std::vector<std::string>
RequestTimeline(const std::vector<std::string>& aLines,
                std::string_view aRequest);

} // namespace primrose::control
