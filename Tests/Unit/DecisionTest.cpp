#include "LibDecision/LibDecision.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace primrose;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

listed_endpoint
Listed(const std::string& aName, bool aLeaving = false)
{
  return { aName, "127.0.0.1:1", "m", "r", "d", vm_kind::Engine, aLeaving };
}

std::vector<std::string>
Names(std::size_t aCount)
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aCount; ++i) {
    names.push_back("engine-" + std::to_string(i));
  }
  return names;
}

candidate
Answered(std::size_t aIndex, double aFirstToken, tokens aLong = 0)
{
  candidate one;
  one.mIndex = aIndex;
  one.mAnswer.mFirstTokenSeconds = aFirstToken;
  one.mAnswer.mLong = aLong;
  return one;
}

} // namespace

class decision_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(decision_test);
  CPPUNIT_TEST(ReportedLeavingOverridesLaggingList);
  CPPUNIT_TEST(OneFailureIsTolerated);
  CPPUNIT_TEST(AllAvoidedEndpointsRemainUsable);
  CPPUNIT_TEST(OnlyTheNextChunkIsDelivered);
  CPPUNIT_TEST(NoChunkIsDeliveredTwice);
  CPPUNIT_TEST(RetriesAreBounded);
  CPPUNIT_TEST(TokenBucketKeepsItsRate);
  CPPUNIT_TEST(SharesAddUpToTheLimit);
  CPPUNIT_TEST(GroupsHoldTheWholePrompt);
  CPPUNIT_TEST(ProbesAreDistinctAndInRange);
  CPPUNIT_TEST(RefusedCandidatesAreNotRanked);
  CPPUNIT_TEST(LongPoolFollowsWaitingTimes);
  CPPUNIT_TEST(DecisionLogKeepsTheLatest);
  CPPUNIT_TEST(CacheStaysWithinItsMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Symptom: an endpoint that refuses as leaving gets new work again.
  /// Sequence: the agent says it leaves; the platform's list, which lags,
  /// still calls it live.
  /// Cause: taking the list for newer than the agent's own word.
  void ReportedLeavingOverridesLaggingList()
  {
    endpoint_directory directory;
    ApplyList(directory, { Listed("a"), Listed("b") }, kStart);
    MarkLeaving(directory, "a");
    ApplyList(directory, { Listed("a"), Listed("b") }, kStart);
    const std::vector<const endpoint_view*> usable =
      Usable(directory, "m", kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), usable[0]->mListed.mName);
  }

  void OneFailureIsTolerated()
  {
    random_engine random(1);
    endpoint_directory directory;
    ApplyList(directory, { Listed("a"), Listed("b") }, kStart);
    RecordFailure(directory, "a", kStart, random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Usable(directory, "m", kStart).size());
    RecordFailure(directory, "a", kStart, random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Usable(directory, "m", kStart).size());
    const time_point later = kStart + std::chrono::seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Usable(directory, "m", later).size());
  }

  /// Symptom: an entry refuses everything though the fleet is well.
  /// Sequence: the entry's own network fails for a moment.
  /// Cause: believing that every endpoint is down.
  void AllAvoidedEndpointsRemainUsable()
  {
    random_engine random(1);
    endpoint_directory directory;
    ApplyList(directory, { Listed("a") }, kStart);
    RecordFailure(directory, "a", kStart, random);
    RecordFailure(directory, "a", kStart, random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Usable(directory, "m", kStart).size());
  }

  void OnlyTheNextChunkIsDelivered()
  {
    stream_cursor cursor{ "a2", 0 };
    CPPUNIT_ASSERT(AcceptChunk(cursor, "a1", 0) == chunk_verdict::Stale);
    CPPUNIT_ASSERT(AcceptChunk(cursor, "a2", 0) == chunk_verdict::Deliver);
    CPPUNIT_ASSERT(AcceptChunk(cursor, "a2", 0) == chunk_verdict::Stale);
    CPPUNIT_ASSERT(AcceptChunk(cursor, "a2", 2) == chunk_verdict::Gap);
    CPPUNIT_ASSERT(!IsCompleteAnswer(cursor, "a2", 3));
    CPPUNIT_ASSERT(IsCompleteAnswer(cursor, "a2", 1));
  }

  void NoChunkIsDeliveredTwice()
  {
    const bool held = rc::check("stream", []() {
      stream_cursor cursor{ "a1", 0 };
      std::uint64_t expected = 0;
      const std::vector<std::pair<bool, std::uint8_t>> chunks =
        *rc::gen::arbitrary<std::vector<std::pair<bool, std::uint8_t>>>();
      for (const auto& [own, number] : chunks) {
        const std::uint64_t sequence = number % 8;
        const chunk_verdict verdict =
          AcceptChunk(cursor, own ? "a1" : "a0", sequence);
        if (verdict == chunk_verdict::Deliver) {
          RC_ASSERT(own);
          RC_ASSERT(sequence == expected);
          ++expected;
        }
      }
    });
    CPPUNIT_ASSERT(held);
  }

  /// Symptom: a fleet that fails gets many times its load in retries.
  /// Sequence: all endpoints fail; every request is tried again.
  /// Cause: retries that nothing bounds.
  void RetriesAreBounded()
  {
    retry_budget budget;
    int retries = 0;
    constexpr int kRequests = 10000;
    for (int i = 0; i < kRequests; ++i) {
      EarnRetry(budget, 0.2);
      for (int attempt = 0; attempt < 3 && SpendRetry(budget); ++attempt) {
        ++retries;
      }
    }
    CPPUNIT_ASSERT(retries <= kRequests / 5 + 1);
    random_engine random(1);
    for (unsigned attempt = 0; attempt < 100; ++attempt) {
      const duration pause =
        RetryBackoff(attempt, std::chrono::milliseconds(50), random);
      CPPUNIT_ASSERT(pause >= duration(0));
      CPPUNIT_ASSERT(pause <= std::chrono::seconds(10));
    }
  }

  void TokenBucketKeepsItsRate()
  {
    token_bucket bucket;
    double taken = 0;
    for (int i = 0; i < 10000; ++i) {
      const time_point now = kStart + std::chrono::milliseconds(10) * i;
      taken += TakeTokens(bucket, 50, 1000, now) ? 0 : 50;
    }
    // 100 s at 1000 a second, the burst of two seconds, one request of debt.
    CPPUNIT_ASSERT(taken >= 100000);
    CPPUNIT_ASSERT(taken <= 100000 + 2000 + 50);
  }

  void SharesAddUpToTheLimit()
  {
    const bool held = rc::check("shares", []() {
      const std::vector<std::uint16_t> demands =
        *rc::gen::nonEmpty(rc::gen::arbitrary<std::vector<std::uint16_t>>());
      double all = 0;
      for (const std::uint16_t demand : demands) {
        all += demand;
      }
      double shares = 0;
      for (const std::uint16_t demand : demands) {
        shares += ShareOfLimit(demand, all - demand, demands.size());
      }
      RC_ASSERT(shares > 0.999);
      RC_ASSERT(shares < 1.001);
    });
    CPPUNIT_ASSERT(held);
  }

  void GroupsHoldTheWholePrompt()
  {
    const bool held = rc::check("groups", []() {
      request_shape shape;
      shape.mPromptTokens = *rc::gen::inRange<tokens>(1, 2000000);
      shape.mMaxTokens = *rc::gen::inRange<tokens>(1, 2000);
      shape.mLong = shape.mPromptTokens >= 32768;
      const tokens capacity = 400000;
      const std::size_t size = GroupSize(shape, placement_rules{}, capacity);
      const request_shape lead = MemberShape(shape, size, hold_role::Lead);
      RC_ASSERT(lead.MemoryTokens() <= capacity);
      RC_ASSERT(lead.mPromptTokens * size >= shape.mPromptTokens);
    });
    CPPUNIT_ASSERT(held);
  }

  void ProbesAreDistinctAndInRange()
  {
    const bool held = rc::check("probes", []() {
      const std::size_t count = *rc::gen::inRange<std::size_t>(0, 30);
      request_shape shape;
      shape.mPromptTokens = *rc::gen::inRange<tokens>(1, 500000);
      shape.mLong = shape.mPromptTokens >= 32768;
      shape.mPrefixHashes = { *rc::gen::arbitrary<std::uint64_t>() };
      placement_rules rules;
      rules.mLongPoolSlack = *rc::gen::element(0.0, 0.25);
      placement_state memory;
      memory.mLongPoolSize = *rc::gen::inRange(0, 40);
      random_engine random(*rc::gen::arbitrary<std::uint64_t>());
      const std::vector<std::size_t> asked =
        ChooseProbeTargets(Names(count), shape, rules, memory, 1, random);
      const std::set<std::size_t> distinct(asked.begin(), asked.end());
      RC_ASSERT(distinct.size() == asked.size());
      RC_ASSERT(asked.empty() == (count == 0));
      const bool inRange =
        std::all_of(asked.begin(), asked.end(), [&](std::size_t aOne) {
          return aOne < count;
        });
      RC_ASSERT(inRange);
    });
    CPPUNIT_ASSERT(held);
  }

  void RefusedCandidatesAreNotRanked()
  {
    candidate leaving = Answered(0, 0.001);
    leaving.mAnswer.mRefusal = refusal::Leaving;
    const std::vector<scored_candidate> ranked =
      RankCandidates({ leaving, Answered(1, 3), Answered(2, 1) },
                     request_shape{},
                     placement_rules{},
                     engine_shape{},
                     false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), ranked.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), ranked[0].mIndex);
  }

  void LongPoolFollowsWaitingTimes()
  {
    placement_state memory;
    placement_rules rules;
    rules.mLongPoolSlack = 0.25;
    request_shape shape;
    shape.mPromptTokens = 100000;
    shape.mLong = true;
    const auto learn = [&](double aWait) {
      for (int i = 0; i < 50; ++i) {
        UpdateLongPoolSize(memory,
                           { Answered(0, aWait), Answered(1, aWait) },
                           shape,
                           rules,
                           engine_shape{},
                           1,
                           20);
      }
    };
    learn(1000);
    CPPUNIT_ASSERT_EQUAL(20.0, memory.mLongPoolSize);
    CPPUNIT_ASSERT(!PacksLongPrompts(rules, memory, 20));
    learn(0);
    CPPUNIT_ASSERT(memory.mLongPoolSize < 20);
  }

  void DecisionLogKeepsTheLatest()
  {
    decision_log log(2);
    for (const char* const request : { "r1", "r2", "r3" }) {
      log.Add(request, {});
    }
    CPPUNIT_ASSERT(log.Find("r1") == nullptr);
    CPPUNIT_ASSERT(log.Find("r3") != nullptr);
    for (int i = 0; i < 100; ++i) {
      log.Add("r3", { decision_kind::Delay, {}, 0, std::to_string(i), {}, {} });
    }
    CPPUNIT_ASSERT_EQUAL(decision_log::kMaxRecordsPerRequest,
                         log.Find("r3")->size());
    CPPUNIT_ASSERT_EQUAL(std::string("99"), log.Find("r3")->back().mText);
  }

  void CacheStaysWithinItsMemory()
  {
    prefix_cache cache(4096);
    cache.Insert({ 1, 2, 3 });
    CPPUNIT_ASSERT_EQUAL(tokens(4096), cache.Held({ 1, 2, 3 }));
    CPPUNIT_ASSERT_EQUAL(tokens(1024), cache.Held({ 1, 9 }));
    cache.Insert({ 7 });
    CPPUNIT_ASSERT(cache.Used() <= 4096);
    CPPUNIT_ASSERT_EQUAL(tokens(2048), cache.Held({ 1, 2, 3 }));
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(decision_test, "decision");
