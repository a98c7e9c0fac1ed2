#include "SampleEngine.h"

#include "LibFleet/LibFleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <limits>

using namespace primrose;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr duration kStep = milliseconds(100);

struct late_load
{
  std::size_t mGateways = 48;
  double mSmallShare = 0.875; ///< With 0.063 of a core, the others with half.
  double mSlowShare = 0.3;    ///< Five times slower, from the first second on.
  bool mEnabled = true;
  std::uint64_t mSeed = 1;
  /// The first slow gateway reports and hears nothing from this time on.
  duration mCutOffFrom = seconds(1000);
};

struct late_result
{
  double mLateShare = 0;   ///< Of requests, answered over a second late.
  double mMostResting = 0; ///< Share of a data centre's gateways at a time.
  double mRests = 0;
};

/// Gateways of three data centres with a balancer that probes them each second,
/// takes one out after two misses, and uses all if under half are left.
class late_simulation
{
public:
  explicit late_simulation(const late_load& aLoad)
    : mLoad(aLoad)
    , mGateways(aLoad.mGateways)
    , mRandom(aLoad.mSeed)
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      model& one = mGateways[i];
      one.mHost =
        "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1);
      one.mCoreShare = Uniform(mRandom) < aLoad.mSmallShare ? 0.063 : 0.5;
      one.mRotation.mSince = kStart;
    }
    // As many in each data centre, up to one.
    const double slow = aLoad.mSlowShare * static_cast<double>(aLoad.mGateways);
    for (std::size_t i = 0; i < static_cast<std::size_t>(slow); ++i) {
      mGateways[i].mSlow = true;
    }
  }

  late_result Run()
  {
    late_result result;
    for (mNow = {}; mNow < seconds(30); mNow += kStep) {
      Connect();
      for (std::size_t i = 0; i < mGateways.size(); ++i) {
        Work(mGateways[i]);
        Decide(i, result);
      }
      if (mNow % seconds(1) == duration::zero()) {
        Probe(result);
      }
    }
    result.mLateShare = mLate / std::max(1.0, mRequests);
    return result;
  }

private:
  static constexpr std::size_t kDataCentres = 3;
  static constexpr double kPerSecond = 12; ///< Requests, for each gateway.
  static constexpr double kWorkSeconds = 1.3e-3; ///< Of a full core.
  static constexpr std::size_t kPerTurn = 128;

  struct model
  {
    std::string mHost;
    double mCoreShare = 1;
    bool mSlow = false;
    std::deque<duration> mQueue; ///< Times of arrival.
    double mWorked = 0;          ///< Seconds, on the first of the queue.
    duration mLateness{};
    gateway_rotation mRotation;
    duration mReported{};
    unsigned mMisses = 0;
  };

  double WorkSeconds(const model& aGateway) const
  {
    const bool slow = aGateway.mSlow && mNow >= seconds(1);
    return kWorkSeconds / aGateway.mCoreShare * (slow ? 5 : 1);
  }

  void Connect()
  {
    for (std::size_t centre = 0; centre < kDataCentres; ++centre) {
      std::vector<model*> all;
      std::vector<model*> used;
      for (std::size_t i = centre; i < mGateways.size(); i += kDataCentres) {
        all.push_back(&mGateways[i]);
        if (mGateways[i].mMisses < 2) {
          used.push_back(&mGateways[i]);
        }
      }
      const std::vector<model*>& chosen =
        used.size() * 2 < all.size() ? all : used;
      const double rate =
        kPerSecond * static_cast<double>(all.size()) * Seconds(kStep);
      for (double left = rate; Uniform(mRandom) < left; --left) {
        chosen[Below(mRandom, chosen.size())]->mQueue.push_back(mNow);
        ++mRequests;
      }
    }
  }

  void Work(model& aGateway)
  {
    const double work = WorkSeconds(aGateway);
    aGateway.mWorked += Seconds(kStep);
    while (!aGateway.mQueue.empty() && aGateway.mWorked >= work) {
      aGateway.mWorked -= work;
      mLate += mNow - aGateway.mQueue.front() > seconds(1) ? 1 : 0;
      aGateway.mQueue.pop_front();
    }
    if (aGateway.mQueue.empty()) {
      aGateway.mWorked = 0;
    }
    const double turn =
      work * static_cast<double>(std::min(kPerTurn, aGateway.mQueue.size()));
    aGateway.mLateness =
      UpdatedLateness(aGateway.mLateness, FromSeconds(turn), kStep);
  }

  bool IsCutOff(std::size_t aIndex) const
  {
    return mNow >= mLoad.mCutOffFrom && mGateways[aIndex].mSlow &&
           std::none_of(mGateways.begin(),
                        mGateways.begin() + static_cast<std::ptrdiff_t>(aIndex),
                        [](const model& aOne) { return aOne.mSlow; });
  }

  void Decide(std::size_t aIndex, late_result& aResult)
  {
    model& one = mGateways[aIndex];
    if (!mLoad.mEnabled) {
      return;
    }
    rotation_inputs inputs{ one.mHost, one.mLateness, {} };
    for (std::size_t i = aIndex % kDataCentres; i < mGateways.size();
         i += kDataCentres) {
      if (i != aIndex && !IsCutOff(i) && !IsCutOff(aIndex)) {
        inputs.mPeers.push_back({ mGateways[i].mHost, mGateways[i].mReported });
      }
    }
    const bool before = one.mRotation.mResting;
    one.mRotation = NextRotation(one.mRotation, inputs, kStart + mNow);
    aResult.mRests += !before && one.mRotation.mResting ? 1 : 0;
    // With many peers, each hears of it every few seconds only.
    const duration spacing = seconds(1 + mGateways.size() / 33);
    if ((mNow + kStep * (aIndex % 10)) % spacing == duration::zero()) {
      one.mReported = ReportedLateness(one.mRotation, one.mLateness);
    }
  }

  void Probe(late_result& aResult)
  {
    for (std::size_t centre = 0; centre < kDataCentres; ++centre) {
      double resting = 0;
      double all = 0;
      for (std::size_t i = centre; i < mGateways.size(); i += kDataCentres) {
        model& one = mGateways[i];
        one.mMisses = one.mRotation.mResting ? one.mMisses + 1 : 0;
        resting += one.mRotation.mResting ? 1 : 0;
        ++all;
      }
      aResult.mMostResting = std::max(aResult.mMostResting, resting / all);
    }
  }

  late_load mLoad;
  std::vector<model> mGateways;
  random_engine mRandom;
  duration mNow{};
  double mRequests = 0;
  double mLate = 0;
};

/// Peers with these values of lateness.
std::vector<peer_lateness>
Peers(const std::vector<duration>& aValues)
{
  std::vector<peer_lateness> peers;
  peers.reserve(aValues.size());
  for (const duration value : aValues) {
    peers.push_back({ "10.0.0." + std::to_string(peers.size()), value });
  }
  return peers;
}

/// A gateway that has run for a minute.
gateway_rotation
InRotation()
{
  return { false, kStart - seconds(60), {} };
}

} // namespace

class gateway_load_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_load_test);
  CPPUNIT_TEST(LateGatewaysTakeFewerCallers);
  CPPUNIT_TEST(EquallyLateGatewaysStayInRotation);
  CPPUNIT_TEST(GatewaysInTimeStayInRotation);
  CPPUNIT_TEST(CutOffGatewayIsInRotation);
  CPPUNIT_TEST(SurgeIsNotHandedToAnother);
  CPPUNIT_TEST(RestIsBounded);
  CPPUNIT_TEST(RestartedGatewayBeginsInRotation);
  CPPUNIT_TEST(OddReportsAreBounded);
  CPPUNIT_TEST(DelayIsAddedOnlyWhereLate);
  CPPUNIT_TEST(PlacementsInTimeAreUnchanged);
  CPPUNIT_TEST(LateGatewayDividesLess);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against callers that wait at a gateway which is slow while others
  /// have time left.
  void LateGatewaysTakeFewerCallers()
  {
    for (const std::size_t gateways : { 15U, 48U, 103U, 350U }) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        late_load load;
        load.mGateways = gateways;
        load.mSeed = seed;
        const late_result with = late_simulation(load).Run();
        load.mEnabled = false;
        const late_result without = late_simulation(load).Run();
        const std::string text =
          std::to_string(gateways) + " gateways, seed " + std::to_string(seed) +
          ": late " + std::to_string(with.mLateShare) + " of " +
          std::to_string(without.mLateShare) + ", resting " +
          std::to_string(with.mMostResting);
        CPPUNIT_ASSERT_MESSAGE(text, with.mLateShare < without.mLateShare / 2);
        CPPUNIT_ASSERT_MESSAGE(text, with.mMostResting < 0.5);
      }
    }
  }

  /// Guards against gateways out of rotation where the others are no better.
  void EquallyLateGatewaysStayInRotation()
  {
    late_load load;
    load.mSlowShare = 1;
    load.mSmallShare = 1;
    const late_result result = late_simulation(load).Run();
    CPPUNIT_ASSERT(result.mLateShare > 0.1);
    CPPUNIT_ASSERT_EQUAL(0.0, result.mRests);
  }

  void GatewaysInTimeStayInRotation()
  {
    late_load load;
    load.mSlowShare = 0;
    CPPUNIT_ASSERT_EQUAL(0.0, late_simulation(load).Run().mRests);
  }

  /// Guards against a data centre whose gateways all leave the rotation
  /// because they hear nothing of each other.
  void CutOffGatewayIsInRotation()
  {
    const rotation_inputs alone{ "10.0.0.9", seconds(5), {} };
    CPPUNIT_ASSERT(!NextRotation(InRotation(), alone, kStart).mResting);
    const gateway_rotation resting{ true, kStart, seconds(5) };
    CPPUNIT_ASSERT(
      !NextRotation(resting, alone, kStart + milliseconds(100)).mResting);
    late_load load;
    load.mCutOffFrom = seconds(10);
    CPPUNIT_ASSERT(late_simulation(load).Run().mMostResting < 0.5);
  }

  /// Guards against a surge of callers that goes round all gateways because
  /// each of them leaves the rotation in turn.
  void SurgeIsNotHandedToAnother()
  {
    rotation_inputs inputs{ "10.0.0.9", seconds(1), Peers({ {}, {}, {} }) };
    CPPUNIT_ASSERT(NextRotation(InRotation(), inputs, kStart).mResting);
    inputs.mSurge = true;
    CPPUNIT_ASSERT(!NextRotation(InRotation(), inputs, kStart).mResting);
  }

  void RestIsBounded()
  {
    rotation_inputs inputs{ "10.0.0.9", seconds(5), Peers({ {}, {}, {} }) };
    gateway_rotation rotation = NextRotation(InRotation(), inputs, kStart);
    CPPUNIT_ASSERT(rotation.mResting);
    CPPUNIT_ASSERT(ReportedLateness(rotation, {}) == kMaxReportedLateness);
    // Also one that remains late.
    rotation = NextRotation(rotation, inputs, kStart + seconds(9));
    CPPUNIT_ASSERT(rotation.mResting);
    rotation = NextRotation(rotation, inputs, kStart + seconds(10));
    CPPUNIT_ASSERT(!rotation.mResting);
    CPPUNIT_ASSERT(
      !NextRotation(rotation, inputs, kStart + seconds(12)).mResting);
    CPPUNIT_ASSERT(
      NextRotation(rotation, inputs, kStart + seconds(13)).mResting);
    // One that has caught up returns earlier, but not before the balancer has
    // noticed that it was out.
    rotation = { true, kStart, seconds(5) };
    inputs.mLateness = milliseconds(10);
    CPPUNIT_ASSERT(
      NextRotation(rotation, inputs, kStart + seconds(3)).mResting);
    CPPUNIT_ASSERT(
      !NextRotation(rotation, inputs, kStart + seconds(4)).mResting);
  }

  /// A gateway is late while it reads the tables after its start.
  void RestartedGatewayBeginsInRotation()
  {
    const rotation_inputs inputs{ "10.0.0.9",
                                  seconds(5),
                                  Peers({ {}, {}, {} }) };
    const gateway_rotation started{ false, kStart, {} };
    CPPUNIT_ASSERT(!NextRotation(started, inputs, kStart).mResting);
    CPPUNIT_ASSERT(
      !NextRotation(started, inputs, kStart + seconds(2)).mResting);
    CPPUNIT_ASSERT(ReportedLateness(started, {}) == duration::zero());
  }

  /// Guards against peers that state wrong values: a minority cannot take
  /// others out of rotation, nor keep more than its share in it.
  void OddReportsAreBounded()
  {
    for (const duration odd : std::initializer_list<duration>{
           duration::max(), duration::min(), duration(-1), seconds(3600) }) {
      const std::vector<peer_lateness> peers =
        Peers({ odd, {}, milliseconds(1), {}, {}, {}, {}, {} });
      CPPUNIT_ASSERT(MedianLateness(peers) <= milliseconds(1));
      const rotation_inputs inTime{ "10.0.0.9", milliseconds(20), peers };
      CPPUNIT_ASSERT(!NextRotation(InRotation(), inTime, kStart).mResting);
      const rotation_inputs late{ "10.0.0.9", seconds(1), peers };
      CPPUNIT_ASSERT(NextRotation(InRotation(), late, kStart).mResting);
      CPPUNIT_ASSERT(UpdatedLateness(odd, odd, kStep) <= kMaxLateness);
      CPPUNIT_ASSERT(UpdatedLateness(odd, odd, kStep) >= duration::zero());
      CPPUNIT_ASSERT(ReportedLateness({ true, kStart, odd }, odd) <=
                     kMaxLateness);
    }
    for (const double share : { 0.0,
                                -1.0,
                                std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity() }) {
      const gateway_delay delay = OwnDelay(seconds(1), share);
      CPPUNIT_ASSERT(delay.mPerPart > duration::zero() &&
                     delay.mPerPart <= milliseconds(20));
    }
  }

  void DelayIsAddedOnlyWhereLate()
  {
    CPPUNIT_ASSERT(OwnDelay(milliseconds(59), 0.063) == gateway_delay{});
    CPPUNIT_ASSERT(OwnDelay(milliseconds(-5), 0.063) == gateway_delay{});
    const gateway_delay delay = OwnDelay(milliseconds(300), 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300.0, DelayMs(delay, 1), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(316.0, DelayMs(delay, 5), 1e-6);
    CPPUNIT_ASSERT_EQUAL(0.0, DelayMs({}, 17));
  }

  /// Guards against decisions that change where nobody is late.
  void PlacementsInTimeAreUnchanged()
  {
    for (const double tokens : { 500.0, 20000.0, 120000.0 }) {
      placement_request request = Request(tokens);
      const engine_choice before = Place(request);
      request.mOwnDelay = OwnDelay(milliseconds(59), 0.063);
      CPPUNIT_ASSERT(Summary(before) == Summary(Place(request)));
    }
  }

  void LateGatewayDividesLess()
  {
    placement_request request = Request(60000);
    const engine_choice before = Place(request);
    request.mOwnDelay = { seconds(1), milliseconds(400) };
    const engine_choice late = Place(request);
    CPPUNIT_ASSERT(late.mPrefillHelpers.size() < before.mPrefillHelpers.size());
    CPPUNIT_ASSERT(late.mFirstEventMs >= before.mFirstEventMs + 1000);
  }

private:
  static placement_request Request(double aTokens)
  {
    placement_request request;
    request.mScope = { "model", {} };
    request.mPromptTokens = aTokens;
    request.mAnswerTokens = 300;
    request.mLongestPause = milliseconds(500);
    request.mObjective = seconds(3);
    request.mWorth = WorthOfPrompt(aTokens);
    return request;
  }

  static engine_choice Place(const placement_request& aRequest)
  {
    static endpoint_registry registry = SampleEngines();
    return *PlaceOnEngines(
      registry, {}, SampleEngine(), aRequest, {}, "a", kStart);
  }

  using summary = std::
    tuple<placement_verdict, std::string, std::size_t, double, double, double>;

  static summary Summary(const engine_choice& aChoice)
  {
    return { aChoice.mVerdict,
             aChoice.mDecodeEngine->mListed.mId,
             aChoice.mPrefillHelpers.size(),
             aChoice.mFirstEventMs,
             aChoice.mGain,
             TotalHarm(aChoice.mHarm) };
  }

  static endpoint_registry SampleEngines()
  {
    endpoint_registry registry;
    for (int i = 0; i < 20; ++i) {
      endpoint one;
      one.mId = "i-" + std::to_string(i);
      one.mService = "model";
      one.mDataCentre = "a";
      (void)ApplyRow(registry, { one.mId, 1, one });
    }
    return registry;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(gateway_load_test, "gateway-load");
