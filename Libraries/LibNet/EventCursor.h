#pragma once

/// Splits a `text/event-stream` into complete events, so that a stream that
/// breaks can be resumed from another source at an event boundary. The bytes of
/// an event are not changed.

#include <cstdint>
#include <optional>
#include <string>

namespace primrose {

class event_cursor
{
public:
  /// Removes all complete events from the front of `aBytes` and returns them,
  /// except those whose id is not above `LastId()`. An incomplete event stays
  /// in `aBytes`.
  std::string TakeWholeEvents(std::string& aBytes);
  /// The id of the last returned event that had one.
  const std::optional<std::uint64_t>& LastId() const { return mLastId; }
  /// Number of events returned so far.
  std::uint64_t Count() const { return mCount; }
  /// Prepares for the bytes of a new source that resumes the stream after the
  /// last returned event.
  void Resume() { mScannedBytes = 0; }

private:
  std::optional<std::uint64_t> mLastId;
  std::uint64_t mCount = 0;
  std::size_t mScannedBytes = 0; ///< Prefix without an event boundary.
};

} // namespace primrose
