#include "LibFleet/LibFleet.h"
#include "SampleEngine.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <limits>
#include <map>
#include <random>

using namespace primrose;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

endpoint_registry
Engines(std::size_t aCount)
{
  endpoint_registry registry;
  for (std::size_t i = 0; i < aCount; ++i) {
    endpoint listed;
    listed.mId = "engine-" + std::to_string(i);
    listed.mService = "model";
    (void)ApplyRow(registry, { listed.mId, 1, listed });
  }
  return registry;
}

placement_request
Prompt(double aTokens, double aAnswer, milliseconds aPause, milliseconds aFirst)
{
  return { { "model", {} }, aTokens, aAnswer,
           aPause,          aFirst,  WorthOfPrompt(aTokens) };
}

struct prompt_kind
{
  placement_request mTypical;
  unsigned mRank = 0;
  double mPerSecond = 0; ///< For each engine.
  double mBurstFrom = 0;
  double mBurstTo = 0;
  double mBurst = 1; ///< Factor of the rate in the burst.
};

/// A burst of long prompts of rank 2, then one of short prompts of rank 0.
std::vector<prompt_kind>
Load(double aLongBurst)
{
  return {
    { Prompt(5000, 1920, milliseconds(250), milliseconds(250)),
      0,
      0.6,
      7,
      12,
      2.5 },
    { Prompt(40000, 1120, milliseconds(800), milliseconds(1500)), 1, 0.13 },
    { Prompt(190000, 960, milliseconds(1200), milliseconds(4000)),
      2,
      0.05,
      1,
      7,
      aLongBurst }
  };
}

struct result_shares
{
  double mAll = 0;
  double mServed = 0; ///< Admitted, on arrival or when they returned.
  double mInTime = 0;
};

struct tracked_request
{
  placement_request mWork;
  unsigned mRank = 0;
  std::size_t mGateway = 0;
  time_point mArrived{};
  bool mMayReturn = true;
};

/// Replays a load to gateways that share the ledger and the engines, but not
/// the counts of their callers' requests.
class replay
{
public:
  /// With a class, all requests are of this class, and no floor applies.
  replay(std::size_t aGateways,
         std::uint64_t aSeed,
         std::optional<request_class> aClass = std::nullopt)
    : mClass(aClass)
    , mDemands(aGateways)
    , mRandom(aSeed)
    , mEngines(aGateways * 5 / 3)
  {
    // A gateway prefers the engines of 32 gateways.
    const std::size_t arcs = std::max<std::size_t>(1, aGateways / 32);
    mArcs.resize(arcs);
    const endpoint_registry all = Engines(mEngines);
    for (const auto& [id, known] : all.mEndpoints) {
      (void)ApplyRow(mArcs[Hash(id) % arcs], { id, 1, known.mListed });
    }
  }

  /// The results by rank, as shares of all requests of the rank.
  std::map<unsigned, result_shares> Run(double aLongBurst = 4)
  {
    for (const prompt_kind& kind : Load(aLongBurst)) {
      Schedule(kind);
    }
    while (!mEvents.empty()) {
      const std::function<void()> event = mEvents.begin()->second;
      mNow = mEvents.begin()->first;
      mEvents.erase(mEvents.begin());
      event();
    }
    for (auto& [rank, one] : mResults) {
      one.mServed /= one.mAll;
      one.mInTime /= one.mAll;
    }
    return mResults;
  }

  std::vector<std::string> mDecisions;

private:
  void Schedule(const prompt_kind& aKind)
  {
    constexpr double kSeconds = 14;
    std::exponential_distribution<double> gap(1);
    std::lognormal_distribution<double> size(0, 0.5);
    const auto next = [&](double aAt) {
      const bool burst = aAt >= aKind.mBurstFrom && aAt < aKind.mBurstTo;
      return aAt +
             gap(mRandom) / (aKind.mPerSecond * static_cast<double>(mEngines) *
                             (burst ? aKind.mBurst : 1));
    };
    for (double at = next(0); at < kSeconds; at = next(at)) {
      tracked_request one{ aKind.mTypical,
                           aKind.mRank,
                           mRandom() % mDemands.size(),
                           kStart + FromSeconds(at) };
      one.mWork.mPromptTokens *= size(mRandom);
      one.mWork.mWorth = WorthOfPrompt(one.mWork.mPromptTokens);
      ++mResults[aKind.mRank].mAll;
      mEvents.emplace(one.mArrived, [this, one]() { Submit(one); });
    }
  }

  void Submit(tracked_request aRequest)
  {
    placement_request& work = aRequest.mWork;
    service_demand& demand = mDemands[aRequest.mGateway];
    work.mClass = mClass.value_or(request_class{ aRequest.mRank, 7 });
    work.mFloorRank.reset();
    if (!mClass.has_value() && IsBelowFloor(demand, aRequest.mRank, mNow)) {
      work.mFloorRank = 0;
    }
    endpoint_registry& engines = mArcs[aRequest.mGateway % mArcs.size()];
    const engine_choice choice =
      *PlaceOnEngines(engines, mLedger, SampleEngine(), work, {}, "", mNow);
    Note(choice);
    if (choice.mVerdict == placement_verdict::Wait) {
      work.mElapsed += kReevaluationInterval;
      mEvents.emplace(mNow + kReevaluationInterval,
                      [this, aRequest]() { Submit(aRequest); });
      return;
    }
    const bool sent = choice.mVerdict == placement_verdict::Send;
    const double time = EngineTimeMs(SampleEngine(), work);
    RecordDecision(demand, aRequest.mRank, time, sent, mNow);
    if (sent) {
      ++mResults[aRequest.mRank].mServed;
      Place(choice, aRequest);
    } else if (aRequest.mMayReturn) {
      aRequest.mMayReturn = false;
      aRequest.mArrived = mNow + seconds(1);
      work.mElapsed = {};
      mEvents.emplace(aRequest.mArrived,
                      [this, aRequest]() { Submit(aRequest); });
    }
  }

  void Note(const engine_choice& aChoice)
  {
    std::string text = std::to_string(static_cast<int>(aChoice.mVerdict)) +
                       ' ' + aChoice.mDecodeEngine->mListed.mId;
    for (const known_endpoint* const helper : aChoice.mPrefillHelpers) {
      text += ' ' + helper->mListed.mId;
    }
    mDecisions.push_back(text + ' ' + std::to_string(aChoice.mPartPrefillMs));
  }

  void Place(const engine_choice& aChoice, const tracked_request& aRequest)
  {
    placement placed = MakePlacement(aChoice, aRequest.mWork, ++mLastKey);
    placed.mBegan = aRequest.mArrived;
    AddPlacement(mLedger, placed, mNow);
    AwaitPrefill(placed.mKey, aRequest);
  }

  /// Later prefills on its engines may delay the end of the prefill.
  void AwaitPrefill(placement_key aKey, const tracked_request& aRequest)
  {
    const time_point end = mLedger.mPlacements.at(aKey).mPrefillEndsAt;
    if (end > mNow) {
      mEvents.emplace(
        end, [this, aKey, aRequest]() { AwaitPrefill(aKey, aRequest); });
      return;
    }
    constexpr milliseconds kTwoPasses(110);
    constexpr double kTokensPerSecond = 1000;
    const bool inTime =
      mNow + kTwoPasses <= aRequest.mArrived + aRequest.mWork.mObjective;
    mEvents.emplace(
      mNow + FromSeconds(aRequest.mWork.mAnswerTokens / kTokensPerSecond),
      [this, aKey, rank = aRequest.mRank, inTime]() {
        const bool smooth = !mLedger.mPlacements.at(aKey).mPauseExceeded;
        mResults[rank].mInTime += inTime && smooth ? 1 : 0;
        RemovePlacement(mLedger, aKey, placement_end::Read, mNow);
      });
  }

  std::optional<request_class> mClass;
  std::vector<service_demand> mDemands; ///< By gateway.
  std::mt19937_64 mRandom;
  std::size_t mEngines = 0;
  std::vector<endpoint_registry> mArcs;
  engine_ledger mLedger;
  placement_key mLastKey = 0;
  time_point mNow = kStart;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::map<unsigned, result_shares> mResults;
};

/// A manifest with two stream routes to one service and one organisation.
manifest_index
ManifestWith(int aFirst, int aSecond, std::optional<int> aOrganisation)
{
  manifest read;
  for (const int priority : { aFirst, aSecond }) {
    route one;
    one.mKind = call_kind::Stream;
    one.mPriority = priority;
    one.mServices = { { "model", 1 } };
    read.mRoutes.push_back(one);
  }
  read.mServices.resize(1);
  read.mServices.front().mName = "model";
  read.mOrganisations.push_back({ "hanbit", aOrganisation, { "key" }, {} });
  return manifest_index(std::move(read));
}

/// The rank of a request on a route, by the organisation if one is given.
unsigned
RankOf(const manifest_index& aManifest, std::size_t aRoute, bool aOwned)
{
  const manifest& all = aManifest.Manifest();
  return EffectiveRank(aManifest,
                       all.mServices.front(),
                       all.mRoutes.at(aRoute),
                       aOwned ? &all.mOrganisations.front() : nullptr);
}

void
RecordSeveral(service_demand& aDemand,
              unsigned aRank,
              int aAdmitted,
              int aRefused,
              time_point aNow = kStart)
{
  for (int i = 0; i < aAdmitted + aRefused; ++i) {
    RecordDecision(aDemand, aRank, 1000, i < aAdmitted, aNow);
  }
}

} // namespace

class rank_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(rank_test);
  CPPUNIT_TEST(EqualRanksChangeNoDecision);
  CPPUNIT_TEST(BurstOfLessUrgentPromptsDelaysNoUrgentOnes);
  CPPUNIT_TEST(LeastUrgentRankIsServedInOverload);
  CPPUNIT_TEST(LongPromptMakesNoUrgentPromptLate);
  CPPUNIT_TEST(RankFollowsTheManifest);
  CPPUNIT_TEST(FloorFollowsRequests);
  CPPUNIT_TEST(SlotsAreReservedOnlyForMoreUrgentRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against decisions that change in deployments without ranks.
  void EqualRanksChangeNoDecision()
  {
    for (const std::uint64_t seed : { 1U, 2U }) {
      replay none(15, seed, request_class{});
      replay zero(15, seed, request_class{ 0, 7 });
      replay four(15, seed, request_class{ 4, 7 });
      CPPUNIT_ASSERT(none.Run().size() == 3);
      (void)zero.Run();
      (void)four.Run();
      CPPUNIT_ASSERT(none.mDecisions.size() > 300);
      CPPUNIT_ASSERT(none.mDecisions == zero.mDecisions);
      CPPUNIT_ASSERT(none.mDecisions == four.mDecisions);
    }
  }

  /// Guards against long prompts that occupy the engines which the burst of
  /// urgent prompts after them needs. Without ranks, one of eight urgent
  /// prompts was late.
  void BurstOfLessUrgentPromptsDelaysNoUrgentOnes()
  {
    for (const std::size_t gateways : { 15U, 103U, 350U }) {
      std::map<unsigned, result_shares> ranked = replay(gateways, 1).Run();
      std::map<unsigned, result_shares> equal =
        replay(gateways, 1, request_class{}).Run();
      const std::string seen = std::to_string(gateways) + " gateways: " +
                               std::to_string(ranked[0].mInTime) + " against " +
                               std::to_string(equal[0].mInTime) + ", rank 2 " +
                               std::to_string(ranked[2].mInTime);
      CPPUNIT_ASSERT_MESSAGE(seen, ranked[0].mInTime >= ranked[2].mInTime);
      CPPUNIT_ASSERT_MESSAGE(
        seen, 1 - ranked[0].mInTime <= 0.75 * (1 - equal[0].mInTime));
    }
  }

  /// Guards against starvation: the least urgent rank is refused for the harm
  /// to all others.
  void LeastUrgentRankIsServedInOverload()
  {
    for (const std::size_t gateways : { 15U, 103U }) {
      double all = 0;
      double served = 0;
      std::map<unsigned, result_shares> results = replay(gateways, 3).Run(16);
      for (const auto& [rank, one] : results) {
        all += one.mAll;
        served += one.mAll * one.mServed;
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(results[2].mServed),
                             results[2].mServed >= 0.25 * served / all);
    }
  }

  /// Guards against a worth of 25 that outweighs any number of short prompts of
  /// more urgent ranks: by its size, a long prompt would be sent.
  void LongPromptMakesNoUrgentPromptLate()
  {
    endpoint_registry engines = Engines(4);
    engine_ledger ledger;
    placement_request shortWork =
      Prompt(5000, 1600, milliseconds(250), milliseconds(250));
    for (placement_key key = 1; key <= 4; ++key) {
      engine_choice there;
      there.mDecodeEngine =
        &engines.mEndpoints.at("engine-" + std::to_string(key - 1));
      AddPlacement(ledger, MakePlacement(there, shortWork, key), kStart);
    }
    const auto choose =
      [&](unsigned aRank, duration aElapsed, std::optional<unsigned> aFloor) {
        placement_request work =
          Prompt(190000, 800, milliseconds(1000), milliseconds(4000));
        work.mClass.mRank = aRank;
        work.mElapsed = aElapsed;
        work.mFloorRank = aFloor;
        return *PlaceOnEngines(
          engines, ledger, SampleEngine(), work, {}, "", kStart);
      };
    CPPUNIT_ASSERT(choose(0, {}, {}).mVerdict == placement_verdict::Send);
    CPPUNIT_ASSERT(choose(2, {}, 0).mVerdict == placement_verdict::Send);
    for (const duration elapsed : { seconds(0), seconds(3) }) {
      CPPUNIT_ASSERT(choose(2, elapsed, {}).mVerdict ==
                     placement_verdict::TurnAway);
    }
  }

  /// Guards against ranks outside 0 to 9, against ranks that apply to a service
  /// with one rank, and against ranks of the manifest before.
  void RankFollowsTheManifest()
  {
    constexpr int kLeast = std::numeric_limits<int>::min();
    constexpr int kMost = std::numeric_limits<int>::max();
    const manifest_index ranked = ManifestWith(kLeast, kMost, 4);
    CPPUNIT_ASSERT(ranked.RanksOf("model") ==
                   std::vector<unsigned>({ 0, 1, 2, 3 }));
    CPPUNIT_ASSERT_EQUAL(0U, RankOf(ranked, 0, false));
    CPPUNIT_ASSERT_EQUAL(1U, RankOf(ranked, 0, true));
    CPPUNIT_ASSERT_EQUAL(2U, RankOf(ranked, 1, true));
    CPPUNIT_ASSERT_EQUAL(3U, RankOf(ranked, 1, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         PriorityFaults(ranked.Manifest()).size());
    // Clamped, both routes and the organisation have one rank.
    const manifest_index equal = ManifestWith(12, 9, 40);
    CPPUNIT_ASSERT(equal.RanksOf("model").empty());
    CPPUNIT_ASSERT_EQUAL(0U, RankOf(equal, 0, true));
    const manifest_index changed = ManifestWith(3, 3, 1);
    CPPUNIT_ASSERT_EQUAL(0U, RankOf(changed, 0, true));
    CPPUNIT_ASSERT_EQUAL(1U, RankOf(changed, 0, false));
    CPPUNIT_ASSERT(changed.RanksOf("other").empty());
  }

  /// Guards against a floor before anything is known, one that does not end,
  /// and one that a size which is no number sets for good.
  void FloorFollowsRequests()
  {
    service_demand demand;
    RecordSeveral(demand, 2, 0, 3);
    CPPUNIT_ASSERT(!IsBelowFloor(demand, 2, kStart));
    RecordSeveral(demand, 0, 30, 0);
    CPPUNIT_ASSERT(IsBelowFloor(demand, 2, kStart));
    CPPUNIT_ASSERT(!IsBelowFloor(demand, 0, kStart));
    CPPUNIT_ASSERT(!IsBelowFloor(demand, 5, kStart));
    RecordSeveral(demand, 2, 2, 0);
    CPPUNIT_ASSERT(!IsBelowFloor(demand, 2, kStart));
    // The floor follows what is requested, and old requests count little.
    RecordSeveral(demand, 2, 0, 9);
    CPPUNIT_ASSERT(IsBelowFloor(demand, 2, kStart));
    const time_point later = kStart + seconds(20);
    RecordSeveral(demand, 2, 4, 0, later);
    CPPUNIT_ASSERT(!IsBelowFloor(demand, 2, later));
    const service_demand before = demand;
    RecordDecision(
      demand, 2, std::numeric_limits<double>::quiet_NaN(), false, later);
    CPPUNIT_ASSERT(demand == before);
  }

  /// Guards against slots that stay free although nobody more urgent asks, and
  /// against more of them than the more urgent requests may need.
  void SlotsAreReservedOnlyForMoreUrgentRequests()
  {
    endpoint_registry engines = Engines(2);
    engine_ledger ledger;
    const auto reserve = [&](unsigned aRank) {
      return RankReserve(engines, ledger, { "model", {} }, 16, aRank, {});
    };
    CPPUNIT_ASSERT(reserve(2) == slot_reserve{});
    engine_choice there;
    there.mDecodeEngine = &engines.mEndpoints.at("engine-1");
    const auto place = [&](unsigned aRank, placement_key aKey) {
      placement_request request = Prompt(5000, 0, {}, {});
      request.mClass.mRank = aRank;
      AddPlacement(ledger, MakePlacement(there, request, aKey), kStart);
    };
    place(1, 1);
    CPPUNIT_ASSERT(reserve(0) == slot_reserve{});
    CPPUNIT_ASSERT(reserve(1) == slot_reserve{});
    CPPUNIT_ASSERT(reserve(2).mReason == admission_reason::MoreUrgent);
    CPPUNIT_ASSERT(reserve(2).mShare > 0);
    CPPUNIT_ASSERT(reserve(2).mShare <= 1.0 / 32);
    place(0, 2);
    CPPUNIT_ASSERT(reserve(2).mShare > reserve(1).mShare);
    for (placement_key key = 3; key <= 32; ++key) {
      place(0, key);
    }
    CPPUNIT_ASSERT(reserve(2).mShare <= 0.25);
    const slot_reserve withoutThem =
      RankReserve(engines, ledger, { "model", {} }, 16, 2, { 0 });
    CPPUNIT_ASSERT(withoutThem == slot_reserve{});
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rank_test, "ranks");
