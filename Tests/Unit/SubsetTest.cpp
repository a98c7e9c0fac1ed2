#include "RingFixture.h"
#include "SampleEngine.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr std::size_t kSlots = 10;

std::size_t
CountPreferring(const subset_ring& aRing,
                const std::vector<std::string>& aHosts,
                const std::string& aEngine)
{
  return HostsThatPrefer(aRing, aHosts, { EngineKey(aEngine) }).size();
}

engine_timing
Timing()
{
  engine_timing timing = SampleEngine();
  timing.mSlots = kSlots;
  timing.mStepsPerPass = 80;
  timing.mMeanAnswerTokens = 1900;
  return timing;
}

/// Entries that place short prompts and hear of one another with a delay.
class burst
{
public:
  burst(std::size_t aEntries, std::size_t aEngines)
    : mHosts(Hosts(aEntries))
    , mSubsetRing(Ring(mHosts, Engines(aEngines)))
  {
    for (const std::string& host : mHosts) {
      mEntries.push_back({ Engines(aEngines), {} });
      MarkPreferred(mEntries.back().mBoard, mSubsetRing, host);
    }
  }

  /// Places one prompt at an entry; true if its engine had a free slot.
  bool Place(std::size_t aEntry,
             time_point aNow,
             const placement_request& aWork)
  {
    Deliver(aNow);
    entry& at = mEntries[aEntry];
    const engine_choice choice =
      *PlaceOnEngines(at.mBoard, at.mLedger, Timing(), aWork, {}, "a", aNow);
    placement placed = MakePlacement(choice, aWork, ++mLast);
    placed.mBegan = aNow;
    placed.mExpires = kStart + std::chrono::hours(1);
    AddPlacement(at.mLedger, placed, aNow);
    mOnTheWay.push_back({ aNow + kNewsDelay, aEntry, placed });
    return ++mDecoding[placed.mEngines.front()] <= kSlots;
  }

private:
  /// Gathering, the way, and a slow entry's turn.
  static constexpr duration kNewsDelay = milliseconds(6);

  struct entry
  {
    endpoint_registry mBoard;
    engine_ledger mLedger;
  };
  struct news
  {
    time_point mDue{};
    std::size_t mFrom = 0;
    placement mPlaced;
  };

  void Deliver(time_point aNow)
  {
    for (; !mOnTheWay.empty() && mOnTheWay.front().mDue <= aNow;
         mOnTheWay.pop_front()) {
      const news& one = mOnTheWay.front();
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        if (i != one.mFrom &&
            Prefers(mSubsetRing, mHosts[i], one.mPlaced.mEngines.front())) {
          AddPlacement(mEntries[i].mLedger, one.mPlaced, one.mDue);
        }
      }
    }
  }

  std::vector<std::string> mHosts;
  subset_ring mSubsetRing;
  std::vector<entry> mEntries;
  std::deque<news> mOnTheWay;
  std::map<engine_key, std::size_t> mDecoding;
  placement_key mLast = 0;
};

} // namespace

class subset_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(subset_test);
  CPPUNIT_TEST(SmallFleetKnowsAll);
  CPPUNIT_TEST(LoadIsSpreadEvenly);
  CPPUNIT_TEST(OneMoreMovesArcsByOnePlace);
  CPPUNIT_TEST(HalfOfTheEntriesReachEveryEngine);
  CPPUNIT_TEST(StrangersArePreferred);
  CPPUNIT_TEST(EachServiceHasAnOrderOfItsOwn);
  CPPUNIT_TEST(OthersAreTakenWhenNoPreferredIsUsable);
  CPPUNIT_TEST(BurstBeforeHundredsOfEnginesFindsFreeSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  void SmallFleetKnowsAll()
  {
    const std::vector<std::string> hosts = Hosts(32);
    const endpoint_registry board = Engines(69);
    const subset_ring ring = Ring(hosts, board);
    for (const std::string& host : hosts) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 69 },
                           PreferredBy(ring, host, board).size());
    }
    // Few engines before many entries are known to all of these.
    CPPUNIT_ASSERT_EQUAL(1.0, PreferredShare(350, 40));
  }

  void LoadIsSpreadEvenly()
  {
    const std::vector<std::string> hosts = Hosts(350);
    const endpoint_registry board = Engines(1200);
    const subset_ring ring = Ring(hosts, board);
    for (const auto& [id, known] : board.mEndpoints) {
      const double entries =
        static_cast<double>(CountPreferring(ring, hosts, id));
      CPPUNIT_ASSERT(std::abs(entries - kGatewaysPerEngine) <= 1);
    }
    for (const std::string& host : hosts) {
      const double engines =
        static_cast<double>(PreferredBy(ring, host, board).size());
      CPPUNIT_ASSERT(std::abs(engines - 1200 * kGatewaysPerEngine / 350) <= 1);
    }
  }

  /// Symptom: for seconds after an entry came or went all entries place as if
  /// most engines were idle. Cause: each was given other engines than before,
  /// of which it had heard nothing.
  void OneMoreMovesArcsByOnePlace()
  {
    std::vector<std::string> hosts = Hosts(103);
    const endpoint_registry board = Engines(172);
    const subset_ring before = Ring(hosts, board);
    const std::string gone = hosts[50];
    hosts.erase(hosts.begin() + 50);
    const subset_ring after = Ring(hosts, board);
    const endpoint_registry oneMore = Engines(173);
    const subset_ring withOneMore = Ring(hosts, oneMore);
    for (const std::string& host : hosts) {
      const std::vector<std::string> old = PreferredBy(before, host, board);
      for (const std::vector<std::string>& now :
           { PreferredBy(after, host, board),
             PreferredBy(withOneMore, host, oneMore) }) {
        std::vector<std::string> kept;
        std::set_intersection(old.begin(),
                              old.end(),
                              now.begin(),
                              now.end(),
                              std::back_inserter(kept));
        CPPUNIT_ASSERT(now.size() - kept.size() <= 4);
      }
    }
  }

  /// Symptom: after the loss of half of the entries some engines get nothing
  /// while others are full. Sequence: half of the entries are killed at one
  /// moment; the others hold them for present until their beats are missed.
  void HalfOfTheEntriesReachEveryEngine()
  {
    const std::vector<std::string> hosts = Hosts(350);
    const endpoint_registry board = Engines(1200);
    const subset_ring ring = Ring(hosts, board);
    random_engine random(7);
    for (int round = 0; round < 20; ++round) {
      std::vector<std::string> left;
      std::sample(hosts.begin(),
                  hosts.end(),
                  std::back_inserter(left),
                  hosts.size() / 2,
                  random);
      for (const auto& [id, known] : board.mEndpoints) {
        CPPUNIT_ASSERT(CountPreferring(ring, left, id) >= 2);
      }
    }
  }

  void StrangersArePreferred()
  {
    const endpoint_registry board = Engines(172);
    const subset_ring ring = Ring(Hosts(103), board);
    CPPUNIT_ASSERT(Prefers(ring, "10.9.9.9", EngineKey("engine-1")));
    CPPUNIT_ASSERT(Prefers(ring, Hosts(1).front(), EngineKey("unheard-of")));
    CPPUNIT_ASSERT(Prefers({}, "", 0));
  }

  void EachServiceHasAnOrderOfItsOwn()
  {
    endpoint_registry board = Engines(172);
    for (int i = 0; i < 8; ++i) {
      endpoint listed;
      listed.mId = "other-" + std::to_string(i);
      listed.mService = "other-model";
      (void)ApplyRow(board, { listed.mId, 1, listed });
    }
    const std::vector<std::string> hosts = Hosts(103);
    const subset_ring ring = Ring(hosts, board);
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        hosts.size(),
        CountPreferring(ring, hosts, "other-" + std::to_string(i)));
    }
  }

  /// Symptom: a request is refused for want of an engine while hundreds are
  /// idle. Cause: all engines that its entry prefers are leaving or were tried.
  void OthersAreTakenWhenNoPreferredIsUsable()
  {
    endpoint_registry board = Engines(172);
    const std::vector<std::string> hosts = Hosts(103);
    MarkPreferred(board, Ring(hosts, board), hosts.front());
    for (auto& [id, known] : board.mEndpoints) {
      known.mListed.mLeaving = known.mPreferred;
    }
    const placement_request clip{ "model",
                                  5000,
                                  1900,
                                  milliseconds(300),
                                  milliseconds(400),
                                  WorthOfPrompt(5000) };
    const std::optional<engine_choice> choice =
      PlaceOnEngines(board, {}, Timing(), clip, {}, "a", kStart);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(!choice->mDecodeEngine->mListed.mLeaving);
  }

  /// Symptom: in a burst of short prompts before 172 engines two of five first
  /// events are late: engines are given more than they work on at once while
  /// others have free slots. Sequence: 103 entries together take 620 short
  /// prompts a second; what one places, another hears 6 ms later. Cause: all
  /// placed on the same engines, those that suited best, in the milliseconds
  /// before they heard of one another; or heard of an eighth of the others
  /// only.
  void BurstBeforeHundredsOfEnginesFindsFreeSlots()
  {
    constexpr std::size_t kEntries = 103;
    constexpr std::size_t kEngines = 172;
    // Three of four slots are taken at the end.
    constexpr std::size_t kPrompts = kEngines * kSlots * 3 / 4;
    constexpr duration kGap = std::chrono::microseconds(1613);
    burst world(kEntries, kEngines);
    random_engine random(11);
    std::size_t waiting = 0;
    for (std::size_t i = 0; i < kPrompts; ++i) {
      const std::size_t entry = Below(random, kEntries);
      placement_request clip{ "model",
                              5000,
                              1900,
                              milliseconds(300),
                              milliseconds(400),
                              WorthOfPrompt(5000) };
      clip.mTieBreakSeed = Hash("entry", entry);
      const time_point now = kStart + static_cast<int>(i) * kGap;
      waiting += world.Place(entry, now, clip) ? 0 : 1;
    }
    // At the size to design for 95 in 100 are to begin in time.
    CPPUNIT_ASSERT(waiting * 20 <= kPrompts);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(subset_test, "subset");
