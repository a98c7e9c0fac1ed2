#include "LibFleet/LibFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

} // namespace

class fleet_state_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_state_test);
  CPPUNIT_TEST(StaleRowDoesNotRestoreEndpoint);
  CPPUNIT_TEST(FullListRemovesMissingEndpoints);
  CPPUNIT_TEST(NoticeOutlivesTheRowOfItsEndpoint);
  CPPUNIT_TEST(RestartAfterItsClockSteppedBackIsRecognised);
  CPPUNIT_TEST(RequestedRestIsReadStrictly);
  CPPUNIT_TEST(LaterRestIsNotShortened);
  CPPUNIT_TEST(NoGatewayOfAFleetSendsToRestingEndpoint);
  CPPUNIT_TEST(OlderManifestIsNotNewer);
  CPPUNIT_TEST(LongestPrefixWins);
  CPPUNIT_TEST(ServiceChoiceFollowsWeights);
  CPPUNIT_TEST(GatewaysShareRetryBudget);
  CPPUNIT_TEST(RefusableRequestsLeaveRetriesForStartedOnes);
  CPPUNIT_TEST(RetryGoesToNoMoreEndpointsThanAllowed);
  CPPUNIT_TEST(FailingEndpointIsAvoidedTemporarily);
  CPPUNIT_TEST(PeerReportsMakeEndpointAvoided);
  CPPUNIT_TEST(BurstOfPeerReportsCountsOnce);
  CPPUNIT_TEST(SlowStoreAnswerIsAwaited);
  CPPUNIT_TEST(SomeGatewayDetectsSilentStore);
  CPPUNIT_TEST(SomeGatewayDetectsStoreRecovery);
  CPPUNIT_TEST_SUITE_END();

  static endpoint Listed(const std::string& aId)
  {
    endpoint listed;
    listed.mId = aId;
    listed.mService = "model";
    return listed;
  }

public:
  /// Guards against requests to an endpoint that left seconds ago. Its row is
  /// removed, the platform's store loses its history of changes, and the full
  /// list is read again from a stale copy that still has the row. The older
  /// revision must not replace the newer one.
  void StaleRowDoesNotRestoreEndpoint()
  {
    endpoint_registry registry;
    (void)ApplyRow(registry, { "e", 5, Listed("e") });
    CPPUNIT_ASSERT(ApplyRow(registry, { "e", 9, std::nullopt }) ==
                   membership_change::Left);
    (void)ApplySnapshot(registry, { { "e", 5, Listed("e") } }, 7);
    CPPUNIT_ASSERT(registry.mEndpoints.empty());
    // A later row of the same id is newer than its removal.
    CPPUNIT_ASSERT(ApplyRow(registry, { "e", 12, Listed("e") }) ==
                   membership_change::Joined);
  }

  void FullListRemovesMissingEndpoints()
  {
    endpoint_registry registry;
    (void)ApplyRow(registry, { "a", 5, Listed("a") });
    (void)ApplyRow(registry, { "b", 6, Listed("b") });
    // The row of "c" is newer than the list.
    (void)ApplyRow(registry, { "c", 20, Listed("c") });
    const std::vector<std::string> left =
      ApplySnapshot(registry, { { "b", 6, Listed("b") } }, 10);
    CPPUNIT_ASSERT(left == std::vector<std::string>{ "a" });
    CPPUNIT_ASSERT(registry.mEndpoints.contains("b"));
    CPPUNIT_ASSERT(registry.mEndpoints.contains("c"));
  }

  /// Guards against requests to a leaving endpoint whose row lapsed while the
  /// store was unreachable and came back as ready.
  /// Guards against an endpoint that is never used again because its machine's
  /// clock had stepped back when it started again.
  void RestartAfterItsClockSteppedBackIsRecognised()
  {
    const auto born = [](std::int64_t aBorn) {
      endpoint listed = Listed("e");
      listed.mBorn = aBorn;
      return listed;
    };
    endpoint_registry registry;
    (void)ApplyRow(registry, { "e", 5, born(9000) });
    registry.mEndpoints.at("e").mNotice.mLeaving = true;
    CPPUNIT_ASSERT(ApplyRow(registry, { "e", 6, born(9000) }) ==
                   membership_change::Changed);
    CPPUNIT_ASSERT(!IsUsable(registry.mEndpoints.at("e"), "model"));
    CPPUNIT_ASSERT(ApplyRow(registry, { "e", 7, born(7000) }) ==
                   membership_change::Restarted);
    CPPUNIT_ASSERT(IsUsable(registry.mEndpoints.at("e"), "model"));
    // The same after a removal.
    registry.mEndpoints.at("e").mNotice.mLeaving = true;
    (void)ApplyRow(registry, { "e", 8, std::nullopt });
    (void)ApplyRow(registry, { "e", 9, born(6000) });
    CPPUNIT_ASSERT(IsUsable(registry.mEndpoints.at("e"), "model"));
  }

  void NoticeOutlivesTheRowOfItsEndpoint()
  {
    endpoint_registry registry;
    (void)ApplyRow(registry, { "e", 5, Listed("e") });
    registry.mEndpoints.at("e").mNotice.mLeaving = true;
    (void)ApplyRow(registry, { "e", 9, std::nullopt });
    (void)ApplyRow(registry, { "e", 12, Listed("e") });
    CPPUNIT_ASSERT(!IsUsable(registry.mEndpoints.at("e"), "model"));
    // A list without it, then a newer row.
    (void)ApplySnapshot(registry, {}, 20);
    CPPUNIT_ASSERT(registry.mEndpoints.empty());
    (void)ApplyRow(registry, { "e", 21, Listed("e") });
    CPPUNIT_ASSERT(!IsUsable(registry.mEndpoints.at("e"), "model"));
    // The next endpoint at the same address has another id.
    (void)ApplyRow(registry, { "f", 22, Listed("f") });
    CPPUNIT_ASSERT(IsUsable(registry.mEndpoints.at("f"), "model"));
  }

  /// Guards against rests of an unintended length: a value is either a plain
  /// number of seconds or rejected.
  void RequestedRestIsReadStrictly()
  {
    using std::chrono::milliseconds;
    const duration maximum = std::chrono::hours(1);
    const std::vector<std::pair<std::string_view, requested_rest>> expected = {
      { "3", { std::chrono::seconds(3), true } },
      { "0.25", { milliseconds(250), true } },
      { "0", { duration::zero(), true } },
      { "3600", { maximum, true } },
      { "3601", { maximum, false } },
      { "1e18", { maximum, false } },
      { "99999999999999999999", { maximum, false } },
      { "-1", { duration::zero(), false } },
      { "nan", { duration::zero(), false } },
      { "inf", { duration::zero(), false } },
      { "", { duration::zero(), false } },
      { "soon", { duration::zero(), false } },
      { "3 s", { duration::zero(), false } },
      { "Wed, 21 Oct 2026 07:28:00 GMT", { duration::zero(), false } }
    };
    for (const auto& [text, rest] : expected) {
      CPPUNIT_ASSERT_MESSAGE(std::string(text),
                             ReadRequestedRest(text) == rest);
    }
  }

  /// Guards against a short rest that ends a long one.
  void LaterRestIsNotShortened()
  {
    using std::chrono::seconds;
    const time_point now{ std::chrono::hours(1) };
    endpoint_notice notice = WithRest({}, seconds(3), now);
    notice = WithRest(notice, seconds(1), now + seconds(1));
    CPPUNIT_ASSERT(!AcceptsRequests(notice, now + seconds(2)));
    CPPUNIT_ASSERT(TimeUntilAccepting(notice, now + seconds(2)) == seconds(1));
    CPPUNIT_ASSERT(AcceptsRequests(notice, now + seconds(3)));
  }

  /// Guards against a number of gateways at which a resting endpoint gets
  /// requests: each gateway counts for itself, so none may send any, and the
  /// others serve them all.
  void NoGatewayOfAFleetSendsToRestingEndpoint()
  {
    using std::chrono::milliseconds;
    constexpr duration kRest = std::chrono::seconds(3);
    for (const std::size_t gateways : { 15U, 103U, 350U }) {
      std::size_t refused = 0;
      for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        endpoint_registry registry;
        for (const char* const id : { "shedding", "second", "third" }) {
          (void)ApplyRow(registry, { id, 5, Listed(id) });
        }
        random_engine random(gateway + 1);
        time_point restsUntil{};
        for (time_point now{ std::chrono::hours(1) };
             now < time_point(std::chrono::hours(1)) + 3 * kRest;
             now += milliseconds(100)) {
          known_endpoint* const chosen = ChoosePlainEndpoint(
            registry, { "model", {} }, "", {}, now, Uniform(random));
          CPPUNIT_ASSERT(chosen != nullptr);
          if (chosen->mListed.mId == "shedding") {
            CPPUNIT_ASSERT(now >= restsUntil);
            restsUntil = now + kRest;
            chosen->mNotice = WithRest(chosen->mNotice, kRest, now);
            ++refused;
          }
        }
      }
      CPPUNIT_ASSERT(refused >= gateways);
      CPPUNIT_ASSERT(refused <= 3 * gateways);
    }
  }

  void OlderManifestIsNotNewer()
  {
    manifest newer;
    newer.mVersion = 7;
    const manifest_pointer current = std::make_shared<manifest_index>(newer);
    manifest older;
    older.mVersion = 6;
    CPPUNIT_ASSERT(!IsNewer(current, older));
    CPPUNIT_ASSERT(!IsNewer(current, newer));
    older.mVersion = 8;
    CPPUNIT_ASSERT(IsNewer(current, older));
    CPPUNIT_ASSERT(IsNewer(nullptr, older));
  }

  void LongestPrefixWins()
  {
    manifest accepted;
    for (const char* const prefix : { "/", "/a/", "/a/b/" }) {
      route r;
      r.mName = prefix;
      r.mHost = "Host.example";
      r.mPrefix = prefix;
      accepted.mRoutes.push_back(r);
    }
    const manifest_index index(accepted);
    CPPUNIT_ASSERT_EQUAL(
      std::string("/a/b/"),
      index.FindRoute("host.example", "/a/b/c?x=/z/")->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"),
                         index.FindRoute("host.example:80", "/a/b")->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("/"),
                         index.FindRoute("host.example", "/ab/")->mName);
    CPPUNIT_ASSERT(index.FindRoute("other.example", "/a/") == nullptr);
  }

  void ServiceChoiceFollowsWeights()
  {
    route r;
    r.mServices = { { "x", 90 }, { "y", 10 } };
    CPPUNIT_ASSERT_EQUAL(std::string("x"), ChooseService(r, 0.0));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), ChooseService(r, 0.89));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), ChooseService(r, 0.91));
  }

  void GatewaysShareRetryBudget()
  {
    const retry_limits limits{ 0.2, 100, std::chrono::seconds(10) };
    unsigned granted = 0;
    constexpr std::size_t kGateways = 4;
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      retry_history history;
      for (int i = 0; i < 100; ++i) {
        RecordRequestForRetries(history, limits, kStart);
        granted +=
          TakeRetry(history, limits, kGateways, retry_claim::Started, kStart)
            ? 1U
            : 0U;
      }
    }
    CPPUNIT_ASSERT(granted > 50);
    CPPUNIT_ASSERT(granted <= 100 + 0.2 * 400);
  }

  /// Guards against cutting a stream because requests that could have been
  /// refused have spent the retry budget.
  void RefusableRequestsLeaveRetriesForStartedOnes()
  {
    const retry_limits limits{ 0.2, 100, std::chrono::seconds(10) };
    const auto grantedOf = [&limits](retry_history& aHistory,
                                     retry_claim aClaim) {
      unsigned granted = 0;
      while (TakeRetry(aHistory, limits, 4, aClaim, kStart)) {
        ++granted;
      }
      return granted;
    };
    retry_history history;
    const unsigned refusable = grantedOf(history, retry_claim::Refusable);
    const unsigned started = grantedOf(history, retry_claim::Started);
    CPPUNIT_ASSERT(refusable > started);
    CPPUNIT_ASSERT(started * 4 >= refusable + started);
    CPPUNIT_ASSERT_EQUAL(0U, grantedOf(history, retry_claim::Refusable));
    retry_history onlyStarted;
    CPPUNIT_ASSERT_EQUAL(refusable + started,
                         grantedOf(onlyStarted, retry_claim::Started));
  }

  /// Guards against sending a request to more endpoints than its route allows,
  /// and against giving up while one of them may be asked again.
  void RetryGoesToNoMoreEndpointsThanAllowed()
  {
    endpoint_registry registry;
    for (const char* const id : { "a", "b", "c" }) {
      endpoint listed;
      listed.mId = id;
      listed.mService = "model";
      (void)ApplyRow(registry, { id, 1, listed });
    }
    const endpoint_scope scope{ "model", {} };
    const auto targets = [&](const request_attempts& aAttempts) {
      return FindRetryTargets(registry, scope, aAttempts, 2, kStart);
    };
    const retry_targets any;
    CPPUNIT_ASSERT(targets({ { "a" }, { "a" } }) == any);
    const request_attempts both{ { "a", "b", "a" }, { "a", "b", "a" } };
    CPPUNIT_ASSERT((targets(both) == retry_targets{ { "a", "b" } }));
    RecordHealthEvent(registry.mEndpoints.at("a").mHealth,
                      endpoint_health_event::Unreachable,
                      kStart);
    CPPUNIT_ASSERT(targets(both) == retry_targets{ { "b" } });
    // An endpoint that has ended no longer counts.
    (void)ApplyRow(registry, { "a", 2, std::nullopt });
    CPPUNIT_ASSERT(targets(both) == any);
    // All others are unreachable.
    CPPUNIT_ASSERT(targets({ { "b" }, { "b", "c" } }) ==
                   retry_targets{ { "b" } });
    CPPUNIT_ASSERT(
      !FindRetryTargets(registry, { "desk", {} }, both, 2, kStart).has_value());
  }

  void FailingEndpointIsAvoidedTemporarily()
  {
    known_endpoint known;
    for (int i = 0; i < 10; ++i) {
      RecordHealthEvent(known.mHealth, endpoint_health_event::Failed, kStart);
    }
    CPPUNIT_ASSERT(IsAvoided(known, kStart));
    CPPUNIT_ASSERT(!IsAvoided(known, kStart + std::chrono::seconds(10)));
    RecordHealthEvent(known.mHealth, endpoint_health_event::Answered, kStart);
    CPPUNIT_ASSERT_EQUAL(0U, known.mHealth.mBackoffFailures);
  }

  /// Guards against an engine that resets every connection and attracts
  /// requests, since it seems idle: 29 gateways sent it 70 requests in a
  /// second, and 87 of 500 callers got a failure. Each gateway had to detect it
  /// by itself, with requests whose second attempt reached the next such
  /// engine. Gateways therefore share their failure reports.
  void PeerReportsMakeEndpointAvoided()
  {
    known_endpoint known;
    RecordPeerFailureReport(known.mHealth, kStart);
    RecordPeerFailureReport(known.mHealth, kStart + milliseconds(60));
    CPPUNIT_ASSERT(!IsAvoided(known, kStart + milliseconds(60)));
    RecordPeerFailureReport(known.mHealth, kStart + milliseconds(150));
    CPPUNIT_ASSERT(IsAvoided(known, kStart + milliseconds(150)));
    // Reports received meanwhile about older attempts do not extend it.
    const time_point until = known.mHealth.mAvoidUntil;
    RecordPeerFailureReport(known.mHealth, kStart + milliseconds(200));
    RecordPeerFailureReport(known.mHealth, kStart + milliseconds(250));
    CPPUNIT_ASSERT(known.mHealth.mAvoidUntil == until);
    // This gateway's own failures count like those that peers report.
    known_endpoint own;
    RecordPeerFailureReport(own.mHealth, kStart);
    RecordHealthEvent(own.mHealth,
                      endpoint_health_event::ConnectionBroken,
                      kStart + milliseconds(60));
    RecordPeerFailureReport(own.mHealth, kStart + milliseconds(150));
    CPPUNIT_ASSERT(IsAvoided(own, kStart + milliseconds(150)));
  }

  /// Guards against a gateway that stays behind after a partition of five
  /// seconds and refuses routes that were added ten seconds ago. Forty
  /// manifests of 45 KB were accepted meanwhile, and its link takes 20 Mbit/s.
  /// Peers announced newer versions, and it abandoned each read of the changes
  /// before the answer had arrived, because the timeout was always 450 ms.
  void SlowStoreAnswerIsAwaited()
  {
    constexpr duration kArrives = milliseconds(720);
    unsigned attempts = 0;
    duration waited{};
    while (attempts < 10 && CatchUpTimeout(attempts) < kArrives) {
      waited += CatchUpTimeout(attempts);
      ++attempts;
    }
    CPPUNIT_ASSERT(attempts < 10);
    CPPUNIT_ASSERT(waited + kArrives < std::chrono::seconds(2));
    // A read whose answer was lost is still abandoned in time.
    CPPUNIT_ASSERT(CatchUpTimeout(0) == milliseconds(450));
    CPPUNIT_ASSERT(CatchUpTimeout(100) < std::chrono::seconds(2));
  }

  /// Guards against a fleet that receives no change for ten seconds though new
  /// connections to the store would work (not seen so far). A change answers
  /// the long polls of all gateways, they poll again together, and all their
  /// connections stop delivering. Without spread polls, each gateway would rely
  /// on its peers to notice first, and all would wait until the same moment.
  void SomeGatewayDetectsSilentStore()
  {
    constexpr int kRepetitions = 1000;
    constexpr duration kMaxDetectionDelay = milliseconds(2300);
    random_engine random(1);
    for (const std::size_t gateways : { 4U, 7U, 27U, 100U, 350U }) {
      int late = 0;
      for (int i = 0; i < kRepetitions; ++i) {
        duration first = LongPollWait(gateways - 1, std::nullopt);
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
          first = std::min(first, LongPollWait(gateways - 1, Uniform(random)));
        }
        late += first > kMaxDetectionDelay ? 1 : 0;
      }
      CPPUNIT_ASSERT(late <= kRepetitions / 100);
    }
    // Without a change the polls stay spread, and no more frequent.
    CPPUNIT_ASSERT(LongPollWait(26, std::nullopt) == std::chrono::seconds(10));
    CPPUNIT_ASSERT(LongPollWait(0, std::nullopt) == milliseconds(1800));
    // A larger fleet does not poll more often in total.
    CPPUNIT_ASSERT(LongPollWait(102, std::nullopt) == std::chrono::seconds(25));
    CPPUNIT_ASSERT(LongPollWait(26, 1.0) == LongPollWait(26, std::nullopt));
  }

  /// Guards against 350 gateways using up all calls that the store serves while
  /// it refuses them, because each retried twice a second whatever the size of
  /// the fleet. Some gateway must still detect the store's recovery within a
  /// second, since changes must be in force within two.
  void SomeGatewayDetectsStoreRecovery()
  {
    constexpr unsigned kOutageSeconds = 8;
    random_engine random(3);
    for (const std::size_t gateways : { 1U, 4U, 27U, 103U, 350U }) {
      double calls = 0;
      duration first = std::chrono::hours(1);
      for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        duration at{};
        unsigned failures = 0;
        for (; at < std::chrono::seconds(kOutageSeconds); ++failures) {
          at += StoreBackoff(failures, gateways - 1, Uniform(random));
        }
        calls += failures;
        first =
          std::min<duration>(first, at - std::chrono::seconds(kOutageSeconds));
      }
      CPPUNIT_ASSERT(first < std::chrono::seconds(1));
      // A quarter of the 2,000 reads that the store serves, for each of two
      // tables.
      CPPUNIT_ASSERT(calls / kOutageSeconds < 500);
    }
  }

  /// Guards against avoiding half of the engines though they are healthy. The
  /// connections of one gateway's machine are reset, and it reports a dozen
  /// broken streams on each engine. A burst of reports at one moment must count
  /// once. Reports that are a second apart must not add up either.
  void BurstOfPeerReportsCountsOnce()
  {
    known_endpoint known;
    for (int i = 0; i < 12; ++i) {
      RecordPeerFailureReport(known.mHealth, kStart + milliseconds(i));
    }
    CPPUNIT_ASSERT(!IsAvoided(known, kStart + milliseconds(12)));
    for (int second = 1; second < 10; ++second) {
      const time_point now = kStart + std::chrono::seconds(second);
      RecordPeerFailureReport(known.mHealth, now);
      CPPUNIT_ASSERT(!IsAvoided(known, now));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_state_test, "belief");
