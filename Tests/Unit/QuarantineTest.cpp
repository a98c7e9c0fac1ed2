#include "RingFixture.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace primrose;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr request_digest kRequest = 0x5eed;
constexpr request_digest kPart = kPromptPartBit | 1U;

crash_report
CrashOf(engine_key aEndpoint, bool aAnswering = false)
{
  return { kRequest, aEndpoint, aAnswering };
}

bool
IsSent(const quarantine& aQuarantine, time_point aNow)
{
  return QuarantineVerdictFor(aQuarantine, kRequest, 0, aNow) ==
         quarantine_verdict::Send;
}

/// Simulates the quarantine of a fleet of gateways in virtual time. Messages
/// between gateways follow the protocol of LibGateway: they are delayed,
/// sometimes lost, and each heartbeat carries a checksum of its sender's
/// quarantined requests. One request crashes every endpoint that runs it and is
/// sent again and again, each time to a random gateway.
class quarantine_simulation
{
public:
  struct scenario
  {
    std::size_t mGateways = 0;
    std::uint64_t mSeed = 0;
    duration mResendInterval{}; ///< Of the request, in the whole fleet.
    bool mPartition = false;    ///< Of a tenth of the gateways, for a while.
    bool mRestarts = false;     ///< Of half of the gateways, and later of all.
    /// What crashes the endpoints: a request, or a part of different ones.
    request_digest mSuspect = kRequest;
  };

  explicit quarantine_simulation(const scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mStates(aScenario.mGateways)
    , mPartitionedUntil(aScenario.mGateways)
    , mNextPeer(aScenario.mGateways)
  {
  }

  void Run(duration aFor)
  {
    constexpr duration kStep = milliseconds(10);
    for (mNow = kStart; mNow < kStart + aFor; mNow += kStep) {
      InjectFaults();
      Deliver();
      if (mNow >= mNextResend) {
        mNextResend = mNow + mScenario.mResendInterval;
        Resend(Below(mRandom, mStates.size()));
      }
      if ((mNow - kStart) % seconds(1) == duration::zero()) {
        SendHeartbeats();
      }
    }
  }

  /// Sends by connected gateways after the time that operators allow for the
  /// crash reports to reach them.
  std::size_t LateSends() const { return mLateSends; }
  std::size_t CrashCount() const { return mCrashes; }

private:
  /// Time that operators allow between the last of these crashes and the last
  /// send that is not a trial.
  static constexpr duration kMaxPropagation = seconds(3);
  /// From a send until the gateway detects the endpoint's crash.
  static constexpr duration kCrashDelay = milliseconds(250);
  static constexpr duration kNetworkDelay = milliseconds(40);
  static constexpr double kLossRate = 0.03;
  static constexpr duration kTableDelay = seconds(1);

  struct message
  {
    time_point mAt{};
    std::size_t mTo = 0;
    std::optional<crash_report> mReport;
    std::vector<quarantined_request> mHeld;
    bool mOwn = false; ///< The gateway detected the crash itself.
  };

  bool IsConnected(std::size_t aGateway) const
  {
    return mNow >= mPartitionedUntil[aGateway] + kMaxPropagation;
  }

  void Post(std::size_t aFrom, message aMessage)
  {
    const bool partitioned =
      mNow < mPartitionedUntil[aFrom] || mNow < mPartitionedUntil[aMessage.mTo];
    if (partitioned || Uniform(mRandom) < kLossRate) {
      return;
    }
    aMessage.mAt = mNow + kNetworkDelay;
    mInFlight.push_back(std::move(aMessage));
  }

  void Resend(std::size_t aGateway)
  {
    quarantine& state = mStates[aGateway];
    switch (QuarantineVerdictFor(state, mScenario.mSuspect, 0, mNow)) {
      case quarantine_verdict::Refuse:
        return;
      case quarantine_verdict::Try: {
        const unsigned trial = state.mHeld.at(mScenario.mSuspect).mTrials + 1;
        const bool granted = mTrials.insert(trial).second;
        RecordTrial(state, mScenario.mSuspect, trial, mNow);
        for (std::size_t to = 0; granted && to < mStates.size(); ++to) {
          Post(aGateway,
               { {},
                 to,
                 {},
                 { { mScenario.mSuspect, trial, duration::zero() } },
                 false });
        }
        if (!granted) {
          return;
        }
        break;
      }
      case quarantine_verdict::Send:
        break;
    }
    if (mBoundSince.has_value() && mNow > *mBoundSince + kMaxPropagation &&
        IsConnected(aGateway)) {
      ++mLateSends;
    }
    mInFlight.push_back(
      { mNow + kCrashDelay,
        aGateway,
        crash_report{ mScenario.mSuspect, ++mLastEndpoint, false },
        {},
        true });
  }

  void Deliver()
  {
    std::vector<message> due;
    std::erase_if(mInFlight, [this, &due](const message& aMessage) {
      if (aMessage.mAt > mNow) {
        return false;
      }
      due.push_back(aMessage);
      return true;
    });
    for (const message& one : due) {
      Receive(one);
    }
  }

  void Receive(const message& aMessage)
  {
    quarantine& state = mStates[aMessage.mTo];
    for (const quarantined_request& held : aMessage.mHeld) {
      (void)RecordQuarantined(state, held, mNow);
    }
    if (!aMessage.mReport.has_value()) {
      return;
    }
    (void)RecordCrash(state, *aMessage.mReport, mNow);
    if (!aMessage.mOwn) {
      return;
    }
    if (++mCrashes == (IsPromptPart(mScenario.mSuspect) ? 5 : 3)) {
      mBoundSince = mNow;
    }
    for (std::size_t to = 0; to < mStates.size(); ++to) {
      if (to != aMessage.mTo) {
        Post(aMessage.mTo, { {}, to, aMessage.mReport, {}, false });
      }
    }
  }

  void SendHeartbeats()
  {
    for (std::size_t from = 0; from < mStates.size(); ++from) {
      for (std::size_t i = 0; i < PeersPerHeartbeat(mStates.size() - 1); ++i) {
        const std::size_t to = ++mNextPeer[from] % mStates.size();
        // A receiver with another checksum sends its quarantined requests.
        if (to != from && QuarantineChecksum(mStates[from]) !=
                            QuarantineChecksum(mStates[to])) {
          Post(to,
               { {}, from, {}, QuarantinedRequests(mStates[to], mNow), false });
        }
      }
    }
  }

  void Restart(std::size_t aGateway)
  {
    mStates[aGateway] = {};
    // The table has its row shortly after the request was quarantined.
    if (mBoundSince.has_value() && mNow > *mBoundSince + kTableDelay) {
      const unsigned trials = mTrials.empty() ? 0 : *mTrials.rbegin();
      (void)RecordQuarantined(mStates[aGateway],
                              { mScenario.mSuspect, trials, duration::zero() },
                              mNow);
    }
  }

  void InjectFaults()
  {
    const duration since = mNow - kStart;
    if (mScenario.mPartition && since == milliseconds(100)) {
      for (std::size_t i = 0; i < mStates.size(); i += 10) {
        mPartitionedUntil[i] = mNow + seconds(9);
      }
    }
    if (mScenario.mRestarts && since == seconds(20)) {
      for (std::size_t i = 0; i < mStates.size(); i += 2) {
        Restart(i);
      }
    }
    if (mScenario.mRestarts && since == seconds(40)) {
      for (std::size_t i = 0; i < mStates.size(); ++i) {
        Restart(i);
      }
    }
  }

  scenario mScenario;
  random_engine mRandom;
  std::vector<quarantine> mStates;
  std::vector<time_point> mPartitionedUntil;
  std::vector<std::size_t> mNextPeer;
  std::vector<message> mInFlight;
  std::set<unsigned> mTrials;
  time_point mNow{};
  time_point mNextResend{};
  engine_key mLastEndpoint = 0;
  std::size_t mCrashes = 0;
  std::size_t mLateSends = 0;
  /// When as many endpoints had crashed as the operators' limit assumes.
  std::optional<time_point> mBoundSince;
};

} // namespace

class quarantine_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(quarantine_test);
  CPPUNIT_TEST(ThirdCrashQuarantinesRequest);
  CPPUNIT_TEST(CrashReportedTwiceCountsOnce);
  CPPUNIT_TEST(CrashWhileAnsweringCountsLess);
  CPPUNIT_TEST(RecentlyAnsweredRequestIsNotQuarantined);
  CPPUNIT_TEST(OldAnswerDoesNotPreventQuarantine);
  CPPUNIT_TEST(UnconfirmedCrashesCount);
  CPPUNIT_TEST(QuarantinedRequestGetsTwoTrials);
  CPPUNIT_TEST(AnsweredTrialEndsQuarantine);
  CPPUNIT_TEST(OrderOfReportsDoesNotMatter);
  CPPUNIT_TEST(MassCrashKeepsMemoryBounded);
  CPPUNIT_TEST(FleetSendsCrashingRequestWithinLimit);
  CPPUNIT_TEST(FleetSendsCrashingPartWithinLimit);
  CPPUNIT_TEST(DigestsDistinguishRequestParts);
  CPPUNIT_TEST(PartIsQuarantinedAfterSeparateCrashes);
  CPPUNIT_TEST(SimultaneousCrashesOfPartCountOnce);
  CPPUNIT_TEST(AnswerClearsPart);
  CPPUNIT_TEST(TrialOfPartsLeavesOneOut);
  CPPUNIT_TEST(UnusedTrialIsNotLost);
  CPPUNIT_TEST(ManyNewPartsKeepMemoryBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void ThirdCrashQuarantinesRequest()
  {
    quarantine state;
    CPPUNIT_ASSERT(RecordCrash(state, CrashOf(1), kStart) ==
                   crash_effect::Recorded);
    CPPUNIT_ASSERT(RecordCrash(state, CrashOf(2), kStart) ==
                   crash_effect::Recorded);
    CPPUNIT_ASSERT(IsSent(state, kStart));
    CPPUNIT_ASSERT(RecordCrash(state, CrashOf(3), kStart) ==
                   crash_effect::Held);
    CPPUNIT_ASSERT(!IsSent(state, kStart));
    CPPUNIT_ASSERT(QuarantineVerdictFor(state, kRequest + 1, 0, kStart) ==
                   quarantine_verdict::Send);
  }

  void CrashReportedTwiceCountsOnce()
  {
    quarantine state;
    for (int i = 0; i < 5; ++i) {
      (void)RecordCrash(state, CrashOf(1), kStart);
      (void)RecordCrash(state, CrashOf(2), kStart);
    }
    CPPUNIT_ASSERT(IsSent(state, kStart));
  }

  /// Guards against the quarantine of an innocent request in flight at crashing
  /// engines. A request of 20,758 tokens lost three engines within 0.6 s, two
  /// for another cause and one by the request beside it, each after some more
  /// events of its answer (`last_event=19`, 21, 25); the fourth engine answered
  /// it. If three crashes counted in full, its caller would be refused.
  void CrashWhileAnsweringCountsLess()
  {
    quarantine state;
    for (engine_key endpoint = 1; endpoint <= 3; ++endpoint) {
      (void)RecordCrash(state, CrashOf(endpoint, true), kStart);
    }
    CPPUNIT_ASSERT(IsSent(state, kStart));
    // A request that crashes engines after its first events is quarantined one
    // crash later.
    (void)RecordCrash(state, CrashOf(4, true), kStart);
    CPPUNIT_ASSERT(!IsSent(state, kStart));
  }

  /// Guards against refusing a frequent request everywhere after all three
  /// endpoints of its service were killed at once with it in flight. Such
  /// crashes look like its own, but it was answered shortly before.
  void RecentlyAnsweredRequestIsNotQuarantined()
  {
    quarantine answeringGateway;
    quarantine other;
    (void)RecordAnswered(answeringGateway, kRequest, kStart);
    const time_point killed = kStart + seconds(20);
    for (engine_key endpoint = 1; endpoint <= 3; ++endpoint) {
      CPPUNIT_ASSERT(RecordCrash(answeringGateway, CrashOf(endpoint), killed) ==
                     crash_effect::Refuted);
      (void)RecordCrash(other, CrashOf(endpoint), killed);
    }
    CPPUNIT_ASSERT(IsSent(answeringGateway, killed));
    // The other gateway has not answered it recently, so it must be notified.
    CPPUNIT_ASSERT(!IsSent(other, killed));
    CPPUNIT_ASSERT(RecordCleared(other, kRequest, killed));
    CPPUNIT_ASSERT(IsSent(other, killed));
    // A message that was in flight does not restore the quarantine.
    (void)RecordQuarantined(other, { kRequest, 0, duration::zero() }, killed);
    CPPUNIT_ASSERT(IsSent(other, killed));
  }

  /// A new release may crash on a request that the last one answered.
  void OldAnswerDoesNotPreventQuarantine()
  {
    quarantine state;
    (void)RecordAnswered(state, kRequest, kStart);
    const time_point later = kStart + std::chrono::minutes(2);
    for (engine_key endpoint = 1; endpoint <= 3; ++endpoint) {
      (void)RecordCrash(state, CrashOf(endpoint), later);
    }
    CPPUNIT_ASSERT(!IsSent(state, later));
  }

  void UnconfirmedCrashesCount()
  {
    quarantine state;
    (void)RecordCrash(state, CrashOf(1), kStart);
    (void)RecordCrash(state, CrashOf(2), kStart);
    CPPUNIT_ASSERT(QuarantineVerdictFor(state, kRequest, kCrashScore, kStart) ==
                   quarantine_verdict::Refuse);
    CPPUNIT_ASSERT(
      QuarantineVerdictFor(state, kRequest + 1, kCrashScore, kStart) ==
      quarantine_verdict::Send);
  }

  void QuarantinedRequestGetsTwoTrials()
  {
    quarantine state;
    (void)RecordQuarantined(state, { kRequest, 0, duration::zero() }, kStart);
    CPPUNIT_ASSERT(QuarantineVerdictFor(state, kRequest, 0, kStart) ==
                   quarantine_verdict::Refuse);
    unsigned trials = 0;
    engine_key endpoint = 0;
    for (time_point now = kStart; now < kStart + std::chrono::hours(20);
         now += seconds(1)) {
      if (QuarantineVerdictFor(state, kRequest, 0, now) ==
          quarantine_verdict::Try) {
        RecordTrial(state, kRequest, ++trials, now);
        (void)RecordCrash(state, CrashOf(++endpoint), now);
      }
    }
    CPPUNIT_ASSERT_EQUAL(2U, trials);
    // The quarantine expires: a day later the endpoints may have been fixed.
    const time_point later = kStart + std::chrono::hours(48);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         ExpireCrashRecords(state, later).size());
    CPPUNIT_ASSERT(IsSent(state, later));
  }

  void AnsweredTrialEndsQuarantine()
  {
    quarantine state;
    (void)RecordQuarantined(state, { kRequest, 0, duration::zero() }, kStart);
    const time_point due = kStart + TimeUntilTrial(state, kRequest, kStart);
    CPPUNIT_ASSERT(QuarantineVerdictFor(state, kRequest, 0, due) ==
                   quarantine_verdict::Try);
    CPPUNIT_ASSERT(RecordAnswered(state, kRequest, due));
    CPPUNIT_ASSERT(IsSent(state, due));
  }

  /// Gateways that receive the same crash reports in any order, some of them
  /// twice, quarantine the same requests.
  void OrderOfReportsDoesNotMatter()
  {
    rc::check("any order", []() {
      std::vector<crash_report> reports;
      for (const engine_key endpoint :
           *rc::gen::container<std::vector<engine_key>>(
             rc::gen::inRange<engine_key>(1, 9))) {
        reports.push_back({ kRequest, endpoint, endpoint % 2 == 0 });
      }
      quarantine one;
      for (const crash_report& report : reports) {
        (void)RecordCrash(one, report, kStart);
      }
      random_engine random(*rc::gen::arbitrary<std::uint64_t>());
      std::shuffle(reports.begin(), reports.end(), random);
      quarantine other;
      for (const crash_report& report : reports) {
        (void)RecordCrash(other, report, kStart);
      }
      RC_ASSERT(IsSent(one, kStart) == IsSent(other, kStart));
      RC_ASSERT(QuarantineChecksum(one) == QuarantineChecksum(other));
      // Receiving the other's quarantined requests changes nothing.
      for (const quarantined_request& held : QuarantinedRequests(one, kStart)) {
        (void)RecordQuarantined(other, held, kStart);
      }
      RC_ASSERT(QuarantineChecksum(one) == QuarantineChecksum(other));
    });
  }

  /// Crash of all engines of a large fleet at once, with all their requests.
  void MassCrashKeepsMemoryBounded()
  {
    constexpr request_digest kInFlight = 12000;
    quarantine state;
    for (request_digest request = 1; request <= kInFlight; ++request) {
      (void)RecordCrash(
        state,
        { request, static_cast<engine_key>(request / 10), false },
        kStart);
      (void)RecordQuarantined(
        state, { request << 20, 0, duration::zero() }, kStart);
      (void)RecordAnswered(state, request << 40, kStart);
    }
    CPPUNIT_ASSERT(state.mSuspects.size() <= 4096);
    CPPUNIT_ASSERT(state.mHeld.size() <= 1024);
    CPPUNIT_ASSERT(state.mAnswered.size() <= 4096);
    CPPUNIT_ASSERT(state.mAnsweredOrder.size() <= 4096);
  }

  /// The operators' limit, at the fleet sizes that they run and plan: three
  /// sends by connected gateways later than three seconds after the third
  /// crash. Each resend reaches a random gateway, and 3 of 100 messages between
  /// gateways are lost. A tenth of the gateways is partitioned during the first
  /// crashes, half are restarted later, and then all.
  void FleetSendsCrashingRequestWithinLimit() { CheckFleetLimit(kRequest); }

  /// The same for a part of different requests, from the fifth crash on.
  void FleetSendsCrashingPartWithinLimit() { CheckFleetLimit(kPart); }

  static void CheckFleetLimit(request_digest aSuspect)
  {
    constexpr std::size_t kAllowed = 3;
    for (const std::size_t gateways : { 15U, 103U, 350U }) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (const duration between : { milliseconds(10),
                                        milliseconds(60),
                                        milliseconds(700),
                                        milliseconds(4000) }) {
          quarantine_simulation fleet(
            { gateways, seed, between, seed % 2 == 0, seed > 2, aSuspect });
          fleet.Run(seconds(70));
          CPPUNIT_ASSERT(fleet.CrashCount() >= 3);
          CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " entries, seed " +
                                   std::to_string(seed) + ": " +
                                   std::to_string(fleet.LateSends()),
                                 fleet.LateSends() <= kAllowed);
        }
      }
    }
  }

  void DigestsDistinguishRequestParts()
  {
    const request_digest one = DigestOf({ "h", "/a", "org", "body" });
    CPPUNIT_ASSERT_EQUAL(one, DigestOf({ "h", "/a", "org", "body" }));
    CPPUNIT_ASSERT(one != DigestOf({ "h", "/a", "orgb", "ody" }));
    CPPUNIT_ASSERT(one != DigestOf({ "h/", "a", "org", "body" }));
    CPPUNIT_ASSERT(one != DigestOf({ "h", "/a", "other", "body" }));
    CPPUNIT_ASSERT_EQUAL(std::string("0000000000005eed"), DigestText(kRequest));
  }

  static constexpr request_digest kOtherPart = kPromptPartBit | 2U;
  static constexpr duration kCrashInterval = seconds(1);

  /// Three crashes under requests with all these parts.
  static void CrashThree(quarantine& aState,
                         const std::vector<request_digest>& aParts)
  {
    for (engine_key endpoint = 1; endpoint <= 3; ++endpoint) {
      for (const request_digest part : aParts) {
        (void)RecordCrash(aState,
                          { part, endpoint, false },
                          kStart + static_cast<int>(endpoint) * kCrashInterval);
      }
    }
  }

  static quarantine_verdict VerdictOn(const quarantine& aState,
                                      const std::vector<request_digest>& aParts,
                                      time_point aNow)
  {
    std::vector<request_digest> suspects = { kRequest };
    suspects.insert(suspects.end(), aParts.begin(), aParts.end());
    return SuspectsVerdictFor(aState, suspects, 0, aNow).mVerdict;
  }

  void PartIsQuarantinedAfterSeparateCrashes()
  {
    quarantine state;
    CrashThree(state, { kPart });
    CPPUNIT_ASSERT(state.mHeld.contains(kPart));
    CPPUNIT_ASSERT(VerdictOn(state, {}, kStart + seconds(4)) ==
                   quarantine_verdict::Send);
  }

  /// Guards against refusing a common part after a rack has failed.
  void SimultaneousCrashesOfPartCountOnce()
  {
    quarantine state;
    for (engine_key endpoint = 1; endpoint <= 20; ++endpoint) {
      (void)RecordCrash(state,
                        { kPart, endpoint, false },
                        kStart + static_cast<int>(endpoint) * milliseconds(5));
    }
    CPPUNIT_ASSERT(state.mHeld.empty());
  }

  /// Guards against suspecting a part that is answered between the crashes
  /// beside which it runs.
  void AnswerClearsPart()
  {
    quarantine state;
    for (engine_key endpoint = 1; endpoint <= 20; ++endpoint) {
      const time_point now =
        kStart + static_cast<int>(endpoint) * kCrashInterval;
      (void)RecordCrash(state, { kPart, endpoint, false }, now);
      CPPUNIT_ASSERT(RecordAnswered(state, kPart, now + milliseconds(1)));
    }
    CPPUNIT_ASSERT(state.mHeld.empty() && state.mSuspects.empty());
    CPPUNIT_ASSERT(state.mAnswered.empty());
  }

  /// Guards against trials that cannot tell which part is to blame, and against
  /// sound parts that never get one.
  void TrialOfPartsLeavesOneOut()
  {
    constexpr request_digest kThirdPart = kPromptPartBit | 3U;
    quarantine state;
    CrashThree(state, { kPart, kOtherPart, kThirdPart });
    const time_point now = kStart + seconds(4);
    CPPUNIT_ASSERT(VerdictOn(state, { kPart, kOtherPart, kThirdPart }, now) ==
                   quarantine_verdict::Refuse);
    CPPUNIT_ASSERT(VerdictOn(state, { kPart, kOtherPart }, now) ==
                   quarantine_verdict::Try);
    CPPUNIT_ASSERT(VerdictOn(state, { kPart }, now) == quarantine_verdict::Try);
    // A part that was quarantined for other crashes makes no difference.
    (void)RecordQuarantined(
      state, { kPromptPartBit | 4U, 0, std::chrono::minutes(1) }, now);
    CPPUNIT_ASSERT(VerdictOn(state, { kPart, kOtherPart, kThirdPart }, now) ==
                   quarantine_verdict::Refuse);
  }

  /// Guards against spending the trials of a part on requests that reach no
  /// endpoint, because those that have crashed are still listed.
  void UnusedTrialIsNotLost()
  {
    quarantine state;
    CrashThree(state, { kPart });
    const time_point now = kStart + seconds(4);
    RecordTrial(state, kPart, 1, now);
    CPPUNIT_ASSERT(VerdictOn(state, { kPart }, now) ==
                   quarantine_verdict::Refuse);
    RecordUnusedTrial(state, kPart);
    CPPUNIT_ASSERT(VerdictOn(state, { kPart }, now) == quarantine_verdict::Try);
    CPPUNIT_ASSERT(TakeUnusedTrial(state, kPart));
    CPPUNIT_ASSERT(!TakeUnusedTrial(state, kPart));
  }

  /// Guards against memory that grows with the number of parts, each of which
  /// is in one request only.
  void ManyNewPartsKeepMemoryBounded()
  {
    constexpr request_digest kParts = 20000;
    constexpr std::size_t kMaxRecords = 5000;
    quarantine state;
    for (request_digest i = 0; i < kParts; ++i) {
      const time_point now = kStart + static_cast<int>(i) * milliseconds(1);
      (void)RecordCrash(
        state, { kPromptPartBit | i, static_cast<engine_key>(i), false }, now);
      (void)RecordAnswered(state, kPromptPartBit | (i + kParts), now);
    }
    CPPUNIT_ASSERT(state.mSuspects.size() <= kMaxRecords);
    CPPUNIT_ASSERT(state.mAnswered.empty() && state.mHeld.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(quarantine_test, "quarantine");
