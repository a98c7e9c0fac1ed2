#include "LibNet/HttpReader.h"
#include "LibNet/EventCursor.h"
#include "LibObserve/LibObserve.h"

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
  CPPUNIT_TEST(TakesOneMessageAndNotAByteMore);
  CPPUNIT_TEST(AnyCutOfTheBytesReadsTheSame);
  CPPUNIT_TEST(HeadsWithTwoReadingsAreRefused);
  CPPUNIT_TEST(LimitsHold);
  CPPUNIT_TEST(AnswerWithoutLengthEndsWithConnection);
  CPPUNIT_TEST(ShortAnswerIsBroken);
  CPPUNIT_TEST(InterimAnswersArePassedOver);
  CPPUNIT_TEST(EventsAreCutWhole);
  CPPUNIT_TEST(ResumedStreamRepeatsNothing);
  CPPUNIT_TEST(LogNeverWaitsForItsReader);
  CPPUNIT_TEST(LineBudgetRefills);
  CPPUNIT_TEST_SUITE_END();

public:
  void TakesOneMessageAndNotAByteMore()
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

  void AnyCutOfTheBytesReadsTheSame()
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

  /// Symptom: an endpoint runs a request that no caller sent.
  /// Sequence: a caller sends a head with two lengths, or a length and chunks;
  /// the entry takes one reading of it, the endpoint the other.
  /// Cause: the bytes behind the shorter body are taken for a request.
  void HeadsWithTwoReadingsAreRefused()
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

  void LimitsHold()
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

  void AnswerWithoutLengthEndsWithConnection()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(ReadOne(reader, "HTTP/1.1 200 OK\r\n\r\nabc") ==
                   read_state::Body);
    CPPUNIT_ASSERT(reader.IsCloseDelimited());
    CPPUNIT_ASSERT(reader.Finish() == read_state::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.Body());
  }

  void ShortAnswerIsBroken()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(
      ReadOne(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") ==
      read_state::Body);
    CPPUNIT_ASSERT(reader.Finish() == read_state::Malformed);
  }

  void InterimAnswersArePassedOver()
  {
    http_reader reader(http_role::Answer, http_limits{});
    CPPUNIT_ASSERT(ReadOne(reader,
                           "HTTP/1.1 100 Continue\r\n\r\n"
                           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na") ==
                   read_state::Complete);
    CPPUNIT_ASSERT_EQUAL(200U, reader.Head().mStatus);
  }

  void EventsAreCutWhole()
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

  void ResumedStreamRepeatsNothing()
  {
    event_cursor cursor;
    std::string bytes = "id: 4\n\nid: 5\n\nid: 6\nhalf";
    (void)cursor.TakeWholeEvents(bytes);
    cursor.Resume();
    std::string again = "id: 5\n\nid: 6\nwhole\n\n";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 6\nwhole\n\n"),
                         cursor.TakeWholeEvents(again));
  }

  /// Symptom: all callers of an entry wait. Sequence: the reader of its log
  /// stops; the pipe fills. Cause: a write to the log that blocks.
  void LogNeverWaitsForItsReader()
  {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
    constexpr std::size_t kMost = 4096;
    bounded_output output(ends[1], kMost);
    const std::string line(100, 'x');
    for (int i = 0; i < 5000; ++i) {
      output.Append(line);
      output.Flush();
    }
    CPPUNIT_ASSERT(output.Dropped() > 0);
    CPPUNIT_ASSERT(output.Pending() <= kMost);
    // The reader is back: what was kept arrives, then how much was left out.
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

  void LineBudgetRefills()
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
