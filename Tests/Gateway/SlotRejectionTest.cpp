#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;

namespace {

/// Three engines that reject every request, as with a full queue.
struct full_engines_world : world
{
  full_engines_world()
    : mOther(mLoop)
    , mThird(mLoop)
  {
    for (endpoint_fixture* const one : { &mModel, &mOther, &mThird }) {
      one->mAnswer = &AnswerRefused;
    }
    List("i-model", "model", mModel.mServer.Address());
    List("i-other", "model", mOther.mServer.Address());
    List("i-third", "model", mThird.mServer.Address());
  }

  std::size_t Sent() const
  {
    return mModel.mHeads.size() + mOther.mHeads.size() + mThird.mHeads.size();
  }

  const standin_caller& Run(const std::string& aId)
  {
    return Answered(Request(aId, "stream", "Token-Usage: 1000,50\r\n"));
  }

  endpoint_fixture mOther;
  endpoint_fixture mThird;
};

} // namespace

class slot_rejection_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(slot_rejection_test);
  CPPUNIT_TEST(RejectedRequestIsNotTriedOnFullEngines);
  CPPUNIT_TEST(WithoutSlotAdmissionRejectedRequestIsRetried);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against trying a request on full engines in turn, and against
  /// sending the next ones to an engine that has just rejected one.
  void RejectedRequestIsNotTriedOnFullEngines()
  {
    full_engines_world w;
    w.Start();
    // The engines look idle: the first request is tried on two of them, the
    // second one on the third, and nothing is sent to a full engine.
    for (const std::size_t sent : { 2, 3, 3 }) {
      const standin_caller& caller = w.Run("r");
      CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
      CPPUNIT_ASSERT(caller.Field("retry-after").has_value());
      CPPUNIT_ASSERT_EQUAL(sent, w.Sent());
    }
    const std::string metrics = w.Metrics();
    CPPUNIT_ASSERT(
      metrics.find("gateway_turned_away_total{why=\"no_free_slot\"} 3") !=
      std::string::npos);
    CPPUNIT_ASSERT(metrics.find("gateway_full_engine_rejections_total 3") !=
                   std::string::npos);
  }

  /// Guards against a decision that changes where slot admission is disabled.
  void WithoutSlotAdmissionRejectedRequestIsRetried()
  {
    full_engines_world w;
    w.mSettings.mOverload.mSlots = false;
    w.Start();
    CPPUNIT_ASSERT_EQUAL(503U, w.Run("r").Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), w.Sent());
    CPPUNIT_ASSERT_EQUAL(503U, w.Run("s").Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), w.Sent());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(slot_rejection_test, "slot-rejection");
