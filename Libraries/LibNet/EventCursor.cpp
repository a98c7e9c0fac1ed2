#include "LibNet/EventCursor.h"

#include <charconv>

namespace primrose {

namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kIdField = "id";

/// The value as a number; none if it is anything else.
std::optional<std::uint64_t>
ParseEventId(std::string_view aValue)
{
  while (aValue.starts_with(' ')) {
    aValue.remove_prefix(1);
  }
  std::uint64_t id = 0;
  const char* const end = aValue.data() + aValue.size();
  const std::from_chars_result read = std::from_chars(aValue.data(), end, id);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return id;
}

} // namespace

void
event_cursor::Resume()
{
  mEvent = {};
  mLineStart = 0;
  mScannedBytes = 0;
  mAfterCarriageReturn = false;
  mIsFirstLine = true;
  mIsResumed = true;
}

void
event_cursor::ReadLine(std::string_view aLine)
{
  mEvent.mHasLine = true;
  const std::size_t colon = aLine.find(':');
  if (colon == 0) {
    return;
  }
  mEvent.mHasField = true;
  if (aLine.substr(0, colon) == kIdField) {
    mEvent.mId = colon == std::string_view::npos
                   ? std::nullopt
                   : ParseEventId(aLine.substr(colon + 1));
  }
}

bool
event_cursor::AcceptEvent()
{
  // The source that resumes a stream may repeat events that were already
  // returned; the caller must receive each event only once.
  const std::optional<std::uint64_t> id = mEvent.mId;
  mLastAccepted = !id.has_value() || !mLastId.has_value() || *id > *mLastId;
  mEvent = {};
  if (mLastAccepted) {
    ++mCount;
    mLastId = id.has_value() ? id : mLastId;
  }
  return mLastAccepted;
}

std::string
event_cursor::TakeWholeEvents(std::string& aBytes)
{
  std::string events;
  std::size_t eventStart = 0;
  while (true) {
    const std::size_t end = aBytes.find_first_of(kLineEnds, mScannedBytes);
    if (end == std::string::npos) {
      mScannedBytes = aBytes.size();
      break;
    }
    std::string_view line(aBytes.data() + mLineStart, end - mLineStart);
    const bool endsCrLf =
      mAfterCarriageReturn && line.empty() && aBytes[end] == '\n';
    mAfterCarriageReturn = aBytes[end] == '\r';
    mLineStart = end + 1;
    mScannedBytes = mLineStart;
    if (endsCrLf) {
      // The CR ended the line already, as no LF need follow. If it ended an
      // event, the LF is still part of that event.
      if (end == eventStart) {
        events.append(mLastAccepted ? "\n" : "");
        eventStart = mLineStart;
      }
      continue;
    }
    if (mIsFirstLine && line.starts_with(kByteOrderMark)) {
      line.remove_prefix(kByteOrderMark.size());
      // A stream has one at its start only.
      eventStart = mIsResumed ? kByteOrderMark.size() : eventStart;
    }
    mIsFirstLine = false;
    if (!line.empty()) {
      ReadLine(line);
      continue;
    }
    if (!mEvent.mHasLine) {
      // A further empty line ends no event. It is returned with the next one.
      continue;
    }
    if (AcceptEvent()) {
      events.append(aBytes, eventStart, mLineStart - eventStart);
    }
    eventStart = mLineStart;
  }
  aBytes.erase(0, eventStart);
  mLineStart -= eventStart;
  mScannedBytes -= eventStart;
  return events;
}

bool
event_cursor::IsInsideEvent(std::string_view aRemaining) const
{
  return mEvent.mHasField || aRemaining.size() > mLineStart;
}

} // namespace primrose
