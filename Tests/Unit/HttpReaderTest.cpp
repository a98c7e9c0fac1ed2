#include "LibNet/HttpReader.h"
#include "LibNet/EventCursor.h"
#include "LibObserve/LibObserve.h"
#include "LineEnds.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

using namespace primrose;

namespace {

read_state
ReadOne(http_reader& aReader, std::string aBytes, std::string* aRest = nullptr)
{
  const read_state state = aReader.Read(aBytes);
  if (aRest != nullptr) {
    *aRest = aBytes;
  }
  return state;
}

std::string
Request(const std::string& aFields, const std::string& aBody = "")
{
  return "POST /a/b?c HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n" + aBody;
}

} // namespace

class http_reader_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_reader_test);
  CPPUNIT_TEST(ReadsExactlyOneMessage);
  CPPUNIT_TEST(MessageMayBeSplitAtAnyByte);
  CPPUNIT_TEST(AmbiguousHeadsAreRejected);
  CPPUNIT_TEST(LimitsAreEnforced);
  CPPUNIT_TEST(CloseDelimitedAnswerEndsWithConnection);
  CPPUNIT_TEST(TruncatedAnswerIsMalformed);
  CPPUNIT_TEST(InterimAnswersAreSkipped);
  CPPUNIT_TEST(InterimAnswersWithoutEndAreRejected);
  CPPUNIT_TEST(InterimAnswerIsPartOfTheAnswer);
  CPPUNIT_TEST(HeadsWithoutEndAreRejected);
  CPPUNIT_TEST(RestartFreesTheBody);
  CPPUNIT_TEST(OnlyCompleteEventsAreReturned);
  CPPUNIT_TEST(ResumedStreamSkipsRepeatedEvents);
  CPPUNIT_TEST(EventsEndWithEachLineEndOfTheFormat);
  CPPUNIT_TEST(WhatFollowsTheLastEventIsNoEvent);
  CPPUNIT_TEST(EventIdIsReadAsTheFormatDefines);
  CPPUNIT_TEST(ResumedStreamHasNoSecondByteOrderMark);
  CPPUNIT_TEST(LogWritesNeverBlock);
  CPPUNIT_TEST(LineRateLimiterRefills);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsExactlyOneMessage()
  {
    http_reader reader(http_role::Request, http_limits{});
    std::string rest;
    const std::string next = Request("Content-Length: 0\r\n");
    CPPUNIT_ASSERT(ReadOne(reader,
                           Request("Content-Length: 3\r\n", "abc") + next,
                           &rest) == read_state::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.Body());
    CPPUNIT_ASSERT_EQUAL(next, rest);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c"), reader.Head().mTarget);
    reader.Restart();
    CPPUNIT_ASSERT(ReadOne(reader, rest) == read_state::Complete);
    CPPUNIT_ASSERT(reader.Body().empty());
  }

  void MessageMayBeSplitAtAnyByte()
  {
    const std::string whole =
      Request("Transfer-Encoding: chunked\r\nX-One: 1\r\n",
              "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n");
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
      http_reader reader(http_role::Request, http_limits{});
      std::string first = whole.substr(0, cut);
      const read_state before = reader.Read(first);
      CPPUNIT_ASSERT(before == read_state::Head || before == read_state::Body);
      CPPUNIT_ASSERT(first.empty());
      std::string second = whole.substr(cut);
      CPPUNIT_ASSERT(reader.Read(second) == read_state::Complete);
      CPPUNIT_ASSERT_EQUAL(std::string("abcdefg"), reader.Body());
      CPPUNIT_ASSERT_EQUAL(
        std::string("1"),
        std::string(*FieldValue(reader.Head().mFields, "x-one")));
    }
  }

  /// Guards against request smuggling, where an endpoint runs a request that no
  /// caller sent. A head has two lengths, or a length and chunks; the gateway
  /// uses one of them and the endpoint the other, and the bytes after the
  /// shorter body are parsed as a request.
  void AmbiguousHeadsAreRejected()
  {
    for (const char* const fields :
         { "Content-Length: 3\r\nContent-Length: 4\r\n",
           "Content-Length: 3\r\nContent-Length: 3\r\n",
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "Host: other\r\n",
           "X y: 1\r\n",
           "Content-Length: -1\r\n",
           "Content-Length: 3, 4\r\n" }) {
      http_reader reader(http_role::Request, http_limits{});
      CPPUNIT_ASSERT_MESSAGE(fields,
                             ReadOne(reader, Request(fields, "abcd")) ==
                               read_state::Malformed);
    }
    http_reader reader(http_role::Request, http_limits{});
    CPPUNIT_ASSERT(ReadOne(reader, "not a request\r\n\r\n") ==
                   read_state::Malformed);
  }

  void LimitsAreEnforced()
  {
    http_reader reader(http_role::Request, http_limits{ 200, 10 });
    CPPUNIT_ASSERT(
      ReadOne(reader, Request("Content-Length: 11\r\n", "12345678901")) ==
      read_state::BodyTooBig);
    reader.Restart();
    CPPUNIT_ASSERT(
      ReadOne(reader, "GET / HTTP/1.1\r\nX: " + std::string(300, 'x')) ==
      read_state::HeadTooBig);
  }

  void CloseDelimitedAnswerEndsWithConnection()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(ReadOne(reader, "HTTP/1.1 200 OK\r\n\r\nabc") ==
                   read_state::Body);
    CPPUNIT_ASSERT(reader.Framing() == body_framing::Close);
    CPPUNIT_ASSERT(reader.Finish() == read_state::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.Body());
  }

  void TruncatedAnswerIsMalformed()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(
      ReadOne(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") ==
      read_state::Body);
    CPPUNIT_ASSERT(reader.Finish() == read_state::Malformed);
  }

  void InterimAnswersAreSkipped()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(ReadOne(reader,
                           "HTTP/1.1 100 Continue\r\n\r\n"
                           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na") ==
                   read_state::Complete);
    CPPUNIT_ASSERT_EQUAL(200U, reader.Head().mStatus);
  }

  /// Guards against a server that sends interim answers for ever: in one
  /// buffer, where each of them took a level of the stack, and one at a time.
  void InterimAnswersWithoutEndAreRejected()
  {
    constexpr int kInterimAnswers = 500000;
    const std::string interim = "HTTP/1.1 100 C\r\n\r\n";
    std::string bytes;
    for (int i = 0; i < kInterimAnswers; ++i) {
      bytes += interim;
    }
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(reader.Read(bytes) == read_state::HeadTooBig);

    http_reader slow(http_role::Answer, http_limits{});
    const std::size_t allowed = http_limits{}.mHeadBytes / interim.size();
    for (std::size_t i = 0; i < allowed; ++i) {
      CPPUNIT_ASSERT(ReadOne(slow, interim) == read_state::Head);
    }
    CPPUNIT_ASSERT(ReadOne(slow, interim) == read_state::HeadTooBig);
  }

  /// Guards against taking a connection that ends after an interim answer for
  /// one on which nothing came, so that the request is sent there again.
  void InterimAnswerIsPartOfTheAnswer()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(ReadOne(reader, "HTTP/1.1 100 C\r\n\r\n") ==
                   read_state::Head);
    CPPUNIT_ASSERT(reader.Started());
    CPPUNIT_ASSERT(reader.Finish() == read_state::Malformed);
  }

  /// Guards against a peer that never ends a head, a chunk's extensions or the
  /// trailers, in pieces that are small by themselves.
  void HeadsWithoutEndAreRejected()
  {
    constexpr std::size_t kPieces = 100;
    const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string piece(1000, 'x');
    for (const std::string& start : { std::string("HTTP/1.1 200 OK\r\nX-"),
                                      std::string("HTTP/1.1 200 OK\r\nX: "),
                                      std::string("HTTP/1.1 200 "),
                                      chunked + "1;",
                                      chunked + "1\r\na\r\n0\r\nX: " }) {
      http_reader reader(http_role::Answer, http_limits{});
      read_state state = ReadOne(reader, start);
      std::size_t pieces = 0;
      while ((state == read_state::Head || state == read_state::Body) &&
             pieces < kPieces) {
        state = ReadOne(reader, piece);
        ++pieces;
      }
      CPPUNIT_ASSERT_MESSAGE(start, state == read_state::HeadTooBig);
      CPPUNIT_ASSERT_MESSAGE(start, reader.Body().size() <= 1);
    }
  }

  /// Guards against a connection that keeps the memory of the largest body that
  /// it ever read.
  void RestartFreesTheBody()
  {
    constexpr std::size_t kBytes = std::size_t{ 1024 } * 1024;
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(
      ReadOne(reader, "HTTP/1.1 200 OK\r\n\r\n" + std::string(kBytes, 'x')) ==
      read_state::Body);
    reader.Restart();
    CPPUNIT_ASSERT(reader.Body().capacity() < kBytes);
  }

  void OnlyCompleteEventsAreReturned()
  {
    event_cursor cursor;
    std::string bytes = "id: 1\ndata: a\n\nid: 2\nda";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                         cursor.TakeWholeEvents(bytes));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\nda"), bytes);
    bytes += "ta: b\n";
    CPPUNIT_ASSERT(cursor.TakeWholeEvents(bytes).empty());
    bytes += "\n";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"),
                         cursor.TakeWholeEvents(bytes));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *cursor.LastId());
  }

  void ResumedStreamSkipsRepeatedEvents()
  {
    event_cursor cursor;
    std::string bytes = "id: 4\n\nid: 5\n\nid: 6\nhalf";
    (void)cursor.TakeWholeEvents(bytes);
    cursor.Resume();
    std::string again = "id: 5\n\nid: 6\nwhole\n\n";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 6\nwhole\n\n"),
                         cursor.TakeWholeEvents(again));
  }

  /// What the cursor returned for a stream that arrived in pieces.
  struct received_stream
  {
    std::string mEvents;
    std::string mRemaining;
    event_cursor mCursor;
  };

  /// Reads a stream that arrives in pieces of a size, 0 for all at once.
  static received_stream ReadInPieces(std::string_view aStream,
                                      std::size_t aSize)
  {
    received_stream received;
    while (!aStream.empty()) {
      const std::size_t size = aSize == 0 ? aStream.size() : aSize;
      received.mRemaining.append(aStream.substr(0, size));
      aStream.remove_prefix(std::min(size, aStream.size()));
      received.mEvents += received.mCursor.TakeWholeEvents(received.mRemaining);
    }
    return received;
  }

  /// Guards against streams whose lines end as the format also allows being
  /// held back until their end, where no event end is recognized.
  void EventsEndWithEachLineEndOfTheFormat()
  {
    constexpr std::size_t kMaxPiece = 5;
    for (const std::string_view end : { "\n", "\r\n", "\r" }) {
      const std::string events = test::WithLineEnds(
        "id: 1\ndata: a\n\n: comment\n\nid:2\ndata\n\n", end);
      const std::string partial = test::WithLineEnds("id: 3\ndata: c\n", end);
      for (std::size_t size = 0; size <= kMaxPiece; ++size) {
        const received_stream whole = ReadInPieces(events, size);
        CPPUNIT_ASSERT_EQUAL(events, whole.mEvents);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *whole.mCursor.LastId());
        CPPUNIT_ASSERT(!whole.mCursor.IsInsideEvent(whole.mRemaining));
        const received_stream cut = ReadInPieces(events + partial, size);
        CPPUNIT_ASSERT_EQUAL(events, cut.mEvents);
        CPPUNIT_ASSERT_EQUAL(partial, cut.mRemaining);
        CPPUNIT_ASSERT(cut.mCursor.IsInsideEvent(cut.mRemaining));
      }
    }
  }

  /// Guards against taking a whole stream for one that broke off because of
  /// what follows its last event.
  void WhatFollowsTheLastEventIsNoEvent()
  {
    const std::string event = "id: 1\ndata: a\n\n";
    for (const std::string rest : { "", "\n", "\n\n", "\r\n", ": end\n" }) {
      for (std::size_t size = 0; size <= 3; ++size) {
        const received_stream stream = ReadInPieces(event + rest, size);
        CPPUNIT_ASSERT_EQUAL(event + rest, stream.mEvents + stream.mRemaining);
        CPPUNIT_ASSERT(!stream.mCursor.IsInsideEvent(stream.mRemaining));
      }
    }
    for (const std::string rest :
         { "i", "id: 2\n", "\ndata", ": en", "\r\nd" }) {
      const received_stream stream = ReadInPieces(event + rest, 1);
      CPPUNIT_ASSERT_EQUAL(event, stream.mEvents);
      CPPUNIT_ASSERT(stream.mCursor.IsInsideEvent(stream.mRemaining));
    }
  }

  /// Guards against an id that is read wrongly, after which events are left out
  /// or come twice.
  void EventIdIsReadAsTheFormatDefines()
  {
    const auto lastId = [](const std::string& aEvent) {
      return ReadInPieces(aEvent, 0).mCursor.LastId().value_or(0);
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), lastId("id:7\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), lastId("id: 7\nid: 8\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), lastId("\xEF\xBB\xBFid: 7\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lastId("id: 7-1\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lastId("identity: 7\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lastId("data: id: 7\n\n"));
  }

  /// Guards against an event that callers ignore because the byte order mark of
  /// the source that resumes the stream became part of a field's name.
  void ResumedStreamHasNoSecondByteOrderMark()
  {
    event_cursor cursor;
    std::string first = "\xEF\xBB\xBFid: 1\n\nid: 2\nha";
    CPPUNIT_ASSERT_EQUAL(std::string("\xEF\xBB\xBFid: 1\n\n"),
                         cursor.TakeWholeEvents(first));
    cursor.Resume();
    std::string second = "\xEF\xBB\xBFid: 2\r\n\r\nid: 3\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\r\n\r\nid: 3\r\n\r\n"),
                         cursor.TakeWholeEvents(second));
  }

  /// Guards against log writes that block: when the reader of a gateway's log
  /// stops and the pipe fills up, all callers of the gateway would wait.
  void LogWritesNeverBlock()
  {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
    constexpr std::size_t kMaxPendingBytes = 4096;
    bounded_output output(ends[1], kMaxPendingBytes);
    const std::string line(100, 'x');
    for (int i = 0; i < 5000; ++i) {
      output.Append(line);
      output.Flush();
    }
    CPPUNIT_ASSERT(output.Dropped() > 0);
    CPPUNIT_ASSERT(output.Pending() <= kMaxPendingBytes);
    // Once the pipe is read again, the buffered lines arrive, followed by the
    // number of dropped lines.
    std::string seen(std::size_t{ 1 } << 20U, ' ');
    CPPUNIT_ASSERT(read(ends[0], seen.data(), seen.size()) > 0);
    output.Flush();
    output.Append("after");
    output.Flush();
    const ssize_t size = read(ends[0], seen.data(), seen.size());
    CPPUNIT_ASSERT(size > 0);
    CPPUNIT_ASSERT(std::string_view(seen.data(), static_cast<std::size_t>(size))
                     .find("event=log_lines_dropped lines=") !=
                   std::string_view::npos);
    close(ends[0]);
    close(ends[1]);
  }

  void LineRateLimiterRefills()
  {
    line_rate_limiter budget{ 10, 5, 5, 0 };
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
      taken += TakeLine(budget, 0) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(5, taken);
    CPPUNIT_ASSERT(TakeLine(budget, 0.2));
    CPPUNIT_ASSERT(TakeLine(budget, 0.2));
    CPPUNIT_ASSERT(!TakeLine(budget, 0.2));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_reader_test, "http");
