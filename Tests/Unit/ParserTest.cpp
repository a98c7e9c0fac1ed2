/// Tests of the parsers for external input: event streams, JSON bodies,
/// addresses and claim rows.

#include "LineEnds.h"

#include "LibHttp/LibHttp.h"
#include "LibStore/LibStore.h"
#include "LibWire/LibWire.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace primrose;

class parser_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(parser_test);
  CPPUNIT_TEST(EventsAreParsedAcrossChunkBoundaries);
  CPPUNIT_TEST(EventsAreParsedWithEachLineEnd);
  CPPUNIT_TEST(EventThatIsCutIsNotReturned);
  CPPUNIT_TEST(OversizedEventIsRefused);
  CPPUNIT_TEST(ArbitraryBytesAreParsedOrRejected);
  CPPUNIT_TEST(DeepNestingIsRefused);
  CPPUNIT_TEST(WrongTypesHaveTheirErrorKind);
  CPPUNIT_TEST(AddressesMustBeNumeric);
  CPPUNIT_TEST(ClaimRowsSurviveRoundTrip);
  CPPUNIT_TEST_SUITE_END();

public:
  void EventsAreParsedAcrossChunkBoundaries()
  {
    const bool held = rc::check("cuts", []() {
      const std::vector<std::string> sent =
        *rc::gen::container<std::vector<std::string>>(
          rc::gen::nonEmpty(rc::gen::container<std::string>(
            rc::gen::element('a', '\n', ' ', ':', '{'))));
      std::string bytes;
      for (const std::string& data : sent) {
        bytes += FormatEvent(data);
      }
      sse_parser parser;
      std::vector<std::string> received;
      const std::size_t step = *rc::gen::inRange<std::size_t>(1, 9);
      for (std::size_t i = 0; i < bytes.size(); i += step) {
        const std::string piece = bytes.substr(i, step);
        const outcome<std::vector<std::string>> events =
          Capture<std::vector<std::string>>(
            [&]() { return parser.Feed(piece); });
        RC_ASSERT(bool(events));
        received.insert(
          received.end(), events.mValue->begin(), events.mValue->end());
      }
      RC_ASSERT(received == sent);
    });
    CPPUNIT_ASSERT(held);
  }

  static std::vector<std::string> ParseInPieces(const std::string& aBytes,
                                                std::size_t aSize)
  {
    sse_parser parser;
    std::vector<std::string> received;
    for (std::size_t i = 0; i < aBytes.size(); i += aSize) {
      const std::string piece = aBytes.substr(i, aSize);
      const outcome<std::vector<std::string>> events =
        Capture<std::vector<std::string>>([&]() { return parser.Feed(piece); });
      CPPUNIT_ASSERT(bool(events));
      received.insert(
        received.end(), events.mValue->begin(), events.mValue->end());
    }
    return received;
  }

  /// Guards against an engine's whole stream without any event, because its
  /// lines end with CR.
  void EventsAreParsedWithEachLineEnd()
  {
    const std::vector<std::string> expected = { "a\nb", "", "c" };
    for (const std::string_view end : { "\n", "\r\n", "\r" }) {
      const std::string bytes =
        test::WithLineEnds("data: a\ndata:b\n\n\ndata:\n\ndata: c\n\n", end);
      for (std::size_t size = 1; size <= bytes.size(); ++size) {
        CPPUNIT_ASSERT(ParseInPieces(bytes, size) == expected);
      }
    }
  }

  /// Guards against passing on the beginning of an event as an event.
  void EventThatIsCutIsNotReturned()
  {
    const std::vector<std::string> whole = { "a" };
    for (const std::string rest :
         { "d", "data: b", "data: b\n", "data: b\r" }) {
      CPPUNIT_ASSERT(ParseInPieces("data: a\n\n" + rest, 1) == whole);
    }
  }

  void OversizedEventIsRefused()
  {
    sse_parser parser(100);
    bool refused = false;
    for (int i = 0; i < 20 && !refused; ++i) {
      refused = !Capture<std::vector<std::string>>(
        [&]() { return parser.Feed("data: aaaaaaaaa"); });
    }
    CPPUNIT_ASSERT(refused);
  }

  void ArbitraryBytesAreParsedOrRejected()
  {
    const bool held = rc::check("bytes", []() {
      const std::string bytes = *rc::gen::arbitrary<std::string>();
      sse_parser parser;
      (void)Capture<std::vector<std::string>>(
        [&]() { return parser.Feed(bytes); });
      const outcome<json> body =
        Capture<json>([&]() { return ParseObject(bytes); });
      RC_ASSERT(!body || body.mValue->is_object());
    });
    CPPUNIT_ASSERT(held);
  }

  void DeepNestingIsRefused()
  {
    std::string deep = "{\"a\":";
    deep += std::string(100000, '[');
    const outcome<json> body =
      Capture<json>([&]() { return ParseObject(deep); });
    CPPUNIT_ASSERT(!body);
    CPPUNIT_ASSERT(body.mFailure.mKind == error_kind::MalformedJson);
  }

  void WrongTypesHaveTheirErrorKind()
  {
    const json body = json::parse(
      R"({"text":1,"number":"x","big":18446744073709551615,"half":1.5})");
    const auto kindOf = [&](const auto& aRead) {
      return Capture<bool>([&]() -> result<bool> {
               BOOST_LEAF_CHECK(aRead());
               return true;
             })
        .mFailure.mKind;
    };
    CPPUNIT_ASSERT(kindOf([&]() { return RequiredText(body, "text"); }) ==
                   error_kind::WrongType);
    CPPUNIT_ASSERT(kindOf([&]() { return RequiredText(body, "none"); }) ==
                   error_kind::MissingField);
    CPPUNIT_ASSERT(kindOf([&]() {
                     return OptionalInteger(body, "big", 1, 0, 10);
                   }) == error_kind::BadValue);
    CPPUNIT_ASSERT(kindOf([&]() {
                     return OptionalInteger(body, "half", 1, 0, 10);
                   }) == error_kind::WrongType);
  }

  void AddressesMustBeNumeric()
  {
    const auto good = [](const std::string& aText) {
      return bool(Capture<ip_address>([&]() { return ParseAddress(aText); }));
    };
    CPPUNIT_ASSERT(good("127.0.0.1:0"));
    for (const char* const wrong : { "localhost:80",
                                     "127.0.0.1",
                                     "127.0.0.1:",
                                     "127.0.0.1:65536",
                                     "127.0.0.1:-1",
                                     "127.0.0.1:1.5",
                                     ":80" }) {
      CPPUNIT_ASSERT_MESSAGE(wrong, !good(wrong));
    }
  }

  void ClaimRowsSurviveRoundTrip()
  {
    const bool held = rc::check("rows", []() {
      claim_row row;
      row.mAttempt = "a";
      row.mRequestHash = *rc::gen::arbitrary<std::uint64_t>();
      row.mBody = *rc::gen::arbitrary<std::string>();
      row.mDone = *rc::gen::arbitrary<bool>();
      const std::optional<claim_row> back =
        ParseClaimRow(json::parse(ToJson(row).dump()));
      RC_ASSERT(back == row);
    });
    CPPUNIT_ASSERT(held);
    CPPUNIT_ASSERT(!ParseClaimRow(json{ { "attempt", 1 } }));
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(parser_test, "parser");
