#include "RequestTimeline.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose::control;

class request_timeline_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(request_timeline_test);
  CPPUNIT_TEST(FieldValuesAreFoundByWholeKey);
  CPPUNIT_TEST(TimelineIncludesGatewayStateAtTheTime);
  CPPUNIT_TEST(TimelineOmitsStateFromBeforeARestart);
  CPPUNIT_TEST(TimelineIncludesUseOfItsOrganisation);
  CPPUNIT_TEST(UnknownRequestHasEmptyTimeline);
  CPPUNIT_TEST_SUITE_END();

public:
  void FieldValuesAreFoundByWholeKey()
  {
    const std::string line =
      "time=1 by=e event=request open_requests=3 request=r1 why=\"a b\"";
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), LogFieldValue(line, "request"));
    CPPUNIT_ASSERT_EQUAL(std::string("a b"), LogFieldValue(line, "why"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), LogFieldValue(line, "requests"));
  }

  /// The timeline of a request includes what its gateway knew about the
  /// manifest, the store and the endpoints of the request, so that an operator
  /// can see why the request failed. It does not include the state of other
  /// gateways or later state changes.
  void TimelineIncludesGatewayStateAtTheTime()
  {
    const std::vector<std::string> lines = {
      "time=10 by=e1 event=started",
      "time=11 by=e1 event=manifest_in_force version=1",
      "time=12 by=e1 event=manifest_in_force version=2",
      "time=13 by=e2 event=manifest_in_force version=3",
      "time=14 by=e1 event=store_lost table=servers",
      "time=15 by=e1 event=endpoint_listed endpoint=i-1 change=joined",
      "time=15 by=e1 event=endpoint_listed endpoint=i-9 change=joined",
      "time=16 by=e1 event=endpoint_says_leaving endpoint=i-2 request=r0",
      "time=17 by=e1 event=endpoint_asks_rest endpoint=i-1 request=r0",
      "time=20 by=e1 event=placed request=r1 endpoint=i-1 readers=i-2,i-3",
      "time=20 by=e1 event=placed request=r2 endpoint=i-1",
      "time=21 by=e1 event=endpoint_avoided endpoint=i-3 strikes=3",
      "time=22 by=e1 event=request request=r1 outcome=refused",
      "time=23 by=e1 event=store_reached table=servers"
    };
    const std::vector<std::string> expected = {
      lines[0], lines[2], lines[4],  lines[5], lines[7],
      lines[8], lines[9], lines[11], lines[12]
    };
    CPPUNIT_ASSERT(RequestTimeline(lines, "r1") == expected);
  }

  /// Guards against state of an earlier gateway process in the timeline. The
  /// gateway is killed and restarted while the store is unreachable, and
  /// refuses a request because it has no manifest; the timeline must not show
  /// manifest version 7, which the earlier process had in force.
  void TimelineOmitsStateFromBeforeARestart()
  {
    const std::vector<std::string> lines = {
      "time=1 by=e1 event=started",
      "time=2 by=e1 event=manifest_in_force version=7",
      "time=3 by=e1 event=started",
      "time=4 by=e1 event=store_lost table=op",
      "time=5 by=e1 event=request request=r1 why=no_manifest_yet"
    };
    const std::vector<std::string> expected = { lines[2], lines[3], lines[4] };
    CPPUNIT_ASSERT(RequestTimeline(lines, "r1") == expected);
  }

  /// Guards against a refusal by share that cannot be explained, and against
  /// lines on all other organisations.
  void TimelineIncludesUseOfItsOrganisation()
  {
    const std::vector<std::string> lines = {
      "time=1 by=e1 event=organisation_use organisation=a used_ms_per_s=1",
      "time=2 by=e1 event=organisation_use organisation=a used_ms_per_s=9",
      "time=2 by=e1 event=organisation_use organisation=b used_ms_per_s=5",
      "time=3 by=e1 event=over_share request=r1 organisation=a reserve=0.02",
      "time=4 by=e1 event=organisation_use organisation=a used_ms_per_s=3"
    };
    const std::vector<std::string> expected = { lines[1], lines[3] };
    CPPUNIT_ASSERT(RequestTimeline(lines, "r1") == expected);
  }

  void UnknownRequestHasEmptyTimeline()
  {
    CPPUNIT_ASSERT(RequestTimeline({ "time=1 by=e request=r1" }, "r").empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_timeline_test, "story");
