#pragma once

/// Non-blocking line output. Lines are kept in a bounded buffer until the
/// descriptor accepts them. Lines that don't fit are dropped and counted, and
/// the count is reported by a line of its own. Blocking writes would stall all
/// requests of the process whenever the reader of the log stops.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

class bounded_output
{
public:
  /// Writes to a descriptor, which is set to non-blocking. The caller keeps
  /// ownership and closes it.
  bounded_output(int aDescriptor, std::size_t aMaxBufferedBytes);

  /// Buffers a line, given without its line break; drops it if the buffer has
  /// no room.
  void Append(std::string_view aLine);
  /// Writes as much as the descriptor accepts now.
  void Flush();
  /// Buffered bytes that are not yet written.
  std::size_t Pending() const { return mBuffer.size() - mSent; }
  /// Lines dropped since the process started.
  std::uint64_t Dropped() const { return mDropped; }

private:
  int mDescriptor;
  std::size_t mMaxBufferedBytes;
  std::string mBuffer;
  std::size_t mSent = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0;
};

/// Token bucket that limits the rate of one class of log lines.
struct line_rate_limiter
{
  double mPerSecond = 0;
  double mMaxBurst = 0; ///< Capacity of the bucket, in lines.
  double mAvailableLines = 0;
  double mUpdatedAt = 0; ///< Last refill, in seconds of a steady clock.

  bool operator==(const line_rate_limiter&) const = default;
};

/// Takes one line from the bucket; false if it is empty. `aNow` is in seconds.
bool
TakeLine(line_rate_limiter& aBudget, double aNow);

} // namespace primrose
