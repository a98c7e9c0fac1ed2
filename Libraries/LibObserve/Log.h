#pragma once

/// Logging: each event is one line of key=value pairs, on standard error or,
/// for daemons whose output a log collector reads, on standard output.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace primrose {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One key=value pair of a log line. Text is quoted if it is empty or contains
/// a space, a quote, a backslash, an equals sign or a control character.
/// Numbers are not quoted.
struct log_field
{
  std::string_view mKey;
  std::string mValue;

  log_field(std::string_view aKey, std::string_view aValue);
  log_field(std::string_view aKey, const char* aValue);
  log_field(std::string_view aKey, const std::string& aValue);
  log_field(std::string_view aKey, double aValue);
  template<typename T>
  requires std::is_integral_v<T> log_field(std::string_view aKey, T aValue)
    : mKey(aKey)
    , mValue(std::to_string(aValue))
  {
  }
};

/// Starts logging to standard error. Each line has `aProcess` as its `by=`
/// field.
void
StartLog(const std::string& aProcess, log_level aLevel);

/// Starts logging to standard output, without blocking on its reader and with
/// rate limits. Routine lines (below warning) and failures have separate
/// limits, so that a flood of routine lines doesn't use up the rate of
/// failures.
void
StartBoundedLog(const std::string& aProcess, log_level aLevel);

/// Writes buffered lines. Only a bounded log buffers its routine lines.
void
FlushLog();

/// Lines that a bounded log dropped, over the rate limit or because the buffer
/// was full; 0 if the log is not bounded.
std::uint64_t
DroppedLogLines();

/// Writes `time=… level=… by=… event=NAME key=value …`.
void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields);

/// Parses a level's name (debug, info, warning or error); false if unknown.
bool
ParseLogLevel(std::string_view aName, log_level& aLevel);

/// A value as it is written in a log line, quoted and escaped where necessary.
std::string
QuoteLogValue(std::string_view aValue);

} // namespace primrose
