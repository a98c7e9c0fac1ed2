/// Guarded calls at most once, against a store that loses answers, delays
/// writes and is away, with agents that restart: chosen cases and a stateful
/// fuzz against an oracle that counts executions.

#include "LibDecision/LibDecision.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace primrose;

namespace {

/// The platform's table, as simple as can be.
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
Want(claim_registry& aBoard,
     const std::string& aKey,
     const std::string& aAttempt)
{
  QueueClaim(aBoard, aKey, aAttempt, 7, At(1000000), At(0), wall_time{});
}

constexpr int kKeys = 3;
constexpr int kAgents = 2;

/// The system under the fuzz: agents, the table, transactions on their way.
struct system_under_test
{
  claim_registry mAgents[kAgents];
  table mTable;
  std::vector<std::vector<claim_write>> mDelayed; ///< Will reach the table.
  std::map<std::string, int> mExecutions;         ///< By key.
  std::set<std::string> mNotRun;   ///< Attempts whose caller was told so.
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

struct ask : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  int mKey = *rc::gen::inRange(0, kKeys);

  void run(const model&, system_under_test& aSystem) const override
  {
    const std::string key = "k" + std::to_string(mKey);
    const std::string attempt = "a" + std::to_string(aSystem.mNext++);
    aSystem.mKeyOf[attempt] = key;
    Want(aSystem.mAgents[mAgent], key, attempt);
  }
};

/// The agent sends its next transaction; its fate is drawn.
struct write_store : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  int mFate = *rc::gen::inRange(0, 4);

  void run(const model&, system_under_test& aSystem) const override
  {
    aSystem.mTime += 10000;
    claim_registry& board = aSystem.mAgents[mAgent];
    const std::vector<claim_write> writes =
      TakeWrites(board, At(aSystem.mTime));
    if (writes.empty()) {
      return;
    }
    const time_point now = At(aSystem.mTime);
    if (mFate == 0) { // Lost on the way there.
      RecordWriteOutcome(board, write_outcome::Lost, {}, now, aSystem.mRandom);
    } else if (mFate == 1) { // Took effect; the answer was lost.
      aSystem.mTable.Write(writes);
      RecordWriteOutcome(board, write_outcome::Lost, {}, now, aSystem.mRandom);
    } else if (mFate == 2) { // Reaches the table later.
      aSystem.mDelayed.push_back(writes);
      RecordWriteOutcome(board, write_outcome::Lost, {}, now, aSystem.mRandom);
    } else {
      const std::vector<std::string> conflicts = aSystem.mTable.Write(writes);
      RecordWriteOutcome(board,
                         conflicts.empty() ? write_outcome::Committed
                                           : write_outcome::Conflict,
                         conflicts,
                         now,
                         aSystem.mRandom);
    }
  }
};

struct late_write_arrives : command
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
    claim_registry& board = aSystem.mAgents[mAgent];
    const std::vector<std::string> keys = TakeReads(board, At(aSystem.mTime));
    if (keys.empty()) {
      return;
    }
    std::optional<std::map<std::string, claim_row>> rows;
    if (!mFails) {
      rows = aSystem.mTable.mRows;
    }
    RecordReadBack(board, rows, At(aSystem.mTime), aSystem.mRandom);
  }
};

/// The agent runs whatever it holds; some of it ends, some is cut off.
struct run_held : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  bool mEnds = *rc::gen::arbitrary<bool>();

  void run(const model&, system_under_test& aSystem) const override
  {
    claim_registry& board = aSystem.mAgents[mAgent];
    std::vector<std::string> attempts;
    for (const auto& [attempt, claim] : board.mClaims) {
      attempts.push_back(attempt);
    }
    for (const std::string& attempt : attempts) {
      if (!BeginExecution(board, attempt, At(0))) {
        continue;
      }
      const int count = ++aSystem.mExecutions[aSystem.mKeyOf[attempt]];
      aSystem.mExecuted.insert(attempt);
      RC_ASSERT(count == 1);
      RC_ASSERT(!aSystem.mNotRun.contains(attempt));
      if (mEnds) {
        RecordExecution(board, attempt, {});
      } else {
        DropClaim(board, attempt);
      }
    }
  }
};

struct give_up : command
{
  int mAgent = *rc::gen::inRange(0, kAgents);
  int mWhich = *rc::gen::inRange(0, 8);

  void run(const model&, system_under_test& aSystem) const override
  {
    claim_registry& board = aSystem.mAgents[mAgent];
    if (board.mClaims.empty()) {
      return;
    }
    const auto chosen = std::next(
      board.mClaims.begin(), mWhich % static_cast<int>(board.mClaims.size()));
    const std::string attempt = chosen->first;
    if (GiveUp(board, attempt, At(aSystem.mTime))) {
      RC_ASSERT(!aSystem.mExecuted.contains(attempt));
      aSystem.mNotRun.insert(attempt);
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
  CPPUNIT_TEST(WritesAreBatchedOverTime);
  CPPUNIT_TEST(NoKeyRunsTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Symptom: a call is refused although its claim stood, or runs unclaimed.
  /// Sequence: the transaction takes effect, its answer is lost.
  /// Cause: taking a lost answer for a yes or a no.
  void LostAnswerIsReadBack()
  {
    random_engine random(1);
    claim_registry board;
    table store;
    Want(board, "k", "a1");
    store.Write(TakeWrites(board, At(0)));
    RecordWriteOutcome(board, write_outcome::Lost, {}, At(0), random);
    CPPUNIT_ASSERT(!BeginExecution(board, "a1", At(0)));
    const std::vector<std::string> keys = TakeReads(board, At(60000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keys.size());
    RecordReadBack(board, store.mRows, At(60000), random);
    CPPUNIT_ASSERT(BeginExecution(board, "a1", At(60000)));
    CPPUNIT_ASSERT(!BeginExecution(board, "a1", At(60000)));
  }

  void SecondAgentFindsKeyTaken()
  {
    random_engine random(1);
    claim_registry first;
    claim_registry second;
    table store;
    Want(first, "k", "a1");
    store.Write(TakeWrites(first, At(0)));
    RecordWriteOutcome(first, write_outcome::Committed, {}, At(0), random);
    Want(second, "k", "b1");
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

  /// Symptom: a call runs after its caller was told that it did not.
  /// Sequence: the claim is held; the agent is paused past the deadline.
  /// Cause: running on the belief from before the pause.
  void ClaimPastDeadlineDoesNotRun()
  {
    random_engine random(1);
    claim_registry board;
    table store;
    Want(board, "k", "a1");
    store.Write(TakeWrites(board, At(0)));
    RecordWriteOutcome(board, write_outcome::Committed, {}, At(0), random);
    CPPUNIT_ASSERT(!BeginExecution(board, "a1", At(2000000)));
  }

  /// Symptom: a key that never ran answers "outcome unknown" to its repeat.
  /// Sequence: the claim's write is slow, the call is given up, the write
  /// lands, the caller repeats.
  /// Cause: forgetting that the attempt in the row was given up here.
  void AbandonedClaimIsReplaced()
  {
    random_engine random(1);
    claim_registry board;
    table store;
    Want(board, "k", "a1");
    const std::vector<claim_write> slow = TakeWrites(board, At(0));
    CPPUNIT_ASSERT(GiveUp(board, "a1", At(10)));
    RecordWriteOutcome(board, write_outcome::Lost, {}, At(10), random);
    store.Write(slow);
    Want(board, "k", "a2");
    const std::vector<std::string> conflicts =
      store.Write(TakeWrites(board, At(5000)));
    RecordWriteOutcome(
      board, write_outcome::Conflict, conflicts, At(5000), random);
    TakeReads(board, At(5000));
    RecordReadBack(board, store.mRows, At(5000), random);
    store.Write(TakeWrites(board, At(10000)));
    RecordWriteOutcome(board, write_outcome::Committed, {}, At(10000), random);
    CPPUNIT_ASSERT(BeginExecution(board, "a2", At(10000)));
    CPPUNIT_ASSERT(!BeginExecution(board, "a1", At(10000)));
  }

  void WritesAreBatchedOverTime()
  {
    random_engine random(1);
    claim_registry board;
    int writes = 0;
    for (int i = 0; i < 1000; ++i) {
      Want(board, "k" + std::to_string(i), "a" + std::to_string(i));
      const time_point now = At(0) + std::chrono::microseconds(100) * i;
      if (!TakeWrites(board, now).empty()) {
        ++writes;
        RecordWriteOutcome(board, write_outcome::Committed, {}, now, random);
      }
    }
    // A thousand calls in a tenth of a second: at most one in 20 ms.
    CPPUNIT_ASSERT(writes <= 6);
  }

  /// Whatever is lost, delayed, paused, restarted or given up: no key runs
  /// twice, and nothing runs whose caller was told that it did not.
  void NoKeyRunsTwice()
  {
    const bool held = rc::check("claims", []() {
      system_under_test system;
      rc::state::check(model(),
                       system,
                       rc::state::gen::execOneOfWithArgs<ask,
                                                         write_store,
                                                         late_write_arrives,
                                                         read_store,
                                                         run_held,
                                                         give_up,
                                                         restart_agent>());
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(claims_test, "claims");
