/// Tests of the engine model and of the experiments' simulation.

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
PrimrosePolicy()
{
  bench_policy policy;
  policy.mName = "primrose";
  policy.mRules.mLongPoolSlack = 0.25;
  return policy;
}

simulation_result
RunWithLoad(const simulation_settings& aSettings,
            double aLoad,
            const bench_policy& aPolicy)
{
  const traffic_mix mix = Mix();
  const double rate =
    aLoad * NominalCapacity(mix, aSettings.mEngine, aSettings.mEngines);
  const std::vector<arrival> arrivals =
    DrawArrivals(mix, rate, std::chrono::seconds(120), 32768, 3);
  return RunSimulation(aSettings, aPolicy, mix, arrivals, 3);
}

std::size_t
CountOf(const simulation_result& aResult, request_outcome aOutcome)
{
  return static_cast<std::size_t>(std::count_if(
    aResult.mRequests.begin(),
    aResult.mRequests.end(),
    [&](const request_record& aOne) { return aOne.mOutcome == aOutcome; }));
}

} // namespace

class simulation_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(simulation_test);
  CPPUNIT_TEST(EnginePrefillsThenDecodes);
  CPPUNIT_TEST(EngineStaysWithinMemoryCapacity);
  CPPUNIT_TEST(SameSeedGivesSameResult);
  CPPUNIT_TEST(NoReservationLeaksUnderFaults);
  CPPUNIT_TEST(AllRequestsCompleteAtHalfLoad);
  CPPUNIT_TEST(LongPromptsAreServedUnderOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  void EnginePrefillsThenDecodes()
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
    // Three prefill steps of up to 1024 tokens each, of which the last one also
    // produces the first token, and three decode steps.
    CPPUNIT_ASSERT_EQUAL(6, steps);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), all.size());
    CPPUNIT_ASSERT(all.back().mLast);
    CPPUNIT_ASSERT_EQUAL(tokens(0), engine.mUsed);
  }

  void EngineStaysWithinMemoryCapacity()
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

  void SameSeedGivesSameResult()
  {
    const simulation_settings small{ .mEngines = 6 };
    CPPUNIT_ASSERT(RunWithLoad(small, 0.8, PrimrosePolicy()) ==
                   RunWithLoad(small, 0.8, PrimrosePolicy()));
  }

  /// Guards against engine memory that stays reserved for good because some
  /// path out of a request does not release its reservation. Engines crash
  /// under load, probes are lost, prompts split over several engines fail
  /// half-way, and requests reach their time limits.
  void NoReservationLeaksUnderFaults()
  {
    for (const double load : { 0.5, 1.5 }) {
      simulation_settings settings{ .mEngines = 6 };
      settings.mEngineCrashes = 3;
      settings.mProbeLossRate = 0.5;
      const simulation_result result =
        RunWithLoad(settings, load, PrimrosePolicy());
      CPPUNIT_ASSERT_EQUAL(tokens(0), result.mLeakedTokens);
      CPPUNIT_ASSERT(CountOf(result, request_outcome::Complete) > 0);
    }
  }

  void AllRequestsCompleteAtHalfLoad()
  {
    const simulation_result result =
      RunWithLoad(simulation_settings{ .mEngines = 10 }, 0.5, PrimrosePolicy());
    CPPUNIT_ASSERT_EQUAL(result.mRequests.size(),
                         CountOf(result, request_outcome::Complete));
  }

  /// Guards against starvation of long prompts. The offered load is 1.3 times
  /// the fleet's capacity, so short requests could always take the free memory
  /// first.
  void LongPromptsAreServedUnderOverload()
  {
    const traffic_mix mix = Mix();
    const simulation_settings small{ .mEngines = 6 };
    const double rate =
      1.3 * NominalCapacity(mix, small.mEngine, small.mEngines);
    const std::vector<arrival> arrivals =
      DrawArrivals(mix, rate, std::chrono::seconds(120), 32768, 3);
    const simulation_result result =
      RunSimulation(small, PrimrosePolicy(), mix, arrivals, 3);
    std::size_t longRequests = 0;
    std::size_t served = 0;
    for (const request_record& record : result.mRequests) {
      const bool isLong = arrivals[record.mArrival].mShape.mLong;
      longRequests += isLong ? 1 : 0;
      served += isLong && record.mOutcome == request_outcome::Complete ? 1 : 0;
    }
    CPPUNIT_ASSERT(longRequests > 0);
    CPPUNIT_ASSERT(2 * served > longRequests);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(simulation_test, "world");
