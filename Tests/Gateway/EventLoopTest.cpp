#include "LibNet/LibNet.h"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/epoll.h>
#include <thread>
#include <unistd.h>

using namespace primrose;
using std::chrono::milliseconds;

namespace {

/// A pipe whose reading end runs an action for each byte.
struct watched_pipe final : io_handler
{
  watched_pipe(event_loop& aLoop, std::function<void()> aAction)
    : mLoop(aLoop)
    , mAction(std::move(aAction))
  {
    CPPUNIT_ASSERT_EQUAL(0, pipe(mEnds.data()));
    mLoop.Watch(mEnds[0], EPOLLIN, *this);
  }
  ~watched_pipe() override
  {
    mLoop.Unwatch(mEnds[0]);
    close(mEnds[0]);
    close(mEnds[1]);
  }
  watched_pipe(const watched_pipe&) = delete;
  watched_pipe& operator=(const watched_pipe&) = delete;

  void Write() const
  {
    CPPUNIT_ASSERT_EQUAL(ssize_t{ 1 }, write(mEnds[1], "x", 1));
  }

  void OnEvents(std::uint32_t) override
  {
    char byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t{ 1 }, read(mEnds[0], &byte, 1));
    mAction();
  }

  event_loop& mLoop;
  std::function<void()> mAction;
  std::array<int, 2> mEnds{};
};

} // namespace

class event_loop_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(event_loop_test);
  CPPUNIT_TEST(DataThatArrivedDuringWorkPrecedesTimeout);
  CPPUNIT_TEST(OverdueTimersRunInOrder);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against timeouts that expire because the process itself was busy: a
  /// gateway gave up engines whose events it had not read yet.
  void DataThatArrivedDuringWorkPrecedesTimeout()
  {
    event_loop loop;
    std::string order;
    watched_pipe data(loop, [&order]() { order += "data "; });
    watched_pipe work(loop, [&loop, &order, &data]() {
      order += "work ";
      (void)loop.After(milliseconds(1), [&order]() { order += "timeout"; });
      data.Write();
      std::this_thread::sleep_for(milliseconds(5));
    });
    work.Write();
    while (order.find("timeout") == std::string::npos) {
      loop.Turn();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("work data timeout"), order);
  }

  void OverdueTimersRunInOrder()
  {
    event_loop loop;
    std::string order;
    (void)loop.After(milliseconds(2), [&order]() { order += "b"; });
    (void)loop.After(milliseconds(1), [&order]() { order += "a"; });
    (void)loop.After(milliseconds(3), [&order]() { order += "c"; });
    std::this_thread::sleep_for(milliseconds(5));
    while (order.size() < 3) {
      loop.Turn();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), order);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(event_loop_test, "event-loop");
