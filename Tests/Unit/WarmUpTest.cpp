#include "RequestTimes.h"
#include "RingFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
const std::string kEndpoint = "engine-7";

/// Gateways that all want to send to one cold endpoint at all times.
class cold_endpoint_simulation
{
public:
  cold_endpoint_simulation(std::size_t aGateways, double aPerSecond)
    : mHosts(Hosts(aGateways))
    , mPerSecond(aPerSecond)
    , mGateways(aGateways)
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      MakeCold(i);
    }
    UpdateShares();
  }

  void MakeCold(std::size_t aGateway)
  {
    mGateways[aGateway] = WithColdUntil({}, kStart + seconds(30), mNow);
  }

  /// From now on each half of the fleet knows only itself.
  void Partition() { mPartitioned = true; }

  /// Gateways `aFrom` to `aTo` restart: what they counted is lost, and they
  /// have no share before they know their peers.
  void Restart(std::size_t aFrom, std::size_t aTo)
  {
    for (std::size_t i = aFrom; i < aTo; ++i) {
      MakeCold(i);
    }
  }

  void UpdateShares()
  {
    const std::size_t half = mHosts.size() / 2;
    const auto middle = mHosts.begin() + static_cast<std::ptrdiff_t>(half);
    const std::vector<std::string> first(mHosts.begin(), middle);
    const std::vector<std::string> second(middle, mHosts.end());
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      const std::vector<std::string>& known =
        !mPartitioned ? mHosts : (i < half ? first : second);
      mGateways[i].mShare =
        WithRate(mGateways[i].mShare,
                 ColdShare(kEndpoint, known, mHosts[i], mPerSecond),
                 mNow);
    }
  }

  void Run(duration aTime)
  {
    constexpr duration kStep = milliseconds(5);
    for (const time_point end = mNow + aTime; mNow < end; mNow += kStep) {
      for (warm_up& gateway : mGateways) {
        if (TimeUntilAdmitted(gateway, mNow) <= duration::zero()) {
          gateway = WithRequestSent(gateway, mNow);
          mSent.push_back(mNow);
        }
      }
    }
  }

  std::size_t MaxInOneSecond() const { return MostWithin(seconds(1), mSent); }

  std::size_t Sent() const { return mSent.size(); }

private:
  std::vector<std::string> mHosts;
  double mPerSecond;
  bool mPartitioned = false;
  std::vector<warm_up> mGateways;
  std::vector<time_point> mSent;
  time_point mNow = kStart;
};

} // namespace

class warm_up_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(warm_up_test);
  CPPUNIT_TEST(FleetStaysWithinRateOfColdEndpoint);
  CPPUNIT_TEST(WarmEndpointIsNotLimited);
  CPPUNIT_TEST(LaterRowDoesNotShortenWarmUp);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a cold endpoint that gets more than it bears from all
  /// gateways together, also while they restart or do not know each other.
  void FleetStaysWithinRateOfColdEndpoint()
  {
    for (const std::size_t gateways : { 1, 15, 103, 369, 738 }) {
      for (const double rate : { 0.5, 1.0, 4.0, 10.0, 34.0, 100.0 }) {
        cold_endpoint_simulation fleet(gateways, rate);
        fleet.Run(seconds(4));
        fleet.Partition();
        fleet.UpdateShares();
        fleet.Run(seconds(4));
        fleet.Restart(0, gateways / 3);
        fleet.Run(milliseconds(300));
        fleet.UpdateShares();
        fleet.Run(seconds(2));
        const std::string which =
          std::to_string(gateways) + " gateways, " + std::to_string(rate) +
          " a second: " + std::to_string(fleet.MaxInOneSecond());
        CPPUNIT_ASSERT_MESSAGE(
          which, static_cast<double>(fleet.MaxInOneSecond()) <= 1.5 * rate + 5);
        CPPUNIT_ASSERT_MESSAGE(
          which, static_cast<double>(fleet.Sent()) >= 0.4 * rate * 10);
      }
    }
  }

  void WarmEndpointIsNotLimited()
  {
    warm_up endpoint = WithColdUntil({}, kStart + seconds(1), kStart);
    CPPUNIT_ASSERT(TimeUntilAdmitted(endpoint, kStart) == seconds(1));
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(TimeUntilAdmitted(endpoint, kStart + seconds(1)) ==
                     duration::zero());
      endpoint = WithRequestSent(endpoint, kStart + seconds(1));
    }
  }

  /// Guards against a row of the list that arrives late and ends the warm-up
  /// early, or gives the gateway a second share.
  void LaterRowDoesNotShortenWarmUp()
  {
    warm_up endpoint = WithColdUntil({}, kStart + seconds(3), kStart);
    endpoint.mShare = WithRate(endpoint.mShare, 2, kStart);
    const warm_up later =
      WithColdUntil(endpoint, kStart + seconds(1), kStart + milliseconds(100));
    CPPUNIT_ASSERT(later == endpoint);
    CPPUNIT_ASSERT(WithColdUntil(endpoint, kStart, kStart + milliseconds(1)) ==
                   endpoint);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(warm_up_test, "warm-up");
