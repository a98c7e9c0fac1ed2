#include "LibNet/EventCursor.h"

#include <charconv>
#include <string_view>

namespace primrose {

namespace {

constexpr std::string_view kEndOfEvent = "\n\n";
constexpr std::string_view kId = "id:";

/// The number in the event's `id` line.
std::optional<std::uint64_t>
ParseEventId(std::string_view aEvent)
{
  std::size_t line = 0;
  while (line < aEvent.size()) {
    std::size_t end = aEvent.find('\n', line);
    if (end == std::string_view::npos) {
      end = aEvent.size();
    }
    std::string_view text = aEvent.substr(line, end - line);
    if (text.substr(0, kId.size()) == kId) {
      text.remove_prefix(kId.size());
      while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), id);
      if (read.ec == std::errc{}) {
        return id;
      }
      return std::nullopt;
    }
    line = end + 1;
  }
  return std::nullopt;
}

} // namespace

std::string
event_cursor::TakeWholeEvents(std::string& aBytes)
{
  std::string given;
  std::size_t begin = 0;
  std::size_t from = mScannedBytes > 0 ? mScannedBytes - 1 : 0;
  while (true) {
    const std::size_t end = aBytes.find(kEndOfEvent, from);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t next = end + kEndOfEvent.size();
    const std::string_view event(aBytes.data() + begin, next - begin);
    const std::optional<std::uint64_t> id = ParseEventId(event);
    // A source that goes on for another may begin with what was given before:
    // an event must not reach the caller twice.
    if (!id.has_value() || !mLastId.has_value() || *id > *mLastId) {
      given.append(event);
      ++mCount;
      if (id.has_value()) {
        mLastId = id;
      }
    }
    begin = next;
    from = next;
  }
  aBytes.erase(0, begin);
  mScannedBytes = aBytes.size();
  return given;
}

} // namespace primrose
