#pragma once

/// Splits a `text/event-stream` into complete events, as the HTML standard
/// defines them
/// (https://html.spec.whatwg.org/multipage/server-sent-events.html): lines end
/// with CR, LF or both, and an empty line ends an event. A stream that breaks
/// can then be resumed from another source at an event boundary. The bytes of
/// an event are not changed.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace primrose {

class event_cursor
{
public:
  /// Removes all complete events from the front of `aBytes` and returns them,
  /// except those whose id is not above `LastId()`. What follows them stays in
  /// `aBytes`, to which the source's next bytes have to be appended.
  std::string TakeWholeEvents(std::string& aBytes);
  /// True if the source's bytes so far end inside an event. `aRemaining` is
  /// what `TakeWholeEvents` left. Empty lines and comments after the last event
  /// are not part of an event.
  bool IsInsideEvent(std::string_view aRemaining) const;
  /// The id of the last returned event that had one.
  const std::optional<std::uint64_t>& LastId() const { return mLastId; }
  /// Number of events returned so far.
  std::uint64_t Count() const { return mCount; }
  /// Prepares for the bytes of a new source that resumes the stream after the
  /// last returned event.
  void Resume();

private:
  /// The event that is being read.
  struct partial_event
  {
    bool mHasLine = false; ///< A field or a comment.
    bool mHasField = false;
    std::optional<std::uint64_t> mId;
  };
  void ReadLine(std::string_view aLine);
  /// True if the event that ends now is new.
  bool AcceptEvent();

  std::optional<std::uint64_t> mLastId;
  std::uint64_t mCount = 0;
  partial_event mEvent;
  std::size_t mLineStart = 0;    ///< Of the line that is not complete yet.
  std::size_t mScannedBytes = 0; ///< Prefix in which all line ends are known.
  bool mAfterCarriageReturn = false; ///< The last line ended with CR.
  bool mLastAccepted = false;        ///< The last event was returned.
  bool mIsFirstLine = true;          ///< No line of the source has ended yet.
  bool mIsResumed = false;
};

} // namespace primrose
