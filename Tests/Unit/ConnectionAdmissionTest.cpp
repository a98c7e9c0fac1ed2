#include "LibFleet/LibFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace primrose;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kManyConnections = 100000;

/// Gateways in virtual time, each of which spends the same time on each request
/// in the order of arrival. From some moment on most new connections go to the
/// first one, and callers open more.
class surge_simulation
{
public:
  surge_simulation(std::size_t aGateways, std::uint64_t aSeed)
    : mGateways(aGateways)
    , mRandom(aSeed)
  {
  }

  /// Share of the requests read in this span that were served in time, at the
  /// first attempt that was read.
  double ServedShare(duration aFrom, duration aTo) const
  {
    double read = 0;
    double served = 0;
    for (const request& one : mRequests) {
      if (one.mRead && one.mAt >= aFrom && one.mAt < aTo) {
        ++read;
        served +=
          one.mEnded > one.mAt && one.mEnded - one.mAt <= milliseconds(1000)
            ? 1
            : 0;
      }
    }
    return read == 0 ? 0 : served / read;
  }

  double UnreadShare() const
  {
    std::size_t unread = 0;
    for (const request& one : mRequests) {
      unread += one.mRead ? 0 : 1;
    }
    return static_cast<double>(unread) / static_cast<double>(mRequests.size());
  }

  static constexpr duration kSurgeAt = seconds(10);
  static constexpr duration kSurgeEnd = seconds(20);

  void Run()
  {
    for (mNow = duration::zero(); mNow < kSurgeEnd; mNow += kStep) {
      const bool surge = mNow >= kSurgeAt;
      const double rate = kRatePerGateway *
                          static_cast<double>(mGateways.size()) *
                          (surge ? 2 : 1);
      for (double left = rate * Seconds(kStep); Uniform(mRandom) < left;
           --left) {
        Connect(surge);
      }
      for (gateway_model& one : mGateways) {
        Work(one);
      }
    }
  }

private:
  static constexpr duration kStep = milliseconds(10);
  static constexpr duration kTick = milliseconds(100);
  static constexpr duration kWork = milliseconds(12); ///< For each request.
  static constexpr double kRatePerGateway = 12;
  static constexpr double kSurgeShare = 0.8;

  struct request
  {
    duration mAt{};
    duration mEnded{};
    bool mRead = false;
  };
  struct gateway_model
  {
    connection_load mLoad;
    std::deque<std::size_t> mQueue;
    duration mWorked{}; ///< On the first of the queue.
    duration mBusy{};   ///< Since the last update of the load.
  };

  void Connect(bool aSurge)
  {
    mRequests.push_back({ mNow, {}, false });
    const std::size_t index = mRequests.size() - 1;
    const std::size_t first =
      aSurge && Uniform(mRandom) < kSurgeShare
        ? 0
        : static_cast<std::size_t>(Below(mRandom, mGateways.size()));
    // The caller tries one other gateway.
    if (!Accept(first, index)) {
      (void)Accept((first + 1 + Below(mRandom, mGateways.size() - 1)) %
                     mGateways.size(),
                   index);
    }
  }

  bool Accept(std::size_t aGateway, std::size_t aRequest)
  {
    gateway_model& one = mGateways[aGateway];
    ++one.mLoad.mNewSinceUpdate;
    double peers = 0;
    for (const gateway_model& peer : mGateways) {
      peers += &peer == &one ? 0 : peer.mLoad.mPerSecond;
    }
    peers /= static_cast<double>(mGateways.size() - 1);
    if (ConnectionVerdict(
          one.mLoad, one.mQueue.size(), kManyConnections, peers) !=
        connection_verdict::Accept) {
      return false;
    }
    mRequests[aRequest].mRead = true;
    one.mQueue.push_back(aRequest);
    return true;
  }

  void Work(gateway_model& aGateway)
  {
    duration left = kStep;
    while (left > duration::zero() && !aGateway.mQueue.empty()) {
      const duration part = std::min(left, kWork - aGateway.mWorked);
      left -= part;
      aGateway.mWorked += part;
      aGateway.mBusy += part;
      if (aGateway.mWorked >= kWork) {
        mRequests[aGateway.mQueue.front()].mEnded = mNow + kStep - left;
        aGateway.mQueue.pop_front();
        aGateway.mWorked = {};
      }
    }
    if (mNow % kTick == duration::zero()) {
      aGateway.mLoad = UpdatedLoad(aGateway.mLoad, kTick, aGateway.mBusy);
      aGateway.mBusy = {};
    }
  }

  std::vector<gateway_model> mGateways;
  random_engine mRandom;
  std::vector<request> mRequests;
  duration mNow{};
};

} // namespace

class connection_admission_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(connection_admission_test);
  CPPUNIT_TEST(SurgeToOneGatewayIsServed);
  CPPUNIT_TEST(EquallyLoadedGatewaysAcceptAll);
  CPPUNIT_TEST(GatewayWithTimeLeftAcceptsAll);
  CPPUNIT_TEST(OpenConnectionsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a gateway that takes on all callers of a surge, and makes
  /// each of them wait for all others.
  void SurgeToOneGatewayIsServed()
  {
    constexpr duration kContactTime = seconds(3);
    for (const std::size_t gateways : { 5U, 27U, 103U, 369U }) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        surge_simulation fleet(gateways, seed);
        fleet.Run();
        const double before = fleet.ServedShare(
          surge_simulation::kSurgeAt - seconds(5), surge_simulation::kSurgeAt);
        const double during =
          fleet.ServedShare(surge_simulation::kSurgeAt + kContactTime,
                            surge_simulation::kSurgeEnd - seconds(1));
        CPPUNIT_ASSERT_MESSAGE(
          std::to_string(gateways) + " gateways, seed " + std::to_string(seed) +
            ": " + std::to_string(during) + " of " + std::to_string(before),
          during >= 0.75 * before);
      }
    }
  }

  /// Guards against refusing callers who would find no better gateway.
  void EquallyLoadedGatewaysAcceptAll()
  {
    connection_load load;
    load.mBusyShare = 1;
    load.mPerSecond = 100;
    CPPUNIT_ASSERT(ConnectionVerdict(load, 10, kManyConnections, 90) ==
                   connection_verdict::Accept);
    CPPUNIT_ASSERT(
      ConnectionVerdict(load, 10, kManyConnections, std::nullopt) ==
      connection_verdict::Accept);
    CPPUNIT_ASSERT(ConnectionVerdict(load, 10, kManyConnections, 10) ==
                   connection_verdict::Surge);
  }

  void GatewayWithTimeLeftAcceptsAll()
  {
    connection_load load;
    load.mNewSinceUpdate = 50;
    for (int i = 0; i < 20; ++i) {
      load = UpdatedLoad(load, milliseconds(100), milliseconds(50));
      load.mNewSinceUpdate = 50;
    }
    CPPUNIT_ASSERT(load.mPerSecond > 400);
    CPPUNIT_ASSERT(load.mBusyShare < 0.6);
    CPPUNIT_ASSERT(ConnectionVerdict(load, 10, kManyConnections, 1) ==
                   connection_verdict::Accept);
  }

  void OpenConnectionsAreBounded()
  {
    CPPUNIT_ASSERT(ConnectionVerdict({}, 9, 10, std::nullopt) ==
                   connection_verdict::Accept);
    CPPUNIT_ASSERT(ConnectionVerdict({}, 10, 10, std::nullopt) ==
                   connection_verdict::TooMany);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(connection_admission_test,
                                      "connection-admission");
