#include "LibObserve/Log.h"

#include "LibObserve/BoundedOutput.h"

#include <array>
#include <chrono>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>
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
SpdlogLevel(log_level aLevel)
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

/// Lines a second of each kind: a routine request takes two, and an entry that
/// carries a third of a burst of 400 requests a second takes 270 of them.
constexpr double kLinesPerSecond = 300;
constexpr double kMaxLineBurst = 1500;
/// What a reader that stopped may hold back.
constexpr std::size_t kMostBytes = std::size_t{ 256 } * 1024;
/// Gathered routine lines go out at this size, or with the next `FlushLog`.
constexpr std::size_t kFlushThresholdBytes = std::size_t{ 8 } * 1024;

class bounded_sink final
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  bounded_sink()
    : mOutput(STDOUT_FILENO, kMostBytes)
  {
  }
  std::uint64_t Dropped() const
  {
    return mOutput.Dropped() + mRateLimitedLines;
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    const bool failure = aMessage.level >= spdlog::level::warn;
    const double now = std::chrono::duration<double>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
    if (!TakeLine(failure ? mFailures : mRoutineLimiter, now)) {
      ++mRateLimitedLines;
      return;
    }
    spdlog::memory_buf_t text;
    formatter_->format(aMessage, text);
    const std::string_view line(text.data(), text.size());
    mOutput.Append(line.substr(0, line.size() - 1));
    if (failure || mOutput.Pending() > kFlushThresholdBytes) {
      mOutput.Flush();
    }
  }
  void flush_() override { mOutput.Flush(); }

private:
  bounded_output mOutput;
  line_rate_limiter mRoutineLimiter{ kLinesPerSecond,
                                     kMaxLineBurst,
                                     kMaxLineBurst,
                                     0 };
  line_rate_limiter mFailures{ kLinesPerSecond,
                               kMaxLineBurst,
                               kMaxLineBurst,
                               0 };
  std::uint64_t mRateLimitedLines = 0;
};

std::shared_ptr<bounded_sink>&
BoundedSink()
{
  static std::shared_ptr<bounded_sink> sink;
  return sink;
}

constexpr const char* kPattern =
  "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l by=%n %v";

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
  logger->set_pattern(kPattern);
  logger->set_level(SpdlogLevel(aLevel));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void
StartBoundedLog(const std::string& aProcess, log_level aLevel)
{
  BoundedSink() = std::make_shared<bounded_sink>();
  const std::shared_ptr<spdlog::logger> logger =
    std::make_shared<spdlog::logger>(aProcess, BoundedSink());
  logger->set_pattern(kPattern);
  logger->set_level(SpdlogLevel(aLevel));
  spdlog::set_default_logger(logger);
}

void
FlushLog()
{
  spdlog::default_logger_raw()->flush();
}

std::uint64_t
DroppedLogLines()
{
  return BoundedSink() == nullptr ? 0 : BoundedSink()->Dropped();
}

void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields)
{
  const spdlog::level::level_enum level = SpdlogLevel(aLevel);
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
