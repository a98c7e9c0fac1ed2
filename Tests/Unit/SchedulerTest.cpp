#include "LibDecision/LibDecision.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

agent_state
MakeState(agent_limits aLimits = {})
{
  engine_shape shape;
  shape.mCapacity = 400000;
  return MakeAgentState("m", shape, aLimits, time_point{});
}

reservation
MakeReservation(const std::string& aAttempt,
                tokens aPrompt,
                const std::string& aOrganisation = "o")
{
  reservation reserved;
  reserved.mRequest = "r";
  reserved.mAttempt = aAttempt;
  reserved.mShape.mModel = "m";
  reserved.mShape.mOrganisation = aOrganisation;
  reserved.mShape.mPromptTokens = aPrompt;
  reserved.mShape.mMaxTokens = 100;
  reserved.mShape.mLong = aPrompt >= 32768;
  reserved.mDeadline = kStart + std::chrono::hours(1);
  reserved.mWaitUntil = kStart + std::chrono::minutes(10);
  reserved.mLease = std::chrono::seconds(10);
  return reserved;
}

} // namespace

class scheduler_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(scheduler_test);
  CPPUNIT_TEST(ReleaseFreesAllMemory);
  CPPUNIT_TEST(ExpiredLeaseFreesMemoryAndBlocksStart);
  CPPUNIT_TEST(ExpiredLeaseBlocksStartAfterPause);
  CPPUNIT_TEST(LongPromptsLeaveMemoryForShort);
  CPPUNIT_TEST(ShortRequestsDoNotStarveLongPrompt);
  CPPUNIT_TEST(GreedyOrganisationGetsOnlyItsFairShare);
  CPPUNIT_TEST(WaitingRaisesPriority);
  CPPUNIT_TEST(DrainRefusesWaitingKeepsRunning);
  CPPUNIT_TEST(RefusesRequestThatWouldMissItsDeadline);
  CPPUNIT_TEST(DuplicateAttemptIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReleaseFreesAllMemory()
  {
    agent_state state = MakeState();
    CPPUNIT_ASSERT(Reserve(state, MakeReservation("a", 1000), kStart) ==
                   refusal::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Dispatch(state, kStart).size());
    CPPUNIT_ASSERT_EQUAL(tokens(1100), state.mUsed);
    Release(state, "a", kStart);
    Release(state, "a", kStart);
    CPPUNIT_ASSERT_EQUAL(tokens(0), state.mUsed);
  }

  /// Guards against engine memory that stays reserved for an entry that died:
  /// the reservation is granted and nobody releases it. Its lease must free it.
  void ExpiredLeaseFreesMemoryAndBlocksStart()
  {
    agent_state state = MakeState();
    Reserve(state, MakeReservation("a", 1000), kStart);
    Dispatch(state, kStart);
    const time_point after = kStart + std::chrono::seconds(11);
    const std::vector<expired_reservation> expired = Expire(state, after);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
    CPPUNIT_ASSERT(expired[0].mCause == expiry_cause::LeaseExpired);
    CPPUNIT_ASSERT_EQUAL(tokens(0), state.mUsed);
    CPPUNIT_ASSERT(!StartPrefill(state, "a", after));
  }

  /// Guards against running a prompt whose lease has expired: after the grant
  /// the process is paused beyond the lease and then starts the prompt before
  /// any timer has run. The lease must be checked again at the start.
  void ExpiredLeaseBlocksStartAfterPause()
  {
    agent_state state = MakeState();
    Reserve(state, MakeReservation("a", 1000), kStart);
    Dispatch(state, kStart);
    const time_point resumed = kStart + std::chrono::minutes(1);
    CPPUNIT_ASSERT(!StartPrefill(state, "a", resumed));
    CPPUNIT_ASSERT(!Renew(state, "a", resumed));
  }

  /// Guards against long prompts that fill an engine's memory, so that the
  /// first token of a short prompt takes seconds. Part of the memory must be
  /// kept for short prompts.
  void LongPromptsLeaveMemoryForShort()
  {
    agent_state state = MakeState();
    for (int i = 0; i < 8; ++i) {
      Reserve(
        state, MakeReservation("long" + std::to_string(i), 60000), kStart);
    }
    Dispatch(state, kStart);
    CPPUNIT_ASSERT(state.mUsed <= 360000);
    Reserve(state, MakeReservation("short", 8000), kStart);
    const std::vector<std::string> granted = Dispatch(state, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), granted.size());
    CPPUNIT_ASSERT_EQUAL(std::string("short"), granted[0]);
  }

  /// Guards against the starvation of a long prompt: short requests fill the
  /// memory, and each one that ends is followed by another that takes the freed
  /// memory at once.
  void ShortRequestsDoNotStarveLongPrompt()
  {
    agent_limits limits;
    limits.mEngineQueueSeconds = 1e9;
    agent_state state = MakeState(limits);
    int next = 0;
    const auto addShort = [&]() {
      Reserve(
        state, MakeReservation("s" + std::to_string(next++), 9900), kStart);
    };
    for (int i = 0; i < 40; ++i) {
      addShort();
    }
    std::vector<std::string> running = Dispatch(state, kStart);
    reservation large = MakeReservation("large", 300000);
    Reserve(state, large, kStart);
    bool granted = false;
    for (int round = 0; round < 60 && !granted; ++round) {
      addShort();
      Release(state, running.front(), kStart);
      running.erase(running.begin());
      for (const std::string& one : Dispatch(state, kStart)) {
        granted = granted || one == "large";
        running.push_back(one);
      }
    }
    CPPUNIT_ASSERT(granted);
  }

  void GreedyOrganisationGetsOnlyItsFairShare()
  {
    agent_limits limits;
    limits.mEngineQueueSeconds = 0;
    agent_state state = MakeState(limits);
    for (int i = 0; i < 60; ++i) {
      Reserve(state,
              MakeReservation("g" + std::to_string(i), 1000, "greedy"),
              kStart);
    }
    for (int i = 0; i < 20; ++i) {
      Reserve(state,
              MakeReservation("m" + std::to_string(i), 1000, "modest"),
              kStart);
    }
    int modest = 0;
    for (int i = 0; i < 40; ++i) {
      const std::vector<std::string> granted = Dispatch(state, kStart);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), granted.size());
      modest += granted[0][0] == 'm' ? 1 : 0;
      Release(state, granted[0], kStart);
    }
    CPPUNIT_ASSERT_EQUAL(20, modest);
  }

  void WaitingRaisesPriority()
  {
    agent_limits limits;
    limits.mEngineQueueSeconds = 0;
    agent_state state = MakeState(limits);
    reservation patient = MakeReservation("patient", 1000);
    patient.mShape.mPriority = 2;
    Reserve(state, patient, kStart);
    const time_point later = kStart + std::chrono::seconds(61);
    reservation urgent = MakeReservation("urgent", 1000);
    urgent.mShape.mPriority = 0;
    Reserve(state, urgent, later);
    CPPUNIT_ASSERT_EQUAL(std::string("patient"),
                         Dispatch(state, later).front());
  }

  void DrainRefusesWaitingKeepsRunning()
  {
    agent_state state = MakeState();
    Reserve(state, MakeReservation("runs", 300000), kStart);
    Dispatch(state, kStart);
    Reserve(state, MakeReservation("waits", 300000), kStart);
    const std::vector<std::string> refused = StartDrain(state);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
    CPPUNIT_ASSERT(state.mWork.contains("runs"));
    CPPUNIT_ASSERT(StartPrefill(state, "runs", kStart));
    CPPUNIT_ASSERT(Reserve(state, MakeReservation("new", 10), kStart) ==
                   refusal::Leaving);
  }

  void RefusesRequestThatWouldMissItsDeadline()
  {
    agent_state state = MakeState();
    reservation hurried = MakeReservation("a", 200000);
    hurried.mDeadline = kStart + std::chrono::seconds(1);
    CPPUNIT_ASSERT(Reserve(state, hurried, kStart) == refusal::TooLate);
    CPPUNIT_ASSERT(state.mWork.empty());
  }

  void DuplicateAttemptIsRefused()
  {
    agent_state state = MakeState();
    Reserve(state, MakeReservation("a", 10), kStart);
    CPPUNIT_ASSERT(Reserve(state, MakeReservation("a", 10), kStart) ==
                   refusal::Duplicate);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(scheduler_test, "scheduler");
