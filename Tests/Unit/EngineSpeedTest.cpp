#include "FleetReplay.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kOwnHost = 1;

/// The duration of a pass with this many streams of 5,000 tokens.
double
PassMs(double aStreams)
{
  constexpr double kTokens = 5000;
  return DecodePassMs(SampleEngine(), aStreams, kTokens * aStreams);
}

/// One engine, as a gateway with streams on it sees it.
struct observed_engine
{
  engine_ledger mLedger;
  time_point mNow = kStart;
  stream_events mStream;
  placement_key mLastKey = 0;

  engine_load& Load() { return mLedger.mEngines[EngineKey("engine")]; }

  /// Adds streams without prefill.
  void AddStreams(unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      AddPrefill(0, "engine");
    }
  }

  /// Adds a placement with this prefill; it decodes on the given engine.
  void AddPrefill(double aMs, const std::string& aDecodes)
  {
    constexpr double kTokens = 5000;
    placement placed;
    placed.mKey = ++mLastKey;
    placed.mEngines = { EngineKey(aDecodes) };
    if (aDecodes != "engine") {
      placed.mEngines.push_back(EngineKey("engine"));
    }
    placed.mPartPrefillMs = aMs;
    placed.mTokens = kTokens;
    placed.mExpires = kStart + std::chrono::hours(1);
    AddPlacement(mLedger, placed, mNow);
  }

  void Pass(double aMs, std::size_t aEvents = 1)
  {
    mNow += FromSeconds(aMs / 1e3);
    const std::optional<pass_interval> interval =
      RecordEvents(mStream, aEvents, mNow);
    if (interval.has_value() &&
        RecordPass(Load(), SampleEngine(), *interval, mNow)) {
      (void)UpdatePace(Load(), mNow);
    }
  }

  void Passes(unsigned aCount, double aMs)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      Pass(aMs);
    }
  }

  double Pace()
  {
    (void)UpdatePace(Load(), mNow);
    return Load().mPace;
  }
};

observed_engine
EngineWithStreams(unsigned aCount)
{
  observed_engine engine;
  engine.AddStreams(aCount);
  return engine;
}

engine_speed
MeasuredSpeed(double aPace, time_point aAt)
{
  engine_speed speed;
  constexpr int kSamples = 8;
  for (int i = 0; i < kSamples; ++i) {
    AddPaceSample(speed, aPace, aAt);
  }
  return speed;
}

placement_request
ShortRequest()
{
  return { { "model", {} },    5000, 1600, milliseconds(250), milliseconds(300),
           WorthOfPrompt(5000) };
}

placement_request
LongRequest()
{
  constexpr double kTokens = 90000;
  return {
    { "model", {} },       kTokens, 800, milliseconds(1000), milliseconds(3000),
    WorthOfPrompt(kTokens)
  };
}

/// A fleet of idle engines, the first of which are slow.
struct placing_gateway
{
  endpoint_registry mRegistry;
  engine_ledger mLedger;
  time_point mNow = kStart;

  placing_gateway(std::size_t aEngines, std::size_t aSlow, double aPace)
    : mRegistry(Engines(aEngines))
  {
    for (std::size_t i = 0; i < aSlow; ++i) {
      engine_load& load =
        mLedger.mEngines[EngineKey("engine-" + std::to_string(i))];
      load.mSpeed = MeasuredSpeed(aPace, kStart);
      (void)UpdatePace(load, kStart);
    }
  }

  engine_choice Choose(const placement_request& aRequest)
  {
    return *PlaceOnEngines(
      mRegistry, mLedger, SampleEngine(), aRequest, {}, "a", mNow);
  }

  std::string Place(const placement_request& aRequest, placement_key aKey)
  {
    mNow += milliseconds(50);
    const engine_choice choice = Choose(aRequest);
    placement placed = MakePlacement(choice, aRequest, aKey);
    placed.mExpires = kStart + std::chrono::hours(1);
    AddPlacement(mLedger, placed, mNow);
    return choice.mDecodeEngine->mListed.mId;
  }

  double PaceOf(const known_endpoint& aEndpoint) const
  {
    return LoadOf(mLedger, EngineKey(aEndpoint.mListed.mId)).mPace;
  }
};

double
Mean(const std::vector<double>& aValues, std::size_t aFrom = 0)
{
  double sum = 0;
  for (std::size_t i = aFrom; i < aValues.size(); ++i) {
    sum += aValues[i];
  }
  return sum / static_cast<double>(aValues.size() - aFrom);
}

} // namespace

class engine_speed_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_speed_test);
  CPPUNIT_TEST(SlowEngineIsKnownAfterFewPasses);
  CPPUNIT_TEST(EngineAsDeclaredKeepsPaceOne);
  CPPUNIT_TEST(KnownPrefillDoesNotMakeEngineSlow);
  CPPUNIT_TEST(PrefillMissingInLedgerDoesNotMakeEngineSlow);
  CPPUNIT_TEST(SlowEngineIsKnownWhilePrefilling);
  CPPUNIT_TEST(BunchedEventsShowNothing);
  CPPUNIT_TEST(LateReadsDoNotMakeEngineFast);
  CPPUNIT_TEST(StaleLedgerDoesNotMakeEngineFast);
  CPPUNIT_TEST(FastEngineIsKnown);
  CPPUNIT_TEST(SeveralStreamsCountOnePass);
  CPPUNIT_TEST(LateFirstEventIsOnlyAHint);
  CPPUNIT_TEST(RecoveryIsKnownAfterFewPasses);
  CPPUNIT_TEST(PaceDecaysWithoutNews);
  CPPUNIT_TEST(NewInstanceStartsAsDeclared);
  CPPUNIT_TEST(PaceIsBounded);
  CPPUNIT_TEST(OwnMeasurementTakesPrecedence);
  CPPUNIT_TEST(LyingPeerIsOutvoted);
  CPPUNIT_TEST(PeersCannotMakeAnEngineFast);
  CPPUNIT_TEST(InvalidAndOldReportsAreIgnored);
  CPPUNIT_TEST(ReportsAreSentOnlyWhenPeersDiffer);
  CPPUNIT_TEST(BacklogFollowsPace);
  CPPUNIT_TEST(TimeoutsAllowForSlowEngine);
  CPPUNIT_TEST(ShortPromptsAvoidEngineThatExceedsTheirPause);
  CPPUNIT_TEST(SlowEngineServesWhatItCanInTime);
  CPPUNIT_TEST(DivisionAvoidsSlowEngines);
  CPPUNIT_TEST(DivisionUsesSlowEnginesWhenCheaper);
  CPPUNIT_TEST(DecisionsAreUnchangedAtPaceOne);
  CPPUNIT_TEST(FewerPromptsAreLateWithSlowEngines);
  CPPUNIT_TEST(LargeFleetsAvoidSlowEngines);
  CPPUNIT_TEST(HeavyLoadCausesNoSlowEngines);
  CPPUNIT_TEST(RecoveredEnginesAreUsedAgain);
  CPPUNIT_TEST(LyingPeerDoesNotMoveTheFleet);
  CPPUNIT_TEST(LossOfAGatewayDoesNotHideSlowEngines);
  CPPUNIT_TEST_SUITE_END();

public:
  void SlowEngineIsKnownAfterFewPasses()
  {
    observed_engine engine = EngineWithStreams(8);
    engine.Passes(6, 3 * PassMs(8));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, engine.Pace(), 0.1);
  }

  void EngineAsDeclaredKeepsPaceOne()
  {
    observed_engine engine = EngineWithStreams(8);
    engine.Passes(40, PassMs(8));
    CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 },
                         engine.Load().mSpeed.mSamples.size());
  }

  /// Guards against engines that prefill in every pass and are taken for slow
  /// ones.
  void KnownPrefillDoesNotMakeEngineSlow()
  {
    rc::check("prefill in each pass", []() {
      observed_engine engine = EngineWithStreams(8);
      for (int i = 0; i < 60; ++i) {
        const double prefill = *rc::gen::inRange(10, 600);
        engine.AddPrefill(prefill, "other");
        engine.Pass(prefill + PassMs(8));
        RC_ASSERT(engine.Pace() == 1);
      }
    });
  }

  /// Guards against slow engines due to placements whose messages were lost.
  void PrefillMissingInLedgerDoesNotMakeEngineSlow()
  {
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> uniform;
    constexpr double kPrefillShare = 0.3;
    observed_engine engine = EngineWithStreams(8);
    unsigned slow = 0;
    constexpr unsigned kPasses = 2000;
    for (unsigned i = 0; i < kPasses; ++i) {
      const bool prefills = uniform(random) < kPrefillShare;
      engine.Pass(PassMs(8) + (prefills ? 300 * uniform(random) : 0));
      slow += engine.Pace() > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT(slow < kPasses / 50);
  }

  void SlowEngineIsKnownWhilePrefilling()
  {
    constexpr double kPrefill = 150;
    observed_engine engine = EngineWithStreams(8);
    for (int i = 0; i < 8; ++i) {
      engine.AddPrefill(kPrefill, "other");
      engine.Pass(3 * (kPrefill + PassMs(8)));
    }
    CPPUNIT_ASSERT(engine.Pace() >= 2);
  }

  /// Guards against paces derived from events that were delayed together: by a
  /// gateway that was paused, or on the way.
  void BunchedEventsShowNothing()
  {
    observed_engine engine = EngineWithStreams(8);
    for (int i = 0; i < 20; ++i) {
      engine.Pass(4 * PassMs(8), 4);
      engine.Pass(PassMs(8) / 10);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
    CPPUNIT_ASSERT(engine.Load().mSpeed.mSamples.empty());
  }

  void LateReadsDoNotMakeEngineFast()
  {
    observed_engine engine = EngineWithStreams(8);
    for (int i = 0; i < 20; ++i) {
      engine.Pass(1.45 * PassMs(8));
      engine.Pass(0.55 * PassMs(8));
      CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
    }
  }

  /// Guards against fast engines due to placements in the ledger that have
  /// ended, or whose answers are shorter than assumed.
  void StaleLedgerDoesNotMakeEngineFast()
  {
    observed_engine engine = EngineWithStreams(16);
    engine.Passes(20, PassMs(1));
    CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
  }

  void FastEngineIsKnown()
  {
    observed_engine engine = EngineWithStreams(4);
    engine.Passes(8, 0.6 * PassMs(4));
    CPPUNIT_ASSERT(engine.Pace() < 0.8 && engine.Pace() >= kMinPace);
  }

  /// Guards against one long pass that many streams report.
  void SeveralStreamsCountOnePass()
  {
    observed_engine engine = EngineWithStreams(8);
    const pass_interval longPass{ milliseconds(900), milliseconds(900) };
    engine.mNow += seconds(1);
    CPPUNIT_ASSERT(
      RecordPass(engine.Load(), SampleEngine(), longPass, engine.mNow));
    for (int i = 0; i < 7; ++i) {
      engine.mNow += milliseconds(1);
      CPPUNIT_ASSERT(
        !RecordPass(engine.Load(), SampleEngine(), longPass, engine.mNow));
    }
    CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
  }

  void LateFirstEventIsOnlyAHint()
  {
    observed_engine engine = EngineWithStreams(8);
    for (int i = 0; i < 3; ++i) {
      engine.mNow += seconds(1);
      CPPUNIT_ASSERT(RecordFirstEvent(
        engine.Load(), SampleEngine(), milliseconds(600), engine.mNow));
      CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
    }
    engine.mNow += seconds(1);
    CPPUNIT_ASSERT(!RecordFirstEvent(
      engine.Load(), SampleEngine(), milliseconds(90), engine.mNow));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 },
                         engine.Load().mSpeed.mSamples.size());
  }

  void RecoveryIsKnownAfterFewPasses()
  {
    observed_engine engine = EngineWithStreams(8);
    engine.Passes(12, 3 * PassMs(8));
    CPPUNIT_ASSERT(engine.Pace() > 2);
    engine.Passes(5, PassMs(8));
    CPPUNIT_ASSERT_EQUAL(1.0, engine.Pace());
  }

  void PaceDecaysWithoutNews()
  {
    const engine_speed speed = MeasuredSpeed(3, kStart);
    CPPUNIT_ASSERT_EQUAL(3.0, PaceInForce(speed, kStart + seconds(5)));
    const double later = PaceInForce(speed, kStart + seconds(10));
    CPPUNIT_ASSERT(later > 1.5 && later < 2);
    CPPUNIT_ASSERT_EQUAL(1.0, PaceInForce(speed, kStart + seconds(16)));
  }

  /// Guards against the pace of an earlier instance that applies to the next
  /// one under the same id, also by reports that are still on their way.
  void NewInstanceStartsAsDeclared()
  {
    engine_speed speed = MeasuredSpeed(3, kStart);
    const time_point restarted = kStart + milliseconds(100);
    ResetSpeed(speed, restarted);
    AddPaceReport(speed, { 7, 3, kStart }, restarted + milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(1.0, PaceInForce(speed, restarted + milliseconds(5)));
  }

  void PaceIsBounded()
  {
    CPPUNIT_ASSERT_EQUAL(kMaxPace,
                         PaceInForce(MeasuredSpeed(80, kStart), kStart));
    CPPUNIT_ASSERT_EQUAL(kMinPace,
                         PaceInForce(MeasuredSpeed(0.01, kStart), kStart));
  }

  void OwnMeasurementTakesPrecedence()
  {
    engine_speed speed = MeasuredSpeed(1, kStart);
    for (std::uint64_t peer = 2; peer < 7; ++peer) {
      AddPaceReport(speed, { peer, 10, kStart + seconds(1) }, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, PaceInForce(speed, kStart + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(10.0, PaceInForce(speed, kStart + seconds(3)));
  }

  /// Guards against a single peer that decides where the others place.
  void LyingPeerIsOutvoted()
  {
    engine_speed speed;
    AddPaceReport(speed, { 2, 10, kStart }, kStart);
    CPPUNIT_ASSERT_EQUAL(1.5, PaceInForce(speed, kStart));
    AddPaceReport(speed, { 3, 1, kStart }, kStart);
    CPPUNIT_ASSERT_EQUAL(1.0, PaceInForce(speed, kStart));
    AddPaceReport(speed, { 3, 3, kStart }, kStart);
    AddPaceReport(speed, { 4, 3, kStart }, kStart);
    CPPUNIT_ASSERT_EQUAL(3.0, PaceInForce(speed, kStart));
    // The last report of a peer replaces its earlier ones.
    for (int i = 1; i < 20; ++i) {
      AddPaceReport(speed, { 2, 1, kStart + milliseconds(i) }, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(3.0, PaceInForce(speed, kStart + milliseconds(20)));
  }

  /// Guards against work that is drawn to an engine by wrong reports.
  void PeersCannotMakeAnEngineFast()
  {
    engine_speed speed;
    for (std::uint64_t peer = 2; peer < 7; ++peer) {
      AddPaceReport(speed, { peer, kMinPace, kStart }, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, PaceInForce(speed, kStart));
  }

  void InvalidAndOldReportsAreIgnored()
  {
    engine_speed speed;
    for (const double pace :
         { 0.0, -1.0, 0.49, 10.01, 1e300, std::nan(""), 655.35 }) {
      AddPaceReport(speed, { 2, pace, kStart }, kStart);
    }
    AddPaceReport(speed, { 2, 3, kStart - seconds(16) }, kStart);
    CPPUNIT_ASSERT(speed.mReports.empty());
    CPPUNIT_ASSERT_EQUAL(1.0, PaceInForce(speed, kStart));
  }

  /// Guards against reports that every gateway repeats, which would exceed the
  /// bandwidth for gossip.
  void ReportsAreSentOnlyWhenPeersDiffer()
  {
    engine_speed speed = MeasuredSpeed(1.2, kStart);
    CPPUNIT_ASSERT(!TakeDueReport(speed, kOwnHost, kStart).has_value());
    speed = MeasuredSpeed(3, kStart);
    CPPUNIT_ASSERT(TakeDueReport(speed, kOwnHost, kStart).has_value());
    CPPUNIT_ASSERT(!TakeDueReport(speed, kOwnHost, kStart).has_value());
    // It has returned to normal.
    time_point now = kStart + milliseconds(500);
    for (int i = 0; i < 8; ++i) {
      AddPaceSample(speed, 1, now);
    }
    CPPUNIT_ASSERT(!TakeDueReport(speed, kOwnHost, now).has_value());
    now = kStart + seconds(1);
    const std::optional<pace_report> returned =
      TakeDueReport(speed, kOwnHost, now);
    CPPUNIT_ASSERT(returned.has_value() && returned->mPace == 1);
    // What one peer has told is confirmed, what two have told is not.
    speed = MeasuredSpeed(3, now);
    AddPaceReport(speed, { 2, 2.9, now }, now);
    engine_speed confirmed = speed;
    CPPUNIT_ASSERT(TakeDueReport(speed, kOwnHost, now).has_value());
    AddPaceReport(confirmed, { 3, 2.8, now }, now);
    CPPUNIT_ASSERT(!TakeDueReport(confirmed, kOwnHost, now).has_value());
  }

  void BacklogFollowsPace()
  {
    observed_engine engine;
    engine.Load().mSpeed = MeasuredSpeed(3, kStart);
    (void)UpdatePace(engine.Load(), kStart);
    engine.AddPrefill(300, "other");
    const engine_load& load = engine.Load();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      200, BacklogMs(load, kStart + milliseconds(300)), 0.001);
    CPPUNIT_ASSERT(engine.mLedger.mPlacements.at(1).mPrefillEndsAt ==
                   kStart + milliseconds(900));
    // Half of the work is left when the engine returns to normal.
    for (int i = 0; i < 8; ++i) {
      AddPaceSample(engine.Load().mSpeed, 1, kStart + milliseconds(450));
    }
    CPPUNIT_ASSERT(UpdatePace(engine.Load(), kStart + milliseconds(450)));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      50, BacklogMs(load, kStart + milliseconds(550)), 0.001);
  }

  /// Guards against slow engines that are avoided as if they had failed.
  void TimeoutsAllowForSlowEngine()
  {
    for (const double pace : { 0.5, 1.0 }) {
      CPPUNIT_ASSERT(StallTimeout(milliseconds(250), pace) ==
                     StallTimeout(milliseconds(250)));
      CPPUNIT_ASSERT(FirstEventTimeout(ShortRequest(), 130, false, pace) ==
                     FirstEventTimeout(ShortRequest(), 130, false));
    }
    constexpr double kSlowPace = 3;
    CPPUNIT_ASSERT(StallTimeout(milliseconds(250), kSlowPace) >
                   StallTimeout(milliseconds(250)));
    CPPUNIT_ASSERT(
      FirstEventTimeout(ShortRequest(), kSlowPace * 130, false, kSlowPace) >
      FirstEventTimeout(ShortRequest(), 130, false));
    // An engine that is silent is still given up before its caller leaves.
    CPPUNIT_ASSERT(StallTimeout(milliseconds(250), kMaxPace) < seconds(2));
    CPPUNIT_ASSERT(FirstEventTimeout(ShortRequest(), 2000, false, kMaxPace) <
                   seconds(2));
  }

  void ShortPromptsAvoidEngineThatExceedsTheirPause()
  {
    constexpr double kPace = 6; // A pass takes 270 ms.
    placing_gateway gateway(4, 2, kPace);
    for (placement_key key = 1; key <= 20; ++key) {
      const std::string id = gateway.Place(ShortRequest(), key);
      CPPUNIT_ASSERT(id != "engine-0" && id != "engine-1");
    }
    // If there is no other, it is used.
    placing_gateway slowOnly(2, 2, kPace);
    CPPUNIT_ASSERT(slowOnly.Choose(ShortRequest()).mVerdict ==
                   placement_verdict::Send);
  }

  void SlowEngineServesWhatItCanInTime()
  {
    constexpr double kPace = 1.6;
    placing_gateway gateway(3, 1, kPace);
    std::size_t slow = 0;
    for (placement_key key = 1; key <= 40; ++key) {
      slow += gateway.Place(ShortRequest(), key) == "engine-0" ? 1 : 0;
    }
    CPPUNIT_ASSERT(slow > 0 && slow < 16);
  }

  void DivisionAvoidsSlowEngines()
  {
    placing_gateway gateway(40, 12, 3);
    const engine_choice choice = gateway.Choose(LongRequest());
    CPPUNIT_ASSERT(!choice.mPrefillHelpers.empty());
    CPPUNIT_ASSERT_EQUAL(1.0, gateway.PaceOf(*choice.mDecodeEngine));
    for (const known_endpoint* const helper : choice.mPrefillHelpers) {
      CPPUNIT_ASSERT_EQUAL(1.0, gateway.PaceOf(*helper));
    }
  }

  /// Where too few engines are as declared, parts on slow ones end sooner than
  /// fewer, larger parts.
  void DivisionUsesSlowEnginesWhenCheaper()
  {
    placing_gateway gateway(16, 15, 1.5);
    const engine_choice choice = gateway.Choose(LongRequest());
    CPPUNIT_ASSERT(choice.mPrefillHelpers.size() >= 4);
    // The expected first event allows for the slowest part.
    CPPUNIT_ASSERT(choice.mFirstEventMs >= 1.5 * choice.mPartPrefillMs);
  }

  /// Decisions are the same, to the last bit, with and without the measurement
  /// where all engines are as declared.
  void DecisionsAreUnchangedAtPaceOne()
  {
    replay_options options;
    options.mSlowShare = 0;
    options.mLoad = 0.3;
    options.mLoss = 0;
    replay_options without = options;
    without.mSpeeds = false;
    const replay_result measured = fleet_replay(options).Run();
    CPPUNIT_ASSERT_EQUAL(0.0, Mean(measured.mFalseShare));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, measured.mReports);
    CPPUNIT_ASSERT_EQUAL(fleet_replay(without).Run().mDecisions,
                         measured.mDecisions);
  }

  /// Short and divided prompts by turns, 30 in 100 engines three times slower.
  void FewerPromptsAreLateWithSlowEngines()
  {
    std::size_t late = 0;
    std::size_t lateWithout = 0;
    double slowShare = 0;
    double slowShareWithout = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      replay_options options;
      options.mSeed = seed;
      const replay_result with = fleet_replay(options).Run();
      options.mSpeeds = false;
      const replay_result without = fleet_replay(options).Run();
      CPPUNIT_ASSERT(with.Late() < without.Late());
      CPPUNIT_ASSERT(with.mSlowShareOfWork < without.mSlowShareOfWork);
      slowShare += with.mSlowShareOfWork;
      slowShareWithout += without.mSlowShareOfWork;
      late += with.Late();
      lateWithout += without.Late();
    }
    CPPUNIT_ASSERT(late * 4 < lateWithout * 3);
    CPPUNIT_ASSERT(slowShare < slowShareWithout / 2);
  }

  void LargeFleetsAvoidSlowEngines()
  {
    for (const std::size_t gateways : { 103, 350 }) {
      replay_options options;
      options.mGateways = gateways;
      options.mSeed = 2;
      options.mSeconds = 14;
      const replay_result with = fleet_replay(options).Run();
      options.mSpeeds = false;
      const replay_result without = fleet_replay(options).Run();
      CPPUNIT_ASSERT(with.Late() < without.Late());
      CPPUNIT_ASSERT(with.mSlowShareOfWork < without.mSlowShareOfWork);
      CPPUNIT_ASSERT(Mean(with.mFalseShare) < 0.02);
    }
  }

  /// Guards against engines as declared that are taken for slow under load.
  void HeavyLoadCausesNoSlowEngines()
  {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      replay_options options;
      options.mSeed = seed;
      options.mSlowShare = 0;
      options.mLoad = 1.2;
      options.mSeconds = 12;
      CPPUNIT_ASSERT(Mean(fleet_replay(options).Run().mFalseShare) < 0.02);
    }
  }

  void RecoveredEnginesAreUsedAgain()
  {
    replay_options options;
    options.mSlowToSeconds = 8;
    options.mSeconds = 24;
    const replay_result result = fleet_replay(options).Run();
    // Unused engines count as normal again 15 s later.
    CPPUNIT_ASSERT(result.mFalseShare.back() < 0.05);
  }

  /// A peer that reports ten times a second that every engine is ten times
  /// slower or twice as fast does less harm than slow engines that nobody
  /// measures.
  void LyingPeerDoesNotMoveTheFleet()
  {
    for (const double lie : { kMaxPace, kMinPace }) {
      replay_options options;
      const std::size_t honest = fleet_replay(options).Run().Late();
      options.mLie = lie;
      const std::size_t misled = fleet_replay(options).Run().Late();
      options.mLie.reset();
      options.mSpeeds = false;
      const std::size_t unmeasured = fleet_replay(options).Run().Late();
      CPPUNIT_ASSERT(honest < unmeasured);
      CPPUNIT_ASSERT(misled < unmeasured);
    }
  }

  void LossOfAGatewayDoesNotHideSlowEngines()
  {
    replay_options options;
    options.mSpeeds = false;
    options.mKilledAtSeconds = 6;
    const std::size_t without = fleet_replay(options).Run().Late();
    options.mSpeeds = true;
    CPPUNIT_ASSERT(fleet_replay(options).Run().Late() < without);
    options.mKilledAtSeconds = 1000;
    options.mCutOffFromSeconds = 6;
    CPPUNIT_ASSERT(fleet_replay(options).Run().Late() < without);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(engine_speed_test, "engine-speed");
