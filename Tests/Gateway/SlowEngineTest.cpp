#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kNoSlowEngine = "gateway_engines_slow 0\n";

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

/// A world with one engine, which takes this long for each event.
struct slow_world : world
{
  explicit slow_world(duration aPass)
    : mPass(aPass)
  {
    List("i-model", "model", mModel.mServer.Address());
    mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      aConnection.mChannel->Write(
        SuccessHead(aHead, "Transfer-Encoding: chunked\r\n"));
    };
  }

  /// Sends a request and answers it with so many events, of which each chunk
  /// holds `aBunch`.
  void Stream(int aEvents, int aBunch = 1)
  {
    const standin_caller& caller =
      Ask(Request("r1", "stream", "Token-Usage: 1000,800\r\n"));
    Until([this]() { return mModel.mLast != nullptr; }, "the request");
    for (int i = 0; i < aEvents; i += aBunch) {
      For(mPass * aBunch);
      std::string events;
      for (int j = 0; j < aBunch; ++j) {
        events += Event(i + j + 1);
      }
      std::string chunk;
      AppendChunk(chunk, events);
      mModel.mLast->mChannel->Write(chunk);
    }
    mModel.mLast->mChannel->Write(kLastChunk);
    Until([&caller]() { return caller.Answered(); }, "the whole stream");
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mModel.mHeads.size());
  }

  bool KnowsSlowEngine()
  {
    return Metrics().find(kNoSlowEngine) == std::string::npos;
  }

  duration mPass;
};

double
PaceAt(const gateway& aGateway)
{
  return LoadOf(aGateway.Board().mLedger, EngineKey("i-model")).mPace;
}

} // namespace

class slow_engine_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(slow_engine_test);
  CPPUNIT_TEST(SlowEngineIsMeasuredAndToldToPeers);
  CPPUNIT_TEST(MeasurementCanBeDisabled);
  CPPUNIT_TEST(BunchedEventsDoNotMakeEngineSlow);
  CPPUNIT_TEST(RemovedEngineIsForgotten);
  CPPUNIT_TEST_SUITE_END();

  /// Five times as long as the engine declares.
  static constexpr duration kSlowPass = milliseconds(220);

public:
  /// Guards against a gateway that gives up a stream for a slow engine, and
  /// against measurements that do not reach the peers.
  void SlowEngineIsMeasuredAndToldToPeers()
  {
    slow_world w(kSlowPass);
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    const std::unique_ptr<gateway> second =
      StartSecondGateway(w, w.mSettings.mStore);
    w.Until(
      [&]() {
        return w.mGateway->Board().mPeers.size() == 1 &&
               second->Board().mPeers.size() == 1;
      },
      "both gateways to know each other");
    CPPUNIT_ASSERT(!w.KnowsSlowEngine());
    w.Stream(10);
    CPPUNIT_ASSERT(w.KnowsSlowEngine());
    CPPUNIT_ASSERT(PaceAt(*w.mGateway) > 2);
    w.Until([&]() { return PaceAt(*second) > 1; }, "the peer to be told");
    CPPUNIT_ASSERT(w.Metrics().find("gateway_endpoints_avoided 0\n") !=
                   std::string::npos);
  }

  void MeasurementCanBeDisabled()
  {
    slow_world w(kSlowPass);
    w.mSettings.mOverload.mSpeeds = false;
    w.Start();
    w.Stream(10);
    CPPUNIT_ASSERT(!w.KnowsSlowEngine());
  }

  /// Guards against a slow engine due to events that arrive together.
  void BunchedEventsDoNotMakeEngineSlow()
  {
    slow_world w(milliseconds(60));
    w.Start();
    w.Stream(24, 3);
    CPPUNIT_ASSERT(!w.KnowsSlowEngine());
  }

  void RemovedEngineIsForgotten()
  {
    slow_world w(kSlowPass);
    w.Start();
    w.Stream(10);
    CPPUNIT_ASSERT(w.KnowsSlowEngine());
    w.mStore.Remove("servers", "i-model");
    w.Until([&w]() { return !w.KnowsSlowEngine(); },
            "the pace to be forgotten");
    CPPUNIT_ASSERT(w.Metrics().find("gateway_engine_pace_most 1\n") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(slow_engine_test, "gateway-slow-engine");
