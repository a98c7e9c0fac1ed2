#include "LibFleet/LibFleet.h"
#include "SampleEngine.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <random>

using namespace primrose;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
const size_kind kKind{ "model", milliseconds(4000), milliseconds(1200) };
constexpr double kLarge = 500000;
constexpr double kSmall = 100000;

/// Offers ten prompts, one of them large. The sizes of the admitted small ones
/// rotate, so that no size among them is refused more often.
void
OfferTen(size_shares& aShares,
         time_point aNow,
         std::size_t aSmallAdmitted,
         bool aLargeAdmitted,
         double aScale = 1)
{
  const std::size_t round =
    static_cast<std::size_t>(Seconds(aNow - time_point{}));
  for (std::size_t i = 0; i < 10; ++i) {
    const double tokens =
      aScale *
      (i == 0 ? kLarge : kSmall + static_cast<double>((i + round) % 9));
    RecordOffer(aShares, kKind, tokens, aNow);
    const bool admitted = i == 0 ? aLargeAdmitted : i <= aSmallAdmitted;
    if (admitted) {
      RecordAdmission(aShares, kKind, tokens, aNow);
    } else {
      RecordRefusal(aShares, kKind, aNow);
    }
  }
}

size_shares
StarvedLarge(time_point aUntil, std::size_t aSmallAdmitted = 5)
{
  size_shares shares;
  for (int second = 10; second > 0; --second) {
    OfferTen(
      shares, aUntil - std::chrono::seconds(second), aSmallAdmitted, false);
  }
  return shares;
}

} // namespace

class size_share_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(size_share_test);
  CPPUNIT_TEST(StarvedClassIsPreferredUntilItCatchesUp);
  CPPUNIT_TEST(StarvedClassIsPreferredWhileMostOfItsKindIsServed);
  CPPUNIT_TEST(MildOverloadPrefersOnlyTheStarvedClass);
  CPPUNIT_TEST(DecisionsWithoutRefusalsAreUnchanged);
  CPPUNIT_TEST(RestartedGatewayPrefersNoSize);
  CPPUNIT_TEST(AbsentKindIsForgotten);
  CPPUNIT_TEST(NumberOfKindsIsBounded);
  CPPUNIT_TEST(ClassesFollowSizesThatShift);
  CPPUNIT_TEST(PreferredPromptWaitsInsteadOfBeingRefused);
  CPPUNIT_TEST(GatewayWithFewPromptsKnowsSizesFromPeers);
  CPPUNIT_TEST(NothingIsReportedWithoutRefusals);
  CPPUNIT_TEST(ReportsOfLostPeerAreForgotten);
  CPPUNIT_TEST(ImpossibleReportsAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a gateway that is offered too few prompts to see that the
  /// largest of a kind are starved everywhere.
  void GatewayWithFewPromptsKnowsSizesFromPeers()
  {
    const size_shares peer = StarvedLarge(kStart);
    size_shares own;
    RecordOffer(own, kKind, kLarge, kStart);
    CPPUNIT_ASSERT(!SizePreference(own, kKind, kLarge, kStart).mPreferred);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(0),
      ApplySizeReports(own, "peer", OwnSizeReports(peer, kStart), kStart));
    const size_preference large = SizePreference(own, kKind, kLarge, kStart);
    CPPUNIT_ASSERT(large.mClass == size_class::LargestTenth);
    CPPUNIT_ASSERT(large.mPreferred);
    CPPUNIT_ASSERT(SizePreference(own, kKind, kSmall, kStart).mGainFactor < 1);
    // A kind that the peer says nothing of.
    const size_kind other{ "other", milliseconds(4000), milliseconds(1200) };
    RecordOffer(own, other, kLarge, kStart);
    CPPUNIT_ASSERT(!SizePreference(own, other, kLarge, kStart).mPreferred);
  }

  /// Guards against messages that grow while nothing is refused.
  void NothingIsReportedWithoutRefusals()
  {
    size_shares calm;
    for (int i = 0; i < 100; ++i) {
      RecordOffer(calm, kKind, kSmall + i, kStart);
      RecordAdmission(calm, kKind, kSmall + i, kStart);
    }
    CPPUNIT_ASSERT(OwnSizeReports(calm, kStart).empty());
    // One that admits all still tells how much, if a peer refuses.
    (void)ApplySizeReports(
      calm, "peer", OwnSizeReports(StarvedLarge(kStart), kStart), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OwnSizeReports(calm, kStart).size());
  }

  /// Guards against decisions by what a gateway that was killed or cut off
  /// reported long ago, and against memory for peers that are gone.
  void ReportsOfLostPeerAreForgotten()
  {
    size_shares own;
    (void)ApplySizeReports(
      own, "lost", OwnSizeReports(StarvedLarge(kStart), kStart), kStart);
    const time_point later = kStart + std::chrono::minutes(1);
    RecordOffer(own, kKind, kLarge, later);
    CPPUNIT_ASSERT(SizePreference(own, kKind, kLarge, later).mGainFactor >
                   0.99);
    (void)ApplySizeReports(
      own, "peer", OwnSizeReports(StarvedLarge(later), later), later);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), own.mPeers.size());
  }

  /// Guards against a wrong or malicious peer whose counts decide for all.
  void ImpossibleReportsAreIgnored()
  {
    const size_report sound =
      OwnSizeReports(StarvedLarge(kStart), kStart).at(0);
    for (const double odd : { -1.0,
                              1e9,
                              std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN() }) {
      size_report report = sound;
      report.mCounts.at(0).mAdmitted = odd;
      size_shares own;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           ApplySizeReports(own, "peer", { report }, kStart));
      CPPUNIT_ASSERT(own.mPeers.empty());
    }
    size_report oversized = sound;
    oversized.mSizes.assign(100000, kLarge);
    size_shares own;
    (void)ApplySizeReports(
      own, "peer", std::vector<size_report>(1000, oversized), kStart);
    CPPUNIT_ASSERT_EQUAL(kMaxSizeReports,
                         own.mPeers.at("peer").mReports.size());
    CPPUNIT_ASSERT_EQUAL(kMaxReportedSizes,
                         own.mPeers.at("peer").mReports.at(0).mSizes.size());
  }

  /// Guards against starvation of the largest prompts, and against a preference
  /// that lasts after they have caught up.
  void StarvedClassIsPreferredUntilItCatchesUp()
  {
    size_shares shares = StarvedLarge(kStart);
    const size_preference starved =
      SizePreference(shares, kKind, kLarge, kStart);
    CPPUNIT_ASSERT(starved.mClass == size_class::LargestTenth);
    CPPUNIT_ASSERT(starved.mPreferred);
    CPPUNIT_ASSERT(starved.mGainFactor > 1);
    CPPUNIT_ASSERT(starved.mClassShare < starved.mKindShare / 2);
    const size_preference rest = SizePreference(shares, kKind, kSmall, kStart);
    CPPUNIT_ASSERT(rest.mClass == size_class::Rest);
    CPPUNIT_ASSERT(!rest.mPreferred);
    CPPUNIT_ASSERT(rest.mGainFactor < 1);
    for (int second = 0; second < 15; ++second) {
      OfferTen(shares, kStart + std::chrono::seconds(second), 4, true);
    }
    const time_point later = kStart + std::chrono::seconds(15);
    CPPUNIT_ASSERT(!SizePreference(shares, kKind, kLarge, later).mPreferred);
    CPPUNIT_ASSERT_EQUAL(
      1.0, SizePreference(shares, kKind, kSmall, later).mGainFactor);
  }

  /// Guards against starvation of the largest prompts in mild overload, where
  /// nearly all others of their kind are served.
  void StarvedClassIsPreferredWhileMostOfItsKindIsServed()
  {
    const size_preference starved =
      SizePreference(StarvedLarge(kStart, 9), kKind, kLarge, kStart);
    CPPUNIT_ASSERT(starved.mKindShare > 0.85);
    CPPUNIT_ASSERT(starved.mPreferred);
    CPPUNIT_ASSERT(starved.mGainFactor > 1);
  }

  /// Guards against a loss of worth in mild overload: the rest of a kind is not
  /// held back, and no class is preferred that is served often enough.
  void MildOverloadPrefersOnlyTheStarvedClass()
  {
    const time_point now = kStart + std::chrono::seconds(10);
    size_shares even;
    for (int second = 0; second < 10; ++second) {
      OfferTen(even, kStart + std::chrono::seconds(second), 7, true);
    }
    const size_preference rest =
      SizePreference(StarvedLarge(now, 8), kKind, kSmall, now);
    CPPUNIT_ASSERT(!rest.mPreferred);
    CPPUNIT_ASSERT_EQUAL(1.0, rest.mGainFactor);
    for (const double tokens : { kLarge, kSmall }) {
      const size_preference preference =
        SizePreference(even, kKind, tokens, now);
      CPPUNIT_ASSERT(!preference.mPreferred);
      CPPUNIT_ASSERT_EQUAL(1.0, preference.mGainFactor);
    }
  }

  /// Guards against decisions that change without overload: replays a seeded
  /// load that is never refused, with and without the counts.
  void DecisionsWithoutRefusalsAreUnchanged()
  {
    constexpr std::size_t kEngines = 40;
    constexpr int kPrompts = 400;
    endpoint_registry registry;
    for (std::size_t i = 0; i < kEngines; ++i) {
      endpoint listed;
      listed.mId = "engine-" + std::to_string(i);
      listed.mService = "model";
      (void)ApplyRow(registry, { listed.mId, 1, listed });
    }
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> size(0, 0.55);
    engine_ledger ledger;
    size_shares shares;
    for (int i = 0; i < kPrompts; ++i) {
      const time_point now = kStart + milliseconds(500 * i);
      placement_request request{ { "model", {} },
                                 100000 * size(random),
                                 900,
                                 milliseconds(1200),
                                 milliseconds(4000) };
      request.mWorth = WorthOfPrompt(request.mPromptTokens);
      const auto choose = [&]() {
        return *PlaceOnEngines(
          registry, ledger, SampleEngine(), request, {}, "", now);
      };
      const engine_choice without = choose();
      const size_kind kind = SizeKind(request);
      RecordOffer(shares, kind, request.mPromptTokens, now);
      request.mSize = SizePreference(shares, kind, request.mPromptTokens, now);
      CPPUNIT_ASSERT(choose() == without);
      CPPUNIT_ASSERT(without.mVerdict == placement_verdict::Send);
      RecordAdmission(shares, kind, request.mPromptTokens, now);
      placement placed =
        MakePlacement(without, request, static_cast<placement_key>(i) + 1);
      placed.mBegan = now;
      placed.mExpires = now + std::chrono::seconds(3);
      AddPlacement(ledger, placed, now);
      RemoveExpiredPlacements(ledger, now);
    }
  }

  /// Guards against preferences that are based on too few prompts.
  void RestartedGatewayPrefersNoSize()
  {
    size_shares shares;
    for (int i = 0; i < 4; ++i) {
      RecordOffer(shares, kKind, kLarge + i, kStart);
      RecordRefusal(shares, kKind, kStart);
      const size_preference preference =
        SizePreference(shares, kKind, kLarge + i, kStart);
      CPPUNIT_ASSERT(!preference.mPreferred);
      CPPUNIT_ASSERT_EQUAL(1.0, preference.mGainFactor);
    }
  }

  /// Guards against counts of an earlier overload that decide when a kind
  /// returns after a long time.
  void AbsentKindIsForgotten()
  {
    size_shares shares = StarvedLarge(kStart);
    const time_point later = kStart + std::chrono::minutes(2);
    CPPUNIT_ASSERT(!SizePreference(shares, kKind, kLarge, later).mPreferred);
    RecordOffer(shares, { "other", {}, {} }, kSmall, later);
    CPPUNIT_ASSERT(!shares.mKinds.contains(kKind));
  }

  /// Guards against memory that grows with the number of deadlines that callers
  /// state.
  void NumberOfKindsIsBounded()
  {
    size_shares shares;
    for (int i = 0; i < 1000; ++i) {
      const size_kind kind{ "model", milliseconds(i), milliseconds(1000) };
      RecordOffer(shares, kind, kSmall, kStart);
      RecordRefusal(shares, kind, kStart);
      CPPUNIT_ASSERT_EQUAL(
        1.0, SizePreference(shares, kind, kSmall, kStart).mGainFactor);
    }
    CPPUNIT_ASSERT(shares.mKinds.size() <= 32);
  }

  /// Guards against size classes that no longer match what is offered.
  void ClassesFollowSizesThatShift()
  {
    size_shares shares = StarvedLarge(kStart);
    for (int second = 0; second < 10; ++second) {
      OfferTen(shares, kStart + std::chrono::seconds(second), 5, false, 10);
    }
    const time_point now = kStart + std::chrono::seconds(10);
    CPPUNIT_ASSERT(SizePreference(shares, kKind, kLarge, now).mClass ==
                   size_class::Rest);
    CPPUNIT_ASSERT(SizePreference(shares, kKind, 10 * kLarge, now).mClass ==
                   size_class::LargestTenth);
  }

  /// Guards against an immediate refusal of the class that is starved, and
  /// against one that is held without end.
  void PreferredPromptWaitsInsteadOfBeingRefused()
  {
    endpoint_registry registry;
    endpoint listed;
    listed.mId = "engine";
    listed.mService = "model";
    (void)ApplyRow(registry, { listed.mId, 1, listed });
    placement_request request{
      { "model", {} }, kLarge, 900, milliseconds(1200), milliseconds(100000)
    };
    request.mWorth = WorthOfPrompt(kLarge);
    const auto verdict = [&]() {
      return PlaceOnEngines(
               registry, {}, SampleEngine(), request, {}, "", kStart)
        ->mVerdict;
    };
    // One engine does not have the memory for it.
    CPPUNIT_ASSERT(verdict() == placement_verdict::NoMemory);
    request.mSize.mPreferred = true;
    CPPUNIT_ASSERT(verdict() == placement_verdict::Wait);
    // It is late already, so a longer wait would be of no use.
    request.mObjective = milliseconds(4000);
    CPPUNIT_ASSERT(verdict() == placement_verdict::NoMemory);
    request.mObjective = milliseconds(100000);
    request.mElapsed = milliseconds(2500);
    CPPUNIT_ASSERT(verdict() == placement_verdict::NoMemory);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(size_share_test, "size-shares");
