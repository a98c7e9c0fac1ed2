#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A gateway with one peer, which is always in time.
struct late_world : world
{
  explicit late_world(bool aEnabled)
  {
    mSettings.mPeers.mPort = FreePort();
    mSettings.mOverload.mLate = aEnabled;
    Start();
    CPPUNIT_ASSERT(Capture<int>([this]() -> result<int> {
      BOOST_LEAF_ASSIGN(
        mPeer,
        datagram_socket::Open(mLoop,
                              { "127.0.0.2", mSettings.mPeers.mPort },
                              [](std::string_view, const ip_address&) {}));
      return 0;
    }));
  }

  void SendHeartbeat()
  {
    peer_message message;
    message.mGatewayIncarnation = 7;
    message.mLateness = { DataCentreId(mSettings.mDataCentre), {} };
    mPeer->Send(EncodePeerMessage(message, mLoop.Now()), mSettings.mPeers);
  }

  /// Keeps the event loop from running for two thirds of this time.
  void Block(duration aTime)
  {
    const time_point end = mLoop.Now() + aTime;
    while (mLoop.Now() < end) {
      SendHeartbeat();
      std::this_thread::sleep_for(milliseconds(200));
      For(milliseconds(100));
    }
  }

  unsigned Readiness()
  {
    standin_caller probe(mLoop, mGateway->ReadinessPort());
    probe.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    Until([&probe]() { return probe.Answered(); }, "a probe");
    return probe.Status();
  }

  std::unique_ptr<datagram_socket> mPeer;
};

} // namespace

class late_gateway_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(late_gateway_test);
  CPPUNIT_TEST(LateGatewayIsNotReadyAndStillServes);
  CPPUNIT_TEST(LatenessCanBeDisabled);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against callers who are sent to a gateway that is late, and against
  /// losing those who are connected to it.
  void LateGatewayIsNotReadyAndStillServes()
  {
    late_world w(true);
    CPPUNIT_ASSERT_EQUAL(200U, w.Readiness());
    w.Block(seconds(4));
    CPPUNIT_ASSERT_EQUAL(503U, w.Readiness());
    const standin_caller& served = w.Answered(w.Request("r1", "safe"));
    CPPUNIT_ASSERT_EQUAL(200U, served.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("close"),
                         std::string(served.Field("connection").value_or("")));
    w.Until(
      [&w]() {
        w.SendHeartbeat();
        return w.Readiness() == 200U;
      },
      "the gateway to be ready again");
  }

  void LatenessCanBeDisabled()
  {
    late_world w(false);
    w.Block(seconds(4));
    CPPUNIT_ASSERT_EQUAL(200U, w.Readiness());
    CPPUNIT_ASSERT(w.mGateway->Board().mLateness > duration::zero());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_gateway_test, "late-gateway");
