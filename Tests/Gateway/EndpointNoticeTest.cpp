#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

void
AnswerLeaving(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(
    SuccessHead(aHead, "Server-Leaving: 1\r\nContent-Length: 2\r\n") + "ok");
  aConnection.Next();
}

/// Refuses the request with this Retry-After.
std::function<void(connection&, const http_head&)>
AnswerWithRetryAfter(const std::string& aValue)
{
  return [aValue](connection& aConnection, const http_head& aHead) {
    aConnection.mChannel->Write(
      "HTTP/1.1 503 X\r\nRequest-Id: " +
      std::string(*FieldValue(aHead.mFields, "request-id")) +
      "\r\nNot-Executed: 1\r\nRetry-After: " + aValue +
      "\r\nContent-Length: 0\r\n\r\n");
    aConnection.Next();
  };
}

void
AnswerStream(connection& aConnection, const http_head& aHead)
{
  std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
  AppendChunk(bytes, "id: 1\ndata: x\n\n");
  bytes.append(kLastChunk);
  aConnection.mChannel->Write(bytes);
  aConnection.Next();
}

void
AnswerLeavingStream(connection& aConnection, const http_head& aHead)
{
  std::string bytes =
    SuccessHead(aHead, "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n");
  AppendChunk(bytes, "id: 1\ndata: x\n\n");
  bytes.append(kLastChunk);
  aConnection.mChannel->Write(bytes);
  aConnection.Next();
}

/// Two endpoints of the service "desk", of which the first is observed.
struct two_desks : world
{
  two_desks()
  {
    List("i-second", "desk", mSecond.mServer.Address());
    mSettings.mRepeats.mRetriesPerWindow = 1000;
  }

  /// Sends requests until the first endpoint has received one.
  void AskUntilFirstIsReached()
  {
    const std::size_t before = mDeskEndpoint.mHeads.size();
    while (mDeskEndpoint.mHeads.size() == before) {
      Ask();
    }
  }

  /// Sends requests until the first endpoint, which does not answer, has
  /// received one; returns its caller.
  standin_caller& AskUntilFirstHolds()
  {
    while (true) {
      standin_caller& caller =
        world::Ask(Request("r" + std::to_string(++mAsked), "unsafe"));
      Until(
        [this, &caller]() {
          return caller.Answered() || !mDeskEndpoint.mHeads.empty();
        },
        "an answer or a request held");
      if (!mDeskEndpoint.mHeads.empty()) {
        return caller;
      }
    }
  }

  bool Lists(const std::string& aId) const
  {
    return mGateway->Board().mEndpoints.mEndpoints.contains(aId);
  }

  void ListBorn(std::int64_t aBorn)
  {
    ListEndpoint(mStore,
                 "i-desk",
                 "desk",
                 mDeskEndpoint.mServer.Address(),
                 "ready",
                 { "a", 0, aBorn });
  }

  /// When the first endpoint started, as the gateway knows it.
  std::int64_t Born() const
  {
    return mGateway->Board()
      .mEndpoints.mEndpoints.at("i-desk")
      .mListed.mBorn.value_or(0);
  }

  standin_caller& Ask(const std::string& aKind = "safe")
  {
    return Answered(Request("r" + std::to_string(++mAsked), aKind));
  }

  int mAsked = 0;
};

} // namespace

class endpoint_notice_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(endpoint_notice_test);
  CPPUNIT_TEST(EndpointThatSaysItLeavesGetsNoMoreRequests);
  CPPUNIT_TEST(EngineThatSaysItLeavesIsNoHelper);
  CPPUNIT_TEST(LeavingIsRememberedIfTheRowIsGoneMeanwhile);
  CPPUNIT_TEST(LeavingOfAnEarlierStartDoesNotBlockTheLater);
  CPPUNIT_TEST(EngineThatSaysItLeavesWhenAskedForMemoryGetsNoRequests);
  CPPUNIT_TEST(RestingEndpointGetsNoRequests);
  CPPUNIT_TEST(RequestIsRefusedAtOnceIfAllEndpointsRest);
  CPPUNIT_TEST(OddRetryAfterNeitherBlocksNorCrashes);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests to an endpoint that leaves while the store, which
  /// lists it as leaving, can't be reached.
  void EndpointThatSaysItLeavesGetsNoMoreRequests()
  {
    two_desks w;
    w.Start();
    w.mStore.StopAnswering();
    w.mDeskEndpoint.mAnswer = &AnswerLeaving;
    w.AskUntilFirstIsReached();
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT_EQUAL(200U,
                           w.Ask(i % 2 == 0 ? "safe" : "unsafe").Status());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
  }

  /// Guards against parts of a long prompt for an engine that leaves.
  void EngineThatSaysItLeavesIsNoHelper()
  {
    two_desks w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.List("i-model-2", "model", w.mSecond.mServer.Address());
    w.mModel.mAnswer = &AnswerLeavingStream;
    w.mSecond.mAnswer = &AnswerStream;
    w.Start();
    const std::string tokens = "Token-Usage: 1000,50\r\n";
    int asked = 0;
    while (w.mModel.mHeads.empty()) {
      w.Answered(w.Request("s" + std::to_string(asked++), "stream", tokens));
    }
    for (int i = 0; i < 5; ++i) {
      const std::size_t before = w.mSecond.mHeads.size();
      CPPUNIT_ASSERT_EQUAL(200U,
                           w.Answered(w.Request("l" + std::to_string(i),
                                                "stream",
                                                "Token-Usage: 30000,50\r\n"))
                             .Status());
      CPPUNIT_ASSERT_EQUAL(std::string("(none)"),
                           w.mSecond.Field(before, "helpers"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mModel.mHeads.size());
  }

  /// Guards against requests to an endpoint whose answer said that it leaves
  /// while its row had expired, and whose row returns.
  void LeavingIsRememberedIfTheRowIsGoneMeanwhile()
  {
    two_desks w;
    w.mDeskEndpoint.mAnswer = nullptr;
    w.Start();
    const standin_caller& caller = w.AskUntilFirstHolds();
    w.mStore.Remove("servers", "i-desk");
    w.Until([&w]() { return !w.Lists("i-desk"); }, "the removal");
    AnswerLeaving(*w.mDeskEndpoint.mLast, w.mDeskEndpoint.mHeads.back());
    w.Until([&caller]() { return caller.Answered(); }, "the answer");
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    w.List("i-desk", "desk", w.mDeskEndpoint.mServer.Address());
    w.Until([&w]() { return w.Lists("i-desk"); }, "the return of the row");
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT_EQUAL(200U, w.Ask().Status());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
  }

  /// Guards against an endpoint that gets no requests because an answer of its
  /// earlier start, which arrived late, said that it leaves.
  void LeavingOfAnEarlierStartDoesNotBlockTheLater()
  {
    two_desks w;
    w.ListBorn(1000);
    w.mDeskEndpoint.mAnswer = nullptr;
    w.Start();
    const standin_caller& caller = w.AskUntilFirstHolds();
    w.ListBorn(2000);
    w.Until([&w]() { return w.Born() == 2000; }, "the later start");
    AnswerLeaving(*w.mDeskEndpoint.mLast, w.mDeskEndpoint.mHeads.back());
    w.Until([&caller]() { return caller.Answered(); }, "the answer");
    w.mDeskEndpoint.mAnswer = &AnswerOk;
    w.Until(
      [&w]() {
        (void)w.Ask();
        return w.mDeskEndpoint.mHeads.size() > 1;
      },
      "a request to the later start");
  }

  /// Guards against prompts, and parts of prompts, for an engine that said in
  /// its answer to a reservation of memory that it leaves.
  void EngineThatSaysItLeavesWhenAskedForMemoryGetsNoRequests()
  {
    two_desks w;
    std::vector<std::unique_ptr<endpoint_fixture>> engines;
    std::size_t reservations = 0;
    std::size_t prompts = 0;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
      engines.back()->mAnswer = [&reservations,
                                 &prompts](connection& aConnection,
                                           const http_head& aHead) {
        if (aHead.mTarget != "/order") {
          ++prompts;
          AnswerStream(aConnection, aHead);
          return;
        }
        ++reservations;
        aConnection.mChannel->Write(
          "HTTP/1.1 200 X\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}");
        aConnection.Next();
      };
      w.List(
        "i-" + std::to_string(i), "model", engines.back()->mServer.Address());
    }
    w.Start();
    CPPUNIT_ASSERT_EQUAL(
      503U,
      w.Answered(w.Request("l", "stream", "Token-Usage: 400000,50\r\n"))
        .Status());
    CPPUNIT_ASSERT(reservations > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), prompts);
    for (std::size_t i = 0; i < engines.size(); ++i) {
      const std::string id = "i-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        id,
        !engines[i]->mHeads.empty(),
        w.mGateway->Board().mEndpoints.mEndpoints.at(id).mNotice.mLeaving);
    }
  }

  /// Guards against requests to an endpoint that has asked this gateway for
  /// rest, which it would only refuse again, and against one that is left idle
  /// after its rest.
  void RestingEndpointGetsNoRequests()
  {
    two_desks w;
    w.mDeskEndpoint.mAnswer = AnswerWithRetryAfter("1");
    w.Start();
    w.AskUntilFirstIsReached();
    const time_point refusedAt = w.mLoop.Now();
    w.mDeskEndpoint.mAnswer = &AnswerOk;
    std::size_t asked = 0;
    while (w.mLoop.Now() - refusedAt < milliseconds(900)) {
      CPPUNIT_ASSERT_EQUAL(200U, w.Ask().Status());
      ++asked;
      w.For(milliseconds(10));
    }
    CPPUNIT_ASSERT(asked > 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
    w.AskUntilFirstIsReached();
  }

  /// Guards against requests that wait, or are sent all the same, while all
  /// endpoints of the service rest, and against a Retry-After that isn't that
  /// of the endpoint whose rest ends first.
  void RequestIsRefusedAtOnceIfAllEndpointsRest()
  {
    two_desks w;
    w.mDeskEndpoint.mAnswer = AnswerWithRetryAfter("0.6");
    w.mSecond.mAnswer = AnswerWithRetryAfter("30");
    w.Start();
    while (w.mDeskEndpoint.mHeads.empty() || w.mSecond.mHeads.empty()) {
      CPPUNIT_ASSERT_EQUAL(503U, w.Ask().Status());
    }
    const time_point asked = w.mLoop.Now();
    const standin_caller& refused = w.Ask();
    CPPUNIT_ASSERT_EQUAL(503U, refused.Status());
    CPPUNIT_ASSERT(w.mLoop.Now() - asked < milliseconds(200));
    const double retryAfter = std::stod(*refused.Field("retry-after"));
    CPPUNIT_ASSERT(retryAfter > 0.2 && retryAfter <= 0.6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mSecond.mHeads.size());
  }

  /// Guards against a Retry-After that is no number of seconds, or one so large
  /// that sums with it overflow.
  void OddRetryAfterNeitherBlocksNorCrashes()
  {
    for (const char* const text : { "-1",
                                    "nan",
                                    "inf",
                                    "soon",
                                    "3 s",
                                    "",
                                    "Wed, 21 Oct 2026 07:28:00 GMT" }) {
      world w;
      w.mDeskEndpoint.mAnswer = AnswerWithRetryAfter(text);
      w.Start();
      CPPUNIT_ASSERT_EQUAL(503U, w.Answered(w.Request("a", "safe")).Status());
      w.mDeskEndpoint.mAnswer = &AnswerOk;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        text, 200U, w.Answered(w.Request("b", "safe")).Status());
    }
    for (const char* const text : { "1e18", "99999999999999999999" }) {
      world w;
      w.mDeskEndpoint.mAnswer = AnswerWithRetryAfter(text);
      w.Start();
      CPPUNIT_ASSERT_EQUAL(503U, w.Answered(w.Request("a", "safe")).Status());
      w.mDeskEndpoint.mAnswer = &AnswerOk;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        text, 503U, w.Answered(w.Request("b", "safe")).Status());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endpoint_notice_test, "notices");
