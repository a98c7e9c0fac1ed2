#include "Fixtures.h"
#include "platform/Platform.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace primrose;
using namespace primrose::test;

namespace {

std::string
SettingsText(const std::string& aMore)
{
  return R"({"node":"n","zone":"a","ip":"10.0.0.1","port_range":[9000,9010],
    "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
    "platform":{"addr":"10.0.0.2:3"},
    "bounds":{"grace_s":5,"retry_budget_ratio":0.1,"budget_extra":5,
              "budget_window_s":5})" +
         aMore + "}";
}

outcome<gateway_settings>
SettingsWith(const std::string& aMore)
{
  return Capture<gateway_settings>(
    [&aMore]() { return platform::ReadSettings(SettingsText(aMore)); });
}

} // namespace

class organisation_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(organisation_test);
  CPPUNIT_TEST(WeightsAreReadFromSettings);
  CPPUNIT_TEST(WeightsThatAreNotAboveZeroAreErrors);
  CPPUNIT_TEST(CoreShareIsReadFromSettings);
  CPPUNIT_TEST(UseIsCountedFromPlacementsOfPeers);
  CPPUNIT_TEST(DisabledSharesCountNothing);
  CPPUNIT_TEST(OrganisationAddsFewBytesToPlacement);
  CPPUNIT_TEST_SUITE_END();

public:
  void CoreShareIsReadFromSettings()
  {
    CPPUNIT_ASSERT_EQUAL(1.0, SettingsWith("").mValue->mCoreShare);
    CPPUNIT_ASSERT_EQUAL(
      0.5,
      SettingsWith(R"(,"limits":{"cpu_share":0.25,"cores":2})")
        .mValue->mCoreShare);
    CPPUNIT_ASSERT(!SettingsWith(R"(,"limits":{"cpu_share":"x"})"));
  }

  void WeightsAreReadFromSettings()
  {
    const outcome<gateway_settings> read =
      SettingsWith(R"(,"organisation_shares":{"large":2.5,"small":1})");
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(2.5, read.mValue->mOrganisationShares.at("large"));
    CPPUNIT_ASSERT(SettingsWith("").mValue->mOrganisationShares.empty());
  }

  /// Guards against a share of 0, by which the organisation would always be
  /// over its share.
  void WeightsThatAreNotAboveZeroAreErrors()
  {
    for (const std::string weight : { "0", "-1", "1e999", "\"2\"", "null" }) {
      CPPUNIT_ASSERT(
        !SettingsWith(R"(,"organisation_shares":{"large":)" + weight + "}"));
    }
    CPPUNIT_ASSERT(!SettingsWith(R"(,"organisation_shares":[1])"));
  }

  /// Guards against use that is counted twice when a placement is announced
  /// again, and against use that stays after a placement ended unread.
  void UseIsCountedFromPlacementsOfPeers()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = nullptr;
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    (void)w.Ask(w.Request("r1", "stream", "Token-Usage: 3000,50\r\n"));
    w.Until([&w]() { return w.mModel.mHeads.size() == 1; }, "it is sent");
    const gateway_state& first = w.mGateway->Board();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, first.mUsage.mTracked.size());
    CPPUNIT_ASSERT(first.mUsage.mTotal.mEngineMs > 0);
    const std::unique_ptr<gateway> second =
      StartSecondGateway(w, w.mSettings.mStore);
    const gateway_state& other = second->Board();
    w.Until([&other]() { return other.mUsage.mTracked.size() == 1; },
            "the placement of the first gateway");
    CPPUNIT_ASSERT_EQUAL(first.mUsage.mTracked.front().mOrganisation,
                         other.mUsage.mTracked.front().mOrganisation);
    CPPUNIT_ASSERT(w.Metrics().find("gateway_organisations_tracked 1") !=
                   std::string::npos);
    w.mCallers.back()->CloseConnection();
    w.Until([&other]() { return other.mLedger.mPlacements.empty(); },
            "its end");
    const auto requests = [](const gateway_state& aState) {
      return aState.mUsage.mTotal.mRequests;
    };
    CPPUNIT_ASSERT(requests(first) < 1e-6);
    CPPUNIT_ASSERT(requests(other) < 0.1);
  }

  void DisabledSharesCountNothing()
  {
    world w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.mModel.mAnswer = nullptr;
    w.mSettings.mOverload.mShares = false;
    w.Start();
    (void)w.Ask(w.Request("r1", "stream", "Token-Usage: 3000,50\r\n"));
    w.Until([&w]() { return w.mModel.mHeads.size() == 1; }, "it is sent");
    CPPUNIT_ASSERT(w.mGateway->Board().mUsage.mTracked.empty());
  }

  /// Guards against messages that outgrow the budget of traffic between
  /// gateways.
  void OrganisationAddsFewBytesToPlacement()
  {
    constexpr std::size_t kPlacements = 10;
    const time_point now{ std::chrono::hours(1) };
    const auto bytes = [now](const request_class& aClass) {
      peer_message message;
      message.mGatewayIncarnation = 0x1234567890abcdef;
      for (std::uint32_t i = 0; i < kPlacements; ++i) {
        placement placed;
        placed.mKey = PlacementKey(message.mGatewayIncarnation, 7001 + i);
        placed.mOwner = message.mGatewayIncarnation;
        placed.mEngines = { EngineKey("i-" + std::to_string(i)) };
        placed.mPartPrefillMs = 32.125;
        placed.mTokens = 6267;
        placed.mExpires = now + std::chrono::milliseconds(9700);
        placed.mBegan = now - std::chrono::milliseconds(12);
        placed.mClass = aClass;
        message.mUpdates.mNewPlacements.push_back(placed);
      }
      return EncodePeerMessage(message, now).size();
    };
    const std::size_t none = bytes({});
    const std::size_t organisation = bytes({ 0, OrganisationKey("o-12345") });
    const std::size_t both = bytes({ 2, OrganisationKey("o-12345") });
    if (std::getenv("PRIMROSE_FIGURES") != nullptr) {
      std::cout << "\nten placements: " << none << " bytes, with organisation "
                << organisation << ", and rank " << both;
    }
    // A placement: five bytes for the organisation, one for the rank.
    CPPUNIT_ASSERT(organisation <= none + kPlacements * 5);
    CPPUNIT_ASSERT(both <= none + kPlacements * 6);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(organisation_test, "organisations");
