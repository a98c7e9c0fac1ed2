#pragma once

/// Output that never waits for its reader: lines gather in a bounded buffer and
/// go out when the reader takes them; what does not fit is dropped, counted and
/// reported. A log that blocks would stop every caller's answer when whoever
/// reads the log stops.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

class bounded_output
{
public:
  /// Writes to a descriptor, which is made non-blocking and stays the
  /// caller's own.
  bounded_output(int aDescriptor, std::size_t aMaxBufferedBytes);

  /// Takes a line without its end, or drops it if there is no room.
  void Append(std::string_view aLine);
  /// Hands over what the reader takes now.
  void Flush();
  std::size_t Pending() const { return mBuffer.size() - mSent; }
  /// Lines dropped since the start.
  std::uint64_t Dropped() const { return mDropped; }

private:
  int mDescriptor;
  std::size_t mMaxBufferedBytes;
  std::string mBuffer;
  std::size_t mSent = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0;
};

/// How many lines of one kind may be written: so many a second, and so many at
/// once after a quiet time.
struct line_rate_limiter
{
  double mPerSecond = 0;
  double mMost = 0;
  double mAvailableLines = 0;
  double mAt = 0; ///< Seconds, of any steady clock.

  bool operator==(const line_rate_limiter&) const = default;
};

/// Takes one line; false if the budget is used up.
bool
TakeLine(line_rate_limiter& aBudget, double aNow);

} // namespace primrose
