#include "OverloadReplay.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr std::size_t kEngines = 20;

placement_request
ShortRequest()
{
  placement_request request{
    { "model", {} },    5000, 1600, milliseconds(250), milliseconds(300),
    WorthOfPrompt(5000)
  };
  request.mSlotReserve = slot_reserve{};
  return request;
}

placement_request
LongRequest()
{
  placement_request request = ShortRequest();
  request.mPromptTokens = 100000;
  request.mObjective = milliseconds(3000);
  request.mWorth = WorthOfPrompt(request.mPromptTokens);
  return request;
}

/// Engines of which a gateway knows what they reported, but no placement.
struct reporting_fleet
{
  reporting_fleet()
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      endpoint listed;
      listed.mId = "engine-" + std::to_string(i);
      listed.mService = "model";
      (void)ApplyRow(mRegistry, { listed.mId, 1, listed });
    }
  }

  void Report(std::size_t aEngine, std::size_t aRequests)
  {
    SetReportedRequests(mLedger,
                        EngineKey("engine-" + std::to_string(aEngine)),
                        aRequests,
                        kStart);
  }

  void ReportEverywhere(std::size_t aRequests)
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      Report(i, aRequests);
    }
  }

  void AddBacklogEverywhere(double aMs)
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      placement placed;
      placed.mKey = ++mLastKey;
      placed.mEngines = { EngineKey("engine-" + std::to_string(i)) };
      placed.mPartPrefillMs = aMs;
      placed.mExpires = kStart + std::chrono::hours(1);
      AddPlacement(mLedger, placed, kStart);
    }
  }

  engine_choice Choose(const placement_request& aRequest,
                       time_point aNow = kStart)
  {
    return *PlaceOnEngines(
      mRegistry, mLedger, SampleEngine(), aRequest, {}, "", aNow);
  }

  admission_reason Reason(const placement_request& aRequest,
                          time_point aNow = kStart)
  {
    return Choose(aRequest, aNow).mSlotRefusal.mReason;
  }

  endpoint_registry mRegistry;
  engine_ledger mLedger;
  placement_key mLastKey = 0;
};

replay_settings
Flood(std::size_t aGateways, double aSeconds, double aPerSecond = 505)
{
  replay_settings settings;
  settings.mGateways = aGateways;
  settings.mEngines = 69 * aGateways / 15;
  const double scale = static_cast<double>(settings.mEngines) / 69;
  settings.mPhases = { { 2, 86 * scale },
                       { 2 + aSeconds, aPerSecond * scale },
                       { 8 + aSeconds, 86 * scale } };
  return settings;
}

void
AssertFewRejections(const replay_result& aResult)
{
  CPPUNIT_ASSERT(aResult.mRejected * 10 < aResult.mSent);
}

/// Nothing is refused before the flood, which starts in the third second.
void
AssertNoRefusalAtUsualLoad(const replay_result& aResult)
{
  CPPUNIT_ASSERT(aResult.mRefusalsIn.empty() ||
                 aResult.mRefusalsIn.begin()->first >= 2);
}

} // namespace

class slot_admission_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(slot_admission_test);
  CPPUNIT_TEST(PromptWithoutReserveIsAdmitted);
  CPPUNIT_TEST(LastFreeSlotIsUsed);
  CPPUNIT_TEST(ReserveIsLeftFree);
  CPPUNIT_TEST(ConcurrentPlacementsLeaveMargin);
  CPPUNIT_TEST(PromptWithTimeMayQueue);
  CPPUNIT_TEST(RejectedPromptNeedsFreeSlot);
  CPPUNIT_TEST(MemoryCountsForUndividedPrompts);
  CPPUNIT_TEST(PromptThatCannotStartInTimeIsRefused);
  CPPUNIT_TEST(ReportedLoadFollowsEndsAndPlacements);
  CPPUNIT_TEST(RefusedCallersReturnAtDifferentTimes);
  CPPUNIT_TEST(BoundedReturnsAreSpread);
  CPPUNIT_TEST(FloodIsRefusedInsteadOfLate);
  CPPUNIT_TEST(HeavyFloodDoesNotOverloadEngines);
  CPPUNIT_TEST(LargeFleetsRejectFew);
  CPPUNIT_TEST(LostGossipCausesFewRejections);
  CPPUNIT_TEST(RestartedGatewayCausesFewRejections);
  CPPUNIT_TEST(WaitOfReturningCallerIsEstimated);
  CPPUNIT_TEST(ResumedStreamWaitsForAFreeSlot);
  CPPUNIT_TEST(ResumedStreamKeepsToItsEngines);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against callers with a slightly shorter limit that are taken for
  /// returning ones, and against limits that nobody states any more.
  void WaitOfReturningCallerIsEstimated()
  {
    stated_limits limits;
    const time_point start{ std::chrono::hours(1) };
    const auto waited = [&](int aLeftMs, int aAtSeconds) {
      return TimeWaitedBefore(limits,
                              std::chrono::milliseconds(aLeftMs),
                              start + std::chrono::seconds(aAtSeconds));
    };
    CPPUNIT_ASSERT(waited(10000, 0) == duration::zero());
    CPPUNIT_ASSERT(waited(8600, 1) == duration::zero());
    CPPUNIT_ASSERT(waited(7500, 2) == std::chrono::milliseconds(2500));
    // One interval later the longer limit still counts, after two no more.
    CPPUNIT_ASSERT(waited(7500, 40) == std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT(waited(7500, 110) == duration::zero());
  }

  /// Guards against refusing a request that was accepted before.
  void PromptWithoutReserveIsAdmitted()
  {
    reporting_fleet f;
    f.ReportEverywhere(40);
    placement_request request = ShortRequest();
    request.mSlotReserve.reset();
    CPPUNIT_ASSERT(f.Choose(request).mVerdict == placement_verdict::Send);
  }

  /// Guards against refusing a prompt while an engine could begin it, and
  /// against a stale report that keeps a prompt off an idle engine.
  void LastFreeSlotIsUsed()
  {
    reporting_fleet f;
    f.ReportEverywhere(16);
    const engine_choice refused = f.Choose(ShortRequest());
    CPPUNIT_ASSERT(refused.mVerdict == placement_verdict::NoSlot);
    CPPUNIT_ASSERT(refused.mSlotRefusal.mReason ==
                   admission_reason::NoFreeSlot);
    CPPUNIT_ASSERT(refused.mSlotRefusal.mRetryAfter >= kMinRetryAfter);
    CPPUNIT_ASSERT_EQUAL(kEngines * 16, refused.mSlotRefusal.mSlots);
    f.Report(7, 15);
    const engine_choice placed = f.Choose(ShortRequest());
    CPPUNIT_ASSERT(placed.mVerdict == placement_verdict::Send);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-7"),
                         placed.mDecodeEngine->mListed.mId);
    f.Report(7, 16);
    CPPUNIT_ASSERT(f.Reason(ShortRequest(), kStart + std::chrono::seconds(1)) ==
                   admission_reason::None);
  }

  void ReserveIsLeftFree()
  {
    reporting_fleet f;
    f.ReportEverywhere(14);
    placement_request request = ShortRequest();
    request.mSlotReserve = slot_reserve{ 0.2, admission_reason::OverShare };
    const slot_refusal refusal = f.Choose(request).mSlotRefusal;
    CPPUNIT_ASSERT(refusal.mReason == admission_reason::OverShare);
    CPPUNIT_ASSERT_EQUAL(kEngines * 2, refusal.mFreeSlots);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(64, refusal.mReservedSlots, 0.01);
    f.ReportEverywhere(12);
    CPPUNIT_ASSERT(f.Reason(request) == admission_reason::None);
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::None);
  }

  /// Guards against several gateways that take the same last slot.
  void ConcurrentPlacementsLeaveMargin()
  {
    reporting_fleet f;
    f.ReportEverywhere(16);
    f.Report(7, 15);
    placement_request request = ShortRequest();
    request.mGateways = 32;
    CPPUNIT_ASSERT(f.Reason(request) == admission_reason::NoFreeSlot);
    f.ReportEverywhere(14);
    CPPUNIT_ASSERT(f.Reason(request) == admission_reason::None);
  }

  /// Guards against refusing a prompt that would be in time after a wait for
  /// the next slot.
  void PromptWithTimeMayQueue()
  {
    reporting_fleet f;
    f.ReportEverywhere(16);
    CPPUNIT_ASSERT(f.Reason(LongRequest()) == admission_reason::None);
    f.ReportEverywhere(17);
    CPPUNIT_ASSERT(f.Reason(LongRequest()) == admission_reason::NoFreeSlot);
  }

  /// Guards against trying a rejected prompt on full engines in turn.
  void RejectedPromptNeedsFreeSlot()
  {
    reporting_fleet f;
    f.ReportEverywhere(16);
    placement_request request = LongRequest();
    request.mRejectedByFullEngine = true;
    CPPUNIT_ASSERT(f.Reason(request) == admission_reason::NoFreeSlot);
    f.Report(3, 15);
    request.mGateways = 32;
    CPPUNIT_ASSERT(f.Reason(request) == admission_reason::None);
  }

  void MemoryCountsForUndividedPrompts()
  {
    reporting_fleet f;
    for (auto& [id, known] : f.mRegistry.mEndpoints) {
      f.mLedger.mEngines[EngineKey(id)].mTokens = 298000;
    }
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::NoFreeSlot);
    CPPUNIT_ASSERT(f.Reason(LongRequest()) == admission_reason::None);
  }

  /// Guards against prompts that are held until their callers give up.
  void PromptThatCannotStartInTimeIsRefused()
  {
    reporting_fleet f;
    f.AddBacklogEverywhere(1700);
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::None);
    f.AddBacklogEverywhere(300);
    const slot_refusal refusal = f.Choose(ShortRequest()).mSlotRefusal;
    CPPUNIT_ASSERT(refusal.mReason == admission_reason::CannotStartSoon);
    CPPUNIT_ASSERT(refusal.mRetryAfter >= kMinRetryAfter);
    CPPUNIT_ASSERT(f.Reason(LongRequest()) !=
                   admission_reason::CannotStartSoon);
  }

  /// Guards against an engine that looks full until its last report is out of
  /// date, although streams on it have ended, and against placements after the
  /// report that are not added to it.
  void ReportedLoadFollowsEndsAndPlacements()
  {
    reporting_fleet f;
    f.AddBacklogEverywhere(0);
    f.ReportEverywhere(16);
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::NoFreeSlot);
    RemovePlacement(
      f.mLedger, 1, placement_end::Read, kStart + milliseconds(10));
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::None);
    placement placed;
    placed.mKey = 100;
    placed.mEngines = { EngineKey("engine-0") };
    AddPlacement(f.mLedger, placed, kStart + milliseconds(20));
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::NoFreeSlot);
    // The engine may have rejected a request that ends before its prefill.
    RemovePlacement(
      f.mLedger, 100, placement_end::Unread, kStart + milliseconds(30));
    CPPUNIT_ASSERT(f.Reason(ShortRequest()) == admission_reason::NoFreeSlot);
  }

  /// Guards against callers who were refused in the same moment, at any
  /// gateway, and return together.
  void RefusedCallersReturnAtDifferentTimes()
  {
    constexpr std::size_t kGateways = 15;
    constexpr std::size_t kRefusedEach = 60;
    reporting_fleet f;
    f.ReportEverywhere(16);
    std::map<int, std::size_t> inTenth;
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      awaited_returns returns;
      for (std::size_t i = 0; i < kRefusedEach; ++i) {
        placement_request request = ShortRequest();
        request.mGateways = kGateways;
        request.mTieBreakSeed = Hash("gateway", gateway);
        request.mRequestNumber = i;
        request.mAwaitedReturns = CountReturns(returns, kStart);
        const duration after = f.Choose(request).mSlotRefusal.mRetryAfter;
        AddReturn(returns, kStart + after);
        ++inTenth[static_cast<int>(Seconds(after) * 10)];
      }
      CPPUNIT_ASSERT_EQUAL(kRefusedEach, CountReturns(returns, kStart));
      CPPUNIT_ASSERT_EQUAL(
        std::size_t(0), CountReturns(returns, kStart + std::chrono::hours(1)));
    }
    // 320 slots are released in 1.5 s, 21 in a tenth of a second.
    for (const auto& [tenth, count] : inTenth) {
      CPPUNIT_ASSERT(count <= 30);
    }
  }

  /// Guards against returns that meet at the end of the callers' time.
  void BoundedReturnsAreSpread()
  {
    constexpr duration kMaximum = std::chrono::seconds(2);
    CPPUNIT_ASSERT(BoundedRetryAfter(milliseconds(700), kMaximum, 1) ==
                   milliseconds(700));
    std::map<int, std::size_t> inTenth;
    for (std::uint64_t i = 0; i < 1000; ++i) {
      const duration after =
        BoundedRetryAfter(std::chrono::seconds(9), kMaximum, i);
      CPPUNIT_ASSERT(after >= kMaximum / 2 && after <= kMaximum);
      ++inTenth[static_cast<int>(Seconds(after) * 10)];
    }
    for (const auto& [tenth, count] : inTenth) {
      CPPUNIT_ASSERT(count < 150);
    }
  }

  /// Guards against a flood whose prompts wait in the engines' queues until
  /// they are late. Nine times as many were late without admission.
  void FloodIsRefusedInsteadOfLate()
  {
    replay_settings settings = Flood(15, 24);
    const replay_result admitted = overload_replay(settings).Run();
    settings.mAdmission = false;
    const replay_result before = overload_replay(settings).Run();
    AssertFewRejections(admitted);
    AssertNoRefusalAtUsualLoad(admitted);
    CPPUNIT_ASSERT(admitted.mLate * 3 < before.mLate);
    CPPUNIT_ASSERT(admitted.mInTime * 10 > admitted.mFirstArrivals * 9);
    for (const auto& [second, returns] : admitted.mReturnsIn) {
      CPPUNIT_ASSERT(returns <= 502);
    }
  }

  /// Guards against gateways that all fill the same free slots when far more
  /// prompts arrive than are served. Without admission, engines rejected seven
  /// of ten arrivals and one caller of fourteen was answered in time.
  void HeavyFloodDoesNotOverloadEngines()
  {
    const replay_result result = overload_replay(Flood(15, 24, 700)).Run();
    AssertFewRejections(result);
    AssertNoRefusalAtUsualLoad(result);
    CPPUNIT_ASSERT(result.mInTime * 5 > result.mFirstArrivals * 4);
    CPPUNIT_ASSERT(result.mLate * 5 < result.mFirstArrivals);
  }

  void LargeFleetsRejectFew()
  {
    for (const replay_settings& settings :
         { Flood(103, 1.8, 700), Flood(350, 1.2, 900) }) {
      const replay_result result = overload_replay(settings).Run();
      AssertFewRejections(result);
      AssertNoRefusalAtUsualLoad(result);
      CPPUNIT_ASSERT(result.mRefusals > 0);
      CPPUNIT_ASSERT(result.mInTime * 10 > result.mFirstArrivals * 9);
    }
  }

  /// Guards against full engines that look free because the news of placements
  /// is lost.
  void LostGossipCausesFewRejections()
  {
    replay_settings settings = Flood(15, 12);
    settings.mLostShare = 0.1;
    const replay_result result = overload_replay(settings).Run();
    AssertFewRejections(result);
    AssertNoRefusalAtUsualLoad(result);
  }

  /// Guards against a gateway that fills the queues of full engines because it
  /// has just started and knows no placement.
  void RestartedGatewayCausesFewRejections()
  {
    replay_settings settings = Flood(15, 12);
    settings.mRestartAtSeconds = 8;
    const replay_result result = overload_replay(settings).Run();
    AssertFewRejections(result);
    AssertNoRefusalAtUsualLoad(result);
  }

  /// Guards against resuming a stream on an engine that is known to be full,
  /// and against refusing it by rules for new requests.
  void ResumedStreamWaitsForAFreeSlot()
  {
    reporting_fleet fleet;
    placement_request request = ShortRequest();
    request.mSlotReserve.reset();
    request.mAwaitsRoom = true;
    request.mElapsed = std::chrono::seconds(5);
    const std::size_t slots = SampleEngine().mSlots;
    fleet.ReportEverywhere(slots);
    CPPUNIT_ASSERT(fleet.Choose(request).mVerdict == placement_verdict::NoSlot);
    fleet.Report(3, slots - 1);
    const engine_choice choice = fleet.Choose(request);
    CPPUNIT_ASSERT(choice.mVerdict == placement_verdict::Send);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-3"),
                         choice.mDecodeEngine->mListed.mId);
  }

  /// Guards against resuming a stream on a further engine although its route
  /// allows no more, whatever the engines that it was sent to have to do.
  void ResumedStreamKeepsToItsEngines()
  {
    reporting_fleet fleet;
    fleet.Report(7, SampleEngine().mSlots);
    for (placement_request request : { ShortRequest(), LongRequest() }) {
      request.mSlotReserve.reset();
      request.mDecodeAmong = { "engine-7" };
      CPPUNIT_ASSERT_EQUAL(std::string("engine-7"),
                           fleet.Choose(request).mDecodeEngine->mListed.mId);
      request.mDecodeAmong = { "engine-gone" };
      CPPUNIT_ASSERT(!PlaceOnEngines(fleet.mRegistry,
                                     fleet.mLedger,
                                     SampleEngine(),
                                     request,
                                     {},
                                     "",
                                     kStart)
                        .has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(slot_admission_test, "slot-admission");
