#include "LibNet/FileWatch.h"

namespace primrose {

file_watch::file_watch(event_loop& aLoop,
                       std::string aPath,
                       duration aEvery,
                       changed aChanged)
  : mLoop(aLoop)
  , mPath(std::move(aPath))
  , mInterval(aEvery)
  , mChanged(std::move(aChanged))
  , mText(Text())
{
  mTimer = mLoop.After(mInterval, [this]() { Look(); });
}

file_watch::~file_watch()
{
  mLoop.Cancel(mTimer);
}

std::string
file_watch::Text() const
{
  // A file that cannot be read just now is about to be replaced.
  const outcome<std::string> text =
    Capture<std::string>([this]() { return ReadFile(mPath); });
  return text ? *text.mValue : mText;
}

void
file_watch::Look()
{
  mTimer = mLoop.After(mInterval, [this]() { Look(); });
  const std::string text = Text();
  if (text != mText) {
    mText = text;
    mChanged();
  }
}

} // namespace primrose
