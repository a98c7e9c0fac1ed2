#include "LibObserve/BoundedOutput.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace primrose {

bounded_output::bounded_output(int aDescriptor, std::size_t aMaxBufferedBytes)
  : mDescriptor(aDescriptor)
  , mMaxBufferedBytes(aMaxBufferedBytes)
{
  const int flags = fcntl(mDescriptor, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
bounded_output::Append(std::string_view aLine)
{
  if (Pending() + aLine.size() + 1 > mMaxBufferedBytes) {
    ++mDropped;
    return;
  }
  if (mDropped != mReported) {
    mBuffer.append("level=warning event=log_lines_dropped lines=")
      .append(std::to_string(mDropped - mReported))
      .append("\n");
    mReported = mDropped;
  }
  mBuffer.append(aLine).append("\n");
}

void
bounded_output::Flush()
{
  while (Pending() > 0) {
    const ssize_t written =
      write(mDescriptor, mBuffer.data() + mSent, Pending());
    if (written <= 0) {
      // The reader is slow or gone; the rest waits, bounded by Append.
      break;
    }
    mSent += static_cast<std::size_t>(written);
  }
  mBuffer.erase(0, mSent);
  mSent = 0;
}

bool
TakeLine(line_rate_limiter& aBudget, double aNow)
{
  aBudget.mAvailableLines = std::min(
    aBudget.mMost,
    aBudget.mAvailableLines + (aNow - aBudget.mAt) * aBudget.mPerSecond);
  aBudget.mAt = aNow;
  if (aBudget.mAvailableLines < 1) {
    return false;
  }
  aBudget.mAvailableLines -= 1;
  return true;
}

} // namespace primrose
