#include "LibCore/LibCore.h"
#include "LibObserve/LibObserve.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;

class core_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(core_test);
  CPPUNIT_TEST(ErrorTableMatchesEnumeration);
  CPPUNIT_TEST(ErrorNamesAreUnique);
  CPPUNIT_TEST(OwnerIsParsedFromRequestId);
  CPPUNIT_TEST(NearestWordIgnoresDistantWords);
  CPPUNIT_TEST(ParseNumberRejectsPartialNumbers);
  CPPUNIT_TEST(LogValuesEscapeLineBreaks);
  CPPUNIT_TEST(RemovedNodeMovesOnlyItsKeys);
  CPPUNIT_TEST(HistogramCountsAreCumulative);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr int kErrorKindCount =
    static_cast<int>(error_kind::Internal) + 1;

  void ErrorTableMatchesEnumeration()
  {
    for (int i = 0; i < kErrorKindCount; ++i) {
      const error_kind kind = static_cast<error_kind>(i);
      CPPUNIT_ASSERT(AnswerFor(kind).mKind == kind);
    }
  }

  void ErrorNamesAreUnique()
  {
    for (int i = 0; i < kErrorKindCount; ++i) {
      const error_kind kind = static_cast<error_kind>(i);
      CPPUNIT_ASSERT(ParseErrorKind(AnswerFor(kind).mName) == kind);
    }
  }

  void OwnerIsParsedFromRequestId()
  {
    id_maker ids("entry-7.mapo", 0xabcdef);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-7.mapo"),
                         std::string(OwnerOf(ids.Next())));
    CPPUNIT_ASSERT(OwnerOf("nonsense").empty());
    CPPUNIT_ASSERT(OwnerOf(".1").empty());
  }

  void NearestWordIgnoresDistantWords()
  {
    const std::vector<std::string> known = { "probes", "priority" };
    CPPUNIT_ASSERT_EQUAL(std::string("probes"),
                         NearestWord("porbes", known).value_or(""));
    CPPUNIT_ASSERT(!NearestWord("quarterly", known));
  }

  void ParseNumberRejectsPartialNumbers()
  {
    CPPUNIT_ASSERT_EQUAL(1.5, ParseNumber("1.5").value_or(0));
    for (const char* const wrong : { "", "1s", " 1", "nan", "inf", "1e999" }) {
      CPPUNIT_ASSERT_MESSAGE(wrong, !ParseNumber(wrong));
    }
  }

  void LogValuesEscapeLineBreaks()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("plain"), QuoteLogValue("plain"));
    CPPUNIT_ASSERT_EQUAL(std::string("\"a\\x0aevent=b\""),
                         QuoteLogValue("a\nevent=b"));
  }

  void RemovedNodeMovesOnlyItsKeys()
  {
    const std::vector<std::string> nodes = { "a", "b", "c", "d" };
    const auto home = [&](const std::string& aKey, std::size_t aCount) {
      std::size_t best = 0;
      for (std::size_t i = 1; i < aCount; ++i) {
        const bool better = RendezvousWeight(aKey, nodes[i]) >
                            RendezvousWeight(aKey, nodes[best]);
        best = better ? i : best;
      }
      return best;
    };
    for (int i = 0; i < 200; ++i) {
      const std::string key = std::to_string(i);
      const std::size_t before = home(key, 4);
      CPPUNIT_ASSERT(before == 3 || home(key, 3) == before);
    }
  }

  void HistogramCountsAreCumulative()
  {
    metrics counted;
    for (const double seconds : { 0.001, 0.26, 0.26, 99.0 }) {
      counted.Observe("t", seconds);
    }
    const std::string text = counted.Exposition();
    for (const char* const line : { "# TYPE t histogram\n",
                                    "t_bucket{le=\"0.002\"} 1\n",
                                    "t_bucket{le=\"0.25\"} 1\n",
                                    "t_bucket{le=\"0.3\"} 3\n",
                                    "t_bucket{le=\"15\"} 3\n",
                                    "t_bucket{le=\"+Inf\"} 4\n",
                                    "t_sum 99.521\n",
                                    "t_count 4\n" }) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(core_test, "core");
