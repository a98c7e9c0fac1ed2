#include "Fixtures.h"

#include "LibGossip/LibGossip.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/// What a process may hold above its limit: what it reads in one turn of the
/// event loop from each of a dozen endpoints.
constexpr std::size_t kTurnBytes = kMegabyte;

/// Writes a piece of bytes again and again to connections, as fast as they are
/// read.
class flood
{
public:
  flood(event_loop& aLoop, std::string aPiece)
    : mLoop(aLoop)
    , mPiece(std::move(aPiece))
  {
    Pour();
  }
  ~flood() { mLoop.Cancel(mTimer); }
  flood(const flood&) = delete;
  flood& operator=(const flood&) = delete;

  /// Begins with `aStart`, and goes on with the pieces.
  void Begin(const connection& aConnection, const std::string& aStart)
  {
    aConnection.mChannel->Write(aStart);
    mChannels.push_back(aConnection.mChannel);
  }
  std::size_t Sent() const { return mSent; }
  void Stop() { mLoop.Cancel(mTimer); }

private:
  void Pour()
  {
    constexpr std::size_t kMaxPending = std::size_t{ 256 } * 1024;
    mTimer = mLoop.After(milliseconds(1), [this]() { Pour(); });
    for (const std::shared_ptr<tcp_channel>& channel : mChannels) {
      while (channel->Open() && channel->Pending() < kMaxPending) {
        channel->Write(mPiece);
        mSent += mPiece.size();
      }
    }
  }

  event_loop& mLoop;
  std::string mPiece;
  std::vector<std::shared_ptr<tcp_channel>> mChannels;
  std::size_t mSent = 0;
  timer_id mTimer = 0;
};

/// A gateway whose endpoint of the service "desk" answers each request with
/// bytes without end. Watches how many bytes of answers the gateway holds.
struct endless_world : world
{
  explicit endless_world(std::string aStart, std::string aPiece)
    : mFlood(mLoop, std::move(aPiece))
  {
    mDeskEndpoint.mAnswer = [this, start = std::move(aStart)](
                              connection& aConnection, const http_head& aHead) {
      mFlood.Begin(aConnection, SuccessHead(aHead, start));
    };
  }

  const answer_memory& Memory() const
  {
    return mGateway->Board().mAnswerMemory;
  }

  /// Runs until the condition holds, and returns the most bytes that were held
  /// meanwhile.
  std::size_t MostHeldUntil(const std::function<bool()>& aCondition,
                            const std::string& aWhat)
  {
    std::size_t most = 0;
    Until(
      [this, &most, &aCondition]() {
        most = std::max(most, Memory().mBytes);
        return aCondition();
      },
      aWhat);
    return most;
  }

  bool AllEnded() const
  {
    return std::all_of(mCallers.begin(),
                       mCallers.end(),
                       [](const auto& aCaller) { return aCaller->Ended(); });
  }

  /// Asserts that nothing is left of the requests.
  void AssertReleased(std::size_t aConnections)
  {
    Until(
      [this, aConnections]() {
        return mDeskEndpoint.mServer.Ended() == aConnections;
      },
      "the endpoint's connections to end");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mGateway->Board().mOpenRequests);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Memory().mBytes);
  }

  flood mFlood;
};

std::string
ChunkOf(const std::string& aBytes)
{
  std::string chunk;
  AppendChunk(chunk, aBytes);
  return chunk;
}

const std::string kPiece(std::size_t{ 32 } * 1024, 'x');

} // namespace

class endless_answer_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(endless_answer_test);
  CPPUNIT_TEST(BodiesWithoutEndAreNotKept);
  CPPUNIT_TEST(BodyWithoutEndEndsAtTheDeadline);
  CPPUNIT_TEST(BodyWithoutEndToCallerThatDoesNotRead);
  CPPUNIT_TEST(LargeAnswerIsForwardedWhole);
  CPPUNIT_TEST(LargeAnswerThatBreaksOffIsNotComplete);
  CPPUNIT_TEST(FailureWithoutEndIsRetriedElsewhere);
  CPPUNIT_TEST(LargestAnswerIsEndedAtTheLimit);
  CPPUNIT_TEST(AnswersThatCallersDoNotReadAreBounded);
  CPPUNIT_TEST(EventsWithoutEndAreEndedAtTheLimit);
  CPPUNIT_TEST(HeadsWithoutEndCloseTheConnection);
  CPPUNIT_TEST(BytesAfterAnAnswerCloseTheConnection);
  CPPUNIT_TEST(StoreAnswerWithoutEndFailsTheCall);
  CPPUNIT_TEST(DecompressedBytesAreBounded);
  CPPUNIT_TEST(ChannelThatIsNeverDrainedFreesWhatWasSent);
  CPPUNIT_TEST(LimitFollowsFromTheMemoryOfTheProcess);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against endpoints that send bodies without end on plain routes, of
  /// which the gateway kept 16 MB for each request.
  void BodiesWithoutEndAreNotKept()
  {
    constexpr std::size_t kRequests = 12;
    constexpr std::size_t kMostForOne = 2 * kMegabyte;
    for (const std::string framing : { "Transfer-Encoding: chunked\r\n",
                                       "",
                                       "Content-Length: 100000000\r\n" }) {
      const bool chunked = framing.starts_with("Transfer");
      endless_world w(framing, chunked ? ChunkOf(kPiece) : kPiece);
      w.Start();
      for (std::size_t i = 0; i < kRequests; ++i) {
        (void)w.Ask(w.Request("r" + std::to_string(i), "safe"));
      }
      const std::size_t most =
        w.MostHeldUntil([&w]() { return w.AllEnded(); }, "the end of all");
      CPPUNIT_ASSERT_MESSAGE(framing, most <= kRequests * kMostForOne);
      for (const std::unique_ptr<standin_caller>& caller : w.mCallers) {
        CPPUNIT_ASSERT(!caller->Answered());
      }
      w.AssertReleased(kRequests);
    }
  }

  /// Guards against a body that never ends and keeps a request beyond its time.
  void BodyWithoutEndEndsAtTheDeadline()
  {
    world w;
    timer_id timer = 0;
    std::function<void()> drip = [&w, &timer, &drip]() {
      if (w.mDeskEndpoint.mLast != nullptr) {
        w.mDeskEndpoint.mLast->mChannel->Write("x");
      }
      timer = w.mLoop.After(milliseconds(5), drip);
    };
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
      aConnection.mChannel->Write(
        SuccessHead(aHead, "Content-Length: 100000000\r\n"));
    };
    w.Start();
    drip();
    const standin_caller& caller =
      w.Answered(w.Request("r1", "safe", "Deadline-Ms: 500\r\n"));
    w.mLoop.Cancel(timer);
    CPPUNIT_ASSERT_EQUAL(504U, caller.Status());
    w.Until([&w]() { return w.mDeskEndpoint.mServer.Ended() == 1; },
            "the endpoint's connection to end");
  }

  /// Guards against keeping, for a caller that does not read, all that an
  /// endpoint sends.
  void BodyWithoutEndToCallerThatDoesNotRead()
  {
    constexpr std::size_t kMost = 2 * kMegabyte;
    endless_world w("Transfer-Encoding: chunked\r\n", ChunkOf(kPiece));
    w.Start();
    standin_caller& caller =
      w.Ask(w.Request("r1", "safe", "Deadline-Ms: 1000\r\n"));
    caller.StopReading(true);
    const std::size_t most =
      w.MostHeldUntil([&w]() { return w.mDeskEndpoint.mServer.Ended() == 1; },
                      "the endpoint's connection to end");
    CPPUNIT_ASSERT(most > 0 && most <= kMost);
    caller.StopReading(false);
    w.Until([&caller]() { return caller.Ended(); }, "the caller's end");
    CPPUNIT_ASSERT(!caller.Answered());
    w.AssertReleased(1);
  }

  /// Guards against an answer that is spoilt since it was forwarded as it
  /// arrived, to a caller that stopped reading for a while.
  void LargeAnswerIsForwardedWhole()
  {
    std::string body;
    for (std::size_t i = 0; body.size() < 6 * kMegabyte; ++i) {
      body += std::to_string(i) + ' ';
    }
    for (const std::string framing :
         { "Transfer-Encoding: chunked\r\n", "", "Content-Length: " }) {
      world w;
      w.mDeskEndpoint.mAnswer = [&body, &framing](connection& aConnection,
                                                  const http_head& aHead) {
        tcp_channel& channel = *aConnection.mChannel;
        if (framing.empty()) {
          channel.Write(SuccessHead(aHead, "") + body);
          channel.CloseWhenDrained();
        } else if (framing.starts_with("Transfer")) {
          channel.Write(SuccessHead(aHead, framing));
          channel.Write(ChunkOf(body));
          channel.Write(kLastChunk);
        } else {
          const std::string length = std::to_string(body.size());
          channel.Write(SuccessHead(aHead, framing + length + "\r\n"));
          channel.Write(body);
        }
      };
      w.Start();
      standin_caller& caller = w.Ask(w.Request("r1", "safe"));
      caller.StopReading(true);
      w.For(milliseconds(200));
      caller.StopReading(false);
      w.Until(
        [&caller, &body]() {
          return caller.ReceivedBytes().size() > body.size() &&
                 caller.Answered();
        },
        "the whole answer");
      CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
      CPPUNIT_ASSERT(caller.Body() == body);
      CPPUNIT_ASSERT_EQUAL(framing.starts_with("Content"),
                           caller.Field("content-length").has_value());
      CPPUNIT_ASSERT(!caller.Ended());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                           w.mGateway->Board().mAnswerMemory.mBytes);
    }
  }

  /// Guards against taking the part of a large answer for a whole one, and
  /// against sending a request elsewhere whose answer the caller has in part.
  void LargeAnswerThatBreaksOffIsNotComplete()
  {
    for (const std::string framing : { "Transfer-Encoding: chunked\r\n",
                                       "",
                                       "Content-Length: 9000000\r\n" }) {
      const bool chunked = framing.starts_with("Transfer");
      world w;
      w.List("i-second", "desk", w.mSecond.mServer.Address());
      const auto answer = [&framing, chunked](connection& aConnection,
                                              const http_head& aHead) {
        const std::string part(3 * kMegabyte, 'x');
        aConnection.mChannel->Write(SuccessHead(aHead, framing) +
                                    (chunked ? ChunkOf(part) : part));
      };
      w.mDeskEndpoint.mAnswer = answer;
      w.mSecond.mAnswer = answer;
      w.Start();
      standin_caller& caller = w.Ask(w.Request("r1", "safe"));
      w.Until(
        [&caller]() { return caller.ReceivedBytes().size() > 2 * kMegabyte; },
        "a part of the answer");
      endpoint_fixture& asked =
        w.mSecond.mLast == nullptr ? w.mDeskEndpoint : w.mSecond;
      asked.mLast->mChannel->Abort();
      w.Until([&caller]() { return caller.Ended(); }, "the end");
      CPPUNIT_ASSERT_MESSAGE(framing, !caller.Answered());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           w.mDeskEndpoint.mHeads.size() +
                             w.mSecond.mHeads.size());
    }
  }

  /// Guards against passing on a large failure that a sound endpoint would have
  /// made good.
  void FailureWithoutEndIsRetriedElsewhere()
  {
    endless_world w("", kPiece);
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    std::size_t failed = 0;
    const auto answer = [&w, &failed](connection& aConnection,
                                      const http_head& aHead) {
      if (failed++ > 0) {
        AnswerOk(aConnection, aHead);
        return;
      }
      std::string head = SuccessHead(aHead, "Content-Length: 100000000\r\n");
      head.replace(head.find("200 OK"), 6, "500 No");
      w.mFlood.Begin(aConnection, head);
    };
    w.mDeskEndpoint.mAnswer = answer;
    w.mSecond.mAnswer = answer;
    w.Start();
    const standin_caller& caller = w.Answered(w.Request("r1", "safe"));
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), caller.Body());
  }

  /// Guards against a process that ends because its answers take more memory
  /// than it has: the largest one is ended, the others go on.
  void LargestAnswerIsEndedAtTheLimit()
  {
    constexpr std::size_t kSmall = std::size_t{ 100 } * 1024;
    constexpr std::size_t kSmallAnswers = 8;
    endless_world w("", kPiece);
    w.mSettings.mAnswerMemoryBytes = kMegabyte;
    const std::string part(kSmall, 'y');
    std::vector<connection*> waiting;
    w.mDeskEndpoint.mAnswer = [&w, &waiting, &part](connection& aConnection,
                                                    const http_head& aHead) {
      if (waiting.size() < kSmallAnswers) {
        waiting.push_back(&aConnection);
        aConnection.mChannel->Write(
          SuccessHead(aHead,
                      "Content-Length: " + std::to_string(part.size() + 1) +
                        "\r\n") +
          part);
        return;
      }
      w.mFlood.Begin(aConnection,
                     SuccessHead(aHead, "Content-Length: 9000000\r\n"));
    };
    w.Start();
    for (std::size_t i = 0; i < kSmallAnswers; ++i) {
      (void)w.Ask(w.Request("r" + std::to_string(i), "safe"));
    }
    w.Until(
      [&w, &part]() {
        return w.Memory().mBytes == kSmallAnswers * part.size();
      },
      "the small answers");
    standin_caller& endless = w.Ask(w.Request("endless", "unsafe"));
    const std::size_t most = w.MostHeldUntil(
      [&endless]() { return endless.Answered() || endless.Ended(); },
      "the end of the endless answer");
    CPPUNIT_ASSERT(most <= kMegabyte + kTurnBytes);
    // It may have been executed, so the answer must not say otherwise.
    CPPUNIT_ASSERT_EQUAL(502U, endless.Status());
    for (connection* const one : waiting) {
      one->mChannel->Write("z");
    }
    for (std::size_t i = 0; i < kSmallAnswers; ++i) {
      const standin_caller& caller = *w.mCallers.at(i);
      w.Until([&caller]() { return caller.Answered(); }, "a small answer");
      CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
      CPPUNIT_ASSERT(caller.Body() == part + "z");
    }
    const std::string metrics = w.Metrics();
    CPPUNIT_ASSERT(metrics.find("gateway_answers_ended_for_memory_total 1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(metrics.find("gateway_answer_bytes_held 0") !=
                   std::string::npos);
  }

  /// Guards against complete answers that pile up for callers that do not read
  /// them, beyond the end of their requests.
  void AnswersThatCallersDoNotReadAreBounded()
  {
    constexpr std::size_t kLimit = 4 * kMegabyte;
    constexpr std::size_t kCallers = 40;
    const std::string body(900000, 'y');
    world w;
    w.mSettings.mAnswerMemoryBytes = kLimit;
    w.mDeskEndpoint.mAnswer = [&body](connection& aConnection,
                                      const http_head& aHead) {
      aConnection.mChannel->Write(
        SuccessHead(aHead,
                    "Content-Length: " + std::to_string(body.size()) + "\r\n") +
        body);
      aConnection.Next();
    };
    w.Start();
    const answer_memory& memory = w.mGateway->Board().mAnswerMemory;
    std::size_t most = 0;
    for (std::size_t i = 0; i < kCallers; ++i) {
      // Half of the connections are kept, the others are closed once drained.
      const std::string close = i % 2 == 0 ? "Connection: close\r\n" : "";
      // Several requests are sent at once, as the system takes megabytes.
      std::string requests;
      for (int j = 0; j < 5; ++j) {
        requests += w.Request(
          "r" + std::to_string(i) + '-' + std::to_string(j), "safe", close);
      }
      w.Ask(requests).StopReading(true);
      const std::size_t asked = w.mDeskEndpoint.mHeads.size();
      w.Until([&w, asked]() { return w.mDeskEndpoint.mHeads.size() > asked; },
              "the request");
      w.Until(
        [&w, &most, &memory]() {
          most = std::max(most, memory.mBytes);
          return w.mGateway->Board().mOpenRequests == 0;
        },
        "the answer");
    }
    CPPUNIT_ASSERT(most <= kLimit + kTurnBytes);
  }

  /// Guards against a stream without a line end, or with comments only, on a
  /// route without an allowed pause, where no timer ends it.
  void EventsWithoutEndAreEndedAtTheLimit()
  {
    for (const std::string& piece :
         { kPiece, std::string(": x\n"), std::string("data: x\n") }) {
      std::string pieces;
      while (pieces.size() < kPiece.size()) {
        pieces += piece;
      }
      endless_world w("Content-Type: text/event-stream\r\n", pieces);
      w.mSettings.mAnswerMemoryBytes = kMegabyte;
      w.mModel.mAnswer = w.mDeskEndpoint.mAnswer;
      w.List("i-model", "model", w.mModel.mServer.Address());
      w.Start();
      const standin_caller& caller =
        w.Ask(w.Request("r1", "unhurried-stream", "Token-Usage: 1000,50\r\n"));
      const std::size_t most = w.MostHeldUntil(
        [&caller]() { return caller.Answered() || caller.Ended(); }, "the end");
      CPPUNIT_ASSERT(most > 0 && most <= kMegabyte + kTurnBytes);
      CPPUNIT_ASSERT_EQUAL(502U, caller.Status());
      w.Until([&w]() { return w.mModel.mServer.Ended() == 1; },
              "the engine's connection to end");
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), w.Memory().mBytes);
    }
  }

  /// Guards against heads, interim heads, chunk extensions and trailers without
  /// end.
  void HeadsWithoutEndCloseTheConnection()
  {
    const std::string chunked =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: proof\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
    struct endless
    {
      std::string mStart;
      std::string mPiece;
    };
    const std::string letters(1000, 'x');
    for (const endless& one :
         { endless{ "HTTP/1.1 200 OK\r\nX-", letters },
           endless{ "HTTP/1.1 200 OK\r\nX: ", letters },
           endless{ "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
           endless{ "HTTP/1.1 200 ", letters },
           endless{ "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" },
           endless{ chunked + "1;", letters },
           endless{ chunked + "0\r\n", "X: y\r\n" },
           endless{ "", letters } }) {
      endless_world w("", one.mPiece);
      w.mDeskEndpoint.mAnswer = [&w, &one](connection& aConnection,
                                           const http_head&) {
        w.mFlood.Begin(aConnection, one.mStart);
      };
      w.Start();
      const standin_caller& caller = w.Answered(w.Request("r1", "safe"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.mStart, 502U, caller.Status());
      w.AssertReleased(1);
    }
  }

  /// Guards against bytes without end after a complete answer.
  void BytesAfterAnAnswerCloseTheConnection()
  {
    for (const bool atOnce : { true, false }) {
      endless_world w("", kPiece);
      w.mDeskEndpoint.mAnswer = [&w, atOnce](connection& aConnection,
                                             const http_head& aHead) {
        const std::string answer =
          SuccessHead(aHead, "Content-Length: 2\r\n") + "ok";
        if (atOnce) {
          w.mFlood.Begin(aConnection, answer);
        } else {
          aConnection.mChannel->Write(answer);
        }
      };
      w.Start();
      const standin_caller& caller = w.Answered(w.Request("r1", "safe"));
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), caller.Body());
      if (!atOnce) {
        w.mFlood.Begin(*w.mDeskEndpoint.mLast, "");
      }
      w.AssertReleased(1);
    }
  }

  /// Guards against an answer of the store, or of a peer, that never ends. Both
  /// are read by the same client.
  void StoreAnswerWithoutEndFailsTheCall()
  {
    struct endless
    {
      std::string mStart;
      std::string mPiece;
    };
    for (const endless& one :
         { endless{ "HTTP/1.1 200 OK\r\n\r\n", kPiece },
           endless{ "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n",
                    kPiece },
           endless{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    ChunkOf(kPiece) },
           endless{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
           endless{ "HTTP/1.1 200 OK\r\nX: ", kPiece } }) {
      event_loop loop;
      flood pieces(loop, one.mPiece);
      standin_server server(loop,
                            [&pieces, &one](connection& aConnection,
                                            const http_head&,
                                            const std::string&) {
                              pieces.Begin(aConnection, one.mStart);
                            });
      serial_http_client client(loop, server.Address());
      std::optional<http_answer> got;
      client.Call({ "GET", "/", "", "", {} },
                  std::chrono::seconds(2),
                  [&got](const http_answer& aAnswer) { got = aAnswer; });
      while (!got.has_value()) {
        loop.Turn();
      }
      CPPUNIT_ASSERT_EQUAL(0U, got->mStatus);
      CPPUNIT_ASSERT(got->mReceivedBytes <=
                     http_limits{}.mBodyBytes + kMegabyte);
    }
  }

  /// Guards against a small message of a peer that decompresses to more than
  /// the process may hold.
  void DecompressedBytesAreBounded()
  {
    const std::string small = Compress(std::string(64 * kMegabyte, 'x'));
    CPPUNIT_ASSERT(small.size() < kMegabyte);
    CPPUNIT_ASSERT(!Capture<std::string>(
      [&small]() { return Decompress(small, kMegabyte); }));
    CPPUNIT_ASSERT(
      !Capture<table_snapshot>([&small]() { return DecodeSnapshot(small); }));
  }

  /// Guards against a channel to a slow reader that keeps all bytes that it has
  /// sent since it was empty last.
  void ChannelThatIsNeverDrainedFreesWhatWasSent()
  {
    struct reader final : channel_owner
    {
      void OnInput(tcp_channel& aChannel) override
      {
        mReceived += aChannel.Input().size();
        aChannel.Input().clear();
      }
      void OnEnd(tcp_channel&, channel_end) override {}
      std::size_t mReceived = 0;
    };
    constexpr std::size_t kRead = 32 * kMegabyte;
    event_loop loop;
    std::shared_ptr<tcp_channel> writer;
    const outcome<std::unique_ptr<tcp_listener>> listener =
      Capture<std::unique_ptr<tcp_listener>>([&loop, &writer]() {
        return tcp_listener::Open(
          loop, { "127.0.0.1", 0 }, [&loop, &writer](int aSocket) {
            writer =
              std::make_shared<tcp_channel>(loop, aSocket, channel_limits{});
          });
      });
    CPPUNIT_ASSERT(listener);
    reader slow;
    tcp_channel channel(
      loop, { "127.0.0.1", (*listener.mValue)->Port() }, channel_limits{});
    channel.SetOwner(&slow);
    while (writer == nullptr) {
      loop.Turn();
    }
    while (slow.mReceived < kRead) {
      while (writer->Pending() < 4 * kMegabyte) {
        writer->Write(kPiece);
      }
      loop.Turn();
      CPPUNIT_ASSERT(writer->BufferedOutput() <=
                     2 * writer->Pending() + kPiece.size());
    }
  }

  /// Guards against a limit that is larger than the process may be.
  void LimitFollowsFromTheMemoryOfTheProcess()
  {
    const auto read = [](const std::string& aMore) {
      return Capture<gateway_settings>([&aMore]() {
        return platform::ReadSettings(
          R"({"node":"n","zone":"a","ip":"10.0.0.1","port_range":[9000,9010],
    "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
    "platform":{"addr":"10.0.0.2:3"},
    "bounds":{"grace_s":5,"retry_budget_ratio":0.1,"budget_extra":5,
              "budget_window_s":5})" +
          aMore + "}");
      });
    };
    CPPUNIT_ASSERT_EQUAL(
      14 * kMegabyte,
      read(R"(,"limits":{"memory_mb":112})").mValue->mAnswerMemoryBytes);
    CPPUNIT_ASSERT_EQUAL(gateway_settings{}.mAnswerMemoryBytes,
                         read("").mValue->mAnswerMemoryBytes);
    CPPUNIT_ASSERT_EQUAL(
      gateway_settings{}.mAnswerMemoryBytes,
      read(R"(,"limits":{"cores":1})").mValue->mAnswerMemoryBytes);
    for (const std::string odd : { "0", "-1", "1e300", "\"2\"", "null" }) {
      CPPUNIT_ASSERT_MESSAGE(odd,
                             !read(R"(,"limits":{"memory_mb":)" + odd + "}"));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_answer_test, "endless-answers");
