#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

class forwarding_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(forwarding_test);
  CPPUNIT_TEST(ForwardsRequestAndAddsGatewayFields);
  CPPUNIT_TEST(RefusesUnknownRouteAndKey);
  CPPUNIT_TEST(RefusesRequestsBeforeAManifest);
  CPPUNIT_TEST(RequestWaitsForTablesOfStartingGateway);
  CPPUNIT_TEST(RequestDoesNotWaitForSilentStore);
  CPPUNIT_TEST(ReusesEndpointConnection);
  CPPUNIT_TEST(IdleConnectionsAreLimitedPerGateway);
  CPPUNIT_TEST(ConnectionIsNotReusedAfterEarlyAnswer);
  CPPUNIT_TEST(SecondAnswerIsDiscarded);
  CPPUNIT_TEST(AnswerToAnotherRequestIsNotForwarded);
  CPPUNIT_TEST(AnswerWithoutSealFails);
  CPPUNIT_TEST(TruncatedAnswerFails);
  CPPUNIT_TEST(AnswerWithoutLengthEndsWithConnection);
  CPPUNIT_TEST(SmuggledRequestIsRefused);
  CPPUNIT_TEST(PipelinedRequestsAreAnsweredInOrder);
  CPPUNIT_TEST(AtMostOnceCallIsSentOnce);
  CPPUNIT_TEST(RefusalByEndpointIsReported);
  CPPUNIT_TEST(MisdirectedRequestIsRetriedElsewhere);
  CPPUNIT_TEST(RetriesOnlyUpToMaxAttempts);
  CPPUNIT_TEST(WaitsForSlowEndpointWithoutAlternative);
  CPPUNIT_TEST(RouteWithoutLatencyTargetIsServed);
  CPPUNIT_TEST(FailureIsForwardedWithoutAlternative);
  CPPUNIT_TEST(DeadlineEndsARequest);
  CPPUNIT_TEST(DisconnectedCallerCancelsRequest);
  CPPUNIT_TEST(EndpointLimitIsRespected);
  CPPUNIT_TEST(RequestAboveAllLimitsIsRefusedAtOnce);
  CPPUNIT_TEST(LimitEndsWhenAnAnswerReportsNone);
  CPPUNIT_TEST(GatewayAppliesLimitReceivedFromPeer);
  CPPUNIT_TEST(InvalidLimitIsIgnored);
  CPPUNIT_TEST(ConnectionsOverTheLimitAreClosedUnread);
  CPPUNIT_TEST_SUITE_END();

public:
  void ForwardsRequestAndAddsGatewayFields()
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
    CPPUNIT_ASSERT_EQUAL(std::string("/safe/x"),
                         w.mDeskEndpoint.mHeads.at(0).mTarget);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), w.mDeskEndpoint.mBodies.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                         w.mDeskEndpoint.Field(0, "x-custom"));
    CPPUNIT_ASSERT_EQUAL(std::string("hanbit"),
                         w.mDeskEndpoint.Field(0, "tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-desk"),
                         w.mDeskEndpoint.Field(0, "expect-instance"));
    CPPUNIT_ASSERT_EQUAL(std::string("(none)"),
                         w.mDeskEndpoint.Field(0, "authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string("(none)"),
                         w.mDeskEndpoint.Field(0, "x-hop"));
    const int left = std::stoi(w.mDeskEndpoint.Field(0, "deadline-ms"));
    CPPUNIT_ASSERT(left > 0 && left <= 4000);
  }

  void RefusesUnknownRouteAndKey()
  {
    world w;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(404U, w.Answered(w.Request("r1", "none")).Status());
    std::string other = w.Request("r2", "safe");
    other.replace(other.find("key-1"), 5, "key-2");
    CPPUNIT_ASSERT_EQUAL(401U, w.Answered(other).Status());
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  /// Starts the gateway without waiting for the tables.
  static void StartOnly(world& aWorld)
  {
    aWorld.mGateway = std::make_unique<gateway>(
      aWorld.mLoop, aWorld.mSettings, platform::Adapter());
    CPPUNIT_ASSERT(Capture<int>([&aWorld]() -> result<int> {
      BOOST_LEAF_CHECK(aWorld.mGateway->Start());
      return 0;
    }));
  }

  /// Guards against a fleet that was killed and refuses what arrives in the
  /// moment before each gateway has read its tables.
  void RequestWaitsForTablesOfStartingGateway()
  {
    constexpr std::size_t kSliceBytes = 500;
    constexpr duration kSliceEvery = milliseconds(20);
    world w;
    w.mStore.ThrottleAnswers(kSliceBytes, kSliceEvery);
    StartOnly(w);
    const standin_caller& caller = w.Answered(w.Request("r1", "safe"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
  }

  /// Guards against requests that wait for their deadline while the store gives
  /// a starting gateway no answer.
  void RequestDoesNotWaitForSilentStore()
  {
    world w;
    w.mStore.SetResponseMode(standin_store::response_mode::Silent);
    StartOnly(w);
    const time_point asked = w.mLoop.Now();
    CPPUNIT_ASSERT_EQUAL(503U, w.Answered(w.Request("r1", "safe")).Status());
    CPPUNIT_ASSERT(w.mLoop.Now() - asked < std::chrono::seconds(2));
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  void RefusesRequestsBeforeAManifest()
  {
    world w;
    w.mStore.SetResponseMode(standin_store::response_mode::Refusing);
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
    w.mStore.SetResponseMode(standin_store::response_mode::Good);
    // The two tables are read independently of each other.
    w.Until(
      [&w]() {
        return w.mGateway->Board().mManifest != nullptr &&
               w.mGateway->Board().mEndpointsKnown;
      },
      "the manifest and the list");
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r2", "safe")).Status());
  }

  void ReusesEndpointConnection()
  {
    world w;
    w.Start();
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("r" + std::to_string(i), "safe")).Status());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         w.mDeskEndpoint.mServer.Connections().size());
  }

  /// Guards against an endpoint that resets new connections while it is hardly
  /// busy. An endpoint limits its connections from all callers. If each gateway
  /// kept as many idle connections as it likes, dozens of gateways would use up
  /// that limit with idle connections from the last burst.
  void IdleConnectionsAreLimitedPerGateway()
  {
    world w;
    // The endpoint accepts 100 connections; the 25 gateways may together keep
    // 50 of them idle.
    for (int i = 0; i < 24; ++i) {
      w.mStore.Put("entries", "127.0.1." + std::to_string(i), "entry");
    }
    std::vector<std::pair<connection*, std::string>> held;
    w.mDeskEndpoint.mAnswer = [&held](connection& aConnection,
                                      const http_head& aHead) {
      held.emplace_back(&aConnection,
                        SuccessHead(aHead, "Content-Length: 2\r\n") + "ok");
    };
    w.Start();
    w.Until([&w]() { return w.mGateway->Board().mListedGatewayCount == 25; },
            "the gateways are listed");
    std::vector<standin_caller*> callers;
    callers.reserve(6);
    for (int i = 0; i < 6; ++i) {
      callers.push_back(&w.Ask(w.Request("r" + std::to_string(i), "safe")));
    }
    w.Until([&held]() { return held.size() == 6; }, "all are in progress");
    for (const auto& [open, answer] : held) {
      open->mChannel->Write(answer);
      open->Next();
    }
    for (standin_caller* const caller : callers) {
      w.Until([caller]() { return caller->Answered(); }, "an answer");
    }
    w.Until([&w]() { return w.mDeskEndpoint.mServer.Ended() == 4; },
            "four of six connections are closed");
  }

  /// An endpoint that answers as soon as it has the head of a request, and
  /// reads the rest only when the test says so.
  struct early_answering_endpoint final : channel_owner
  {
    explicit early_answering_endpoint(event_loop& aLoop)
      : mLoop(aLoop)
    {
      outcome<std::unique_ptr<tcp_listener>> opened =
        Capture<std::unique_ptr<tcp_listener>>([this]() {
          return tcp_listener::Open(
            mLoop, { "127.0.0.1", 0 }, [this](int aSocket) {
              mChannels.push_back(std::make_shared<tcp_channel>(
                mLoop,
                aSocket,
                channel_limits{ std::chrono::seconds(9),
                                std::chrono::seconds(9) }));
              mChannels.back()->SetOwner(this);
            });
        });
      mListener = std::move(*opened.mValue);
    }

    void OnInput(tcp_channel& aChannel) override
    {
      std::string& seen = mSeen[&aChannel];
      seen += aChannel.Input();
      aChannel.Input().clear();
      const std::size_t head = seen.find("\r\n\r\n");
      if (mAnswered || head == std::string::npos) {
        return;
      }
      mAnswered = true;
      aChannel.PauseReading(true);
      const std::size_t id = seen.find("r1");
      CPPUNIT_ASSERT(id != std::string::npos);
      aChannel.Write("HTTP/1.1 413 X\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                     "Content-Length: 2\r\n\r\nok");
    }
    void OnEnd(tcp_channel&, channel_end) override {}

    event_loop& mLoop;
    bool mAnswered = false;
    std::map<tcp_channel*, std::string> mSeen;
    std::vector<std::shared_ptr<tcp_channel>> mChannels;
    std::unique_ptr<tcp_listener> mListener;
  };

  /// Guards against sending a request behind the unsent rest of an earlier one.
  /// An endpoint may refuse a long upload before it has read all of it and keep
  /// the connection open without reading on. If the gateway took that
  /// connection for idle, the next request would wait there for a second and
  /// then be sent again. Also checks that only the rest of the body follows on
  /// that connection.
  void ConnectionIsNotReusedAfterEarlyAnswer()
  {
    world w;
    early_answering_endpoint earlyEndpoint(w.mLoop);
    w.mStore.Remove("servers", "i-desk");
    w.List("i-hasty", "desk", { "127.0.0.1", earlyEndpoint.mListener->Port() });
    w.Start();
    const std::string body(3000000, 'b');
    standin_caller& caller = w.Ask(w.Request("r1", "safe", "", body));
    w.Until([&caller]() { return caller.Answered(); }, "the early answer");
    CPPUNIT_ASSERT_EQUAL(413U, caller.Status());
    w.Ask(w.Request("r2", "safe"));
    w.Until([&earlyEndpoint]() { return earlyEndpoint.mChannels.size() == 2; },
            "a connection of its own for the next request");
    // The request must not have been sent on the first connection and retried.
    CPPUNIT_ASSERT_EQUAL(
      0.0, w.mGateway->Board().mMetrics.Value("gateway_repeats_total"));
    earlyEndpoint.mChannels.front()->PauseReading(false);
    w.For(milliseconds(200));
    const std::string& first =
      earlyEndpoint.mSeen[earlyEndpoint.mChannels.front().get()];
    CPPUNIT_ASSERT(first.find("r2") == std::string::npos);
    const std::size_t head = first.find("\r\n\r\n") + 4;
    CPPUNIT_ASSERT(first.find_first_not_of('b', head) == std::string::npos);
  }

  /// Guards against answering a caller with the answer to another request. An
  /// endpoint may answer twice on a reused connection. If the gateway reused a
  /// connection with unexpected bytes, it would take the second answer for that
  /// of the next request.
  void SecondAnswerIsDiscarded()
  {
    world w;
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
      const std::string one =
        SuccessHead(aHead, "Content-Length: 2\r\n") + "ok";
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
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         w.mDeskEndpoint.mServer.Connections().size());
  }

  void AnswerToAnotherRequestIsNotForwarded()
  {
    world w;
    w.mDeskEndpoint.mAnswer = [](connection& aConnection, const http_head&) {
      aConnection.mChannel->Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: p\r\n"
        "Content-Length: 6\r\n\r\nsecret");
    };
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(502U, caller.Status());
    CPPUNIT_ASSERT(caller.ReceivedBytes().find("secret") == std::string::npos);
  }

  void AnswerWithoutSealFails()
  {
    world w;
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
      aConnection.mChannel->Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: " +
        std::string(*FieldValue(aHead.mFields, "request-id")) +
        "\r\nContent-Length: 2\r\n\r\nno");
    };
    w.Start();
    CPPUNIT_ASSERT_EQUAL(502U, w.Answered(w.Request("r1", "unsafe")).Status());
  }

  void TruncatedAnswerFails()
  {
    world w;
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
      aConnection.mChannel->Write(SuccessHead(aHead, "Content-Length: 9\r\n") +
                                  "half");
      aConnection.mChannel->CloseWhenDrained();
    };
    w.Start();
    CPPUNIT_ASSERT_EQUAL(502U, w.Answered(w.Request("r1", "unsafe")).Status());
  }

  void AnswerWithoutLengthEndsWithConnection()
  {
    world w;
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
      aConnection.mChannel->Write(SuccessHead(aHead, "") + "to the end");
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
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  void PipelinedRequestsAreAnsweredInOrder()
  {
    world w;
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "safe") + w.Request("r2", "safe"));
    w.Until(
      [&caller]() {
        return caller.ReceivedBytes().find("Request-Id: r2") !=
               std::string::npos;
      },
      "both answers");
    CPPUNIT_ASSERT(caller.ReceivedBytes().find("Request-Id: r1") <
                   caller.ReceivedBytes().find("Request-Id: r2"));
  }

  /// Guards against executing an at-most-once call twice, for example billing a
  /// rights holder twice. The endpoint executes the call and its connection
  /// breaks before the answer. The gateway must neither send the call again nor
  /// report that it was not executed, because the caller would then repeat it.
  void AtMostOnceCallIsSentOnce()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.mDeskEndpoint.mAnswer = [](connection& aConnection, const http_head&) {
      aConnection.mChannel->Abort();
    };
    w.mSecond.mAnswer = w.mDeskEndpoint.mAnswer;
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(502U, caller.Status());
    CPPUNIT_ASSERT(!caller.Field("retry-after").has_value());
    w.For(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1), w.mDeskEndpoint.mHeads.size() + w.mSecond.mHeads.size());
  }

  void RefusalByEndpointIsReported()
  {
    world w;
    w.mDeskEndpoint.mAnswer = &AnswerRefused;
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT(caller.Field("retry-after").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
  }

  void MisdirectedRequestIsRetriedElsewhere()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.mDeskEndpoint.mAnswer = [](connection& aConnection, const http_head&) {
      aConnection.mChannel->Write("HTTP/1.1 421 X\r\nInstance-Id: i-new\r\n"
                                  "Content-Length: 0\r\n\r\n");
      aConnection.Next();
    };
    w.Start();
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("r" + std::to_string(i), "safe")).Status());
    }
    // The gateway avoids the endpoint after the first such answer.
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.size() <= 1);
  }

  void RetriesOnlyUpToMaxAttempts()
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
    w.mDeskEndpoint.mAnswer = fail;
    w.mSecond.mAnswer = fail;
    third.mAnswer = fail;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(500U, w.Answered(w.Request("r1", "safe")).Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         w.mDeskEndpoint.mHeads.size() +
                           w.mSecond.mHeads.size() + third.mHeads.size());
  }

  /// Guards against a call that fails although its endpoint would have
  /// answered. The only endpoint does not respond for a while; the gateway must
  /// check that there is another endpoint before it ends the attempt.
  void WaitsForSlowEndpointWithoutAlternative()
  {
    world w;
    w.mDeskEndpoint.mAnswer = nullptr;
    w.Start();
    standin_caller& caller = w.Ask(w.Request("r1", "safe"));
    w.For(milliseconds(1400));
    CPPUNIT_ASSERT(!caller.Answered());
    AnswerOk(*w.mDeskEndpoint.mLast, w.mDeskEndpoint.mHeads.at(0));
    w.Until([&caller]() { return caller.Answered() || caller.Ended(); },
            "the answer");
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
  }

  void FailureIsForwardedWithoutAlternative()
  {
    world w;
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
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
    w.mDeskEndpoint.mAnswer = nullptr;
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "unsafe", "Deadline-Ms: 120\r\n"));
    CPPUNIT_ASSERT_EQUAL(504U, caller.Status());
    w.Until([&w]() { return w.mDeskEndpoint.mServer.Ended() == 1; },
            "the endpoint's connection is closed");
  }

  /// Guards against endpoints that work for callers that have disconnected. The
  /// gateway has to detect the closed connection while the endpoint works, not
  /// only when it writes the answer.
  void DisconnectedCallerCancelsRequest()
  {
    world w;
    w.mDeskEndpoint.mAnswer = nullptr;
    w.Start();
    standin_caller& caller = w.Ask(w.Request("r1", "safe"));
    w.Until([&w]() { return w.mDeskEndpoint.mHeads.size() == 1; },
            "it is sent");
    caller.CloseConnection();
    w.Until([&w]() { return w.mDeskEndpoint.mServer.Ended() == 1; },
            "the endpoint's connection is closed");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), w.mGateway->Board().mOpenRequests);
  }

  /// Guards against sending an endpoint more requests than its limit allows.
  void EndpointLimitIsRespected()
  {
    // 1.5 times the limit of 1 request per second over 4 s, plus 5.
    constexpr std::size_t kAllowed = 11;
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.mDeskEndpoint.mAnswer = &AnswerLimited;
    w.Start();
    int asked = 0;
    while (w.mDeskEndpoint.mHeads.empty()) {
      w.Answered(w.Request("a" + std::to_string(asked++), "safe"));
    }
    const std::size_t before = w.mDeskEndpoint.mHeads.size();
    for (int i = 0; i < 60; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("b" + std::to_string(i), "safe")).Status());
    }
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.size() - before <= kAllowed);
  }

  /// Guards against queueing requests for a limited endpoint.
  void RequestAboveAllLimitsIsRefusedAtOnce()
  {
    world w;
    w.mDeskEndpoint.mAnswer = &AnswerLimited;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("a", "safe")).Status());
    const standin_caller& refused = w.Answered(w.Request("b", "safe"));
    CPPUNIT_ASSERT_EQUAL(503U, refused.Status());
    CPPUNIT_ASSERT(refused.Field("retry-after").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, w.mDeskEndpoint.mHeads.size());
  }

  /// Guards against applying a limit after the endpoint has stopped reporting
  /// it.
  void LimitEndsWhenAnAnswerReportsNone()
  {
    world w;
    w.mDeskEndpoint.mAnswer = &AnswerLimited;
    w.Start();
    w.Answered(w.Request("a", "safe"));
    w.mDeskEndpoint.mAnswer = &AnswerOk;
    int asked = 0;
    w.Until(
      [&w, &asked]() {
        return w.Answered(w.Request("b" + std::to_string(asked++), "safe"))
                 .Status() == 200;
      },
      "the first request within the limit");
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200U, w.Answered(w.Request("c" + std::to_string(i), "safe")).Status());
    }
  }

  /// Guards against refusing every request because of an invalid limit.
  void InvalidLimitIsIgnored()
  {
    for (const char* const text : { "nan", "-1", "inf", "many" }) {
      world w;
      w.mDeskEndpoint.mAnswer = [text](connection& aConnection,
                                       const http_head& aHead) {
        aConnection.mChannel->Write(SuccessHead(aHead,
                                                std::string("Server-Limit: ") +
                                                  text +
                                                  "\r\nContent-Length: 2\r\n") +
                                    "ok");
        aConnection.Next();
      };
      w.Start();
      for (int i = 0; i < 5; ++i) {
        CPPUNIT_ASSERT_EQUAL(
          200U,
          w.Answered(w.Request("a" + std::to_string(i), "safe")).Status());
      }
    }
  }

  /// Guards against gateways that learn a limit only from their own requests.
  void GatewayAppliesLimitReceivedFromPeer()
  {
    world w;
    w.mDeskEndpoint.mAnswer = &AnswerLimited;
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    const std::unique_ptr<gateway> second =
      StartSecondGateway(w, w.mSettings.mStore);
    w.Until(
      [&w, &second]() {
        return second->Board().mEndpointsKnown &&
               second->Board().mPeers.size() == 1 &&
               w.mGateway->Board().mPeers.size() == 1;
      },
      "both gateways know each other");
    w.Answered(w.Request("a", "safe"));
    const std::size_t before = w.mDeskEndpoint.mHeads.size();
    w.Until(
      [&second]() {
        return second->Board()
          .mEndpoints.mEndpoints.at("i-desk")
          .mLimit.mPerSecond.has_value();
      },
      "the limit is broadcast");
    standin_caller caller(w.mLoop, { "127.0.0.2", second->CallersPort() });
    caller.Send(w.Request("b", "safe"));
    w.Until([&caller]() { return caller.Answered(); }, "an answer");
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(before, w.mDeskEndpoint.mHeads.size());
  }

  /// Guards against a latency target of 0 on a route that declares none. With
  /// 0, each endpoint would count as unresponsive at once, so that every lookup
  /// was sent twice, and every first event would count as too late to be worth
  /// its prefill, so that every review was refused.
  void RouteWithoutLatencyTargetIsServed()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.List("i-model", "model", w.mModel.mServer.Address());
    const auto slowly = [&w](connection& aConnection, const http_head& aHead) {
      const std::string answer =
        SuccessHead(aHead, "Content-Length: 2\r\n") + "ok";
      (void)w.mLoop.After(milliseconds(100), [&aConnection, answer]() {
        aConnection.mChannel->Write(answer);
        aConnection.Next();
      });
    };
    w.mDeskEndpoint.mAnswer = slowly;
    w.mSecond.mAnswer = slowly;
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, "id: 1\ndata: x\n\n");
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
      aConnection.Next();
    };
    w.Start();
    CPPUNIT_ASSERT_EQUAL(200U,
                         w.Answered(w.Request("r1", "unhurried")).Status());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1), w.mDeskEndpoint.mHeads.size() + w.mSecond.mHeads.size());
    CPPUNIT_ASSERT_EQUAL(
      200U,
      w.Answered(
         w.Request("r2", "unhurried-stream", "Token-Usage: 200000,50\r\n"))
        .Status());
  }

  /// Guards against a gateway that takes on more callers than it has
  /// descriptors for. Those beyond are closed unread and served elsewhere.
  void ConnectionsOverTheLimitAreClosedUnread()
  {
    constexpr std::size_t kMaxConnections = 4;
    constexpr std::size_t kCallers = 12;
    world w;
    w.mSettings.mPeers.mPort = w.FreePort();
    w.mSettings.mMaxCallerConnections = kMaxConnections;
    w.mDeskEndpoint.mAnswer = nullptr;
    w.Start();
    w.mSettings.mMaxCallerConnections = kCallers;
    const std::unique_ptr<gateway> second =
      StartSecondGateway(w, w.mSettings.mStore);
    w.Until([&second]() { return second->Board().mEndpointsKnown; },
            "the second gateway");
    for (std::size_t i = 0; i < kCallers; ++i) {
      (void)w.Ask(w.Request("r" + std::to_string(i), "safe"));
    }
    const auto closed = [&w]() {
      return std::count_if(w.mCallers.begin(),
                           w.mCallers.end(),
                           [](const std::unique_ptr<standin_caller>& aCaller) {
                             return aCaller->Ended() &&
                                    aCaller->ReceivedBytes().empty();
                           });
    };
    w.Until(
      [&w, &closed]() {
        return closed() == kCallers - kMaxConnections &&
               w.mDeskEndpoint.mHeads.size() == kMaxConnections;
      },
      "the others are closed");
    w.mDeskEndpoint.mAnswer = &AnswerOk;
    for (std::size_t i = kMaxConnections; i < kCallers; ++i) {
      standin_caller retry(w.mLoop,
                           ip_address{ "127.0.0.2", second->CallersPort() });
      retry.Send(w.Request("r" + std::to_string(i), "safe"));
      w.Until([&retry]() { return retry.Answered(); }, "an answer");
      CPPUNIT_ASSERT_EQUAL(200U, retry.Status());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(forwarding_test, "forwarding");
