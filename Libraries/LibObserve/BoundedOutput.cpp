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
  if (mDropped != mReportedDropped) {
    mBuffer.append("level=warning event=log_lines_dropped lines=")
      .append(std::to_string(mDropped - mReportedDropped))
      .append("\n");
    mReportedDropped = mDropped;
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
      // The pipe is full or closed. The rest stays buffered; Append limits
      // the buffer's size.
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
    aBudget.mMaxBurst,
    aBudget.mAvailableLines + (aNow - aBudget.mUpdatedAt) * aBudget.mPerSecond);
  aBudget.mUpdatedAt = aNow;
  if (aBudget.mAvailableLines < 1) {
    return false;
  }
  aBudget.mAvailableLines -= 1;
  return true;
}

} // namespace primrose
