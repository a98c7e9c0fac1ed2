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
  using change_callback = std::function<void()>;

  /// Looks every `aInterval`; from when the watch is made on.
  file_watch(event_loop& aLoop,
             std::string aPath,
             duration aInterval,
             change_callback aOnChange);
  ~file_watch();
  file_watch(const file_watch&) = delete;
  file_watch& operator=(const file_watch&) = delete;

private:
  std::string ReadContent() const;
  void CheckFile();

  event_loop& mLoop;
  std::string mPath;
  duration mInterval;
  change_callback mOnChange;
  std::string mLastContent;
  timer_id mTimer = 0;
};

} // namespace primrose
