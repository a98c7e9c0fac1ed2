#pragma once

/// Logs: one line of key=value pairs for each event, on standard error or, for
/// daemons whose output somebody collects, on standard output.

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

/// One pair of a log line. Numbers are written plainly, texts are quoted where
/// they hold a blank, a quote, an equals sign or a control character.
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

/// Sets up the process's log: `aProcess` is written on each line as `by=`.
void
StartLog(const std::string& aProcess, log_level aLevel);

/// The same on standard output, without ever waiting for its reader and within
/// budgets: routine lines (below warning) and failures have one each, so that
/// a flood of the first never costs one of the second.
void
StartBoundedLog(const std::string& aProcess, log_level aLevel);

/// Hands over what is gathered; a bounded log gathers routine lines.
void
FlushLog();

/// Lines that a bounded log has left out, for want of budget or of a reader.
std::uint64_t
DroppedLogLines();

/// Writes `time=… level=… by=… event=NAME key=value …`.
void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields);

/// The level with this name (debug, info, warning, error); false if none.
bool
ParseLogLevel(std::string_view aName, log_level& aLevel);

/// A value as a log line shows it.
std::string
QuoteLogValue(std::string_view aValue);

} // namespace primrose
