#pragma once

/// Notices that a small file's content has changed. A platform may replace the
/// settings of a process without a signal; unless it looks by itself, the
/// process runs by the old ones until its next start.

#include "LibNet/EventLoop.h"

#include <string>

namespace primrose {

class file_watch
{
public:
  using changed = std::function<void()>;

  /// Looks every `aEvery`; from when the watch is made on.
  file_watch(event_loop& aLoop,
             std::string aPath,
             duration aEvery,
             changed aChanged);
  ~file_watch();
  file_watch(const file_watch&) = delete;
  file_watch& operator=(const file_watch&) = delete;

private:
  std::string Text() const;
  void Look();

  event_loop& mLoop;
  std::string mPath;
  duration mInterval;
  changed mChanged;
  std::string mText;
  timer_id mTimer = 0;
};

} // namespace primrose
