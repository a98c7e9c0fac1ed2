#include "RingFixture.h"

#include "LibGossip/LibGossip.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <random>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr seconds kBound(5);

/// How a gateway fares.
enum class condition : std::uint8_t
{
  Good,
  Dead,
  CutFromStore, ///< Its calls get no answer.
  TurnedAway,   ///< The store refuses its calls.
  Mute,         ///< Its datagrams are lost; it receives those of others.
  Stale,        ///< The store shows it an older table, as a current one.
  EarlierBuild, ///< Reads for itself and does not state how current it is.
};

/// Gateways that follow one table, in virtual time. Datagrams take two
/// milliseconds and one in twenty is lost; fetches from a peer take ten.
class table_fleet
{
public:
  table_fleet(std::size_t aGateways, std::uint64_t aSeed)
    : mHosts(Hosts(aGateways))
    , mRandom(aSeed)
    , mGateways(aGateways)
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      gateway_model& gateway = mGateways[i];
      gateway.mState.mStarted = kStart - seconds(2);
      for (const std::string& host : mHosts) {
        if (host != mHosts[i]) {
          gateway.mState.mPeers[host];
        }
      }
      UpdateReaderRanks(gateway.mState, mHosts[i]);
      gateway.mState.mOperatorRowRevision = kFirstRevision;
      RecordAnswer(gateway, kStart - milliseconds(4));
      gateway.mAppliedAt = kStart;
      const duration offset =
        milliseconds(std::uniform_int_distribution<int>(0, 99)(mRandom));
      At(offset, [this, i]() { Tick(i); });
      At(seconds(1) + offset * 10, [this, i]() { Beat(i); });
    }
  }

  /// The gateways that read all the time.
  std::vector<std::size_t> Readers() const
  {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      if (RankOf(i) < kTableReaders) {
        readers.push_back(i);
      }
    }
    return readers;
  }

  std::size_t RankOf(std::size_t aGateway) const
  {
    return FreshnessOf(mGateways[aGateway].mState, kTable).mReaderRank;
  }

  void Set(std::size_t aGateway, condition aCondition)
  {
    mGateways[aGateway].mCondition = aCondition;
  }

  /// From now on datagrams take this long, and each gateway sends that many a
  /// second, of any kind, to a random peer.
  void SetTraffic(duration aTransit, int aPerSecond)
  {
    mTransit = aTransit;
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      At(milliseconds(mRandom() % 100), [this, i, aPerSecond]() {
        SendPeriodically(i, duration(seconds(1)) / aPerSecond);
      });
    }
  }

  /// The store turns away all gateways or none.
  void SetStoreAway(bool aAway) { mStoreAway = aAway; }

  void Change()
  {
    mRevision += 10;
    mChangedAt = mNow;
    // Long polls that are open are answered at once.
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      if (mGateways[i].mPolling && CanRead(i) &&
          mGateways[i].mCondition != condition::Stale) {
        Answered(i, ++mGateways[i].mPoll);
      }
    }
  }

  void Run(duration aTime)
  {
    const time_point end = mNow + aTime;
    while (!mEvents.empty() && mEvents.begin()->first <= end) {
      const std::function<void()> event = mEvents.begin()->second;
      mNow = mEvents.begin()->first;
      mEvents.erase(mEvents.begin());
      event();
    }
    mNow = end;
  }

  /// The longest time that a gateway took to apply the last change, of those
  /// that live and receive datagrams. `duration::max()` if one has not.
  duration LongestDelay() const
  {
    duration longest{};
    for (const gateway_model& gateway : mGateways) {
      if (gateway.mCondition == condition::Dead) {
        continue;
      }
      if (gateway.mState.mOperatorRowRevision < mRevision) {
        return duration::max();
      }
      longest = std::max(longest, gateway.mAppliedAt - mChangedAt);
    }
    return longest;
  }

  /// Ages of the copies of all live gateways, sorted.
  std::vector<duration> Ages() const
  {
    std::vector<duration> ages;
    for (const gateway_model& gateway : mGateways) {
      if (gateway.mCondition != condition::Dead) {
        ages.push_back(mNow -
                       *FreshnessOf(gateway.mState, kTable).mConfirmedAt);
      }
    }
    std::sort(ages.begin(), ages.end());
    return ages;
  }

  std::size_t StoreCalls() const { return mStoreCalls; }
  std::size_t Datagrams() const { return mDatagrams; }
  std::uint64_t HeldRevision(std::size_t aGateway) const
  {
    return mGateways[aGateway].mState.mOperatorRowRevision;
  }

private:
  static constexpr belief kTable = belief::Operator;
  static constexpr std::uint64_t kFirstRevision = 100;

  struct gateway_model
  {
    gateway_state mState;
    condition mCondition = condition::Good;
    bool mPolling = false;
    unsigned mPoll = 0; ///< Number of the poll in flight.
    unsigned mFailures = 0;
    time_point mPolledAt{};
    time_point mRetryAt{};
    time_point mAppliedAt{};
    bool mFetching = false;
  };

  void At(duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aDelay, std::move(aEvent));
  }

  /// The store has answered a read just now.
  void RecordAnswer(gateway_model& aGateway, time_point aSentAt)
  {
    constexpr duration kLead = std::chrono::hours(3);
    const store_time stated = mNow.time_since_epoch() + kLead;
    aGateway.mState.mStoreClock =
      UpdatedClock(aGateway.mState.mStoreClock, stated, aSentAt, mNow);
    RecordRead(aGateway.mState, kTable, stated, aSentAt);
  }

  bool CanRead(std::size_t aGateway) const
  {
    const condition how = mGateways[aGateway].mCondition;
    return !mStoreAway && how != condition::Dead &&
           how != condition::CutFromStore && how != condition::TurnedAway;
  }

  void Tick(std::size_t aGateway)
  {
    At(milliseconds(100), [this, aGateway]() { Tick(aGateway); });
    gateway_model& gateway = mGateways[aGateway];
    const bool earlier = gateway.mCondition == condition::EarlierBuild;
    if (gateway.mCondition != condition::Dead && !gateway.mPolling &&
        mNow >= gateway.mRetryAt &&
        (earlier || MustReadStore(gateway.mState, kTable, kBound, mNow))) {
      Poll(aGateway);
    }
  }

  void Poll(std::size_t aGateway)
  {
    gateway_model& gateway = mGateways[aGateway];
    ++mStoreCalls;
    gateway.mPolling = true;
    gateway.mPolledAt = mNow;
    const unsigned poll = ++gateway.mPoll;
    const bool reads = RankOf(aGateway) < kTableReaders ||
                       gateway.mCondition == condition::EarlierBuild;
    const bool behind = gateway.mState.mOperatorRowRevision < mRevision;
    const duration wait =
      !reads || behind ? milliseconds(4) : ReaderPollWait(kBound);
    if (CanRead(aGateway)) {
      At(wait, [this, aGateway, poll]() { Answered(aGateway, poll); });
      return;
    }
    const bool refused = gateway.mCondition != condition::CutFromStore;
    At(refused ? milliseconds(4) : wait + milliseconds(500),
       [this, aGateway, poll]() { Failed(aGateway, poll); });
  }

  void Failed(std::size_t aGateway, unsigned aPoll)
  {
    gateway_model& gateway = mGateways[aGateway];
    if (aPoll != gateway.mPoll) {
      return;
    }
    gateway.mPolling = false;
    gateway.mRetryAt =
      mNow + StoreBackoff(gateway.mFailures++, mHosts.size() - 1, Uniform());
  }

  void Answered(std::size_t aGateway, unsigned aPoll)
  {
    gateway_model& gateway = mGateways[aGateway];
    if (aPoll != gateway.mPoll) {
      return;
    }
    gateway.mPolling = false;
    if (!CanRead(aGateway)) {
      Failed(aGateway, aPoll);
      return;
    }
    gateway.mFailures = 0;
    RecordAnswer(gateway, gateway.mPolledAt);
    if (gateway.mCondition != condition::Stale) {
      Apply(aGateway, mRevision);
    }
    Spread(aGateway, kSpreadPeers);
  }

  void Apply(std::size_t aGateway, std::uint64_t aRevision)
  {
    gateway_model& gateway = mGateways[aGateway];
    if (aRevision > gateway.mState.mOperatorRowRevision) {
      gateway.mState.mOperatorRowRevision = aRevision;
      gateway.mAppliedAt = mNow;
    }
  }

  void Beat(std::size_t aGateway)
  {
    At(seconds(1), [this, aGateway]() { Beat(aGateway); });
    Spread(aGateway, PeersPerHeartbeat(mHosts.size() - 1));
  }

  void SendPeriodically(std::size_t aGateway, duration aInterval)
  {
    At(aInterval, [this, aGateway, aInterval]() {
      SendPeriodically(aGateway, aInterval);
    });
    Spread(aGateway, 1);
  }

  /// Sends this gateway's versions to some peers.
  void Spread(std::size_t aFrom, std::size_t aCount)
  {
    const gateway_model& sender = mGateways[aFrom];
    if (sender.mCondition == condition::Dead ||
        sender.mCondition == condition::Mute) {
      return;
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      const std::size_t to = mRandom() % mGateways.size();
      ++mDatagrams;
      if (to == aFrom || mRandom() % 20 == 0) {
        continue;
      }
      const std::uint64_t revision = sender.mState.mOperatorRowRevision;
      std::optional<store_time> current;
      if (sender.mCondition != condition::EarlierBuild) {
        current = FreshnessOf(sender.mState, kTable).mStoreTime;
      }
      At(mTransit, [this, aFrom, to, revision, current]() {
        Receive(to, aFrom, revision, current);
      });
    }
  }

  void Receive(std::size_t aTo,
               std::size_t aFrom,
               std::uint64_t aRevision,
               const std::optional<store_time>& aCurrent)
  {
    gateway_model& gateway = mGateways[aTo];
    if (gateway.mCondition == condition::Dead ||
        gateway.mCondition == condition::EarlierBuild) {
      return;
    }
    if (aCurrent.has_value() &&
        IsWorthSpreading(
          ConfirmCopy(gateway.mState, kTable, aRevision, *aCurrent, mNow),
          kBound)) {
      Spread(aTo, kSpreadPeers);
    }
    if (aRevision > CopyRevision(gateway.mState, kTable) &&
        !gateway.mFetching) {
      gateway.mFetching = true;
      At(milliseconds(10), [this, aTo, aFrom]() {
        mGateways[aTo].mFetching = false;
        if (mGateways[aFrom].mCondition != condition::Dead) {
          Apply(aTo, mGateways[aFrom].mState.mOperatorRowRevision);
          Spread(aTo, kSpreadPeers);
        }
      });
    }
  }

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  std::vector<std::string> mHosts;
  std::mt19937_64 mRandom;
  std::vector<gateway_model> mGateways;
  std::multimap<time_point, std::function<void()>> mEvents;
  time_point mNow = kStart;
  time_point mChangedAt{};
  std::uint64_t mRevision = kFirstRevision;
  std::size_t mStoreCalls = 0;
  std::size_t mDatagrams = 0;
  bool mStoreAway = false;
  duration mTransit = milliseconds(2);
};

} // namespace

class read_duty_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(read_duty_test);
  CPPUNIT_TEST(StoreCallsDoNotGrowWithTheFleet);
  CPPUNIT_TEST(ChangeReachesAllGatewaysWithoutReaders);
  CPPUNIT_TEST(ReadersThatAreBehindDelayNothing);
  CPPUNIT_TEST(PeersDoNotConfirmEachOtherForLong);
  CPPUNIT_TEST(ChangeReachesAllGatewaysWhileTheStoreServesFew);
  CPPUNIT_TEST(ChangeReachesAllGatewaysOfMixedBuilds);
  CPPUNIT_TEST(ReturnOfTheStoreIsDetected);
  CPPUNIT_TEST(LimitOfAgeGrowsWithTheRank);
  CPPUNIT_TEST(PeerThatIsBehindConfirmsNothing);
  CPPUNIT_TEST(ShortestCallTellsTheStoresClock);
  CPPUNIT_TEST(StoreWithNewClockIsFollowed);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against calls of each gateway for each change, and against copies
  /// that are older than a change may be.
  void StoreCallsDoNotGrowWithTheFleet()
  {
    for (const std::size_t gateways : { 3, 30, 369, 738, 1000 }) {
      table_fleet fleet(gateways, 1);
      fleet.Run(seconds(4));
      constexpr int kChanges = 8;
      for (int i = 0; i < kChanges; ++i) {
        fleet.Change();
        fleet.Run(seconds(2));
        const std::string which = std::to_string(gateways) + " gateways";
        CPPUNIT_ASSERT_MESSAGE(which, fleet.LongestDelay() < seconds(2));
        CPPUNIT_ASSERT_MESSAGE(which, fleet.Ages().back() < kBound);
      }
      // Three readers, a call a second and one for each change.
      CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.StoreCalls()),
                             fleet.StoreCalls() <= 3 * (20 + kChanges) + 60);
    }
  }

  /// Guards against a change that reaches nobody because those that read are
  /// dead, cut off from the store, turned away by it, or not heard.
  void ChangeReachesAllGatewaysWithoutReaders()
  {
    for (const std::size_t gateways : { 30, 369, 738 }) {
      for (const condition how : { condition::Dead,
                                   condition::CutFromStore,
                                   condition::TurnedAway,
                                   condition::Mute }) {
        table_fleet fleet(gateways, 2);
        fleet.Run(seconds(3));
        for (const std::size_t reader : fleet.Readers()) {
          fleet.Set(reader, how);
        }
        fleet.Change();
        fleet.Run(kBound);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) +
                                 " gateways, readers " +
                                 std::to_string(static_cast<int>(how)),
                               fleet.LongestDelay() <= kBound);
      }
    }
  }

  /// Guards against gateways that hear of no reader, and keep each other's
  /// copies young by datagrams that wait at busy machines.
  void PeersDoNotConfirmEachOtherForLong()
  {
    for (const std::size_t gateways : { 8, 30, 103 }) {
      for (const duration transit :
           { milliseconds(2), milliseconds(20), milliseconds(100) }) {
        table_fleet fleet(gateways, 7);
        fleet.SetTraffic(transit, 50);
        fleet.Run(seconds(3));
        for (const std::size_t reader : fleet.Readers()) {
          fleet.Set(reader, condition::Mute);
        }
        fleet.Change();
        fleet.Run(kBound);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) +
                                 " gateways, transit " +
                                 std::to_string(Milliseconds(transit)) + " ms",
                               fleet.LongestDelay() <= kBound);
      }
    }
  }

  /// Guards against readers that are shown an older table as a current one and
  /// keep the others from learning the change of the one that is not.
  void ReadersThatAreBehindDelayNothing()
  {
    for (const std::size_t gateways : { 30, 369, 738 }) {
      table_fleet fleet(gateways, 6);
      fleet.Run(seconds(3));
      const std::vector<std::size_t> readers = fleet.Readers();
      fleet.Set(readers.at(0), condition::Stale);
      fleet.Set(readers.at(1), condition::Stale);
      fleet.Change();
      fleet.Run(seconds(2));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways",
                             fleet.LongestDelay() <= seconds(2));
    }
  }

  /// Guards against a change that reaches only the gateways which the store
  /// serves, here one in twenty.
  void ChangeReachesAllGatewaysWhileTheStoreServesFew()
  {
    for (const std::size_t gateways : { 30, 369, 738 }) {
      table_fleet fleet(gateways, 3);
      fleet.Run(seconds(3));
      for (std::size_t i = 0; i < gateways; ++i) {
        if (i % 20 != 7) {
          fleet.Set(i, condition::TurnedAway);
        }
      }
      fleet.Change();
      fleet.Run(kBound);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways",
                             fleet.LongestDelay() <= kBound);
    }
  }

  /// Guards against a fleet in which the readers are of the build before, which
  /// does not state how current it is.
  void ChangeReachesAllGatewaysOfMixedBuilds()
  {
    for (const std::size_t gateways : { 30, 369 }) {
      table_fleet fleet(gateways, 4);
      for (std::size_t i = 0; i < gateways; i += 2) {
        fleet.Set(i, condition::EarlierBuild);
      }
      for (const std::size_t reader : fleet.Readers()) {
        fleet.Set(reader, condition::EarlierBuild);
      }
      fleet.Run(seconds(3));
      fleet.Change();
      fleet.Run(kBound);
      CPPUNIT_ASSERT(fleet.LongestDelay() <= kBound);
    }
  }

  /// Guards against a fleet that does not notice that the store is back.
  void ReturnOfTheStoreIsDetected()
  {
    for (const std::size_t gateways : { 3, 30, 369, 738 }) {
      table_fleet fleet(gateways, 5);
      fleet.Run(seconds(3));
      fleet.SetStoreAway(true);
      fleet.Run(seconds(10));
      fleet.Change();
      fleet.SetStoreAway(false);
      fleet.Run(seconds(3));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways",
                             fleet.LongestDelay() <= seconds(3));
    }
  }

  void LimitOfAgeGrowsWithTheRank()
  {
    for (const std::size_t gateways : { 4, 30, 369, 1000 }) {
      duration before{};
      for (std::size_t rank = 0; rank < gateways; ++rank) {
        const duration limit = MaxCopyAge(rank, gateways, kBound);
        CPPUNIT_ASSERT(limit >= before);
        CPPUNIT_ASSERT(limit <= kBound * 6 / 10 + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(rank < kTableReaders, limit == duration::zero());
        before = limit;
      }
    }
  }

  /// Guards against a peer with an older table that keeps a gateway from asking
  /// the store, and against one with a newer table that does.
  void PeerThatIsBehindConfirmsNothing()
  {
    constexpr store_time kNow = std::chrono::hours(5);
    gateway_state state;
    state.mStoreClock = UpdatedClock({}, kNow, kStart, kStart);
    state.mOperatorRowRevision = 100;
    state.mOperatorTableRevision = 120;
    const auto confirm = [&state](std::uint64_t aRevision, store_time aTime) {
      return ConfirmCopy(state, belief::Operator, aRevision, aTime, kStart);
    };
    const table_freshness& copy = FreshnessOf(state, belief::Operator);
    CPPUNIT_ASSERT(confirm(99, kNow) == duration::zero());
    CPPUNIT_ASSERT(confirm(121, kNow) == duration::zero());
    CPPUNIT_ASSERT(confirm(110, kNow + seconds(1)) == duration::zero());
    CPPUNIT_ASSERT(!copy.mConfirmedAt.has_value());
    CPPUNIT_ASSERT(confirm(110, kNow) > duration::zero());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(110), state.mOperatorRowRevision);
    CPPUNIT_ASSERT(confirm(110, kNow - seconds(1)) == duration::zero());
    CPPUNIT_ASSERT(copy.mConfirmedAt == kStart);
  }

  /// Guards against copies that look newer than they are because an answer of
  /// the store took long.
  void ShortestCallTellsTheStoresClock()
  {
    constexpr store_time kStated = std::chrono::hours(5);
    store_clock clock = UpdatedClock({}, kStated, kStart, kStart + seconds(3));
    CPPUNIT_ASSERT(ToLocalTime(clock, kStated) == kStart);
    clock = UpdatedClock(clock,
                         kStated + seconds(10),
                         kStart + seconds(11),
                         kStart + seconds(11) + milliseconds(4));
    CPPUNIT_ASSERT(ToLocalTime(clock, kStated) == kStart + seconds(1));
    clock = UpdatedClock(
      clock, kStated + seconds(20), kStart + seconds(20), kStart + seconds(22));
    CPPUNIT_ASSERT(ToLocalTime(clock, kStated) == kStart + seconds(1));
    CPPUNIT_ASSERT(!ToLocalTime({}, kStated).has_value());
  }

  /// Guards against a store that restarts with another clock, and copies that
  /// then count as current for ever, or never.
  void StoreWithNewClockIsFollowed()
  {
    for (const store_time stated : { store_time(std::chrono::hours(1)),
                                     store_time(std::chrono::hours(50)) }) {
      gateway_state state;
      state.mStoreClock =
        UpdatedClock({}, std::chrono::hours(5), kStart, kStart);
      RecordRead(state, belief::Operator, std::chrono::hours(5), kStart);
      const time_point later = kStart + seconds(10);
      state.mStoreClock = UpdatedClock(state.mStoreClock, stated, later, later);
      RecordRead(state, belief::Operator, stated, later);
      const table_freshness& copy = FreshnessOf(state, belief::Operator);
      CPPUNIT_ASSERT(copy.mConfirmedAt == later);
      CPPUNIT_ASSERT(copy.mStoreTime == stated);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(read_duty_test, "read-duty");
