#include "LibDecision/LibDecision.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

agent_state
Board(agent_limits aLimits = {})
{
  engine_shape shape;
  shape.mCapacity = 400000;
  return MakeAgentState("m", shape, aLimits, time_point{});
}

reservation
Asked(const std::string& aAttempt,
      tokens aPrompt,
      const std::string& aWho = "o")
{
  reservation asked;
  asked.mRequest = "r";
  asked.mAttempt = aAttempt;
  asked.mShape.mModel = "m";
  asked.mShape.mOrganisation = aWho;
  asked.mShape.mPromptTokens = aPrompt;
  asked.mShape.mMaxTokens = 100;
  asked.mShape.mLong = aPrompt >= 32768;
  asked.mDeadline = kStart + std::chrono::hours(1);
  asked.mWaitUntil = kStart + std::chrono::minutes(10);
  asked.mLease = std::chrono::seconds(10);
  return asked;
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
    agent_state board = Board();
    CPPUNIT_ASSERT(Reserve(board, Asked("a", 1000), kStart) == refusal::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Dispatch(board, kStart).size());
    CPPUNIT_ASSERT_EQUAL(tokens(1100), board.mUsed);
    Release(board, "a", kStart);
    Release(board, "a", kStart);
    CPPUNIT_ASSERT_EQUAL(tokens(0), board.mUsed);
  }

  /// Symptom: an engine's memory stays reserved for an entry that died.
  /// Sequence: a reservation is granted, its entry dies, nobody releases it.
  /// Cause: a reservation without an end of its own.
  void ExpiredLeaseFreesMemoryAndBlocksStart()
  {
    agent_state board = Board();
    Reserve(board, Asked("a", 1000), kStart);
    Dispatch(board, kStart);
    const time_point after = kStart + std::chrono::seconds(11);
    const std::vector<expired_reservation> expired = Expire(board, after);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
    CPPUNIT_ASSERT(expired[0].mCause == expiry_cause::LeaseExpired);
    CPPUNIT_ASSERT_EQUAL(tokens(0), board.mUsed);
    CPPUNIT_ASSERT(!StartPrefill(board, "a", after));
  }

  /// Symptom: a prompt runs although its reservation had lapsed.
  /// Sequence: granted; the process is paused past the lease; it resumes with
  /// the start before any timer has run.
  /// Cause: trusting the state from before the pause.
  void ExpiredLeaseBlocksStartAfterPause()
  {
    agent_state board = Board();
    Reserve(board, Asked("a", 1000), kStart);
    Dispatch(board, kStart);
    const time_point resumed = kStart + std::chrono::minutes(1);
    CPPUNIT_ASSERT(!StartPrefill(board, "a", resumed));
    CPPUNIT_ASSERT(!Renew(board, "a", resumed));
  }

  /// Symptom: the first token of short prompts takes seconds.
  /// Sequence: long prompts fill an engine's memory; a short one comes.
  /// Cause: memory given to whoever comes first.
  void LongPromptsLeaveMemoryForShort()
  {
    agent_state board = Board();
    for (int i = 0; i < 8; ++i) {
      Reserve(board, Asked("long" + std::to_string(i), 60000), kStart);
    }
    Dispatch(board, kStart);
    CPPUNIT_ASSERT(board.mUsed <= 360000);
    Reserve(board, Asked("short", 8000), kStart);
    const std::vector<std::string> granted = Dispatch(board, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), granted.size());
    CPPUNIT_ASSERT_EQUAL(std::string("short"), granted[0]);
  }

  /// Symptom: a review waits for ever while short work flows past it.
  /// Sequence: short work fills the memory; a long prompt waits; each short
  /// one that ends is followed by another.
  /// Cause: freed memory always given to the one that fits.
  void ShortRequestsDoNotStarveLongPrompt()
  {
    agent_limits limits;
    limits.mEngineQueueSeconds = 1e9;
    agent_state board = Board(limits);
    int next = 0;
    const auto addShort = [&]() {
      Reserve(board, Asked("s" + std::to_string(next++), 9900), kStart);
    };
    for (int i = 0; i < 40; ++i) {
      addShort();
    }
    std::vector<std::string> running = Dispatch(board, kStart);
    reservation large = Asked("large", 300000);
    Reserve(board, large, kStart);
    bool granted = false;
    for (int round = 0; round < 60 && !granted; ++round) {
      addShort();
      Release(board, running.front(), kStart);
      running.erase(running.begin());
      for (const std::string& one : Dispatch(board, kStart)) {
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
    agent_state board = Board(limits);
    for (int i = 0; i < 60; ++i) {
      Reserve(board, Asked("g" + std::to_string(i), 1000, "greedy"), kStart);
    }
    for (int i = 0; i < 20; ++i) {
      Reserve(board, Asked("m" + std::to_string(i), 1000, "modest"), kStart);
    }
    int modest = 0;
    for (int i = 0; i < 40; ++i) {
      const std::vector<std::string> granted = Dispatch(board, kStart);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), granted.size());
      modest += granted[0][0] == 'm' ? 1 : 0;
      Release(board, granted[0], kStart);
    }
    CPPUNIT_ASSERT_EQUAL(20, modest);
  }

  void WaitingRaisesPriority()
  {
    agent_limits limits;
    limits.mEngineQueueSeconds = 0;
    agent_state board = Board(limits);
    reservation patient = Asked("patient", 1000);
    patient.mShape.mPriority = 2;
    Reserve(board, patient, kStart);
    const time_point later = kStart + std::chrono::seconds(61);
    reservation urgent = Asked("urgent", 1000);
    urgent.mShape.mPriority = 0;
    Reserve(board, urgent, later);
    CPPUNIT_ASSERT_EQUAL(std::string("patient"),
                         Dispatch(board, later).front());
  }

  void DrainRefusesWaitingKeepsRunning()
  {
    agent_state board = Board();
    Reserve(board, Asked("runs", 300000), kStart);
    Dispatch(board, kStart);
    Reserve(board, Asked("waits", 300000), kStart);
    const std::vector<std::string> refused = StartDrain(board);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
    CPPUNIT_ASSERT(board.mWork.contains("runs"));
    CPPUNIT_ASSERT(StartPrefill(board, "runs", kStart));
    CPPUNIT_ASSERT(Reserve(board, Asked("new", 10), kStart) ==
                   refusal::Leaving);
  }

  void RefusesRequestThatWouldMissItsDeadline()
  {
    agent_state board = Board();
    reservation hurried = Asked("a", 200000);
    hurried.mDeadline = kStart + std::chrono::seconds(1);
    CPPUNIT_ASSERT(Reserve(board, hurried, kStart) == refusal::TooLate);
    CPPUNIT_ASSERT(board.mWork.empty());
  }

  void DuplicateAttemptIsRefused()
  {
    agent_state board = Board();
    Reserve(board, Asked("a", 10), kStart);
    CPPUNIT_ASSERT(Reserve(board, Asked("a", 10), kStart) ==
                   refusal::Duplicate);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(scheduler_test, "scheduler");
