#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

class forwarding_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(forwarding_test);
  CPPUNIT_TEST(ForwardsUnchangedAndAddsItsOwn);
  CPPUNIT_TEST(UnknownRouteAndKey);
  CPPUNIT_TEST(NothingIsServedBeforeAManifest);
  CPPUNIT_TEST(KeptConnectionServesManyRequests);
  CPPUNIT_TEST(KeptConnectionsAreShared);
  CPPUNIT_TEST(EarlyAnswerLeavesTheRestOfTheBodyInPlace);
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
  CPPUNIT_TEST(RouteWithoutAnObjectiveIsServed);
  CPPUNIT_TEST(FailureIsForwardedWhereNobodyElseIs);
  CPPUNIT_TEST(DeadlineEndsARequest);
  CPPUNIT_TEST(CallerThatLeavesIsNotWorkedFor);
  CPPUNIT_TEST(EndpointGetsNoMoreThanItsLimit);
  CPPUNIT_TEST(RequestThatNoLimitAdmitsIsRefusedAtOnce);
  CPPUNIT_TEST(LimitEndsWhenAnAnswerNamesNone);
  CPPUNIT_TEST(EntryKeepsToALimitToldByAPeer);
  CPPUNIT_TEST(InvalidLimitIsIgnored);
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

  void UnknownRouteAndKey()
  {
    world w;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(404U, w.Answered(w.Request("r1", "none")).Status());
    std::string other = w.Request("r2", "safe");
    other.replace(other.find("key-1"), 5, "key-2");
    CPPUNIT_ASSERT_EQUAL(401U, w.Answered(other).Status());
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  void NothingIsServedBeforeAManifest()
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

  void KeptConnectionServesManyRequests()
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

  /// Symptom: an endpoint resets new connections while it is hardly busy.
  /// Sequence: dozens of entries keep idle connections from the last burst.
  /// Cause: each keeps what it likes of what all may have together.
  void KeptConnectionsAreShared()
  {
    world w;
    // The endpoint takes 100 connections; 25 entries may keep 50 of them idle.
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
            "the entries are known");
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

  /// An endpoint that answers as soon as it has a request's head, and reads on
  /// when it is told to.
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

  /// Symptom: a lookup waits for a second and is sent twice. Sequence: an
  /// endpoint refuses a long upload before it has read all of it and keeps the
  /// connection without reading on; the next request is sent on it, behind the
  /// rest. Cause: a connection on which a rest was still due was taken for
  /// idle. Besides: nothing but the body may ever stand where that rest is due.
  void EarlyAnswerLeavesTheRestOfTheBodyInPlace()
  {
    world w;
    early_answering_endpoint hasty(w.mLoop);
    w.mStore.Remove("servers", "i-desk");
    w.List("i-hasty", "desk", { "127.0.0.1", hasty.mListener->Port() });
    w.Start();
    const std::string body(3000000, 'b');
    standin_caller& caller = w.Ask(w.Request("r1", "safe", "", body));
    w.Until([&caller]() { return caller.Answered(); }, "the early answer");
    CPPUNIT_ASSERT_EQUAL(413U, caller.Status());
    w.Ask(w.Request("r2", "safe"));
    w.Until([&hasty]() { return hasty.mChannels.size() == 2; },
            "a connection of its own for the next request");
    // At once, not after it was sent behind the rest and given up there.
    CPPUNIT_ASSERT_EQUAL(
      0.0, w.mGateway->Board().mMetrics.Value("gateway_repeats_total"));
    hasty.mChannels.front()->PauseReading(false);
    w.For(milliseconds(200));
    const std::string& first = hasty.mSeen[hasty.mChannels.front().get()];
    CPPUNIT_ASSERT(first.find("r2") == std::string::npos);
    const std::size_t head = first.find("\r\n\r\n") + 4;
    CPPUNIT_ASSERT(first.find_first_not_of('b', head) == std::string::npos);
  }

  /// Symptom: a caller gets the answer to somebody else's request.
  /// Sequence: an endpoint answers twice on a kept connection; the next request
  /// goes out on it and the second answer is taken for its own.
  /// Cause: a connection with bytes that nobody asked for was used again.
  void SecondAnswerBelongsToNobody()
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

  void ForeignAnswerIsNotPassedOn()
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

  void UnprovenAnswerIsNoSuccess()
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

  void ShortAnswerIsNoSuccess()
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

  void AnswerWithoutLengthIsWhole()
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

  void RequestsAheadAreAnsweredInOrder()
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

  /// Symptom: a rights holder is billed twice.
  /// Sequence: a call that may not be repeated is sent; the endpoint runs it
  /// and its connection breaks before the answer.
  /// Cause: the entry sends it again, or tells the caller that it did not run,
  /// so that the caller does.
  void GuardedCallRunsOnce()
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

  void RefusedByEndpointIsTold()
  {
    world w;
    w.mDeskEndpoint.mAnswer = &AnswerRefused;
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "unsafe"));
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT(caller.Field("retry-after").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
  }

  void AddressOfAnotherIsTriedElsewhere()
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
    // It is avoided after the first such answer.
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.size() <= 1);
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
    w.mDeskEndpoint.mAnswer = fail;
    w.mSecond.mAnswer = fail;
    third.mAnswer = fail;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(500U, w.Answered(w.Request("r1", "safe")).Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         w.mDeskEndpoint.mHeads.size() +
                           w.mSecond.mHeads.size() + third.mHeads.size());
  }

  /// Symptom: a call fails though its endpoint would have answered. Sequence:
  /// the only endpoint is silent for a while; the attempt is given up to ask
  /// another. Cause: nobody looked whether there is another.
  void SlowEndpointIsBetterThanNone()
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

  void FailureIsForwardedWhereNobodyElseIs()
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

  /// Symptom: engines work for callers that are gone. Sequence: a caller
  /// closes its connection while an endpoint works. Cause: the entry notices
  /// only when it writes the answer.
  void CallerThatLeavesIsNotWorkedFor()
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
  void EndpointGetsNoMoreThanItsLimit()
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
  void RequestThatNoLimitAdmitsIsRefusedAtOnce()
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

  /// Guards against applying a limit after the endpoint has stopped naming it.
  void LimitEndsWhenAnAnswerNamesNone()
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

  /// Guards against entries that learn a limit only from their own requests.
  void EntryKeepsToALimitToldByAPeer()
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
      "both entries know each other");
    w.Answered(w.Request("a", "safe"));
    const std::size_t before = w.mDeskEndpoint.mHeads.size();
    w.Until(
      [&second]() {
        return second->Board()
          .mEndpoints.mEndpoints.at("i-desk")
          .mLimit.mPerSecond.has_value();
      },
      "the limit is told");
    standin_caller caller(w.mLoop, { "127.0.0.2", second->CallersPort() });
    caller.Send(w.Request("b", "safe"));
    w.Until([&caller]() { return caller.Answered(); }, "an answer");
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(before, w.mDeskEndpoint.mHeads.size());
  }

  /// Symptom: on a route that declares no objective every lookup runs twice and
  /// every review is refused. Sequence: none is needed. Cause: an objective of
  /// 0 made an endpoint silent at once, and any first event too late to be
  /// worth its reading.
  void RouteWithoutAnObjectiveIsServed()
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(forwarding_test, "forwarding");
