#include "LibNet/EventCursor.h"

#include <charconv>
#include <string_view>

namespace primrose {

namespace {

constexpr std::string_view kEndOfEvent = "\n\n";
constexpr std::string_view kId = "id:";

/// Parses the number in the event's `id` line, if there is one.
std::optional<std::uint64_t>
ParseEventId(std::string_view aEvent)
{
  std::size_t lineStart = 0;
  while (lineStart < aEvent.size()) {
    std::size_t end = aEvent.find('\n', lineStart);
    if (end == std::string_view::npos) {
      end = aEvent.size();
    }
    std::string_view text = aEvent.substr(lineStart, end - lineStart);
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
    lineStart = end + 1;
  }
  return std::nullopt;
}

} // namespace

std::string
event_cursor::TakeWholeEvents(std::string& aBytes)
{
  std::string events;
  std::size_t eventStart = 0;
  std::size_t searchFrom = mScannedBytes > 0 ? mScannedBytes - 1 : 0;
  while (true) {
    const std::size_t end = aBytes.find(kEndOfEvent, searchFrom);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t eventEnd = end + kEndOfEvent.size();
    const std::string_view event(aBytes.data() + eventStart,
                                 eventEnd - eventStart);
    const std::optional<std::uint64_t> id = ParseEventId(event);
    // The source that resumes a stream may repeat events that were already
    // returned; the caller must receive each event only once.
    if (!id.has_value() || !mLastId.has_value() || *id > *mLastId) {
      events.append(event);
      ++mCount;
      if (id.has_value()) {
        mLastId = id;
      }
    }
    eventStart = eventEnd;
    searchFrom = eventEnd;
  }
  aBytes.erase(0, eventStart);
  mScannedBytes = aBytes.size();
  return events;
}

} // namespace primrose
