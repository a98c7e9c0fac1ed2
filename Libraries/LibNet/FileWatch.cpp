#include "LibNet/FileWatch.h"

namespace primrose {

file_watch::file_watch(event_loop& aLoop,
                       std::string aPath,
                       duration aInterval,
                       change_callback aOnChange)
  : mLoop(aLoop)
  , mPath(std::move(aPath))
  , mInterval(aInterval)
  , mOnChange(std::move(aOnChange))
  , mLastContent(ReadContent())
{
  mTimer = mLoop.After(mInterval, [this]() { CheckFile(); });
}

file_watch::~file_watch()
{
  mLoop.Cancel(mTimer);
}

std::string
file_watch::ReadContent() const
{
  // A file that cannot be read is probably being replaced: keep the last
  // content until the next check.
  const outcome<std::string> text =
    Capture<std::string>([this]() { return ReadFile(mPath); });
  return text ? *text.mValue : mLastContent;
}

void
file_watch::CheckFile()
{
  mTimer = mLoop.After(mInterval, [this]() { CheckFile(); });
  const std::string text = ReadContent();
  if (text != mLastContent) {
    mLastContent = text;
    mOnChange();
  }
}

} // namespace primrose
