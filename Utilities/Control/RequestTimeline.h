#pragma once

/// What the logs of gateways tell of one request: the lines of every decision
/// on it, and what the entries that made them believed at that time.

#include <string>
#include <string_view>
#include <vector>

namespace primrose::control {

/// The value of a key in a line of key=value pairs; empty if it is not there.
std::string
LogFieldValue(std::string_view aLine, std::string_view aKey);

/// The lines that matter for a request, in the order of time; none if the logs
/// do not know it. Of each belief (manifest, store, endpoints that it met) the
/// newest line before the request is given, and all lines until its end.
std::vector<std::string>
RequestTimeline(const std::vector<std::string>& aLines,
                std::string_view aRequest);

} // namespace primrose::control
