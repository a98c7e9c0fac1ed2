#pragma once

/// Finds whole events in the bytes of a stream (`text/event-stream`), so that a
/// stream can be cut between two events and go on elsewhere. The bytes of an
/// event are passed on as they are.

#include <cstdint>
#include <optional>
#include <string>

namespace primrose {

class event_cursor
{
public:
  /// Takes all whole events from the front of `aBytes` and gives those that
  /// come after the last one given; `aBytes` keeps the beginning of the next.
  std::string TakeWholeEvents(std::string& aBytes);
  /// The id of the last event given, if it had one.
  const std::optional<std::uint64_t>& LastId() const { return mLastId; }
  /// Events given so far.
  std::uint64_t Count() const { return mCount; }
  /// Begins a new source of bytes that goes on after the last event given.
  void Resume() { mScannedBytes = 0; }

private:
  std::optional<std::uint64_t> mLastId;
  std::uint64_t mCount = 0;
  std::size_t mScannedBytes = 0; ///< Bytes known to hold no end of an event.
};

} // namespace primrose
