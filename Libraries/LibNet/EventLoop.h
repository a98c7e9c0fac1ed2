#pragma once

/// GLib's main loop on top of epoll. GLib's own poll() takes time for each open
/// connection in each loop iteration; with epoll, idle connections are free.

#include "LibCore/LibCore.h"

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Handles the events of a watched descriptor.
class io_handler
{
public:
  virtual ~io_handler() = default;
  /// `aEvents` is a set of EPOLLIN, EPOLLOUT, EPOLLHUP, EPOLLERR, EPOLLRDHUP.
  virtual void OnEvents(std::uint32_t aEvents) = 0;
};

/// Identifies a timer; 0 means no timer.
using timer_id = std::uint64_t;

/// The event loop of a process: descriptors, timers and signals, all handled in
/// one thread.
class event_loop final : public clock_source
{
public:
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Calls `aHandler` for the epoll events `aEvents` of a descriptor until
  /// `Unwatch`.
  void Watch(int aDescriptor, std::uint32_t aEvents, io_handler& aHandler);
  /// Replaces the set of events that a descriptor is watched for.
  void ChangeEvents(int aDescriptor, std::uint32_t aEvents);
  void Unwatch(int aDescriptor);

  /// Calls `aAction` once, `aDelay` from now. Descriptors that are ready by
  /// then are handled first, also if the loop was busy at that time: a timeout
  /// does not expire while the data that it waits for has arrived.
  timer_id After(duration aDelay, std::function<void()> aAction);
  /// Cancels a timer and sets `aTimer` to 0.
  void Cancel(timer_id& aTimer);

  /// Destroys an object at the end of this loop iteration, when none of its
  /// functions can be on the stack any more.
  void DeleteLater(std::shared_ptr<void> aObject);

  void OnSignal(int aSignal, std::function<void()> aAction);
  void Run();
  void Quit();
  /// Runs one loop iteration: waits for events or timers and handles them.
  void Turn();

  time_point Now() const override;
  wall_time Wall() const override;
  /// Time since the start in which the loop did not wait for events.
  duration BusyTime() const { return Now() - mStarted - mWaited; }

private:
  struct watch_entry
  {
    io_handler* mHandler = nullptr;
    std::uint32_t mGeneration = 0;
  };
  struct ready_event
  {
    std::uint64_t mWatchKey = 0; ///< Generation and descriptor.
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
  time_point mStarted;
  duration mWaited{};
  /// When the ready descriptors were last asked for.
  time_point mPolledAt{};
  std::uint32_t mGeneration = 0;
  timer_id mLastTimer = 0;
  std::unordered_map<int, watch_entry> mWatched;
  std::unordered_map<int, gushort> mPolledByGlib;
  std::vector<ready_event> mReady;
  std::map<std::pair<time_point, timer_id>, std::function<void()>> mTimers;
  std::unordered_map<timer_id, time_point> mTimerTimes;
  std::vector<std::shared_ptr<void>> mPendingDeletes;
  std::vector<std::unique_ptr<std::function<void()>>> mSignals;
};

} // namespace primrose
