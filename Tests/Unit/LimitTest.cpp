#include "RingFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <random>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr seconds kDuration(60);
const std::string kEndpoint = "engine-7";

/// Simulates entries in front of one endpoint that names a limit in every
/// answer. Entries restart and are cut off from the others, messages between
/// entries are lost, and refused callers retry.
class rate_limit_simulation
{
public:
  rate_limit_simulation(std::size_t aEntries,
                        double aPerSecond,
                        std::uint64_t aSeed)
    : mHosts(Hosts(aEntries))
    , mPerSecond(aPerSecond)
    , mRandom(aSeed)
    , mEntries(aEntries)
  {
  }

  void Run(double aRequestsPerSecond)
  {
    std::exponential_distribution<double> gap(aRequestsPerSecond);
    for (double at = gap(mRandom); at < Seconds(kDuration);
         at += gap(mRandom)) {
      mEvents.emplace(kStart + FromSeconds(at), [this]() { Request(2); });
    }
    for (int at = 5; at < kDuration.count(); at += 3) {
      mEvents.emplace(kStart + seconds(at),
                      [this]() { Restart(RandomGateway()); });
    }
    for (int at = 7; at < kDuration.count(); at += 15) {
      mEvents.emplace(kStart + seconds(at),
                      [this]() { CutOff(RandomGateway()); });
    }
    while (!mEvents.empty()) {
      const std::function<void()> event = mEvents.begin()->second;
      mNow = mEvents.begin()->first;
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  /// Maximum number of requests in any four seconds. Counts an entry's requests
  /// from half a second after its first answer that named the limit.
  std::size_t MaxInFourSeconds() const
  {
    std::size_t most = 0;
    auto first = mCounted.begin();
    for (auto last = mCounted.begin(); last != mCounted.end(); ++last) {
      while (*last - *first > seconds(4)) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first + 1));
    }
    return most;
  }

  double PerSecond() const
  {
    return static_cast<double>(mCounted.size()) / Seconds(kDuration);
  }

private:
  struct entry
  {
    endpoint_limit mLimit;
    std::optional<time_point> mAnswered; ///< First answer that named the limit.
    bool mCutOff = false;                ///< From the other entries.
    bool mDropped = false; ///< Peers have dropped it, and it them.
    unsigned mGatewayIncarnation = 0;
  };

  std::size_t RandomGateway()
  {
    return std::uniform_int_distribution<std::size_t>(0, mEntries.size() - 1)(
      mRandom);
  }

  void UpdateShare(std::size_t aEntry)
  {
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      const bool separated = mEntries[i].mDropped || mEntries[aEntry].mDropped;
      if (i == aEntry || !separated) {
        hosts.push_back(mHosts[i]);
      }
    }
    UpdateLimitShare(mEntries[aEntry].mLimit,
                     kEndpoint,
                     hosts,
                     mHosts[aEntry],
                     mEntries.size(),
                     mNow);
  }

  void UpdateAllShares()
  {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      UpdateShare(i);
    }
  }

  bool Observe(std::size_t aEntry, time_point aObserved)
  {
    const bool changed =
      ObserveLimit(mEntries[aEntry].mLimit, mPerSecond, aObserved, mNow);
    if (changed) {
      UpdateShare(aEntry);
    }
    return changed;
  }

  void Request(int aRetries)
  {
    const std::size_t at = RandomGateway();
    entry& asked = mEntries[at];
    if (!Admits(asked.mLimit, mNow)) {
      if (aRetries > 0) {
        mEvents.emplace(mNow + milliseconds(300),
                        [this, aRetries]() { Request(aRetries - 1); });
      }
      return;
    }
    TakeToken(asked.mLimit, mNow);
    if (asked.mAnswered.has_value() &&
        mNow - *asked.mAnswered >= milliseconds(500)) {
      mCounted.push_back(mNow);
    }
    mEvents.emplace(
      mNow + milliseconds(150),
      [this, at, boot = asked.mGatewayIncarnation]() { Answer(at, boot); });
  }

  void Answer(std::size_t aEntry, unsigned aBoot)
  {
    entry& answered = mEntries[aEntry];
    if (answered.mGatewayIncarnation != aBoot) {
      return;
    }
    answered.mAnswered = answered.mAnswered.value_or(mNow);
    const bool changed = Observe(aEntry, mNow);
    if (!MarkLimitAnnouncedIfDue(answered.mLimit, changed, mNow) ||
        answered.mCutOff) {
      return;
    }
    mEvents.emplace(mNow + milliseconds(5), [this, aEntry, observed = mNow]() {
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        if (i != aEntry && !mEntries[i].mCutOff && mRandom() % 20 != 0) {
          mEntries[i].mLimit.mTold = mNow;
          (void)Observe(i, observed);
        }
      }
    });
  }

  void Restart(std::size_t aEntry)
  {
    const unsigned boot = mEntries[aEntry].mGatewayIncarnation + 1;
    mEntries[aEntry] = {};
    mEntries[aEntry].mGatewayIncarnation = boot;
    // A peer sends its known limits to a new entry.
    const endpoint_limit known = mEntries[RandomGateway()].mLimit;
    if (known.mPerSecond.has_value()) {
      mEvents.emplace(mNow + milliseconds(100), [this, aEntry, known]() {
        (void)Observe(aEntry, known.mObserved);
      });
    }
  }

  void CutOff(std::size_t aEntry)
  {
    mEntries[aEntry].mCutOff = true;
    mEvents.emplace(mNow + seconds(4), [this, aEntry]() {
      mEntries[aEntry].mDropped = mEntries[aEntry].mCutOff;
      UpdateAllShares();
    });
    mEvents.emplace(mNow + seconds(10), [this, aEntry]() {
      mEntries[aEntry].mCutOff = false;
      mEntries[aEntry].mDropped = false;
      UpdateAllShares();
    });
  }

  std::vector<std::string> mHosts;
  double mPerSecond;
  std::mt19937_64 mRandom;
  std::vector<entry> mEntries;
  std::vector<time_point> mCounted;
  time_point mNow{};
  std::multimap<time_point, std::function<void()>> mEvents;
};

} // namespace

class limit_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(limit_test);
  CPPUNIT_TEST(FleetStaysWithinLimit);
  CPPUNIT_TEST(EndedLimitIsDetectedByProbes);
  CPPUNIT_TEST(OlderObservationIsIgnored);
  CPPUNIT_TEST(RateRoundedByPeerIsNoChange);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against each entry using the whole limit for itself.
  void FleetStaysWithinLimit()
  {
    for (const std::size_t entries : { 15, 103, 350 }) {
      for (const double rate : { 0.5, 1.0, 1.6, 4.0, 20.0 }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
          rate_limit_simulation fleet(entries, rate, seed);
          fleet.Run(40);
          const double allowed = 1.5 * rate * 4 + 5;
          const std::string which = std::to_string(entries) + " entries, " +
                                    std::to_string(rate) + " a second, seed " +
                                    std::to_string(seed);
          CPPUNIT_ASSERT_MESSAGE(
            which + ": " + std::to_string(fleet.MaxInFourSeconds()),
            static_cast<double>(fleet.MaxInFourSeconds()) <= allowed);
          CPPUNIT_ASSERT_MESSAGE(which, fleet.PerSecond() > 0);
        }
      }
    }
  }

  /// Guards against an ended limit that stays in force because no entry sends
  /// requests to the endpoint.
  void EndedLimitIsDetectedByProbes()
  {
    const std::vector<std::string> hosts = Hosts(103);
    std::size_t probes = 0;
    for (const std::string& host : hosts) {
      endpoint_limit limit;
      (void)ObserveLimit(limit, 1.0, kStart, kStart);
      UpdateLimitShare(limit, kEndpoint, hosts, host, hosts.size(), kStart);
      if (limit.mOwnPerSecond > 0) {
        continue;
      }
      CPPUNIT_ASSERT(!Admits(limit, kStart + seconds(9)));
      CPPUNIT_ASSERT(Admits(limit, kStart + seconds(200)));
      probes += Admits(limit, kStart + seconds(20)) ? 1 : 0;
      TakeToken(limit, kStart + seconds(200));
      CPPUNIT_ASSERT(!Admits(limit, kStart + seconds(400)));
    }
    // Probes in the ten seconds after the delay keep to one per second.
    CPPUNIT_ASSERT(probes > 0);
    CPPUNIT_ASSERT(probes <= 10);
  }

  /// Guards against announcing an unchanged limit after each answer because
  /// peers send its rate with lower precision.
  void RateRoundedByPeerIsNoChange()
  {
    endpoint_limit limit;
    CPPUNIT_ASSERT(ObserveLimit(limit, 5.0 / 3, kStart, kStart));
    CPPUNIT_ASSERT(!ObserveLimit(limit, 1.667, kStart, kStart));
    CPPUNIT_ASSERT(!ObserveLimit(limit, 5.0 / 3, kStart, kStart));
  }

  void OlderObservationIsIgnored()
  {
    endpoint_limit limit;
    CPPUNIT_ASSERT(ObserveLimit(limit, 2.0, kStart, kStart));
    CPPUNIT_ASSERT(
      !ObserveLimit(limit, std::nullopt, kStart - seconds(1), kStart));
    CPPUNIT_ASSERT_EQUAL(2.0, *limit.mPerSecond);
    CPPUNIT_ASSERT(
      ObserveLimit(limit, std::nullopt, kStart + seconds(1), kStart));
    CPPUNIT_ASSERT(Admits(limit, kStart + seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(limit_test, "limit");
