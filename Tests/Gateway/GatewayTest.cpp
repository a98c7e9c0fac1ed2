#include "Standin.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

using connection = standin_server::connection;

/// An endpoint that keeps what it was sent and answers as it is told.
struct endpoint_fixture
{
  explicit endpoint_fixture(event_loop& aLoop)
    : mServer(aLoop,
              [this](connection& aConnection,
                     const http_head& aHead,
                     const std::string& aBody) {
                mHeads.push_back(aHead);
                mBodies.push_back(aBody);
                mLast = &aConnection;
                if (mAnswer) {
                  mAnswer(aConnection, aHead);
                }
              })
  {
  }

  std::string Field(std::size_t aIndex, std::string_view aName) const
  {
    return std::string(
      FieldValue(mHeads.at(aIndex).mFields, aName).value_or("(none)"));
  }

  std::vector<http_head> mHeads;
  std::vector<std::string> mBodies;
  connection* mLast = nullptr;
  std::function<void(connection&, const http_head&)> mAnswer;
  standin_server mServer;
};

void
AnswerOk(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(GoodHead(aHead, "Content-Length: 2\r\n") + "ok");
  aConnection.Next();
}

void
AnswerRefused(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(
    "HTTP/1.1 503 X\r\nRequest-Id: " +
    std::string(*FieldValue(aHead.mFields, "request-id")) +
    "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  aConnection.Next();
}

struct world : gateway_world
{
  world()
    : mDesk(mLoop)
    , mSecond(mLoop)
    , mModel(mLoop)
  {
    mDesk.mAnswer = &AnswerOk;
    mSecond.mAnswer = &AnswerOk;
    PutManifest(3);
    List("i-desk", "desk", mDesk.mServer.Address());
  }

  standin_caller& Ask(const std::string& aBytes)
  {
    mCallers.push_back(
      std::make_unique<standin_caller>(mLoop, mGateway->CallersPort()));
    mCallers.back()->Send(aBytes);
    return *mCallers.back();
  }

  standin_caller& Answered(const std::string& aBytes)
  {
    standin_caller& caller = Ask(aBytes);
    Until([&caller]() { return caller.Answered() || caller.Ended(); },
          "an answer");
    return caller;
  }

  endpoint_fixture mDesk;
  endpoint_fixture mSecond;
  endpoint_fixture mModel;
  std::vector<std::unique_ptr<standin_caller>> mCallers;
};

} // namespace

class forwarding_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(forwarding_test);
  CPPUNIT_TEST(ForwardsUnchangedAndAddsItsOwn);
  CPPUNIT_TEST(UnknownRouteAndKey);
  CPPUNIT_TEST(NothingIsServedBeforeAManifest);
  CPPUNIT_TEST(KeptConnectionServesManyRequests);
  CPPUNIT_TEST(SecondAnswerBelongsToNobody);
  CPPUNIT_TEST(ForeignAnswerIsNotPassedOn);
  CPPUNIT_TEST(UnprovenAnswerIsNoSuccess);
  CPPUNIT_TEST(ShortAnswerIsNoSuccess);
  CPPUNIT_TEST(AnswerWithoutLengthIsWhole);
  CPPUNIT_TEST(SmuggledRequestIsRefused);
  CPPUNIT_TEST(RequestsAheadAreAnsweredInOrder);
  CPPUNIT_TEST(GuardedCallRunsOnce);
  CPPUNIT_TEST(RefusedByEndpointIsTold);
  CPPUNIT_TEST(AddressOfAnotherIsTriedElsewhere);
  CPPUNIT_TEST(RepeatsOnlyWithinAttempts);
  CPPUNIT_TEST(SlowEndpointIsBetterThanNone);
  CPPUNIT_TEST(FailureIsForwardedWhereNobodyElseIs);
  CPPUNIT_TEST(DeadlineEndsARequest);
  CPPUNIT_TEST(CallerThatLeavesIsNotWorkedFor);
  CPPUNIT_TEST_SUITE_END();

public:
  void ForwardsUnchangedAndAddsItsOwn()
  {
    world w;
    w.Start();
    const standin_caller& caller = w.Answered(
      w.Request("r1",
                "safe",
                "X-Custom: kept\r\nTenant: forged\r\nDeadline-Ms: 4000\r\n"
                "Connection: x-hop\r\nX-Hop: dropped\r\n"
                "Expect-Instance: forged\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), caller.Body());
    CPPUNIT_ASSERT_EQUAL(std::string("proof"), *caller.Field("response-seal"));
    CPPUNIT_ASSERT_EQUAL(std::string("/safe/x"), w.mDesk.mHeads.at(0).mTarget);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), w.mDesk.mBodies.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), w.mDesk.Field(0, "x-custom"));
    CPPUNIT_ASSERT_EQUAL(std::string("hanbit"), w.mDesk.Field(0, "tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-desk"),
                         w.mDesk.Field(0, "expect-instance"));
    CPPUNIT_ASSERT_EQUAL(std::string("(none)"),
                         w.mDesk.Field(0, "authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string("(none)"), w.mDesk.Field(0, "x-hop"));
    const int left = std::stoi(w.mDesk.Field(0, "deadline-ms"));
    CPPUNIT_ASSERT(left > 0 && left <= 4000);
  }

  void UnknownRouteAndKey()
  {
    world w;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(404U, w.Answered(w.Request("r1", "none")).Status());
    std::string other = w.Request("r2", "safe");
    other.replace(other.find("key-1"), 5, "key-2");
    CPPUNIT_ASSERT_EQUAL(401U, w.Answered(other).Status());
    CPPUNIT_ASSERT(w.mDesk.mHeads.empty());
  }

  void NothingIsServedBeforeAManifest()
  {
    world w;
    w.mStore.SetMood(standin_store::mood::Refusing);
    w.mGateway =
      std::make_unique<gateway>(w.mLoop, w.mSettings, platform::Adapter());
    CPPUNIT_ASSERT(Capture<int>([&w]() -> result<int> {
      BOOST_LEAF_CHECK(w.mGateway->Start());
      return 0;
    }));
    const standin_caller& caller = w.Answered(w.Request("r1", "safe"));
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT(caller.Field("retry-after").has_value());
    standin_caller probe(w.mLoop, w.mGateway->ReadinessPort());
    probe.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    w.Until([&probe]() { return probe.Answered(); }, "a probe");
    CPPUNIT_ASSERT_EQUAL(503U, probe.Status());
    w.mStore.SetMood(standin_store::mood::Good);
    // The two tables are read independently of each other.
    w.Until(
      [&w]() {
        return w.mGateway->Board().mManifest != nullptr &&
               w.mGateway->Board().mEndpointsKnown;
      },
      "the manifest and the list");
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r2", "safe")).Status());
  }

  void KeptConnectionServesManyRequests()
  {
    world w;
    w.Start();
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("r" + std::to_string(i), "safe")).Status());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDesk.mServer.Connections().size());
  }

  /// Symptom: a caller gets the answer to somebody else's request.
  /// Sequence: an endpoint answers twice on a kept connection; the next request
  /// goes out on it and the second answer is taken for its own.
  /// Cause: a connection with bytes that nobody asked for was used again.
  void SecondAnswerBelongsToNobody()
  {
    world w;
    w.mDesk.mAnswer = [](connection& aConnection, const http_head& aHead) {
      const std::string one = GoodHead(aHead, "Content-Length: 2\r\n") + "ok";
      aConnection.mChannel->Write(one + one);
      aConnection.Next();
    };
    w.Start();
    for (int i = 0; i < 4; ++i) {
      const std::string id = "r" + std::to_string(i);
      const standin_caller& caller = w.Answered(w.Request(id, "safe"));
      CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
      CPPUNIT_ASSERT_EQUAL(id, *caller.Field("request-id"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), w.mDesk.mServer.Connections().size());
  }

  void ForeignAnswerIsNotPassedOn()
  {
    world w;
    w.mDesk.mAnswer = [](connection& aConnection, const http_head&) {
      aConnection.mChannel->Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: p\r\n"
        "Content-Length: 6\r\n\r\nsecret");
    };
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(502U, caller.Status());
    CPPUNIT_ASSERT(caller.Seen().find("secret") == std::string::npos);
  }

  void UnprovenAnswerIsNoSuccess()
  {
    world w;
    w.mDesk.mAnswer = [](connection& aConnection, const http_head& aHead) {
      aConnection.mChannel->Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: " +
        std::string(*FieldValue(aHead.mFields, "request-id")) +
        "\r\nContent-Length: 2\r\n\r\nno");
    };
    w.Start();
    CPPUNIT_ASSERT_EQUAL(502U, w.Answered(w.Request("r1", "unsafe")).Status());
  }

  void ShortAnswerIsNoSuccess()
  {
    world w;
    w.mDesk.mAnswer = [](connection& aConnection, const http_head& aHead) {
      aConnection.mChannel->Write(GoodHead(aHead, "Content-Length: 9\r\n") +
                                  "half");
      aConnection.mChannel->CloseWhenDrained();
    };
    w.Start();
    CPPUNIT_ASSERT_EQUAL(502U, w.Answered(w.Request("r1", "unsafe")).Status());
  }

  void AnswerWithoutLengthIsWhole()
  {
    world w;
    w.mDesk.mAnswer = [](connection& aConnection, const http_head& aHead) {
      aConnection.mChannel->Write(GoodHead(aHead, "") + "to the end");
      aConnection.mChannel->CloseWhenDrained();
    };
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("to the end"), caller.Body());
  }

  void SmuggledRequestIsRefused()
  {
    world w;
    w.Start();
    const std::string inner = w.Request("inner", "unsafe");
    const standin_caller& caller = w.Answered(
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: outer\r\n"
      "Authorization: Token key-1\r\nContent-Length: " +
      std::to_string(inner.size()) +
      "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner);
    CPPUNIT_ASSERT_EQUAL(400U, caller.Status());
    w.For(milliseconds(50));
    CPPUNIT_ASSERT(w.mDesk.mHeads.empty());
  }

  void RequestsAheadAreAnsweredInOrder()
  {
    world w;
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "safe") + w.Request("r2", "safe"));
    w.Until(
      [&caller]() {
        return caller.Seen().find("Request-Id: r2") != std::string::npos;
      },
      "both answers");
    CPPUNIT_ASSERT(caller.Seen().find("Request-Id: r1") <
                   caller.Seen().find("Request-Id: r2"));
  }

  /// Symptom: a rights holder is billed twice.
  /// Sequence: a call that may not be repeated is sent; the endpoint runs it
  /// and its connection breaks before the answer.
  /// Cause: the entry sends it again, or tells the caller that it did not run,
  /// so that the caller does.
  void GuardedCallRunsOnce()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.mDesk.mAnswer = [](connection& aConnection, const http_head&) {
      aConnection.mChannel->Abort();
    };
    w.mSecond.mAnswer = w.mDesk.mAnswer;
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(502U, caller.Status());
    CPPUNIT_ASSERT(!caller.Field("retry-after").has_value());
    w.For(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         w.mDesk.mHeads.size() + w.mSecond.mHeads.size());
  }

  void RefusedByEndpointIsTold()
  {
    world w;
    w.mDesk.mAnswer = &AnswerRefused;
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT(caller.Field("retry-after").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDesk.mHeads.size());
  }

  void AddressOfAnotherIsTriedElsewhere()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.mDesk.mAnswer = [](connection& aConnection, const http_head&) {
      aConnection.mChannel->Write("HTTP/1.1 421 X\r\nInstance-Id: i-new\r\n"
                                  "Content-Length: 0\r\n\r\n");
      aConnection.Next();
    };
    w.Start();
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("r" + std::to_string(i), "safe")).Status());
    }
    // It is avoided after the first such answer.
    CPPUNIT_ASSERT(w.mDesk.mHeads.size() <= 1);
  }

  void RepeatsOnlyWithinAttempts()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    endpoint_fixture third(w.mLoop);
    w.List("i-third", "desk", third.mServer.Address());
    const auto fail = [](connection& aConnection, const http_head& aHead) {
      aConnection.mChannel->Write(
        "HTTP/1.1 500 X\r\nRequest-Id: " +
        std::string(*FieldValue(aHead.mFields, "request-id")) +
        "\r\nResponse-Seal: p\r\nContent-Length: 0\r\n\r\n");
      aConnection.Next();
    };
    w.mDesk.mAnswer = fail;
    w.mSecond.mAnswer = fail;
    third.mAnswer = fail;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(500U, w.Answered(w.Request("r1", "safe")).Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         w.mDesk.mHeads.size() + w.mSecond.mHeads.size() +
                           third.mHeads.size());
  }

  /// Symptom: a call fails though its endpoint would have answered. Sequence:
  /// the only endpoint is silent for a while; the attempt is given up to ask
  /// another. Cause: nobody looked whether there is another.
  void SlowEndpointIsBetterThanNone()
  {
    world w;
    w.mDesk.mAnswer = nullptr;
    w.Start();
    standin_caller& caller = w.Ask(w.Request("r1", "safe"));
    w.For(milliseconds(1400));
    CPPUNIT_ASSERT(!caller.Answered());
    AnswerOk(*w.mDesk.mLast, w.mDesk.mHeads.at(0));
    w.Until([&caller]() { return caller.Answered() || caller.Ended(); },
            "the answer");
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
  }

  void FailureIsForwardedWhereNobodyElseIs()
  {
    world w;
    w.mDesk.mAnswer = [](connection& aConnection, const http_head& aHead) {
      aConnection.mChannel->Write(
        "HTTP/1.1 500 X\r\nRequest-Id: " +
        std::string(*FieldValue(aHead.mFields, "request-id")) +
        "\r\nResponse-Seal: p\r\nContent-Length: 3\r\n\r\nbad");
      aConnection.Next();
    };
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "safe"));
    CPPUNIT_ASSERT_EQUAL(500U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), caller.Body());
  }

  void DeadlineEndsARequest()
  {
    world w;
    w.mDesk.mAnswer = nullptr;
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "unsafe", "Deadline-Ms: 120\r\n"));
    CPPUNIT_ASSERT_EQUAL(504U, caller.Status());
    w.Until([&w]() { return w.mDesk.mServer.Ended() == 1; },
            "the endpoint's connection is closed");
  }

  /// Symptom: engines work for callers that are gone. Sequence: a caller
  /// closes its connection while an endpoint works. Cause: the entry notices
  /// only when it writes the answer.
  void CallerThatLeavesIsNotWorkedFor()
  {
    world w;
    w.mDesk.mAnswer = nullptr;
    w.Start();
    standin_caller& caller = w.Ask(w.Request("r1", "safe"));
    w.Until([&w]() { return w.mDesk.mHeads.size() == 1; }, "it is sent");
    caller.Leave();
    w.Until([&w]() { return w.mDesk.mServer.Ended() == 1; },
            "the endpoint's connection is closed");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), w.mGateway->Board().mOpenRequests);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(forwarding_test, "forwarding");

class stream_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(stream_test);
  CPPUNIT_TEST(EventsAreForwardedAsTheyArrive);
  CPPUNIT_TEST(BrokenStreamGoesOnElsewhere);
  CPPUNIT_TEST(BrokenReviewIsNotTurnedAway);
  CPPUNIT_TEST(StreamThatCannotGoOnIsCut);
  CPPUNIT_TEST(CallerThatDoesNotReadHoldsTheEndpointBack);
  CPPUNIT_TEST(GiantPromptSetsMemoryAsideAndFreesIt);
  CPPUNIT_TEST(PartOfTheMemoryIsGivenBack);
  CPPUNIT_TEST_SUITE_END();

  static std::string Event(int aId)
  {
    return "id: " + std::to_string(aId) + "\ndata: x\n\n";
  }

public:
  void EventsAreForwardedAsTheyArrive()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = GoodHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1) + "id: 2\nhalf");
      aConnection.mChannel->Write(bytes);
    };
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until(
      [&caller]() { return caller.Seen().find(Event(1)) != std::string::npos; },
      "the first event, before the second is whole");
    CPPUNIT_ASSERT(caller.Seen().find("half") == std::string::npos);
    std::string rest;
    AppendChunk(rest, "\n\n");
    rest.append(kLastChunk);
    w.mModel.mLast->mChannel->Write(rest);
    w.Until([&caller]() { return caller.Answered(); }, "the whole stream");
    CPPUNIT_ASSERT_EQUAL(Event(1) + "id: 2\nhalf\n\n", caller.Body());
  }

  /// Symptom: a review disappears in mid-stream. Sequence: the engine that
  /// writes it dies between two events. Cause: nobody asks another engine to
  /// go on after the last event that the caller has.
  void BrokenStreamGoesOnElsewhere()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    endpoint_fixture other(w.mLoop);
    const auto answer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = GoodHead(aHead, "Transfer-Encoding: chunked\r\n");
      if (!FieldValue(aHead.mFields, "last-event-id").has_value()) {
        AppendChunk(bytes, Event(1) + Event(2) + "id: 3\nda");
        aConnection.mChannel->Write(bytes);
        aConnection.mChannel->CloseWhenDrained();
        return;
      }
      AppendChunk(bytes, Event(3) + Event(4));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
    };
    w.mModel.mAnswer = answer;
    other.mAnswer = answer;
    w.List("i-other", "model", other.mServer.Address());
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    CPPUNIT_ASSERT(caller.Answered());
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3) + Event(4),
                         caller.Body());
    const endpoint_fixture& second =
      w.mModel.Field(0, "last-event-id") == "2" ? w.mModel : other;
    CPPUNIT_ASSERT_EQUAL(std::string("2"), second.Field(0, "last-event-id"));
  }

  /// Symptom: a review disappears after its first events though another engine
  /// could go on. Sequence: it breaks off while the engines are busy; what it
  /// takes from others is weighed again, and it is turned away.
  /// Cause: a request that was taken on was judged as one that has just come.
  void BrokenReviewIsNotTurnedAway()
  {
    world w;
    endpoint_fixture other(w.mLoop);
    const auto answer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = GoodHead(aHead, "Transfer-Encoding: chunked\r\n");
      if (!FieldValue(aHead.mFields, "last-event-id").has_value()) {
        AppendChunk(bytes, Event(1));
        aConnection.mChannel->Write(bytes);
        aConnection.mChannel->CloseWhenDrained();
        return;
      }
      AppendChunk(bytes, Event(2));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
    };
    w.mModel.mAnswer = answer;
    other.mAnswer = answer;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.List("i-other", "model", other.mServer.Address());
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 200000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.Body());
    CPPUNIT_ASSERT(caller.Answered());
  }

  void StreamThatCannotGoOnIsCut()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = GoodHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      aConnection.mChannel->Write(bytes);
      aConnection.mChannel->CloseWhenDrained();
    };
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until([&caller]() { return caller.Ended(); }, "the cut");
    // What broke off does not look whole.
    CPPUNIT_ASSERT(!caller.Answered());
  }

  void CallerThatDoesNotReadHoldsTheEndpointBack()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    constexpr std::size_t kMost = std::size_t{ 64 } * 1024 * 1024;
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = GoodHead(aHead, "Transfer-Encoding: chunked\r\n");
      const std::string filler(60000, 'x');
      for (int id = 1; bytes.size() < kMost; ++id) {
        AppendChunk(bytes,
                    "id: " + std::to_string(id) + "\ndata: " + filler + "\n\n");
      }
      aConnection.mChannel->Write(bytes);
    };
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    caller.StopReading(true);
    w.Until([&w]() { return w.mModel.mLast != nullptr; }, "it is sent");
    w.For(milliseconds(400));
    // The endpoint keeps most of its answer: it cannot hand it over.
    CPPUNIT_ASSERT(w.mModel.mLast->mChannel->Pending() > kMost / 2);
  }

  /// An endpoint that grants memory and streams two events for a request.
  static void Engine(endpoint_fixture& aEngine, unsigned aOrderStatus)
  {
    aEngine.mAnswer = [aOrderStatus](connection& aConnection,
                                     const http_head& aHead) {
      if (aHead.mTarget == "/order") {
        aConnection.mChannel->Write("HTTP/1.1 " + std::to_string(aOrderStatus) +
                                    " X\r\nContent-Length: 2\r\n\r\n{}");
        aConnection.Next();
        return;
      }
      std::string bytes = GoodHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
      aConnection.Next();
    };
  }

  static std::size_t Orders(const endpoint_fixture& aEngine,
                            const std::string& aOperation)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < aEngine.mHeads.size(); ++i) {
      if (aEngine.mHeads[i].mTarget == "/order" &&
          aEngine.mBodies[i].find(aOperation) != std::string::npos) {
        ++count;
      }
    }
    return count;
  }

  void GiantPromptSetsMemoryAsideAndFreesIt()
  {
    world w;
    std::vector<std::unique_ptr<endpoint_fixture>> engines;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
      Engine(*engines.back(), 200);
      w.List(
        "i-" + std::to_string(i), "model", engines.back()->mServer.Address());
    }
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 400000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    std::size_t reserved = 0;
    std::size_t released = 0;
    w.Until(
      [&]() {
        reserved = 0;
        released = 0;
        for (const std::unique_ptr<endpoint_fixture>& engine : engines) {
          reserved += Orders(*engine, "reserve");
          released += Orders(*engine, "release");
        }
        return released > 0 && released >= reserved;
      },
      "the memory is freed");
    CPPUNIT_ASSERT(reserved >= 1);
    bool named = false;
    for (const std::unique_ptr<endpoint_fixture>& engine : engines) {
      for (std::size_t i = 0; i < engine->mHeads.size(); ++i) {
        named =
          named || engine->Field(i, "helpers").find('/') != std::string::npos;
      }
    }
    CPPUNIT_ASSERT(named);
  }

  /// Symptom: two giant prompts wait for each other for ever. Sequence: each
  /// holds memory on some engines and is refused on others. Cause: what was
  /// granted is kept while the rest is waited for.
  void PartOfTheMemoryIsGivenBack()
  {
    world w;
    std::vector<std::unique_ptr<endpoint_fixture>> engines;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
      Engine(*engines.back(), 409);
      w.List(
        "i-" + std::to_string(i), "model", engines.back()->mServer.Address());
    }
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 400000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT(caller.Field("retry-after").has_value());
    for (const std::unique_ptr<endpoint_fixture>& engine : engines) {
      for (const http_head& head : engine->mHeads) {
        CPPUNIT_ASSERT_EQUAL(std::string("/order"), head.mTarget);
      }
    }
    w.Until(
      [&]() {
        std::size_t reserved = 0;
        std::size_t released = 0;
        for (const std::unique_ptr<endpoint_fixture>& engine : engines) {
          reserved += Orders(*engine, "reserve");
          released += Orders(*engine, "release");
        }
        return reserved > 0 && reserved == released;
      },
      "all is given back");
    CPPUNIT_ASSERT(w.mGateway->Board().mLedger.mPlacements.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stream_test, "gateway-streams");

class gateway_belief_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_belief_test);
  CPPUNIT_TEST(NewManifestIsInForce);
  CPPUNIT_TEST(LostHistoryIsReadAgain);
  CPPUNIT_TEST(SilentStoreIsAskedAgain);
  CPPUNIT_TEST(LeavingEndpointGetsNothingNew);
  CPPUNIT_TEST(EntryLeavesItsAddress);
  CPPUNIT_TEST(EntryWithoutStoreAsksItsPeers);
  CPPUNIT_TEST(NewEntryLearnsWhatIsPlaced);
  CPPUNIT_TEST(LoneEntrySpendsLittleOfTheBudget);
  CPPUNIT_TEST(BeliefsSurviveTheWire);
  CPPUNIT_TEST(DrainingEntryFinishesAndRefusesLongWork);
  CPPUNIT_TEST_SUITE_END();

public:
  void NewManifestIsInForce()
  {
    world w;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(404U, w.Answered(w.Request("r1", "added")).Status());
    w.PutManifest(9, "added");
    w.Until(
      [&w]() {
        return w.mGateway->Board().mManifest->Manifest().mVersion == 9;
      },
      "the new version");
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r2", "added")).Status());
    // An older one that comes late changes nothing.
    w.PutManifest(5);
    w.For(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r3", "added")).Status());
  }

  /// Symptom: an entry serves by a manifest that is minutes old. Sequence: the
  /// platform forgets its history; the question about changes fails from then
  /// on. Cause: the entry asks for changes again instead of the whole.
  void LostHistoryIsReadAgain()
  {
    world w;
    w.Start();
    w.PutManifest(9, "added");
    w.mStore.LoseHistory();
    w.PutManifest(11, "more");
    w.Until(
      [&w]() {
        return w.mGateway->Board().mManifest->Manifest().mVersion == 11;
      },
      "the newest version");
  }

  /// Symptom: the same. Sequence: the platform's answer is lost and its
  /// connection stays open, silent for ever. Cause: the entry waits for it.
  void SilentStoreIsAskedAgain()
  {
    world w;
    w.Start();
    w.mStore.SetMood(standin_store::mood::Silent);
    w.PutManifest(9, "added");
    w.For(milliseconds(200));
    w.mStore.SetMood(standin_store::mood::Good);
    w.Until(
      [&w]() {
        return w.mGateway->Board().mManifest->Manifest().mVersion == 9;
      },
      "the newest version");
  }

  void LeavingEndpointGetsNothingNew()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.Start();
    w.List("i-desk", "desk", w.mDesk.mServer.Address(), "draining");
    w.Until(
      [&w]() {
        return w.mGateway->Board()
          .mEndpoints.mEndpoints.at("i-desk")
          .mListed.mLeaving;
      },
      "the change of the list");
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("r" + std::to_string(i), "safe")).Status());
    }
    CPPUNIT_ASSERT(w.mDesk.mHeads.empty());
  }

  void EntryLeavesItsAddress()
  {
    world w;
    w.Start();
    w.Until([&w]() { return w.mStore.Has("entries", "127.0.0.1"); },
            "the entry's row");
  }

  /// A second entry, on another loopback address, that knows the first.
  static std::unique_ptr<gateway> Second(world& aWorld, bool aStore)
  {
    gateway_settings settings = aWorld.mSettings;
    settings.mName = "entry-2";
    settings.mCallers.mHost = "127.0.0.2";
    settings.mReadiness.mHost = "127.0.0.2";
    settings.mMetrics.mHost = "127.0.0.2";
    settings.mPeers.mHost = "127.0.0.2";
    settings.mSeeds = { "127.0.0.1" };
    if (!aStore) {
      settings.mStore = { "127.0.0.3", 9 };
    }
    std::unique_ptr<gateway> second =
      std::make_unique<gateway>(aWorld.mLoop, settings, platform::Adapter());
    CPPUNIT_ASSERT(Capture<int>([&second]() -> result<int> {
      BOOST_LEAF_CHECK(second->Start());
      return 0;
    }));
    return second;
  }

  /// Symptom: after a restart during an outage of the store an entry refuses
  /// everything until the store is back, and so does one that the store turns
  /// away. Sequence: the entry starts; the store does not answer; its peers
  /// have the manifest. Cause: only the store was asked.
  void EntryWithoutStoreAsksItsPeers()
  {
    world w;
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    const std::unique_ptr<gateway> second = Second(w, false);
    w.Until(
      [&second]() {
        return second->Board().mManifest != nullptr &&
               second->Board().mEndpointsKnown;
      },
      "the peer's rows");
    CPPUNIT_ASSERT(second->Board().mEndpoints.mEndpoints.contains("i-desk"));
    // It hears of later changes the same way, also of what left.
    w.PutManifest(9, "added");
    w.mStore.Remove("servers", "i-desk");
    w.Until(
      [&second]() {
        return second->Board().mManifest->Manifest().mVersion == 9 &&
               !second->Board().mEndpoints.mEndpoints.contains("i-desk");
      },
      "the changes");
  }

  /// Symptom: after a restart engines that are full shed what an entry sends.
  /// Sequence: an entry places work; another starts and is told only of what
  /// is placed from then on. Cause: it takes busy engines for idle ones.
  void NewEntryLearnsWhatIsPlaced()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = nullptr;
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    (void)w.Ask(w.Request("r1", "stream", "Token-Usage: 3000,50\r\n"));
    w.Until([&w]() { return w.mModel.mHeads.size() == 1; }, "it is sent");
    const std::unique_ptr<gateway> second = Second(w, true);
    w.Until(
      [&second]() { return second->Board().mLedger.mPlacements.size() == 1; },
      "the placement of the first entry");
    w.mCallers.back()->Leave();
    w.Until([&second]() { return second->Board().mLedger.mPlacements.empty(); },
            "its end");
  }

  /// Symptom: repeats over the operator's bound right after all entries were
  /// killed. Sequence: each starts, knows of no other, and spends the whole of
  /// the fixed part. Cause: an entry that knows nobody took itself for alone.
  void LoneEntrySpendsLittleOfTheBudget()
  {
    gateway_board board;
    const repeat_bound bound{ 0, 130, std::chrono::seconds(10) };
    constexpr std::size_t kEntries = 27;
    repeat_record record;
    std::size_t granted = 0;
    for (int i = 0; i < 200; ++i) {
      granted +=
        TakeRepeat(record, bound, EntryCount(board), time_point{}) ? 1U : 0U;
    }
    CPPUNIT_ASSERT(granted * kEntries <= 130);
    board.mEntriesKnown = true;
    board.mEntriesListed = kEntries;
    CPPUNIT_ASSERT_EQUAL(kEntries, EntryCount(board));
  }

  void BeliefsSurviveTheWire()
  {
    believed_rows rows;
    rows.mManifest = { "config", 7, std::string("{\0}", 3) };
    rows.mEndpoints = { { "a", 3, "x" }, { "b", 9, std::nullopt } };
    const outcome<believed_rows> read = Capture<believed_rows>(
      [&rows]() { return DecodeBeliefs(EncodeBeliefs(rows)); });
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(*read.mValue == rows);
    CPPUNIT_ASSERT(!Capture<believed_rows>(
      []() { return DecodeBeliefs("garbage!garbage!"); }));
  }

  /// Symptom: a request is cut six seconds after the entry was told to stop,
  /// or callers find no entry at all while all are restarted in turn.
  /// Sequence: SIGTERM; the last request in flight ends late; a new stream
  /// comes and is cut at the end of the grace. Or: the entry stops listening
  /// while no other of its data centre is in rotation.
  /// Cause: a draining entry took all requests, or none.
  void DrainingEntryFinishesAndRefusesLongWork()
  {
    world w;
    w.mDesk.mAnswer = nullptr;
    w.Start();
    standin_caller& flying = w.Ask(w.Request("r1", "safe"));
    w.Until([&w]() { return w.mDesk.mHeads.size() == 1; }, "it is sent");
    connection* const first = w.mDesk.mLast;
    w.mGateway->Drain();
    standin_caller probe(w.mLoop, w.mGateway->ReadinessPort());
    probe.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    w.Until([&probe]() { return probe.Answered(); }, "a probe");
    CPPUNIT_ASSERT_EQUAL(503U, probe.Status());
    // Once the balancer has had time to notice, a request that could outlive
    // the grace is refused at once, with the promise that it did not run.
    w.For(milliseconds(2700));
    const standin_caller& refused =
      w.Answered(w.Request("r2", "stream", "Token-Usage: 1000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(503U, refused.Status());
    CPPUNIT_ASSERT(refused.Field("retry-after").has_value());
    CPPUNIT_ASSERT(w.mModel.mHeads.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mGateway->Board().mOpenRequests);
    // A short call still ends in time, so it is served.
    standin_caller& shortCall =
      w.Ask(w.Request("r3", "safe", "Deadline-Ms: 1000\r\n"));
    w.Until([&w]() { return w.mDesk.mHeads.size() == 2; }, "it is sent");
    AnswerOk(*w.mDesk.mLast, w.mDesk.mHeads.at(1));
    w.Until([&shortCall]() { return shortCall.Ended(); }, "its answer");
    CPPUNIT_ASSERT_EQUAL(200U, shortCall.Status());
    AnswerOk(*first, w.mDesk.mHeads.at(0));
    w.Until([&flying]() { return flying.Ended(); }, "the answer");
    CPPUNIT_ASSERT_EQUAL(200U, flying.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *flying.Field("connection"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(gateway_belief_test, "gateway-beliefs");
