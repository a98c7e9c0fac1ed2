#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;

namespace {

/// A manifest with the stream routes "first" and "second" of these priorities,
/// as JSON.
std::string
RankedManifest(int aVersion,
               const std::string& aFirst,
               const std::string& aSecond)
{
  const auto written = [](const std::string& aName, const std::string& aRank) {
    return R"({"name":")" + aName + R"(","host":"h.example","prefix":"/)" +
           aName +
           R"(/","kind":"stream","timeout_ms":5000,"service":"model",)" +
           R"("auth_exempt":true,"priority":)" + aRank + "}";
  };
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         written("first", aFirst) + "," + written("second", aSecond) +
         R"(],"services":[{"name":"model","engine":{"slots":8,)"
         R"("read_per_s":100000,"stride":1}}],)"
         R"("tenants":[{"name":"hanbit","api_keys":["key-1"]}]})";
}

} // namespace

class gateway_rank_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_rank_test);
  CPPUNIT_TEST(RankIsSentOnlyWhereRanksDiffer);
  CPPUNIT_TEST(DisabledRanksAreNotSent);
  CPPUNIT_TEST(OddPriorityDoesNotSpoilTheManifest);
  CPPUNIT_TEST_SUITE_END();

  struct rank_world : world
  {
    rank_world()
    {
      mModel.mAnswer = &AnswerOk;
      List("i-model", "model", mModel.mServer.Address());
    }

    void Apply(int aVersion,
               const std::string& aFirst,
               const std::string& aSecond)
    {
      mStore.Put("op", "config", RankedManifest(aVersion, aFirst, aSecond));
      Until(
        [this, aVersion]() {
          return Metrics().find("gateway_manifest_version " +
                                std::to_string(aVersion)) != std::string::npos;
        },
        "the manifest");
    }

    /// The values of the header that the engine receives for a request whose
    /// caller sends 7.
    std::string Received(const std::string& aRoute)
    {
      const std::string id = "r" + std::to_string(++mRequests);
      (void)Answered(
        Request(id, aRoute, "Token-Usage: 1000,50\r\nRequest-Priority: 7\r\n"));
      const http_head& head = mModel.mHeads.at(mRequests - 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           FieldCount(head.mFields, "request-priority"));
      return mModel.Field(mRequests - 1, "request-priority");
    }

    std::size_t mRequests = 0;
  };

public:
  /// Guards against a caller that chooses its own rank, and against a change on
  /// the wire in deployments without ranks.
  void RankIsSentOnlyWhereRanksDiffer()
  {
    rank_world w;
    w.Start();
    w.Apply(11, "0", "2");
    CPPUNIT_ASSERT_EQUAL(std::string("0"), w.Received("first"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), w.Received("second"));
    const std::string counted = w.Metrics();
    CPPUNIT_ASSERT(counted.find("gateway_rank_admitted_total{rank=\"1\"} 1") !=
                   std::string::npos);
    w.Apply(12, "2", "2");
    CPPUNIT_ASSERT_EQUAL(std::string("7"), w.Received("second"));
  }

  void DisabledRanksAreNotSent()
  {
    rank_world w;
    w.mSettings.mOverload.mRanks = false;
    w.Start();
    w.Apply(11, "0", "2");
    CPPUNIT_ASSERT_EQUAL(std::string("7"), w.Received("second"));
  }

  /// Guards against a manifest that is not applied since one priority in it
  /// cannot be read.
  void OddPriorityDoesNotSpoilTheManifest()
  {
    for (const std::string odd :
         { "\"high\"", "null", "[]", "1.5", "1e300", "4294967296", "-1e99" }) {
      const outcome<manifest> read = Capture<manifest>([&odd]() {
        return platform::DecodeManifest(RankedManifest(1, odd, "3.0"));
      });
      CPPUNIT_ASSERT_MESSAGE(odd, read);
      CPPUNIT_ASSERT_EQUAL(0, read.mValue->mRoutes.front().mPriority);
      CPPUNIT_ASSERT_EQUAL(3, read.mValue->mRoutes.back().mPriority);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.mValue->mPriorityFaults.size());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(gateway_rank_test, "gateway-ranks");
