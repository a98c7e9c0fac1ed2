/// The engine model and the experiments' world.

#include "Simulation.h"
#include "Experiment.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::bench;

namespace {

constexpr time_point kStart{};

traffic_mix
Mix()
{
  traffic_mix mix;
  mix.mClasses = { { "short", 90, 1000, 8000, 50, 0, 60 },
                   { "long", 10, 100000, 1000000, 50, 1, 600 } };
  mix.mOrganisations = { { "a", 1, 1 }, { "b", 1, 1 } };
  return mix;
}

bench_policy
Own()
{
  bench_policy own;
  own.mName = "primrose";
  own.mRules.mLongPoolSlack = 0.25;
  return own;
}

simulation_result
RunSmall(const simulation_settings& aWorld,
         double aLoad,
         const bench_policy& aPolicy)
{
  const traffic_mix mix = Mix();
  const double rate =
    aLoad * NominalCapacity(mix, aWorld.mEngine, aWorld.mEngines);
  const std::vector<arrival> arrivals =
    DrawArrivals(mix, rate, std::chrono::seconds(120), 32768, 3);
  return RunSimulation(aWorld, aPolicy, mix, arrivals, 3);
}

std::size_t
CountOf(const simulation_result& aResult, request_outcome aEnd)
{
  return static_cast<std::size_t>(std::count_if(
    aResult.mRequests.begin(),
    aResult.mRequests.end(),
    [&](const request_record& aOne) { return aOne.mEnd == aEnd; }));
}

} // namespace

class world_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(world_test);
  CPPUNIT_TEST(EngineReadsThenWrites);
  CPPUNIT_TEST(EngineKeepsItsMemoryBound);
  CPPUNIT_TEST(SameSeedSameRun);
  CPPUNIT_TEST(NothingLeaksWhateverHappens);
  CPPUNIT_TEST(AllCompleteAtHalfLoad);
  CPPUNIT_TEST(LongPromptsAreServedUnderOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  void EngineReadsThenWrites()
  {
    engine_model engine = MakeEngine({});
    engine_job job;
    job.mId = "a";
    job.mPromptTokens = 3000;
    job.mOutputTokens = 4;
    job.mReserveTokens = 3004;
    CPPUNIT_ASSERT(Submit(engine, job, kStart));
    CPPUNIT_ASSERT(!Submit(engine, job, kStart));
    int steps = 0;
    std::vector<engine_output> all;
    while (engine.mStepEnds) {
      const std::vector<engine_output> outputs =
        Advance(engine, *engine.mStepEnds);
      all.insert(all.end(), outputs.begin(), outputs.end());
      ++steps;
    }
    // Three chunks of 1024; the last of them writes the first token.
    CPPUNIT_ASSERT_EQUAL(6, steps);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), all.size());
    CPPUNIT_ASSERT(all.back().mLast);
    CPPUNIT_ASSERT_EQUAL(tokens(0), engine.mUsed);
  }

  void EngineKeepsItsMemoryBound()
  {
    engine_model engine = MakeEngine({});
    engine_job job;
    job.mReserveTokens = 150000;
    job.mPromptTokens = 1000;
    job.mOutputTokens = 10;
    for (const char* const id : { "a", "b", "c", "d" }) {
      job.mId = id;
      Submit(engine, job, kStart);
    }
    while (engine.mStepEnds) {
      CPPUNIT_ASSERT(engine.mUsed <= engine.mShape.mCapacity);
      Advance(engine, *engine.mStepEnds);
    }
    CPPUNIT_ASSERT(engine.mJobs.empty());
    job.mId = "too large";
    job.mReserveTokens = engine.mShape.mCapacity + 1;
    CPPUNIT_ASSERT(!Submit(engine, job, kStart));
  }

  void SameSeedSameRun()
  {
    const simulation_settings small{ .mEngines = 6 };
    CPPUNIT_ASSERT(RunSmall(small, 0.8, Own()) == RunSmall(small, 0.8, Own()));
  }

  /// Symptom: engines lose memory for good.
  /// Sequence: engines die in mid-load, probes are lost, prompts over several
  /// engines fail half-way, requests run into their time limits.
  /// Cause: a reservation that is freed on one way out and not on another.
  void NothingLeaksWhateverHappens()
  {
    for (const double load : { 0.5, 1.5 }) {
      simulation_settings rough{ .mEngines = 6 };
      rough.mEngineCrashes = 3;
      rough.mProbeLossRate = 0.5;
      const simulation_result result = RunSmall(rough, load, Own());
      CPPUNIT_ASSERT_EQUAL(tokens(0), result.mLeakedTokens);
      CPPUNIT_ASSERT(CountOf(result, request_outcome::Complete) > 0);
    }
  }

  void AllCompleteAtHalfLoad()
  {
    const simulation_result result =
      RunSmall(simulation_settings{ .mEngines = 10 }, 0.5, Own());
    CPPUNIT_ASSERT_EQUAL(result.mRequests.size(),
                         CountOf(result, request_outcome::Complete));
  }

  /// Symptom: the longest prompts never run while the fleet is full.
  /// Sequence: a third more arrives than the fleet can do.
  /// Cause: short work that always fits first.
  void LongPromptsAreServedUnderOverload()
  {
    const traffic_mix mix = Mix();
    const simulation_settings small{ .mEngines = 6 };
    const double rate =
      1.3 * NominalCapacity(mix, small.mEngine, small.mEngines);
    const std::vector<arrival> arrivals =
      DrawArrivals(mix, rate, std::chrono::seconds(120), 32768, 3);
    const simulation_result result =
      RunSimulation(small, Own(), mix, arrivals, 3);
    std::size_t longOnes = 0;
    std::size_t served = 0;
    for (const request_record& record : result.mRequests) {
      const bool isLong = arrivals[record.mArrival].mShape.mLong;
      longOnes += isLong ? 1 : 0;
      served += isLong && record.mEnd == request_outcome::Complete ? 1 : 0;
    }
    CPPUNIT_ASSERT(longOnes > 0);
    CPPUNIT_ASSERT(2 * served > longOnes);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(world_test, "world");
