#include "Fixtures.h"

#include "LibGossip/LibGossip.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

class stream_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(stream_test);
  CPPUNIT_TEST(EventsAreForwardedAsTheyArrive);
  CPPUNIT_TEST(BrokenStreamResumesElsewhere);
  CPPUNIT_TEST(ResetBeforeTheHeadIsRetriedElsewhere);
  CPPUNIT_TEST(BrokenStreamIsNotRefusedOnRetry);
  CPPUNIT_TEST(StreamsThatWaitDoNotSpendTheRetryBudget);
  CPPUNIT_TEST(ResumptionThatIsRefusedIsTriedAgain);
  CPPUNIT_TEST(StreamIsResumedOnNoMoreEnginesThanTheRouteAllows);
  CPPUNIT_TEST(ResumptionWaitsForTheRetryBudget);
  CPPUNIT_TEST(ResumptionWaitsForEnginesThatRest);
  CPPUNIT_TEST(ResumptionFollowsTheListOfEngines);
  CPPUNIT_TEST(StreamThatCannotResumeIsAborted);
  CPPUNIT_TEST(StreamThatEndsInsideEventIsNotComplete);
  CPPUNIT_TEST(WholeStreamIsForwardedUnchanged);
  CPPUNIT_TEST(StreamWithoutLengthThatLacksEventsIsNotComplete);
  CPPUNIT_TEST(AnswerOfAnotherMediaTypeIsForwardedWhole);
  CPPUNIT_TEST(SlowCallerAppliesBackpressure);
  CPPUNIT_TEST(GiantPromptReservesAndReleasesMemory);
  CPPUNIT_TEST(PartialReservationIsReleased);
  CPPUNIT_TEST(RefusingHelperIsLeftOutOfTheRetry);
  CPPUNIT_TEST(RefusingHelperIsLeftOutOfLaterRequests);
  CPPUNIT_TEST(FullEngineIsNotAvoided);
  CPPUNIT_TEST(PromptWaitsForTheStreamItWouldInterrupt);
  CPPUNIT_TEST(DisconnectedCallerOfPostponedPromptIsNotServed);
  CPPUNIT_TEST(LateStreamsAndStoreCallsAreCounted);
  CPPUNIT_TEST(PromptIsCountedOnceBySize);
  CPPUNIT_TEST_SUITE_END();

  static std::string Event(int aId)
  {
    return "id: " + std::to_string(aId) + "\ndata: x\n\n";
  }

  /// A part of the budget is left for gateways that restart.
  static constexpr retry_limits kBudgetOfOneRetry{ 0,
                                                   2,
                                                   std::chrono::seconds(10) };

  /// Resumes a stream with one more event and ends it.
  static void AnswerRest(connection& aConnection, const http_head& aHead)
  {
    const std::optional<std::string_view> after =
      FieldValue(aHead.mFields, "last-event-id");
    const int last = after.has_value() ? std::stoi(std::string(*after)) : 0;
    std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
    AppendChunk(bytes, Event(last + 1));
    bytes.append(kLastChunk);
    aConnection.mChannel->Write(bytes);
    aConnection.Next();
  }

  static constexpr std::array kFramings = { body_framing::Close,
                                            body_framing::Chunked,
                                            body_framing::Length };

  /// Sends a stream with this framing and ends the answer properly, wherever
  /// the events end.
  static void AnswerStream(connection& aConnection,
                           const http_head& aHead,
                           body_framing aFraming,
                           const std::string& aEvents)
  {
    tcp_channel& channel = *aConnection.mChannel;
    switch (aFraming) {
      case body_framing::Chunked: {
        std::string bytes =
          SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
        AppendChunk(bytes, aEvents);
        channel.Write(bytes.append(kLastChunk));
        aConnection.Next();
        return;
      }
      case body_framing::Length:
        channel.Write(SuccessHead(aHead,
                                  "Content-Length: " +
                                    std::to_string(aEvents.size()) + "\r\n") +
                      aEvents);
        aConnection.Next();
        return;
      case body_framing::Close:
      case body_framing::None:
        channel.Write(SuccessHead(aHead, "") + aEvents);
        channel.CloseWhenDrained();
        return;
    }
  }

  /// Two engines. The first one that is asked sends `mFirst`, the next one
  /// `mSecond`.
  struct two_engines_world : world
  {
    explicit two_engines_world(body_framing aFraming)
      : mOther(mLoop)
    {
      const auto answer = [this, aFraming](connection& aConnection,
                                           const http_head& aHead) {
        AnswerStream(
          aConnection, aHead, aFraming, mRequests++ == 0 ? mFirst : mSecond);
      };
      mModel.mAnswer = answer;
      mOther.mAnswer = answer;
      List("i-model", "model", mModel.mServer.Address());
      List("i-other", "model", mOther.mServer.Address());
      Start();
    }

    const standin_caller& Run()
    {
      return Answered(Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    }

    std::string mFirst;
    std::string mSecond;
    std::size_t mRequests = 0;
    endpoint_fixture mOther;
  };

  /// One engine that decodes a stream, and a second request whose prefill would
  /// interrupt that stream and which is therefore postponed.
  struct postponed_prompt_world : world
  {
    postponed_prompt_world()
    {
      // The time that the gateway estimates for the prefill of the first
      // prompt.
      constexpr milliseconds kPrefillTime(700);
      List("i-model", "model", mModel.mServer.Address());
      mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
        std::string bytes =
          SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
        AppendChunk(bytes, Event(1));
        aConnection.mChannel->Write(bytes);
      };
      Start();
      (void)Ask(Request("r1", "stream", "Token-Usage: 40000,50\r\n"));
      Until([this]() { return mModel.mHeads.size() == 1; }, "the stream");
      For(kPrefillTime);
      mPostponedCaller =
        &Ask(Request("r2", "stream", "Token-Usage: 22000,50\r\n"));
      For(milliseconds(300));
      CPPUNIT_ASSERT(Metrics().find("gateway_placements_postponed_total 1") !=
                     std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), mModel.mHeads.size());
    }

    void EndStream()
    {
      connection* const writing = mModel.mLast;
      writing->mChannel->Write(kLastChunk);
      writing->Next();
    }

    standin_caller* mPostponedCaller = nullptr;
  };

public:
  /// Guards against prefilling a long prompt on an engine that is decoding a
  /// stream, although the stream ends before the prompt would be late.
  void PromptWaitsForTheStreamItWouldInterrupt()
  {
    postponed_prompt_world w;
    w.EndStream();
    w.Until([&w]() { return w.mModel.mHeads.size() == 2; }, "the long prompt");
    w.Until(
      [&w]() {
        return w.mPostponedCaller->ReceivedBytes().find(Event(1)) !=
               std::string::npos;
      },
      "its first event");
  }

  /// Guards against prefilling a prompt for a caller that has disconnected
  /// while the request was postponed.
  void DisconnectedCallerOfPostponedPromptIsNotServed()
  {
    postponed_prompt_world w;
    w.mPostponedCaller->CloseConnection();
    w.For(milliseconds(100));
    w.EndStream();
    w.For(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mModel.mHeads.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), w.mGateway->Board().mOpenRequests);
  }

  void EventsAreForwardedAsTheyArrive()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1) + "id: 2\nhalf");
      aConnection.mChannel->Write(bytes);
    };
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until(
      [&caller]() {
        return caller.ReceivedBytes().find(Event(1)) != std::string::npos;
      },
      "the first event, before the second is whole");
    CPPUNIT_ASSERT(caller.ReceivedBytes().find("half") == std::string::npos);
    std::string rest;
    AppendChunk(rest, "\n\n");
    rest.append(kLastChunk);
    w.mModel.mLast->mChannel->Write(rest);
    w.Until([&caller]() { return caller.Answered(); }, "the whole stream");
    CPPUNIT_ASSERT_EQUAL(Event(1) + "id: 2\nhalf\n\n", caller.Body());
  }

  /// Guards against losing a stream when the engine that decodes it crashes
  /// between two events. The gateway has to ask another engine to resume after
  /// the last event that the caller has received.
  void BrokenStreamResumesElsewhere()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    endpoint_fixture other(w.mLoop);
    const auto answer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
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

  /// Guards against failing a request at once although another engine is idle.
  /// The engine resets the connection before the head of its answer; retries
  /// must not be limited to streams that have begun.
  void ResetBeforeTheHeadIsRetriedElsewhere()
  {
    world w;
    endpoint_fixture other(w.mLoop);
    std::size_t resets = 0;
    const auto answer = [&resets](connection& aConnection,
                                  const http_head& aHead) {
      if (resets++ == 0) {
        aConnection.mChannel->Abort();
        return;
      }
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
    };
    w.mModel.mAnswer = answer;
    other.mAnswer = answer;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.List("i-other", "model", other.mServer.Address());
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(Event(1), caller.Body());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mModel.mHeads.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.mHeads.size());
  }

  /// Guards against refusing a stream on its retry. If a stream breaks off
  /// while the engines are busy and admission control treats its retry like a
  /// new request, its cost to others can get it refused after the caller has
  /// received the first events.
  void BrokenStreamIsNotRefusedOnRetry()
  {
    world w;
    endpoint_fixture other(w.mLoop);
    const auto answer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
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

  /// Guards against response timeouts that spend the retry budget although
  /// nothing is sent, because the engine is only busy.
  void StreamsThatWaitDoNotSpendTheRetryBudget()
  {
    constexpr std::size_t kSlots = 16;
    world w;
    w.mSettings.mRepeats = kBudgetOfOneRetry;
    w.mSettings.mOverload.mSlots = false;
    endpoint_fixture other(w.mLoop);
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      aConnection.mChannel->Write(bytes);
    };
    other.mAnswer = &AnswerRest;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.Start();
    standin_caller* last = nullptr;
    std::vector<connection*> streams;
    for (std::size_t i = 1; i <= kSlots; ++i) {
      last = &w.Ask(w.Request(
        "r" + std::to_string(i), "stream", "Token-Usage: 1000,50\r\n"));
      w.Until([&w, i]() { return w.mModel.mHeads.size() == i; }, "a stream");
      streams.push_back(w.mModel.mLast);
    }
    connection* const decoding = streams.back();
    w.List("i-other", "model", other.mServer.Address());
    w.Until(
      [&w]() {
        return w.mGateway->Board().mEndpoints.mEndpoints.contains("i-other");
      },
      "the other engine");
    for (connection* const stream : streams) {
      std::string event;
      AppendChunk(event, Event(2));
      stream->mChannel->Write(event);
    }
    // The others are silent for longer than their response timeout.
    constexpr int kEvents = 15;
    for (int id = 3; id <= kEvents; ++id) {
      std::string event;
      AppendChunk(event, Event(id));
      decoding->mChannel->Write(event);
      w.For(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), other.mHeads.size());
    decoding->mChannel->CloseWhenDrained();
    w.Until([last]() { return last->Answered() || last->Ended(); }, "the rest");
    CPPUNIT_ASSERT(last->Answered());
  }

  /// A world with three engines. The first one that is asked breaks the stream
  /// off after one event; what the others do is up to the test.
  struct broken_stream_world : world
  {
    broken_stream_world()
      : mOther(mLoop)
      , mThird(mLoop)
    {
      for (endpoint_fixture* const one : { &mModel, &mOther, &mThird }) {
        one->mAnswer = [this](connection& aConnection, const http_head& aHead) {
          if (mRequests++ > 0) {
            mLater(aConnection, aHead);
            return;
          }
          mBroken = mModel.mLast == &aConnection   ? "i-model"
                    : mOther.mLast == &aConnection ? "i-other"
                                                   : "i-third";
          std::string bytes =
            SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
          AppendChunk(bytes, Event(1));
          aConnection.mChannel->Write(bytes);
          aConnection.mChannel->CloseWhenDrained();
        };
      }
      List("i-model", "model", mModel.mServer.Address());
      List("i-other", "model", mOther.mServer.Address());
      List("i-third", "model", mThird.mServer.Address());
    }

    const standin_caller& Run()
    {
      Start();
      return Answered(Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    }

    std::size_t EnginesAsked() const
    {
      return static_cast<std::size_t>(!mModel.mHeads.empty()) +
             static_cast<std::size_t>(!mOther.mHeads.empty()) +
             static_cast<std::size_t>(!mThird.mHeads.empty());
    }

    std::size_t mRequests = 0;
    std::string mBroken; ///< The engine that breaks the stream off.
    std::function<void(connection&, const http_head&)> mLater = &AnswerRest;
    endpoint_fixture mOther;
    endpoint_fixture mThird;
  };

  /// Guards against cutting a stream that has begun, with time left, because
  /// the engine that is to resume it refuses once.
  void ResumptionThatIsRefusedIsTriedAgain()
  {
    broken_stream_world w;
    w.mLater = [&w](connection& aConnection, const http_head& aHead) {
      constexpr std::size_t kRefusals = 3;
      if (w.mRequests <= 1 + kRefusals) {
        AnswerRefused(aConnection, aHead);
        return;
      }
      AnswerRest(aConnection, aHead);
    };
    const standin_caller& caller = w.Run();
    CPPUNIT_ASSERT(caller.Answered());
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.Body());
  }

  /// Guards against sending a request to more endpoints than its route allows.
  void StreamIsResumedOnNoMoreEnginesThanTheRouteAllows()
  {
    broken_stream_world w;
    w.mLater = &AnswerRefused;
    const standin_caller& caller = w.Run();
    CPPUNIT_ASSERT(!caller.Answered());
    CPPUNIT_ASSERT(w.mRequests > 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), w.EnginesAsked());
  }

  /// Guards against cutting a stream with time left because the retry budget is
  /// spent at that moment.
  void ResumptionWaitsForTheRetryBudget()
  {
    broken_stream_world w;
    // Nothing at first; each request adds a retry.
    w.mSettings.mRepeats = { 1, 0, std::chrono::seconds(10) };
    w.Start();
    const standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until([&w]() { return !w.mBroken.empty(); }, "the stream to break");
    w.For(milliseconds(300));
    CPPUNIT_ASSERT(!caller.Ended());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mRequests);
    (void)w.Answered(w.Request("r2", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until([&caller]() { return caller.Answered() || caller.Ended(); },
            "the rest of the stream");
    CPPUNIT_ASSERT(caller.Answered());
  }

  /// Guards against cutting a stream because the engines that it may be sent to
  /// rest, while its route allows no other.
  void ResumptionWaitsForEnginesThatRest()
  {
    broken_stream_world w;
    w.mLater = [&w](connection& aConnection, const http_head& aHead) {
      if (w.mRequests > 3) {
        AnswerRest(aConnection, aHead);
        return;
      }
      aConnection.mChannel->Write(
        "HTTP/1.1 503 X\r\nRequest-Id: " +
        std::string(*FieldValue(aHead.mFields, "request-id")) +
        "\r\nNot-Executed: 1\r\nRetry-After: 1\r\n"
        "Content-Length: 0\r\n\r\n");
      aConnection.Next();
    };
    const standin_caller& caller = w.Run();
    CPPUNIT_ASSERT(caller.Answered());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), w.EnginesAsked());
  }

  /// Guards against keeping to engines that have left the list when a stream is
  /// resumed.
  void ResumptionFollowsTheListOfEngines()
  {
    broken_stream_world w;
    w.mLater = &AnswerRefused;
    w.Start();
    const standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until([&w]() { return w.mRequests >= 3; }, "refusals");
    w.mStore.Remove("servers", w.mBroken);
    w.mLater = [&w](connection& aConnection, const http_head& aHead) {
      if (w.EnginesAsked() < 3) {
        AnswerRefused(aConnection, aHead);
        return;
      }
      AnswerRest(aConnection, aHead);
    };
    w.Until([&caller]() { return caller.Answered() || caller.Ended(); },
            "the rest of the stream");
    CPPUNIT_ASSERT(caller.Answered());
  }

  void StreamThatCannotResumeIsAborted()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      aConnection.mChannel->Write(bytes);
      aConnection.mChannel->CloseWhenDrained();
    };
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    w.Until([&caller]() { return caller.Ended(); }, "the abort");
    // An aborted stream must not look complete.
    CPPUNIT_ASSERT(!caller.Answered());
  }

  /// Guards against passing on a stream that broke off inside an event as a
  /// complete answer, however the engine framed it.
  void StreamThatEndsInsideEventIsNotComplete()
  {
    const std::string partial = "id: 3\nda";
    for (const body_framing framing : kFramings) {
      const std::string name(FramingName(framing));
      two_engines_world resumed(framing);
      resumed.mFirst = Event(1) + Event(2) + partial;
      resumed.mSecond = Event(3) + Event(4);
      const standin_caller& whole = resumed.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        name, Event(1) + Event(2) + Event(3) + Event(4), whole.Body());
      CPPUNIT_ASSERT_MESSAGE(name, whole.Answered());

      two_engines_world withoutEvent(framing);
      withoutEvent.mFirst = partial;
      withoutEvent.mSecond = Event(1);
      const standin_caller& repeated = withoutEvent.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, Event(1), repeated.Body());
      CPPUNIT_ASSERT_MESSAGE(name, repeated.Answered());

      two_engines_world brokenTwice(framing);
      brokenTwice.mFirst = Event(1) + Event(2) + partial;
      brokenTwice.mSecond = Event(3) + "id: 4\nda";
      const standin_caller& cut = brokenTwice.Run();
      CPPUNIT_ASSERT_MESSAGE(name, !cut.Answered());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        name, Event(1) + Event(2) + Event(3), cut.Body());
    }
  }

  /// Guards against cutting or repeating a whole stream because of the line
  /// ends that it uses or of what follows its last event.
  void WholeStreamIsForwardedUnchanged()
  {
    const std::vector<std::string> streams = {
      Event(1) + Event(2) + "\n",
      Event(1) + Event(2) + "\n\n\n",
      Event(1) + Event(2) + ": end\n",
      "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: x\r\n\r\n",
      "id: 1\r\ndata: x\r\n\r\n\r\n",
      "id: 1\rdata: x\r\rid: 2\rdata: x\r\r",
      "\xEF\xBB\xBFid: 1\ndata: x\n\n",
    };
    for (const body_framing framing : kFramings) {
      for (const std::string& stream : streams) {
        two_engines_world w(framing);
        w.mFirst = stream;
        const standin_caller& caller = w.Run();
        CPPUNIT_ASSERT_MESSAGE(stream, caller.Answered());
        CPPUNIT_ASSERT_EQUAL(stream, caller.Body());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mRequests);
      }
    }
  }

  /// Guards against an empty success where an engine that gives no length ends
  /// before its first event. An empty stream with a length or a last chunk is
  /// whole.
  void StreamWithoutLengthThatLacksEventsIsNotComplete()
  {
    for (const body_framing framing : kFramings) {
      two_engines_world w(framing);
      w.mSecond = Event(1);
      const standin_caller& caller = w.Run();
      CPPUNIT_ASSERT(caller.Answered());
      CPPUNIT_ASSERT_EQUAL(framing == body_framing::Close ? Event(1) : "",
                           caller.Body());
    }
  }

  /// Guards against judging by the format of event streams whether an answer of
  /// another media type is complete.
  void AnswerOfAnotherMediaTypeIsForwardedWhole()
  {
    world w;
    const std::string body = R"({"note":"no events"})";
    w.mModel.mAnswer = [&body](connection& aConnection,
                               const http_head& aHead) {
      aConnection.mChannel->Write(
        SuccessHead(aHead,
                    "Content-Type: application/json; charset=utf-8\r\n"
                    "Content-Length: " +
                      std::to_string(body.size()) + "\r\n") +
        body);
      aConnection.Next();
    };
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    CPPUNIT_ASSERT(caller.Answered());
    CPPUNIT_ASSERT_EQUAL(body, caller.Body());
  }

  void SlowCallerAppliesBackpressure()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    constexpr std::size_t kAnswerBytes = std::size_t{ 64 } * 1024 * 1024;
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      const std::string filler(60000, 'x');
      for (int id = 1; bytes.size() < kAnswerBytes; ++id) {
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
    // The gateway stopped reading, so the endpoint cannot send most of its
    // answer.
    CPPUNIT_ASSERT(w.mModel.mLast->mChannel->Pending() > kAnswerBytes / 2);
  }

  /// Makes the endpoint answer reservation commands with the status
  /// `aReservationStatus` and requests with a stream of one event.
  static void AnswerAsEngine(endpoint_fixture& aEngine,
                             unsigned aReservationStatus)
  {
    aEngine.mAnswer = [aReservationStatus](connection& aConnection,
                                           const http_head& aHead) {
      if (aHead.mTarget == "/order") {
        aConnection.mChannel->Write("HTTP/1.1 " +
                                    std::to_string(aReservationStatus) +
                                    " X\r\nContent-Length: 2\r\n\r\n{}");
        aConnection.Next();
        return;
      }
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
      aConnection.Next();
    };
  }

  static std::size_t CountReservationCommands(const endpoint_fixture& aEngine,
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

  void GiantPromptReservesAndReleasesMemory()
  {
    world w;
    std::vector<std::unique_ptr<endpoint_fixture>> engines;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
      AnswerAsEngine(*engines.back(), 200);
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
          reserved += CountReservationCommands(*engine, "reserve");
          released += CountReservationCommands(*engine, "release");
        }
        return released > 0 && released >= reserved;
      },
      "the memory is released");
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

  /// Guards against a deadlock of two giant prompts. Each gets memory on some
  /// engines and is refused on others; if granted memory were kept while
  /// waiting for the rest, both would wait forever.
  void PartialReservationIsReleased()
  {
    world w;
    std::vector<std::unique_ptr<endpoint_fixture>> engines;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
      AnswerAsEngine(*engines.back(), 409);
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
          reserved += CountReservationCommands(*engine, "reserve");
          released += CountReservationCommands(*engine, "release");
        }
        return reserved > 0 && reserved == released;
      },
      "all memory is released");
    CPPUNIT_ASSERT(w.mGateway->Board().mLedger.mPlacements.empty());
  }

  /// Guards against a prompt that counts several times among those of its size
  /// because its placement is evaluated again, and against counts that are kept
  /// although the feature is disabled.
  void PromptIsCountedOnceBySize()
  {
    for (const bool enabled : { true, false }) {
      world w;
      w.mSettings.mOverload.mSizes = enabled;
      std::vector<std::unique_ptr<endpoint_fixture>> engines;
      for (int i = 0; i < 4; ++i) {
        engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
        AnswerAsEngine(*engines.back(), 409);
        w.List(
          "i-" + std::to_string(i), "model", engines.back()->mServer.Address());
      }
      w.Start();
      // It is placed again after each refusal of memory.
      w.Answered(w.Request("r1", "stream", "Token-Usage: 400000,50\r\n"));
      double offered = 0;
      double admitted = 0;
      for (const auto& [kind, shares] :
           w.mGateway->Board().mSizeShares.mKinds) {
        for (const size_counts& counts : shares.mCounts) {
          offered += counts.mOffered;
          admitted += counts.mAdmitted;
        }
      }
      // The counts decay slightly while the test runs.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(enabled ? 1 : 0, offered, 0.3);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(enabled ? 1 : 0, admitted, 0.3);
    }
  }

  /// Engines of which some refuse to be prefill helpers. An engine that
  /// receives a prompt with a refusing helper refuses the prompt and names that
  /// helper.
  struct engines_with_refusing_helpers
  {
    engines_with_refusing_helpers(world& aWorld, std::size_t aCount)
    {
      for (std::size_t i = 0; i < aCount; ++i) {
        mEngines.push_back(std::make_unique<endpoint_fixture>(aWorld.mLoop));
        mEngines.back()->mAnswer = [this](connection& aConnection,
                                          const http_head& aHead) {
          Answer(aConnection, aHead);
        };
        aWorld.List("i-" + std::to_string(i),
                    "model",
                    mEngines.back()->mServer.Address());
      }
    }

    /// Number of helpers to mark as refusing. The first helper of a request is
    /// marked until that number is reached.
    std::size_t mRefusingCount = 0;
    std::set<std::string> mRefusingHelpers;
    std::size_t mRequestCount = 0;
    std::vector<std::unique_ptr<endpoint_fixture>> mEngines;

  private:
    void Answer(connection& aConnection, const http_head& aHead)
    {
      ++mRequestCount;
      const std::string helpers(
        FieldValue(aHead.mFields, "helpers").value_or(""));
      if (mRefusingHelpers.size() < mRefusingCount) {
        mRefusingHelpers.insert(helpers.substr(0, helpers.find(',')));
      }
      for (const std::string& refusing : mRefusingHelpers) {
        if (helpers.find(refusing) != std::string::npos) {
          aConnection.mChannel->Write(
            "HTTP/1.1 503 X\r\nRequest-Id: " +
            std::string(*FieldValue(aHead.mFields, "request-id")) +
            "\r\nNot-Executed: 1\r\nAt-Server: " + refusing +
            "\r\nContent-Length: 0\r\n\r\n");
          aConnection.Next();
          return;
        }
      }
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
      aConnection.Next();
    }
  };

  /// Guards against retrying with the helper that caused a refusal. A prompt is
  /// divided over twelve engines, and one of them is leaving, which the gateway
  /// does not know while the platform's store is down. The engine that decodes
  /// refuses the prompt and names the leaving helper. Retries that include this
  /// helper again would use up the attempts, and the request would be refused
  /// although dozens of engines are free.
  void RefusingHelperIsLeftOutOfTheRetry()
  {
    world w;
    engines_with_refusing_helpers engines(w, 8);
    engines.mRefusingCount = 2;
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 150000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), engines.mRefusingHelpers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), engines.mRequestCount);
  }

  /// Guards against choosing a helper again after it refused another request:
  /// each of a hundred prompts would be refused once because of the same
  /// leaving engine.
  void RefusingHelperIsLeftOutOfLaterRequests()
  {
    world w;
    engines_with_refusing_helpers engines(w, 8);
    engines.mRefusingCount = 1;
    w.Start();
    for (const char* const id : { "r1", "r2", "r3" }) {
      const standin_caller& caller =
        w.Answered(w.Request(id, "stream", "Token-Usage: 45000,50\r\n"));
      CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), engines.mRequestCount);
  }

  /// Guards against avoiding an engine whose slots are all taken. In a burst of
  /// short prompts each engine had 19 to 23 requests in 16 slots, and a request
  /// that waited for a slot got no data for longer than expected
  /// (`endpoint_silent waited_ms=886 reading_left_ms=0 writing=21
  /// heard_ms=44`). All gateways then avoided the engine and retried the prompt
  /// on another one, which was as full and got more work: 181 such decisions in
  /// six seconds, compared to one or two in a whole run without the fault.
  void FullEngineIsNotAvoided()
  {
    constexpr int kSlots = 16;
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    std::vector<connection*> writing;
    w.mModel.mAnswer = [&writing](connection& aConnection,
                                  const http_head& aHead) {
      if (writing.size() < kSlots) {
        aConnection.mChannel->Write(
          SuccessHead(aHead, "Transfer-Encoding: chunked\r\n"));
        writing.push_back(&aConnection);
      }
    };
    w.Start();
    int event = 0;
    const auto write = [&writing, &event]() {
      ++event;
      for (connection* const one : writing) {
        std::string bytes;
        AppendChunk(bytes, Event(event));
        one->mChannel->Write(bytes);
      }
    };
    for (int i = 0; i <= kSlots; ++i) {
      (void)w.Ask(w.Request(
        "r" + std::to_string(i), "stream", "Token-Usage: 1000,50\r\n"));
    }
    w.Until([&w]() { return w.mModel.mHeads.size() == kSlots + 1; },
            "all are sent");
    // Another engine joins while the last request waits for a slot.
    endpoint_fixture other(w.mLoop);
    w.List("i-other", "model", other.mServer.Address());
    w.Until(
      [&w]() {
        return w.mGateway->Board().mEndpoints.mEndpoints.contains("i-other");
      },
      "the other engine");
    constexpr int kDecodingSteps = 30;
    for (int i = 0; i < kDecodingSteps; ++i) {
      write();
      w.For(milliseconds(60));
    }
    CPPUNIT_ASSERT(other.mHeads.empty());
    const endpoint_health& health =
      w.mGateway->Board().mEndpoints.mEndpoints.at("i-model").mHealth;
    CPPUNIT_ASSERT(health.mAvoidUntil == time_point{});
    // Once the engine sends nothing any more, the request is retried elsewhere.
    w.Until([&other]() { return !other.mHeads.empty(); }, "the other engine");
  }

  /// The metrics have to show an operator who investigates slow answers what is
  /// late: the first events or the pauses, on which engines, and whether the
  /// store answers.
  void LateStreamsAndStoreCallsAreCounted()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = [](connection& aConnection, const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, Event(1));
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
      aConnection.Next();
    };
    w.Start();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "stream", "Token-Usage: 1000,50\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    const std::string text = w.Metrics();
    for (const char* const line :
         { "gateway_requests_total{outcome=\"answered\"} 1\n",
           "gateway_first_event_seconds_count 1\n",
           "gateway_store_calls_total{outcome=\"good\"} ",
           "gateway_store_answer_age_seconds{table=\"",
           "gateway_promised_reading_seconds ",
           "gateway_engine_requests 0\n" }) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }
    CPPUNIT_ASSERT(text.find("gateway_late_total") == std::string::npos);
    metrics counted;
    CountStream(
      counted,
      { milliseconds(400), milliseconds(300), milliseconds(90), duration{} });
    CountStream(counted,
                { milliseconds(100),
                  milliseconds(300),
                  milliseconds(260),
                  milliseconds(250) });
    for (const char* const what : { "first_event", "pause" }) {
      CPPUNIT_ASSERT_EQUAL(
        1.0, counted.Value(Labelled("gateway_late_total", "what", what)));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stream_test, "gateway-streams");
