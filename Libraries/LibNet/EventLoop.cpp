#include "LibNet/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace primrose {

namespace {

/// The loop of this thread. GLib's poll function takes no user data, so the
/// loop can't be passed to it.
thread_local event_loop* tLoop = nullptr;

/// Descriptors handled in one loop iteration; epoll reports the others again
/// in the next one.
constexpr int kEventsPerTurn = 128;

/// In the data of an epoll event, the generation is stored above the
/// descriptor. Generation 0 marks GLib's own descriptors.
constexpr unsigned kGenerationShift = 32;

} // namespace

struct event_loop::loop_source
{
  GSource mBase;
  event_loop* mLoop;
};

event_loop::event_loop()
  : mLoop(g_main_loop_new(nullptr, FALSE))
  , mEpoll(epoll_create1(EPOLL_CLOEXEC))
  , mStarted(Now())
{
  // A write to a connection that the peer has closed must fail with an error
  // instead of ending the process by SIGPIPE.
  (void)std::signal(SIGPIPE, SIG_IGN);
  tLoop = this;
  static GSourceFuncs functions = { &event_loop::Prepare,
                                    &event_loop::Check,
                                    &event_loop::Dispatch,
                                    nullptr,
                                    nullptr,
                                    nullptr };
  mSource = g_source_new(&functions, sizeof(loop_source));
  reinterpret_cast<loop_source*>(mSource)->mLoop = this;
  g_source_attach(mSource, nullptr);
  g_main_context_set_poll_func(nullptr, &event_loop::Poll);
}

event_loop::~event_loop()
{
  mPendingDeletes.clear();
  g_main_context_set_poll_func(nullptr, nullptr);
  g_source_destroy(mSource);
  g_source_unref(mSource);
  g_main_loop_unref(mLoop);
  close(mEpoll);
  tLoop = nullptr;
}

void
event_loop::Watch(int aDescriptor, std::uint32_t aEvents, io_handler& aHandler)
{
  const std::uint32_t generation = ++mGeneration;
  mWatched[aDescriptor] = { &aHandler, generation };
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = (std::uint64_t{ generation } << kGenerationShift) |
                   static_cast<std::uint32_t>(aDescriptor);
  epoll_ctl(mEpoll, EPOLL_CTL_ADD, aDescriptor, &event);
}

void
event_loop::ChangeEvents(int aDescriptor, std::uint32_t aEvents)
{
  const auto found = mWatched.find(aDescriptor);
  if (found == mWatched.end()) {
    return;
  }
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 =
    (std::uint64_t{ found->second.mGeneration } << kGenerationShift) |
    static_cast<std::uint32_t>(aDescriptor);
  epoll_ctl(mEpoll, EPOLL_CTL_MOD, aDescriptor, &event);
}

void
event_loop::Unwatch(int aDescriptor)
{
  if (mWatched.erase(aDescriptor) != 0) {
    epoll_ctl(mEpoll, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
}

timer_id
event_loop::After(duration aDelay, std::function<void()> aAction)
{
  const time_point due = Now() + std::max(aDelay, duration::zero());
  const timer_id id = ++mLastTimer;
  mTimers.emplace(std::pair(due, id), std::move(aAction));
  mTimerTimes.emplace(id, due);
  return id;
}

void
event_loop::Cancel(timer_id& aTimer)
{
  const auto found = mTimerTimes.find(aTimer);
  if (found != mTimerTimes.end()) {
    mTimers.erase(std::pair(found->second, found->first));
    mTimerTimes.erase(found);
  }
  aTimer = 0;
}

void
event_loop::DeleteLater(std::shared_ptr<void> aObject)
{
  mPendingDeletes.push_back(std::move(aObject));
}

gboolean
event_loop::RunSignalAction(gpointer aAction)
{
  (*static_cast<std::function<void()>*>(aAction))();
  return G_SOURCE_CONTINUE;
}

void
event_loop::OnSignal(int aSignal, std::function<void()> aAction)
{
  mSignals.push_back(
    std::make_unique<std::function<void()>>(std::move(aAction)));
  g_unix_signal_add(
    aSignal, &event_loop::RunSignalAction, mSignals.back().get());
}

void
event_loop::Run()
{
  g_main_loop_run(mLoop);
}

void
event_loop::Turn()
{
  g_main_context_iteration(nullptr, TRUE);
}

void
event_loop::Quit()
{
  g_main_loop_quit(mLoop);
}

time_point
event_loop::Now() const
{
  return std::chrono::steady_clock::now();
}

wall_time
event_loop::Wall() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

gint
event_loop::Poll(GPollFD* aPolled, guint aCount, gint aTimeout)
{
  return tLoop->WaitForReadiness(aPolled, aCount, aTimeout);
}

gint
event_loop::WaitForReadiness(GPollFD* aPolled, guint aCount, gint aTimeout)
{
  // GLib's own descriptors (its wake-up descriptor) are added to the same
  // epoll set, so that a single system call waits for everything.
  for (guint i = 0; i < aCount; ++i) {
    const int descriptor = aPolled[i].fd;
    if (!mPolledByGlib.contains(descriptor)) {
      mPolledByGlib[descriptor] = aPolled[i].events;
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.u64 = static_cast<std::uint32_t>(descriptor);
      epoll_ctl(mEpoll, EPOLL_CTL_ADD, descriptor, &event);
    }
    aPolled[i].revents = 0;
  }
  std::array<epoll_event, kEventsPerTurn> events{};
  const time_point began = Now();
  const int count = epoll_wait(mEpoll, events.data(), kEventsPerTurn, aTimeout);
  mPolledAt = Now();
  mWaited += mPolledAt - began;
  gint forGlib = 0;
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    if ((event.data.u64 >> kGenerationShift) != 0) {
      mReady.push_back({ event.data.u64, event.events });
      continue;
    }
    for (guint polled = 0; polled < aCount; ++polled) {
      if (aPolled[polled].fd == static_cast<int>(event.data.u64)) {
        aPolled[polled].revents = aPolled[polled].events;
        ++forGlib;
      }
    }
  }
  return forGlib;
}

gboolean
event_loop::Prepare(GSource* aSource, gint* aTimeout)
{
  event_loop* const loop = reinterpret_cast<loop_source*>(aSource)->mLoop;
  if (loop->mTimers.empty()) {
    *aTimeout = -1;
    return FALSE;
  }
  const duration left = loop->mTimers.begin()->first.first - loop->Now();
  if (left <= duration::zero()) {
    *aTimeout = 0;
    return TRUE;
  }
  *aTimeout = static_cast<gint>(
    std::chrono::ceil<std::chrono::milliseconds>(left).count());
  return FALSE;
}

gboolean
event_loop::Check(GSource* aSource)
{
  event_loop* const loop = reinterpret_cast<loop_source*>(aSource)->mLoop;
  return !loop->mReady.empty() ||
             (!loop->mTimers.empty() &&
              loop->mTimers.begin()->first.first <= loop->mPolledAt)
           ? TRUE
           : FALSE;
}

gboolean
event_loop::Dispatch(GSource* aSource, GSourceFunc, gpointer)
{
  event_loop* const loop = reinterpret_cast<loop_source*>(aSource)->mLoop;
  loop->RunReady();
  loop->RunTimers();
  loop->mPendingDeletes.clear();
  return G_SOURCE_CONTINUE;
}

void
event_loop::RunReady()
{
  std::vector<ready_event> batch;
  batch.swap(mReady);
  for (const ready_event& event : batch) {
    const int descriptor =
      static_cast<int>(static_cast<std::uint32_t>(event.mWatchKey));
    const auto found = mWatched.find(descriptor);
    // An earlier handler in this batch may have closed this descriptor, and a
    // new connection may have received the same number. The generation keeps
    // the events of the old connection from reaching the new one.
    if (found != mWatched.end() &&
        found->second.mGeneration == event.mWatchKey >> kGenerationShift) {
      found->second.mHandler->OnEvents(event.mEvents);
    }
  }
}

void
event_loop::RunTimers()
{
  // Timers that became due since then wait for the next poll. The handlers that
  // ran meanwhile may have taken long.
  while (!mTimers.empty() && mTimers.begin()->first.first <= mPolledAt) {
    const std::function<void()> action = std::move(mTimers.begin()->second);
    mTimerTimes.erase(mTimers.begin()->first.second);
    mTimers.erase(mTimers.begin());
    action();
  }
}

} // namespace primrose
