#pragma once

/// GLib's main loop over epoll. GLib's own poll costs time for each open
/// connection at each turn; with epoll an idle connection costs nothing.

#include "LibCore/LibCore.h"

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Something that waits for a descriptor.
class io_handler
{
public:
  virtual ~io_handler() = default;
  /// `aEvents` is a set of EPOLLIN, EPOLLOUT, EPOLLHUP, EPOLLERR, EPOLLRDHUP.
  virtual void OnEvents(std::uint32_t aEvents) = 0;
};

/// Names a timer; 0 is no timer.
using timer_id = std::uint64_t;

class event_loop final : public clock_source
{
public:
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  void Watch(int aDescriptor, std::uint32_t aEvents, io_handler& aHandler);
  void ChangeEvents(int aDescriptor, std::uint32_t aEvents);
  void Forget(int aDescriptor);

  /// Calls `aAction` once, `aDelay` from now.
  timer_id After(duration aDelay, std::function<void()> aAction);
  /// Takes back a timer and sets the name to 0.
  void Cancel(timer_id& aTimer);

  /// Destroys an object at the end of this turn, when none of its functions
  /// can be on the stack any more.
  void DeleteLater(std::shared_ptr<void> aObject);

  void OnSignal(int aSignal, std::function<void()> aAction);
  void Run();
  void Quit();
  /// Waits for the next events or timers and handles them.
  void Turn();

  time_point Now() const override;
  wall_time Wall() const override;

private:
  struct watched
  {
    io_handler* mHandler = nullptr;
    std::uint32_t mGeneration = 0;
  };
  struct ready
  {
    std::uint64_t mWatch = 0;
    std::uint32_t mEvents = 0;
  };
  struct loop_source;

  static gint Poll(GPollFD* aPolled, guint aCount, gint aTimeout);
  static gboolean Prepare(GSource* aSource, gint* aTimeout);
  static gboolean Check(GSource* aSource);
  static gboolean Dispatch(GSource* aSource, GSourceFunc, gpointer);
  static gboolean RunSignalAction(gpointer aAction);
  gint WaitForReadiness(GPollFD* aPolled, guint aCount, gint aTimeout);
  void RunReady();
  void RunTimers();

  GMainLoop* mLoop = nullptr;
  GSource* mSource = nullptr;
  int mEpoll = -1;
  std::uint32_t mGeneration = 0;
  timer_id mLastTimer = 0;
  std::unordered_map<int, watched> mWatched;
  std::unordered_map<int, gushort> mPolledByGlib;
  std::vector<ready> mReady;
  std::map<std::pair<time_point, timer_id>, std::function<void()>> mTimers;
  std::unordered_map<timer_id, time_point> mTimerTimes;
  std::vector<std::shared_ptr<void>> mPendingDeletes;
  std::vector<std::unique_ptr<std::function<void()>>> mSignals;
};

} // namespace primrose
