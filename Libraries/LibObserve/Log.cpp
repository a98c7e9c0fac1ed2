#include "LibObserve/Log.h"

#include <array>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace primrose {

namespace {

constexpr std::array<std::pair<std::string_view, log_level>, 4> kLevels = {
  { { "debug", log_level::Debug },
    { "info", log_level::Info },
    { "warning", log_level::Warning },
    { "error", log_level::Error } }
};

spdlog::level::level_enum
LibraryLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return spdlog::level::debug;
    case log_level::Info:
      return spdlog::level::info;
    case log_level::Warning:
      return spdlog::level::warn;
    case log_level::Error:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const char c : aValue) {
    const bool control = static_cast<unsigned char>(c) < ' ';
    if (control || c == ' ' || c == '"' || c == '=' || c == '\\') {
      return true;
    }
  }
  return false;
}

} // namespace

std::string
QuoteLogValue(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < ' ') {
      // A line break inside a value would forge a second event.
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

log_field::log_field(std::string_view aKey, std::string_view aValue)
  : mKey(aKey)
  , mValue(QuoteLogValue(aValue))
{
}

log_field::log_field(std::string_view aKey, const char* aValue)
  : log_field(aKey, std::string_view(aValue))
{
}

log_field::log_field(std::string_view aKey, const std::string& aValue)
  : log_field(aKey, std::string_view(aValue))
{
}

log_field::log_field(std::string_view aKey, double aValue)
  : mKey(aKey)
  , mValue(fmt::format("{:.6g}", aValue))
{
}

void
StartLog(const std::string& aProcess, log_level aLevel)
{
  std::shared_ptr<spdlog::logger> logger =
    spdlog::get(aProcess) ? spdlog::get(aProcess)
                          : spdlog::stderr_logger_st(aProcess);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l by=%n %v");
  logger->set_level(LibraryLevel(aLevel));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields)
{
  const spdlog::level::level_enum level = LibraryLevel(aLevel);
  if (!spdlog::default_logger_raw()->should_log(level)) {
    return;
  }
  std::string line = fmt::format("event={}", aEvent);
  for (const log_field& field : aFields) {
    line += fmt::format(" {}={}", field.mKey, field.mValue);
  }
  spdlog::default_logger_raw()->log(level, line);
}

bool
ParseLogLevel(std::string_view aName, log_level& aLevel)
{
  for (const auto& [name, level] : kLevels) {
    if (name == aName) {
      aLevel = level;
      return true;
    }
  }
  return false;
}

} // namespace primrose
