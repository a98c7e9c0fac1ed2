#pragma once

/// Detects changes of a small file's content by polling. A platform may replace
/// the settings file of a process without sending a signal; without polling,
/// the process would use the old settings until its next start.

#include "LibNet/EventLoop.h"

#include <string>

namespace primrose {

class file_watch
{
public:
  using change_callback = std::function<void()>;

  /// Reads the file at once, and then compares its content every `aInterval`.
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
