#include "RequestTimes.h"
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

/// Simulates gateways in front of one endpoint that sends a limit in every
/// answer. Gateways restart and are partitioned from the others, messages
/// between gateways are lost, and refused callers retry.
class rate_limit_simulation
{
public:
  rate_limit_simulation(std::size_t aGateways,
                        double aPerSecond,
                        std::uint64_t aSeed)
    : mHosts(Hosts(aGateways))
    , mPerSecond(aPerSecond)
    , mRandom(aSeed)
    , mGateways(aGateways)
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
                      [this]() { Partition(RandomGateway()); });
    }
    while (!mEvents.empty()) {
      const std::function<void()> event = mEvents.begin()->second;
      mNow = mEvents.begin()->first;
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  /// Maximum number of requests in any four seconds. Counts a gateway's
  /// requests from half a second after its first answer with the limit.
  std::size_t MaxInFourSeconds() const
  {
    return MostWithin(seconds(4), mCounted);
  }

  double PerSecond() const
  {
    return static_cast<double>(mCounted.size()) / Seconds(kDuration);
  }

private:
  struct gateway_model
  {
    endpoint_limit mLimit;
    std::optional<time_point> mAnswered; ///< First answer with the limit.
    bool mPartitioned = false;           ///< From the other gateways.
    bool mDropped = false; ///< Removed from its peers' membership lists, and
                           ///< they from its list.
    unsigned mGatewayIncarnation = 0;
  };

  std::size_t RandomGateway()
  {
    return std::uniform_int_distribution<std::size_t>(0, mGateways.size() - 1)(
      mRandom);
  }

  void UpdateShare(std::size_t aGateway)
  {
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      const bool separated =
        mGateways[i].mDropped || mGateways[aGateway].mDropped;
      if (i == aGateway || !separated) {
        hosts.push_back(mHosts[i]);
      }
    }
    UpdateLimitShare(mGateways[aGateway].mLimit,
                     kEndpoint,
                     hosts,
                     mHosts[aGateway],
                     mGateways.size(),
                     mNow);
  }

  void UpdateAllShares()
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      UpdateShare(i);
    }
  }

  bool Observe(std::size_t aGateway, time_point aObserved)
  {
    const bool changed =
      ObserveLimit(mGateways[aGateway].mLimit, mPerSecond, aObserved, mNow);
    if (changed) {
      UpdateShare(aGateway);
    }
    return changed;
  }

  void Request(int aRetries)
  {
    const std::size_t at = RandomGateway();
    gateway_model& receiver = mGateways[at];
    if (!Admits(receiver.mLimit, mNow)) {
      if (aRetries > 0) {
        mEvents.emplace(mNow + milliseconds(300),
                        [this, aRetries]() { Request(aRetries - 1); });
      }
      return;
    }
    TakeToken(receiver.mLimit, mNow);
    if (receiver.mAnswered.has_value() &&
        mNow - *receiver.mAnswered >= milliseconds(500)) {
      mCounted.push_back(mNow);
    }
    mEvents.emplace(
      mNow + milliseconds(150),
      [this, at, boot = receiver.mGatewayIncarnation]() { Answer(at, boot); });
  }

  void Answer(std::size_t aGateway, unsigned aBoot)
  {
    gateway_model& answered = mGateways[aGateway];
    if (answered.mGatewayIncarnation != aBoot) {
      return;
    }
    answered.mAnswered = answered.mAnswered.value_or(mNow);
    const bool changed = Observe(aGateway, mNow);
    if (!MarkLimitAnnouncedIfDue(answered.mLimit, changed, mNow) ||
        answered.mPartitioned) {
      return;
    }
    mEvents.emplace(mNow + milliseconds(5),
                    [this, aGateway, observed = mNow]() {
                      for (std::size_t i = 0; i < mGateways.size(); ++i) {
                        if (i != aGateway && !mGateways[i].mPartitioned &&
                            mRandom() % 20 != 0) {
                          mGateways[i].mLimit.mTold = mNow;
                          (void)Observe(i, observed);
                        }
                      }
                    });
  }

  void Restart(std::size_t aGateway)
  {
    const unsigned boot = mGateways[aGateway].mGatewayIncarnation + 1;
    mGateways[aGateway] = {};
    mGateways[aGateway].mGatewayIncarnation = boot;
    // A peer sends its known limits to a new gateway.
    const endpoint_limit known = mGateways[RandomGateway()].mLimit;
    if (known.mPerSecond.has_value()) {
      mEvents.emplace(mNow + milliseconds(100), [this, aGateway, known]() {
        (void)Observe(aGateway, known.mObserved);
      });
    }
  }

  void Partition(std::size_t aGateway)
  {
    mGateways[aGateway].mPartitioned = true;
    mEvents.emplace(mNow + seconds(4), [this, aGateway]() {
      mGateways[aGateway].mDropped = mGateways[aGateway].mPartitioned;
      UpdateAllShares();
    });
    mEvents.emplace(mNow + seconds(10), [this, aGateway]() {
      mGateways[aGateway].mPartitioned = false;
      mGateways[aGateway].mDropped = false;
      UpdateAllShares();
    });
  }

  std::vector<std::string> mHosts;
  double mPerSecond;
  std::mt19937_64 mRandom;
  std::vector<gateway_model> mGateways;
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
  /// Guards against each gateway using the whole limit for itself.
  void FleetStaysWithinLimit()
  {
    for (const std::size_t gateways : { 15, 103, 350 }) {
      for (const double rate : { 0.5, 1.0, 1.6, 4.0, 20.0 }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
          rate_limit_simulation fleet(gateways, rate, seed);
          fleet.Run(40);
          const double allowed = 1.5 * rate * 4 + 5;
          const std::string which = std::to_string(gateways) + " entries, " +
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

  /// Guards against an ended limit that stays in force because no gateway sends
  /// requests to the endpoint.
  void EndedLimitIsDetectedByProbes()
  {
    const std::vector<std::string> hosts = Hosts(103);
    std::size_t probes = 0;
    for (const std::string& host : hosts) {
      endpoint_limit limit;
      (void)ObserveLimit(limit, 1.0, kStart, kStart);
      UpdateLimitShare(limit, kEndpoint, hosts, host, hosts.size(), kStart);
      if (limit.mShare.mPerSecond > 0) {
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
