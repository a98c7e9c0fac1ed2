#include "RingFixture.h"
#include "SampleEngine.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <deque>
#include <iostream>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
/// Time to batch a message, to transmit it, and until a slow gateway processes
/// it.
constexpr duration kGossipDelay = milliseconds(6);
constexpr double kPrefillMs = 24;
constexpr engine_capacity kEngine{ 12, 1626 };
constexpr std::size_t kEngines = 69;
constexpr organisation_key kFlooding = 1;

/// Organisations 1 to `aCount`, with use in proportion to 1 / k^1.2.
class organisation_sampler
{
public:
  explicit organisation_sampler(std::size_t aCount)
  {
    double sum = 0;
    for (std::size_t k = 1; k <= aCount; ++k) {
      sum += std::pow(static_cast<double>(k), -1.2);
      mSums.push_back(sum);
    }
  }
  organisation_key Next(random_engine& aRandom) const
  {
    const double at = Uniform(aRandom) * mSums.back();
    return static_cast<organisation_key>(
      std::upper_bound(mSums.begin(), mSums.end(), at) - mSums.begin() + 1);
  }
  double LargestShare() const { return 1 / mSums.back(); }

private:
  std::vector<double> mSums;
};

duration
NextGap(random_engine& aRandom, double aPerSecond)
{
  return FromSeconds(-std::log(1 - Uniform(aRandom)) / aPerSecond);
}

placement
Short(organisation_key aOrganisation,
      time_point aBegan,
      engine_key aEngine = 1,
      placement_key aKey = 0)
{
  placement placed;
  placed.mKey = aKey;
  placed.mEngines = { aEngine };
  placed.mPartPrefillMs = kPrefillMs;
  placed.mBegan = aBegan;
  placed.mExpires = aBegan + seconds(10);
  placed.mClass.mOrganisation = aOrganisation;
  return placed;
}

organisation_usage
UsageOfEngines(std::size_t aEngines = kEngines)
{
  organisation_usage usage;
  for (engine_key engine = 1; engine <= aEngines; ++engine) {
    AddEngineCapacity(usage, engine, kEngine, true);
  }
  return usage;
}

/// Adds requests of an organisation at even intervals.
void
AddSteadyUse(organisation_usage& aUsage,
             organisation_key aOrganisation,
             double aPerSecond,
             time_point aFrom,
             duration aFor)
{
  const duration gap = FromSeconds(1 / aPerSecond);
  for (time_point at = aFrom; at < aFrom + aFor; at += gap) {
    AddUse(aUsage, Short(aOrganisation, at), at);
  }
}

double
UseOf(const organisation_usage& aUsage,
      organisation_key aOrganisation,
      time_point aNow)
{
  return EngineMsPerSecond(aUsage, aOrganisation, aNow);
}

struct replay_settings
{
  bool mShares = true;
  double mHoldSeconds = 1.65; ///< Longer than declared: slow engines.
  std::size_t mGateways = 15;
  std::size_t mEngines = kEngines; ///< The load is in proportion.
  duration mFlood = seconds(24);
};

struct replay_result
{
  std::map<organisation_key, std::pair<double, double>> mServed; ///< Of asked.
  double mReserveAfter = 0; ///< Two windows after the flood.
  double mRejected = 0;     ///< Arrivals at engines without a free slot.

  double Rate(bool aFlooding) const
  {
    double served = 0;
    double asked = 0;
    for (const auto& [organisation, counts] : mServed) {
      if ((organisation == kFlooding) == aFlooding) {
        served += counts.first;
        asked += counts.second;
      }
    }
    return served / asked;
  }
  double Total() const
  {
    double served = 0;
    for (const auto& [organisation, counts] : mServed) {
      served += counts.first;
    }
    return served;
  }
  double RateOfAll() const
  {
    double asked = 0;
    for (const auto& [organisation, counts] : mServed) {
      asked += counts.second;
    }
    return Total() / asked;
  }
};

/// Gateways that place short prompts on the engines that they prefer, and hear
/// of the placements on these after `kGossipDelay`. Admission by slots is a
/// stand-in: a request is admitted if the free share that its gateway knows is
/// above its reserve. An engine without a free slot rejects a request, which is
/// then sent to another engine once.
class flood_replay
{
public:
  explicit flood_replay(const replay_settings& aSettings)
    : mSettings(aSettings)
    , mGateways(aSettings.mGateways)
    , mHearing(aSettings.mEngines)
    , mInUse(aSettings.mEngines, 0)
  {
    const std::vector<std::string> hosts = Hosts(aSettings.mGateways);
    const endpoint_registry registry = Engines(aSettings.mEngines);
    const subset_ring ring = Ring(hosts, registry);
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      mGateways[i].mInUse.resize(aSettings.mEngines);
      for (std::size_t engine = 0; engine < aSettings.mEngines; ++engine) {
        if (Prefers(
              ring, hosts[i], EngineKey("engine-" + std::to_string(engine)))) {
          mGateways[i].mPreferred.push_back(engine);
          mHearing[engine].push_back(i);
          AddEngineCapacity(mGateways[i].mUsage,
                            static_cast<engine_key>(engine),
                            kEngine,
                            true);
        }
      }
    }
  }

  replay_result Run()
  {
    constexpr double kFloodFactor = 14;
    const double usual = 86.0 / kEngines * double(mSettings.mEngines);
    const organisation_sampler organisations(24);
    const double extra =
      usual * organisations.LargestShare() * (kFloodFactor - 1);
    const time_point end = FloodEnd() + 2 * kUsageWindow;
    for (time_point now = kStart; now < end;) {
      const bool flood = IsFlood(now);
      const double rate = usual + (flood ? extra : 0);
      now += NextGap(mRandom, rate);
      Request(Uniform(mRandom) * rate < usual ? organisations.Next(mRandom)
                                              : kFlooding,
              now);
    }
    mResult.mReserveAfter =
      ShareReserve(mGateways[0].mUsage, kFlooding, end).mShare;
    return mResult;
  }

private:
  static constexpr time_point kFloodBegin = kStart + seconds(6);
  static constexpr int kSlots = 12;

  struct simulated_gateway
  {
    organisation_usage mUsage;
    std::vector<std::size_t> mPreferred;
    std::vector<int> mInUse; ///< Known requests, by engine.
  };
  struct change
  {
    time_point mAt{};
    std::size_t mGateway = 0;
    std::size_t mEngine = 0;
    int mRequests = 0; ///< 1: a placement, -1: its end.
    organisation_key mOrganisation = 0;
  };

  time_point FloodEnd() const { return kFloodBegin + mSettings.mFlood; }
  bool IsFlood(time_point aNow) const
  {
    return aNow >= kFloodBegin && aNow < FloodEnd();
  }

  void Learn(std::size_t aGateway, const change& aChange, time_point aNow)
  {
    simulated_gateway& gateway = mGateways[aGateway];
    gateway.mInUse[aChange.mEngine] += aChange.mRequests;
    gateway.mUsage.mInFlight += aChange.mRequests;
    if (aChange.mRequests > 0) {
      AddUse(gateway.mUsage,
             Short(aChange.mOrganisation,
                   aChange.mAt,
                   static_cast<engine_key>(aChange.mEngine)),
             aNow);
    }
  }

  void Record(const change& aChange)
  {
    mInUse[aChange.mEngine] += aChange.mRequests;
    Learn(aChange.mGateway, aChange, aChange.mAt);
    mMessages.push_back(aChange);
  }

  void Advance(time_point aNow)
  {
    for (; !mOpen.empty() && mOpen.front().mAt <= aNow; mOpen.pop_front()) {
      Record(mOpen.front());
    }
    for (; !mMessages.empty() && mMessages.front().mAt + kGossipDelay <= aNow;
         mMessages.pop_front()) {
      const change& one = mMessages.front();
      for (const std::size_t hearing : mHearing[one.mEngine]) {
        if (hearing != one.mGateway) {
          Learn(hearing, one, one.mAt + kGossipDelay);
        }
      }
    }
  }

  /// The preferred engine with the most free slots, as the gateway knows.
  std::size_t Choose(const simulated_gateway& aGateway, std::size_t aExcept)
  {
    const std::vector<std::size_t>& engines = aGateway.mPreferred;
    const std::size_t first = Below(mRandom, engines.size());
    std::size_t best = aExcept;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      const std::size_t engine = engines[(first + i) % engines.size()];
      if (engine != aExcept && (best == aExcept || aGateway.mInUse[engine] <
                                                     aGateway.mInUse[best])) {
        best = engine;
      }
    }
    return best;
  }

  bool Send(std::size_t aGateway,
            organisation_key aOrganisation,
            time_point aNow)
  {
    std::size_t engine = mSettings.mEngines;
    for (int attempt = 0; attempt < 2; ++attempt) {
      engine = Choose(mGateways[aGateway], engine);
      if (mInUse[engine] < kSlots) {
        Record({ aNow, aGateway, engine, 1, aOrganisation });
        mOpen.push_back({ aNow + FromSeconds(mSettings.mHoldSeconds),
                          aGateway,
                          engine,
                          -1,
                          aOrganisation });
        return true;
      }
      mResult.mRejected += IsFlood(aNow) ? 1 : 0;
    }
    return false;
  }

  void Request(organisation_key aOrganisation, time_point aNow)
  {
    Advance(aNow);
    const std::size_t index = Below(mRandom, mGateways.size());
    const organisation_usage& usage = mGateways[index].mUsage;
    const double reserve =
      mSettings.mShares ? ShareReserve(usage, aOrganisation, aNow).mShare : 0;
    const bool served = 1 - usage.mInFlight / usage.mSlots > reserve &&
                        Send(index, aOrganisation, aNow);
    if (IsFlood(aNow)) {
      mResult.mServed[aOrganisation].first += served ? 1 : 0;
      mResult.mServed[aOrganisation].second += 1;
    }
  }

  replay_settings mSettings;
  std::vector<simulated_gateway> mGateways;
  std::vector<std::vector<std::size_t>> mHearing; ///< Gateways, by engine.
  std::vector<int> mInUse;                        ///< By engine.
  std::deque<change> mOpen;                       ///< Ends of open requests.
  std::deque<change> mMessages;
  random_engine mRandom{ 5 };
  replay_result mResult;
};

/// What sampled gateways of a large fleet know of the use of organisations.
struct fleet_view
{
  double mError = 0; ///< Median error of the largest's part of all use.
  double mWorstError = 0;
  double mFoundAfter = 0; ///< Median, in seconds after the flood begins.
  double mWorstFoundAfter = 0;
  double mWorstClearedAfter = 0; ///< After the flood ends.
};

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

/// Gateways that place on the engines that they prefer, and hear of the
/// placements on these.
class fleet_simulation
{
public:
  fleet_simulation(std::size_t aGateways,
                   std::size_t aEngines,
                   std::size_t aOrganisations)
    : mHosts(Hosts(aGateways))
    , mOrganisations(aOrganisations)
    , mPreferred(aGateways)
    , mEngineCount(static_cast<double>(aEngines))
  {
    const endpoint_registry registry = Engines(aEngines);
    const subset_ring ring = Ring(mHosts, registry);
    const std::size_t step = std::max<std::size_t>(1, aGateways / kSampled);
    for (std::size_t i = 0; i < aGateways; ++i) {
      const bool sampled = i % step == 0;
      if (sampled) {
        mSampled.push_back({ i, {} });
      }
      for (const auto& [id, known] : registry.mEndpoints) {
        const engine_key engine = EngineKey(id);
        const bool preferred = Prefers(ring, mHosts[i], engine);
        if (preferred) {
          mPreferred[i].push_back(engine);
        }
        if (sampled) {
          AddEngineCapacity(mSampled.back().mUsage, engine, kEngine, preferred);
          if (preferred) {
            mHearing[engine].push_back(mSampled.size() - 1);
          }
        }
        if (i == 0) {
          AddEngineCapacity(mExact, engine, kEngine, true);
        }
      }
    }
  }

  fleet_view Run()
  {
    fleet_view view;
    Play(kStart, kFloodBegin, 0);
    std::vector<double> errors;
    for (const sampled_gateway& one : mSampled) {
      errors.push_back(
        std::abs(PartOfLargest(one.mUsage) / PartOfLargest(mExact) - 1));
    }
    view.mError = Median(errors);
    view.mWorstError = *std::max_element(errors.begin(), errors.end());
    Play(kFloodBegin, kFloodEnd, kFloodPerEngine);
    Play(kFloodEnd, kFloodEnd + seconds(4), 0);
    std::vector<double> found;
    for (const sampled_gateway& one : mSampled) {
      found.push_back(Seconds(one.mFoundAt - kFloodBegin));
      view.mWorstClearedAfter =
        std::max(view.mWorstClearedAfter, Seconds(one.mLastOverAt - kFloodEnd));
    }
    view.mFoundAfter = Median(found);
    view.mWorstFoundAfter = *std::max_element(found.begin(), found.end());
    return view;
  }

private:
  static constexpr std::size_t kSampled = 24;
  static constexpr double kUsualPerEngine = 2; ///< Requests each second.
  static constexpr double kFloodPerEngine = 4;
  static constexpr time_point kFloodBegin = kStart + seconds(8);
  static constexpr time_point kFloodEnd = kFloodBegin + seconds(6);

  struct sampled_gateway
  {
    std::size_t mIndex = 0;
    organisation_usage mUsage;
    time_point mFoundAt = time_point::max(); ///< The flood, as over its share.
    time_point mLastOverAt{};
  };

  double PartOfLargest(const organisation_usage& aUsage) const
  {
    return FindTracked(aUsage, kFlooding)->mSinceTracked.mEngineMs /
           aUsage.mTotal.mEngineMs;
  }

  void Check(time_point aNow)
  {
    for (sampled_gateway& one : mSampled) {
      if (ShareOf(one.mUsage, kFlooding, aNow).mOver) {
        one.mFoundAt = std::min(one.mFoundAt, aNow);
        one.mLastOverAt = aNow;
      }
    }
  }

  void Place(organisation_key aOrganisation, time_point aNow)
  {
    const std::size_t gateway = Below(mRandom, mHosts.size());
    const std::vector<engine_key>& engines = mPreferred[gateway];
    const engine_key engine = engines[Below(mRandom, engines.size())];
    const placement placed = Short(aOrganisation, aNow, engine);
    AddUse(mExact, placed, aNow);
    for (const std::size_t hearing : mHearing[engine]) {
      AddUse(mSampled[hearing].mUsage, placed, aNow + kGossipDelay);
    }
  }

  void Play(time_point aFrom, time_point aTo, double aFloodPerEngine)
  {
    constexpr duration kCheckInterval = milliseconds(50);
    const double rate = (kUsualPerEngine + aFloodPerEngine) * mEngineCount;
    time_point nextCheck = aFrom;
    for (time_point now = aFrom; now < aTo; now += NextGap(mRandom, rate)) {
      for (; nextCheck <= now; nextCheck += kCheckInterval) {
        Check(nextCheck + kGossipDelay);
      }
      const bool usual =
        Uniform(mRandom) * rate < kUsualPerEngine * mEngineCount;
      Place(usual ? mOrganisations.Next(mRandom) : kFlooding, now);
    }
  }

  std::vector<std::string> mHosts;
  organisation_sampler mOrganisations;
  std::vector<std::vector<engine_key>> mPreferred; ///< By gateway.
  std::map<engine_key, std::vector<std::size_t>> mHearing;
  std::vector<sampled_gateway> mSampled;
  organisation_usage mExact;
  double mEngineCount;
  random_engine mRandom{ 9 };
};

} // namespace

class fair_share_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fair_share_test);
  CPPUNIT_TEST(UseIsEngineTimeOfPlacements);
  CPPUNIT_TEST(EndBeforePrefillReturnsUse);
  CPPUNIT_TEST(HeavyOrganisationsAreExactAmongThousands);
  CPPUNIT_TEST(NobodyIsOverShareWithoutContention);
  CPPUNIT_TEST(EqualOrganisationsAreNotOverShare);
  CPPUNIT_TEST(SteadyLargestIsNotPenalisedForFloodOfAnother);
  CPPUNIT_TEST(WeightRaisesShare);
  CPPUNIT_TEST(ReserveFollowsUseOfOthers);
  CPPUNIT_TEST(SlightExcessIsHardlyLimitedDuringFlood);
  CPPUNIT_TEST(FloodIsBorneByItsOrganisation);
  CPPUNIT_TEST(FloodOnLargeFleetsIsBorneByItsOrganisation);
  CPPUNIT_TEST(FloodOnSlowEnginesIsBorneByItsOrganisation);
  CPPUNIT_TEST(LongPromptOverSharePaysHigherPrice);
  CPPUNIT_TEST(LargeFleetsKnowUseWithinBounds);
  CPPUNIT_TEST(UseOfKilledGatewayDecays);
  CPPUNIT_TEST(GatewayThatIsCutOffPenalisesNobody);
  CPPUNIT_TEST(RestartedGatewayRecoversWithinOneWindow);
  CPPUNIT_TEST(PausedGatewayForgetsOldFlood);
  CPPUNIT_TEST(AllStartEvenAfterRestartOfAll);
  CPPUNIT_TEST(PeersThatDisagreeDifferByBoundedReserve);
  CPPUNIT_TEST_SUITE_END();

public:
  void UseIsEngineTimeOfPlacements()
  {
    organisation_usage usage = UsageOfEngines();
    AddSteadyUse(usage, 7, 10, kStart, seconds(20));
    const double perRequest = kPrefillMs + kEngine.mDecodeMs / kEngine.mSlots;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      10 * perRequest, UseOf(usage, 7, kStart + seconds(20)), perRequest);
    // A divided prompt counts with all of its parts.
    organisation_usage other = UsageOfEngines();
    placement divided = Short(7, kStart);
    divided.mEngines = { 1, 2, 3 };
    AddUse(other, divided, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL((perRequest + 2 * kPrefillMs) /
                                   Seconds(kUsageWindow),
                                 UseOf(other, 7, kStart),
                                 1e-9);
  }

  void EndBeforePrefillReturnsUse()
  {
    organisation_usage usage = UsageOfEngines();
    AddSteadyUse(usage, 7, 10, kStart, seconds(4));
    const time_point now = kStart + seconds(4);
    const double before = UseOf(usage, 7, now);
    const placement refused = Short(7, now);
    AddUse(usage, refused, now);
    const time_point later = now + milliseconds(300);
    ReturnUse(usage, refused, later);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(before *
                                   std::exp(-0.3 / Seconds(kUsageWindow)),
                                 UseOf(usage, 7, later),
                                 1e-6);
  }

  /// Guards against unbounded memory, and against light organisations that are
  /// taken for heavy ones because they replaced others.
  void HeavyOrganisationsAreExactAmongThousands()
  {
    const organisation_sampler organisations(2000);
    organisation_usage usage = UsageOfEngines();
    random_engine random(3);
    time_point now = kStart;
    for (int i = 0; i < 40000; ++i, now += milliseconds(2)) {
      const organisation_key organisation = organisations.Next(random);
      AddUse(usage, Short(organisation, now), now);
    }
    CPPUNIT_ASSERT(usage.mTracked.size() <= kMaxTrackedOrganisations);
    // Once more, counting each organisation by itself.
    std::map<organisation_key, organisation_usage> alone;
    random_engine again(3);
    now = kStart;
    for (int i = 0; i < 40000; ++i, now += milliseconds(2)) {
      const organisation_key organisation = organisations.Next(again);
      if (i > 30000) {
        alone.try_emplace(organisation, UsageOfEngines(1));
        AddUse(alone.at(organisation), Short(organisation, now), now);
      }
    }
    const double total = usage.mTotal.mEngineMs * PerSecondFactor(usage, now);
    for (const auto& [organisation, own] : alone) {
      const double truth = UseOf(own, organisation, now);
      const double known = UseOf(usage, organisation, now);
      CPPUNIT_ASSERT(known <= truth + 1e-3 * total);
      CPPUNIT_ASSERT(known >= truth - total / kMaxTrackedOrganisations);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      UseOf(alone.at(1), 1, now), UseOf(usage, 1, now), 1e-3 * total);
  }

  /// Guards against limits on an organisation that is only the largest of
  /// skewed ones, while others leave the engines unused.
  void NobodyIsOverShareWithoutContention()
  {
    organisation_usage usage = UsageOfEngines();
    const time_point now = kStart + seconds(10);
    AddSteadyUse(usage, 1, 200, kStart, seconds(10));
    AddSteadyUse(usage, 2, 5, kStart, seconds(10));
    CPPUNIT_ASSERT(!FairLevel(usage, now).has_value());
    CPPUNIT_ASSERT_EQUAL(slot_reserve{}.mShare,
                         ShareReserve(usage, 1, now).mShare);
    CPPUNIT_ASSERT_EQUAL(1.0, PrefillPriceFactor(usage, 1, now));
  }

  /// Guards against refusals that help nobody: if all ask for the same, no
  /// organisation can be limited in favour of another.
  void EqualOrganisationsAreNotOverShare()
  {
    organisation_usage usage = UsageOfEngines();
    random_engine random(2);
    time_point now = kStart;
    for (; now < kStart + seconds(10); now += NextGap(random, 480)) {
      AddUse(usage,
             Short(1 + static_cast<organisation_key>(Below(random, 4)), now),
             now);
    }
    CPPUNIT_ASSERT(FairLevel(usage, now).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountOverShare(usage, now));
  }

  void SteadyLargestIsNotPenalisedForFloodOfAnother()
  {
    organisation_usage usage = UsageOfEngines();
    const time_point now = kStart + seconds(10);
    AddSteadyUse(usage, 1, 60, kStart, seconds(10));
    for (organisation_key other = 3; other < 20; ++other) {
      AddSteadyUse(usage, other, 3, kStart, seconds(10));
    }
    AddSteadyUse(usage, 2, 350, kStart, seconds(10));
    CPPUNIT_ASSERT(!ShareOf(usage, 1, now).mOver);
    CPPUNIT_ASSERT(ShareOf(usage, 2, now).mOver);
    CPPUNIT_ASSERT(ShareReserve(usage, 2, now).mReason ==
                   admission_reason::OverShare);
    // A caller that is told to come back then is not refused by share again.
    const duration wait = TimeUntilWithinShare(usage, 2, now);
    CPPUNIT_ASSERT(wait > duration::zero() && wait < 2 * kUsageWindow);
    CPPUNIT_ASSERT(!ShareOf(usage, 2, now + wait + milliseconds(1)).mOver);
    CPPUNIT_ASSERT(TimeUntilWithinShare(usage, 1, now) == duration::zero());
  }

  void WeightRaisesShare()
  {
    organisation_usage usage = UsageOfEngines();
    const time_point now = kStart + seconds(10);
    AddSteadyUse(usage, OrganisationKey("large"), 300, kStart, seconds(10));
    AddSteadyUse(usage, OrganisationKey("small"), 120, kStart, seconds(10));
    CPPUNIT_ASSERT(ShareOf(usage, OrganisationKey("large"), now).mOver);
    SetOrganisationWeights(usage, { { "large", 5 } });
    CPPUNIT_ASSERT(!ShareOf(usage, OrganisationKey("large"), now).mOver);
    SetOrganisationWeights(usage, { { "large", 5 }, { "small", 0.1 } });
    CPPUNIT_ASSERT(ShareOf(usage, OrganisationKey("small"), now).mOver);
  }

  /// Guards against a reserve that keeps slots free which nobody asks for, and
  /// against one that shuts an organisation out.
  void ReserveFollowsUseOfOthers()
  {
    const auto reserve = [](double aOthersPerSecond) {
      organisation_usage usage = UsageOfEngines();
      AddSteadyUse(usage, 1, 400, kStart, seconds(10));
      AddSteadyUse(usage, 2, aOthersPerSecond, kStart, seconds(10));
      return ShareReserve(usage, 1, kStart + seconds(10)).mShare * usage.mSlots;
    };
    // Others that begin 0.17 requests in the time of one: as many slots.
    CPPUNIT_ASSERT(reserve(0.1) < 0.2);
    CPPUNIT_ASSERT(reserve(10) > 5 && reserve(10) < 17);
    CPPUNIT_ASSERT(reserve(56) > 12 && reserve(56) < 40);
    // More than an even split: the other is over its share itself.
    CPPUNIT_ASSERT(reserve(380) < 0.5 * 828);
  }

  /// Guards against refusals of organisations whose demand varies around their
  /// shares while another one floods the engines.
  void SlightExcessIsHardlyLimitedDuringFlood()
  {
    constexpr organisation_key kVarying = 2;
    const auto usage = [](double aFloodPerSecond) {
      organisation_usage used = UsageOfEngines();
      for (organisation_key other = 3; other < 23; ++other) {
        AddSteadyUse(used, other, 3, kStart, seconds(10));
      }
      AddSteadyUse(used, kVarying, 40, kStart, seconds(10));
      if (aFloodPerSecond > 0) {
        AddSteadyUse(used, kFlooding, aFloodPerSecond, kStart, seconds(10));
      }
      // Engines that are slower than declared.
      used.mInFlight = 3 * used.mSlots;
      return used;
    };
    const time_point now = kStart + seconds(10);
    const organisation_usage flood = usage(300);
    CPPUNIT_ASSERT(ShareOf(flood, kVarying, now).mOver);
    const double ofFlood = ShareReserve(flood, kFlooding, now).mShare;
    const double ofVarying = ShareReserve(flood, kVarying, now).mShare;
    CPPUNIT_ASSERT(ofVarying > 0 && ofVarying < 0.1 * ofFlood);
    // Without the flood it is the one that is furthest over its share.
    const organisation_usage calm = usage(0);
    CPPUNIT_ASSERT(ShareReserve(calm, kVarying, now).mShare > 5 * ofVarying);
  }

  void FloodIsBorneByItsOrganisation() { CheckFlood({}); }

  void FloodOnLargeFleetsIsBorneByItsOrganisation()
  {
    for (const double hold : { 1.65, 2.5 }) {
      CheckFlood({ true, hold, 103, 172, seconds(10) });
      CheckFlood({ true, hold, 350, 1200, seconds(10) });
    }
  }

  /// Guards against a contention that is not recognised where engines are
  /// slower than declared, so that less work than expected fills all slots.
  void FloodOnSlowEnginesIsBorneByItsOrganisation()
  {
    CheckFlood({ true, 2.5 });
    CheckFlood({ true, 5 });
  }

  void LongPromptOverSharePaysHigherPrice()
  {
    endpoint_registry registry = Engines(20);
    engine_ledger ledger;
    for (const auto& [id, known] : registry.mEndpoints) {
      placement placed = Short(2, kStart, EngineKey(id), EngineKey(id));
      placed.mPartPrefillMs = 500;
      placed.mLongestPause = seconds(2);
      AddPlacement(ledger, placed, kStart);
    }
    placement_request request{
      { "model", {} }, 100000,     1600,
      seconds(2),      seconds(5), WorthOfPrompt(100000)
    };
    const auto price = [&](double aFactor) {
      request.mPriceFactor = aFactor;
      const std::optional<engine_choice> choice = PlaceOnEngines(
        registry, ledger, SampleEngine(), request, {}, "a", kStart);
      return choice->mPrice;
    };
    const double usual = price(1);
    CPPUNIT_ASSERT(usual > 0);
    CPPUNIT_ASSERT_EQUAL(2 * usual, price(2));
    // The factor of an organisation over its share is above 1 and bounded.
    organisation_usage usage = UsageOfEngines();
    AddSteadyUse(usage, 1, 450, kStart, seconds(10));
    AddSteadyUse(usage, 2, 30, kStart, seconds(10));
    const time_point now = kStart + seconds(10);
    CPPUNIT_ASSERT(PrefillPriceFactor(usage, 1, now) > 1.2);
    CPPUNIT_ASSERT(PrefillPriceFactor(usage, 1, now) <= 3);
    CPPUNIT_ASSERT_EQUAL(1.0, PrefillPriceFactor(usage, 2, now));
  }

  /// Guards against gateways of large fleets that see too small a sample to
  /// know who floods the engines.
  void LargeFleetsKnowUseWithinBounds()
  {
    for (const auto& [gateways, engines] :
         { std::pair<std::size_t, std::size_t>(15, 69),
           { 103, 172 },
           { 369, 1200 },
           { 738, 1200 } }) {
      for (const std::size_t organisations : { 24, 333, 2000 }) {
        const fleet_view view =
          fleet_simulation(gateways, engines, organisations).Run();
        if (std::getenv("PRIMROSE_FIGURES") != nullptr) {
          std::cout << "\n| " << gateways << " | " << engines << " | "
                    << organisations << " | " << view.mError << " | "
                    << view.mWorstError << " | " << view.mFoundAfter << " | "
                    << view.mWorstFoundAfter << " | " << view.mWorstClearedAfter
                    << " |";
        }
        CPPUNIT_ASSERT(view.mError <= 0.15);
        CPPUNIT_ASSERT(view.mWorstError <= 0.35);
        CPPUNIT_ASSERT(view.mWorstFoundAfter <= 2.5);
        CPPUNIT_ASSERT(view.mWorstClearedAfter <= 2);
      }
    }
  }

  /// Guards against use that lasts after the gateway that announced it was
  /// killed, and against use that vanishes with it while its work still runs.
  void UseOfKilledGatewayDecays()
  {
    organisation_usage usage = UsageOfEngines();
    engine_ledger ledger;
    time_point now = kStart;
    for (placement_key key = 1; now < kStart + seconds(4);
         ++key, now += milliseconds(10)) {
      placement placed = Short(1, now, 1, key);
      placed.mOwner = 77;
      AddUse(usage, placed, now);
      AddPlacement(ledger, placed, now);
    }
    const double before = UseOf(usage, 1, now);
    RemovePlacementsOfOwner(ledger, 77, now);
    CPPUNIT_ASSERT(ledger.mPlacements.empty());
    CPPUNIT_ASSERT_EQUAL(before, UseOf(usage, 1, now));
    CPPUNIT_ASSERT(UseOf(usage, 1, now + 3 * kUsageWindow) < 0.06 * before);
  }

  /// A gateway that is cut off sees only its own callers: a fifteenth of the
  /// load.
  void GatewayThatIsCutOffPenalisesNobody()
  {
    organisation_usage usage = UsageOfEngines();
    const time_point cutOff = kStart + seconds(10);
    AddFlood(usage, kStart, seconds(10), 1);
    CPPUNIT_ASSERT(ShareOf(usage, kFlooding, cutOff).mOver);
    AddFlood(usage, cutOff, seconds(4), 15);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         CountOverShare(usage, cutOff + seconds(4)));
    // Back again: the flood is known after one window.
    AddFlood(usage, cutOff + seconds(4), kUsageWindow, 1);
    CPPUNIT_ASSERT(
      ShareOf(usage, kFlooding, cutOff + seconds(4) + kUsageWindow).mOver);
  }

  /// Peers tell a restarted gateway which requests are open. These and the
  /// placements of one window suffice.
  void RestartedGatewayRecoversWithinOneWindow()
  {
    organisation_usage running = UsageOfEngines();
    organisation_usage restarted = UsageOfEngines();
    const time_point restart = kStart + seconds(10);
    AddFlood(running, kStart, seconds(10), 1);
    const duration open = milliseconds(1650);
    const duration gap = FromSeconds(1 / kFloodPerSecond);
    for (time_point at = restart - open; at < restart; at += gap) {
      AddUse(restarted, Short(kFlooding, at), restart);
    }
    const double known = UseOf(running, kFlooding, restart);
    CPPUNIT_ASSERT(UseOf(restarted, kFlooding, restart) > 0.5 * known);
    AddFlood(running, restart, kUsageWindow, 1);
    AddFlood(restarted, restart, kUsageWindow, 1);
    const time_point later = restart + kUsageWindow;
    CPPUNIT_ASSERT(UseOf(restarted, kFlooding, later) >
                   0.8 * UseOf(running, kFlooding, later));
    CPPUNIT_ASSERT(ShareOf(restarted, kFlooding, later).mOver);
  }

  /// Guards against decisions by what was known before a pause of 5 s, and
  /// against the messages that waited meanwhile: they are read at once, as if
  /// they were new.
  void PausedGatewayForgetsOldFlood()
  {
    organisation_usage usage = UsageOfEngines();
    AddFlood(usage, kStart, seconds(10), 1);
    const time_point resumed = kStart + seconds(15);
    usage.mInFlight = 800;
    CPPUNIT_ASSERT(UseOf(usage, kFlooding, resumed) <
                   0.1 * UseOf(usage, kFlooding, resumed - seconds(5)));
    // The flood ended with the pause; 86 usual requests a second were queued.
    for (int i = 0; i < 5 * 86; ++i) {
      AddUse(usage,
             Short(1 + static_cast<organisation_key>(i % 24), resumed),
             resumed);
    }
    usage.mInFlight = 142;
    const time_point later = resumed + kUsageWindow;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountOverShare(usage, later));
  }

  void AllStartEvenAfterRestartOfAll()
  {
    organisation_usage usage = UsageOfEngines();
    usage.mInFlight = 828;
    CPPUNIT_ASSERT(!ShareOf(usage, kFlooding, kStart).mOver);
    CPPUNIT_ASSERT_EQUAL(0.0, ShareReserve(usage, kFlooding, kStart).mShare);
    AddFlood(usage, kStart, kUsageWindow, 1);
    CPPUNIT_ASSERT(ShareOf(usage, kFlooding, kStart + kUsageWindow).mOver);
  }

  /// Two gateways of which each misses another half of the placements.
  void PeersThatDisagreeDifferByBoundedReserve()
  {
    std::array<organisation_usage, 2> usages = { UsageOfEngines(),
                                                 UsageOfEngines() };
    random_engine random(4);
    time_point now = kStart;
    for (; now < kStart + seconds(10); now += NextGap(random, 470)) {
      const organisation_key organisation =
        Uniform(random) < 0.85
          ? kFlooding
          : 2 + static_cast<organisation_key>(Below(random, 23));
      AddUse(usages[Below(random, 2)], Short(organisation, now), now);
    }
    std::array<double, 2> reserves{};
    for (std::size_t i = 0; i < 2; ++i) {
      // Both learn from the engines' answers that the slots are in use.
      usages[i].mInFlight = 780;
      CPPUNIT_ASSERT(ShareOf(usages[i], kFlooding, now).mOver);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountOverShare(usages[i], now));
      reserves[i] = ShareReserve(usages[i], kFlooding, now).mShare;
    }
    CPPUNIT_ASSERT(reserves[0] > 0 && reserves[1] > 0);
    CPPUNIT_ASSERT(std::abs(reserves[0] - reserves[1]) < 0.02);
  }

private:
  static constexpr double kFloodPerSecond = 400;

  /// A flood, and 23 others that send 60 requests a second together; one of
  /// `aPart` of these requests is known.
  static void AddFlood(organisation_usage& aUsage,
                       time_point aFrom,
                       duration aFor,
                       double aPart)
  {
    constexpr double kOthersPerSecond = 60;
    AddSteadyUse(aUsage, kFlooding, kFloodPerSecond / aPart, aFrom, aFor);
    for (organisation_key other = 2; other <= 24; ++other) {
      AddSteadyUse(aUsage, other, kOthersPerSecond / 23 / aPart, aFrom, aFor);
    }
  }

  static void CheckFlood(replay_settings aSettings)
  {
    const replay_result with = flood_replay(aSettings).Run();
    aSettings.mShares = false;
    const replay_result without = flood_replay(aSettings).Run();
    if (std::getenv("PRIMROSE_FIGURES") != nullptr) {
      std::cout << "\n"
                << aSettings.mGateways << " gateways, " << aSettings.mEngines
                << " engines, " << aSettings.mHoldSeconds << " s: others "
                << with.Rate(false) << ", flooding " << with.Rate(true)
                << ", all " << with.RateOfAll() << ", answered " << with.Total()
                << ", rejected " << with.mRejected << "; without shares "
                << without.Rate(false) << ", " << without.Rate(true) << ", "
                << without.RateOfAll() << ", " << without.Total() << ", "
                << without.mRejected;
    }
    CPPUNIT_ASSERT(with.Rate(false) >= 0.95);
    CPPUNIT_ASSERT(with.Rate(true) >= 0.25 * with.RateOfAll());
    CPPUNIT_ASSERT(with.Total() >= 0.95 * without.Total());
    CPPUNIT_ASSERT_EQUAL(0.0, with.mReserveAfter);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fair_share_test, "fair-shares");
