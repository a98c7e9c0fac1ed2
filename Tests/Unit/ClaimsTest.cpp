/// At-most-once execution of guarded calls against a store that loses answers,
/// delays writes or is unavailable, with agents that restart: single cases and
/// a stateful property test whose oracle counts executions.

#include "LibDecision/LibDecision.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace primrose;

namespace {

/// A minimal model of the platform's table.
struct table
{
  std::map<std::string, claim_row> mRows;

  std::vector<std::string> Write(const std::vector<claim_write>& aWrites)
  {
    std::vector<std::string> conflicts;
    for (const claim_write& write : aWrites) {
      const auto row = mRows.find(write.mKey);
      const bool holds = write.mReplacesAttempt.empty()
                           ? row == mRows.end()
                           : row != mRows.end() &&
                               row->second.mAttempt == write.mReplacesAttempt;
      if (!holds) {
        conflicts.push_back(write.mKey);
      }
    }
    if (conflicts.empty()) {
      for (const claim_write& write : aWrites) {
        mRows.insert_or_assign(write.mKey, write.mRow);
      }
    }
    return conflicts;
  }
};

time_point
At(int aMilliseconds)
{
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(aMilliseconds);
}

void
Queue(claim_registry& aRegistry,
      const std::string& aKey,
      const std::string& aAttempt)
{
  QueueClaim(aRegistry, aKey, aAttempt, 7, At(1000000), At(0), wall_time{});
}

constexpr int kKeys = 3;
constexpr int kAgents = 2;

/// The system under the property test: agents, the table and delayed
/// transactions.
struct system_under_test
{
  claim_registry mAgents[kAgents];
  table mTable;
  /// Not yet applied to the table.
  std::vector<std::vector<claim_write>> mDelayed;
  std::map<std::string, int> mExecutions; ///< By key.
  /// Attempts whose caller was informed that they did not run.
  std::set<std::string> mReportedNotRun;
  std::set<std::string> mExecuted; ///< Attempts that ran.
  random_engine mRandom{ 1 };
  int mTime = 0;
  int mNext = 0;
  std::map<std::string, std::string> mKeyOf;
};

struct model
{
  bool operator==(const model&) const = default;
};

using command = rc::state::Command<model, system_under_test>;

struct queue_claim : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  int mKey = *rc::gen::inRange(0, kKeys);

  void run(const model&, system_under_test& aSystem) const override
  {
    const std::string key = "k" + std::to_string(mKey);
    const std::string attempt = "a" + std::to_string(aSystem.mNext++);
    aSystem.mKeyOf[attempt] = key;
    Queue(aSystem.mAgents[mAgent], key, attempt);
  }
};

/// The agent sends its next transaction; the outcome is chosen at random.
struct write_store : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  int mOutcome = *rc::gen::inRange(0, 4);

  void run(const model&, system_under_test& aSystem) const override
  {
    aSystem.mTime += 10000;
    claim_registry& registry = aSystem.mAgents[mAgent];
    const std::vector<claim_write> writes =
      TakeWrites(registry, At(aSystem.mTime));
    if (writes.empty()) {
      return;
    }
    const time_point now = At(aSystem.mTime);
    if (mOutcome == 0) { // Lost before it reached the table.
      RecordWriteOutcome(
        registry, write_outcome::Lost, {}, now, aSystem.mRandom);
    } else if (mOutcome == 1) { // Took effect; the answer was lost.
      aSystem.mTable.Write(writes);
      RecordWriteOutcome(
        registry, write_outcome::Lost, {}, now, aSystem.mRandom);
    } else if (mOutcome == 2) { // Reaches the table later.
      aSystem.mDelayed.push_back(writes);
      RecordWriteOutcome(
        registry, write_outcome::Lost, {}, now, aSystem.mRandom);
    } else {
      const std::vector<std::string> conflicts = aSystem.mTable.Write(writes);
      RecordWriteOutcome(registry,
                         conflicts.empty() ? write_outcome::Committed
                                           : write_outcome::Conflict,
                         conflicts,
                         now,
                         aSystem.mRandom);
    }
  }
};

struct delayed_write_arrives : command
{
  void run(const model&, system_under_test& aSystem) const override
  {
    if (!aSystem.mDelayed.empty()) {
      aSystem.mTable.Write(aSystem.mDelayed.front());
      aSystem.mDelayed.erase(aSystem.mDelayed.begin());
    }
  }
};

struct read_store : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  bool mFails = *rc::gen::arbitrary<bool>();

  void run(const model&, system_under_test& aSystem) const override
  {
    aSystem.mTime += 10000;
    claim_registry& registry = aSystem.mAgents[mAgent];
    const std::vector<std::string> keys =
      TakeReads(registry, At(aSystem.mTime));
    if (keys.empty()) {
      return;
    }
    std::optional<std::map<std::string, claim_row>> rows;
    if (!mFails) {
      rows = aSystem.mTable.mRows;
    }
    RecordReadBack(registry, rows, At(aSystem.mTime), aSystem.mRandom);
  }
};

/// The agent runs every claim that it holds. The calls either end or are cut
/// off without an outcome.
struct run_held : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  bool mEnds = *rc::gen::arbitrary<bool>();

  void run(const model&, system_under_test& aSystem) const override
  {
    claim_registry& registry = aSystem.mAgents[mAgent];
    std::vector<std::string> attempts;
    for (const auto& [attempt, claim] : registry.mClaims) {
      attempts.push_back(attempt);
    }
    for (const std::string& attempt : attempts) {
      if (!BeginExecution(registry, attempt, At(0))) {
        continue;
      }
      const int count = ++aSystem.mExecutions[aSystem.mKeyOf[attempt]];
      aSystem.mExecuted.insert(attempt);
      RC_ASSERT(count == 1);
      RC_ASSERT(!aSystem.mReportedNotRun.contains(attempt));
      if (mEnds) {
        RecordExecution(registry, attempt, {}, At(0));
      } else {
        DropClaim(registry, attempt);
      }
    }
  }
};

struct abandon_claim : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  int mWhich = *rc::gen::inRange(0, 8);

  void run(const model&, system_under_test& aSystem) const override
  {
    claim_registry& registry = aSystem.mAgents[mAgent];
    if (registry.mClaims.empty()) {
      return;
    }
    const auto chosen =
      std::next(registry.mClaims.begin(),
                mWhich % static_cast<int>(registry.mClaims.size()));
    const std::string attempt = chosen->first;
    if (GiveUp(registry, attempt, At(aSystem.mTime))) {
      RC_ASSERT(!aSystem.mExecuted.contains(attempt));
      aSystem.mReportedNotRun.insert(attempt);
    }
  }
};

struct restart_agent : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);

  void run(const model&, system_under_test& aSystem) const override
  {
    aSystem.mAgents[mAgent] = claim_registry();
  }
};

} // namespace

class claims_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(claims_test);
  CPPUNIT_TEST(LostAnswerIsReadBack);
  CPPUNIT_TEST(SecondAgentFindsKeyTaken);
  CPPUNIT_TEST(ClaimPastDeadlineDoesNotRun);
  CPPUNIT_TEST(AbandonedClaimIsReplaced);
  CPPUNIT_TEST(RepeatFindsOutcomeThatIsNotWrittenYet);
  CPPUNIT_TEST(WritesAreBatchedOverTime);
  CPPUNIT_TEST(NoKeyRunsTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against treating a lost answer of the store as success or failure:
  /// the transaction took effect but its answer was lost, and the call is
  /// refused although its key is claimed, or runs without a claim.
  void LostAnswerIsReadBack()
  {
    random_engine random(1);
    claim_registry registry;
    table store;
    Queue(registry, "k", "a1");
    store.Write(TakeWrites(registry, At(0)));
    RecordWriteOutcome(registry, write_outcome::Lost, {}, At(0), random);
    CPPUNIT_ASSERT(!BeginExecution(registry, "a1", At(0)));
    const std::vector<std::string> keys = TakeReads(registry, At(60000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keys.size());
    RecordReadBack(registry, store.mRows, At(60000), random);
    CPPUNIT_ASSERT(BeginExecution(registry, "a1", At(60000)));
    CPPUNIT_ASSERT(!BeginExecution(registry, "a1", At(60000)));
  }

  void SecondAgentFindsKeyTaken()
  {
    random_engine random(1);
    claim_registry first;
    claim_registry second;
    table store;
    Queue(first, "k", "a1");
    store.Write(TakeWrites(first, At(0)));
    RecordWriteOutcome(first, write_outcome::Committed, {}, At(0), random);
    Queue(second, "k", "b1");
    const std::vector<std::string> conflicts =
      store.Write(TakeWrites(second, At(0)));
    RecordWriteOutcome(
      second, write_outcome::Conflict, conflicts, At(0), random);
    TakeReads(second, At(0));
    RecordReadBack(second, store.mRows, At(0), random);
    CPPUNIT_ASSERT(FindClaim(second, "b1")->mStage == claim_stage::Taken);
    CPPUNIT_ASSERT(!BeginExecution(second, "b1", At(0)));
    CPPUNIT_ASSERT(BeginExecution(first, "a1", At(0)));
  }

  /// Guards against running a call after its caller was informed that it did
  /// not run: the agent holds the claim but is paused beyond the deadline.
  void ClaimPastDeadlineDoesNotRun()
  {
    random_engine random(1);
    claim_registry registry;
    table store;
    Queue(registry, "k", "a1");
    store.Write(TakeWrites(registry, At(0)));
    RecordWriteOutcome(registry, write_outcome::Committed, {}, At(0), random);
    CPPUNIT_ASSERT(!BeginExecution(registry, "a1", At(2000000)));
  }

  /// Guards against answering "outcome unknown" for a key that never ran: the
  /// claim's write is slow, the call is abandoned, the write takes effect, and
  /// the caller repeats the call. The agent must recognise the row of its
  /// abandoned attempt.
  void AbandonedClaimIsReplaced()
  {
    random_engine random(1);
    claim_registry registry;
    table store;
    Queue(registry, "k", "a1");
    const std::vector<claim_write> slow = TakeWrites(registry, At(0));
    CPPUNIT_ASSERT(GiveUp(registry, "a1", At(10)));
    RecordWriteOutcome(registry, write_outcome::Lost, {}, At(10), random);
    store.Write(slow);
    Queue(registry, "k", "a2");
    const std::vector<std::string> conflicts =
      store.Write(TakeWrites(registry, At(5000)));
    RecordWriteOutcome(
      registry, write_outcome::Conflict, conflicts, At(5000), random);
    TakeReads(registry, At(5000));
    RecordReadBack(registry, store.mRows, At(5000), random);
    store.Write(TakeWrites(registry, At(10000)));
    RecordWriteOutcome(
      registry, write_outcome::Committed, {}, At(10000), random);
    CPPUNIT_ASSERT(BeginExecution(registry, "a2", At(10000)));
    CPPUNIT_ASSERT(!BeginExecution(registry, "a1", At(10000)));
  }

  /// Guards against answering that the first call may still be running when its
  /// outcome is known here: it ended after the row was read for a repeat.
  void RepeatFindsOutcomeThatIsNotWrittenYet()
  {
    random_engine random(1);
    claim_registry registry;
    table store;
    Queue(registry, "k", "a1");
    store.Write(TakeWrites(registry, At(0)));
    RecordWriteOutcome(registry, write_outcome::Committed, {}, At(0), random);
    CPPUNIT_ASSERT(BeginExecution(registry, "a1", At(0)));
    Queue(registry, "k", "a2");
    const std::vector<std::string> conflicts =
      store.Write(TakeWrites(registry, At(3000)));
    RecordWriteOutcome(
      registry, write_outcome::Conflict, conflicts, At(3000), random);
    TakeReads(registry, At(3000));
    RecordReadBack(registry, store.mRows, At(3000), random);
    RecordExecution(registry, "a1", {}, At(3001));
    const claim_row read = *FindClaim(registry, "a2")->mRow;
    CPPUNIT_ASSERT(!read.mDone);
    CPPUNIT_ASSERT(FindClaim(registry, read.mAttempt) == nullptr);
    CPPUNIT_ASSERT(WasExecutedRecently(registry, read.mAttempt, At(3002)));
    // Also after the outcome is written, since the row was read before that.
    store.Write(TakeWrites(registry, At(6000)));
    RecordWriteOutcome(
      registry, write_outcome::Committed, {}, At(6000), random);
    CPPUNIT_ASSERT(WasExecutedRecently(registry, read.mAttempt, At(6001)));
    CPPUNIT_ASSERT(!WasExecutedRecently(registry, read.mAttempt, At(20000)));
    CPPUNIT_ASSERT(!WasExecutedRecently(registry, "a2", At(6001)));
  }

  void WritesAreBatchedOverTime()
  {
    random_engine random(1);
    claim_registry registry;
    int writes = 0;
    for (int i = 0; i < 1000; ++i) {
      Queue(registry, "k" + std::to_string(i), "a" + std::to_string(i));
      const time_point now = At(0) + std::chrono::microseconds(100) * i;
      if (!TakeWrites(registry, now).empty()) {
        ++writes;
        RecordWriteOutcome(registry, write_outcome::Committed, {}, now, random);
      }
    }
    // A thousand calls in a tenth of a second, at most one write in 20 ms.
    CPPUNIT_ASSERT(writes <= 6);
  }

  /// Whichever answers are lost, writes delayed, agents paused or restarted and
  /// claims abandoned: no key runs twice, and nothing runs whose caller was
  /// informed that it did not.
  void NoKeyRunsTwice()
  {
    const bool held = rc::check("claims", []() {
      system_under_test system;
      rc::state::check(model(),
                       system,
                       rc::state::gen::execOneOfWithArgs<queue_claim,
                                                         write_store,
                                                         delayed_write_arrives,
                                                         read_store,
                                                         run_held,
                                                         abandon_claim,
                                                         restart_agent>());
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(claims_test, "claims");
