#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

/// Guards against a stale manifest after the network path to the store is lost
/// without an error. One gateway of 27 refused an added route with 404 for
/// seconds, and would have kept accepting a removed key. It had lost its path
/// to the store for twelve seconds and stayed stale for four seconds more. Two
/// faults caused this:
///
/// - Peers reported newer versions in every datagram, so the gateway abandoned
///   its call and sent a new one to the unresponsive store every 1.8 s. This
///   did not count as a failure, so it never fetched the rows from a peer:
///     store_asked_anew table=op revision=142 asked_ms=1804 received_bytes=0
/// - Once the path was back, it read every missed version, 77 KB each for 260
///   routes, over a link of 20 Mbit/s. It also abandoned answers that were
///   arriving for a call that returned the same bytes again:
///     store_answer table=op rows=10 bytes=1482578 arrival_ms=626
///     store_asked_anew table=op revision=149 asked_ms=182 received_bytes=65536
class store_outage_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(store_outage_test);
  CPPUNIT_TEST(UnansweredPollCausesPeerFetch);
  CPPUNIT_TEST(OnlyNewestMissedVersionIsRead);
  CPPUNIT_TEST(ManyMissedChangesCauseFullRead);
  CPPUNIT_TEST(ArrivingAnswerIsNotAbandoned);
  CPPUNIT_TEST(AnswerThatEndsWithItsConnectionIsRead);
  CPPUNIT_TEST(CutAnswerOfStoreChangesNothing);
  CPPUNIT_TEST(TablesStayCurrentIfAnswersEndWithTheirConnection);
  CPPUNIT_TEST(ChangesComeFromPeerWhileAnswerOfStoreStalls);
  CPPUNIT_TEST(CopyIsNotNewerThanTheReadThatConfirmedIt);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kVersions = 60;

  static std::uint64_t Version(const gateway& aGateway)
  {
    return aGateway.Board().mManifest == nullptr
             ? 0
             : aGateway.Board().mManifest->Manifest().mVersion;
  }

  /// Two gateways that are peers. The second one has a store of its own, with
  /// the same content as the store of the first one.
  struct gateway_with_own_store
  {
    gateway_with_own_store()
      : mStore(mWorld.mLoop)
    {
      mWorld.mSettings.mPeers.mPort = mWorld.FreePort();
      mWorld.Start();
      WriteManifest(mStore, 3, "");
      ListEndpoint(mStore,
                   "i-desk",
                   "desk",
                   mWorld.mDeskEndpoint.mServer.Address(),
                   "ready");
      mSecond = StartSecondGateway(mWorld, mStore.Address());
      mWorld.Until([this]() { return Version(*mSecond) == 3; }, "the manifest");
    }

    world mWorld;
    standin_store mStore;
    std::unique_ptr<gateway> mSecond;
  };

public:
  /// Guards against losing a store whose answers have neither a length nor
  /// chunks.
  void AnswerThatEndsWithItsConnectionIsRead()
  {
    world w;
    w.mStore.SetAnswerEnd(standin_store::answer_end::Connection);
    w.Start();
    w.PutManifest(9);
    w.Until([&w]() { return Version(*w.mGateway) == 9; }, "the change");
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r1", "safe")).Status());
  }

  /// Guards against taking the first half of a table for the whole one, after
  /// which endpoints that are listed would be unknown.
  void CutAnswerOfStoreChangesNothing()
  {
    world w;
    w.Start();
    w.mStore.SetAnswerEnd(standin_store::answer_end::CutConnection);
    w.mStore.LoseHistory();
    const std::size_t calls = w.mStore.Calls();
    w.PutManifest(9);
    w.Until([&w, calls]() { return w.mStore.Calls() >= calls + 4; },
            "the tables are read several times");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Version(*w.mGateway));
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r1", "safe")).Status());
    w.mStore.SetAnswerEnd(standin_store::answer_end::Length);
    w.Until([&w]() { return Version(*w.mGateway) == 9; }, "the change");
  }

  /// Guards against running gateways that keep both tables as they were, since
  /// the store's answers have neither a length nor chunks from some moment on:
  /// added routes are refused and leaving endpoints still get requests.
  void TablesStayCurrentIfAnswersEndWithTheirConnection()
  {
    world w;
    w.List("i-second", "desk", w.mSecond.mServer.Address());
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    const std::unique_ptr<gateway> second =
      StartSecondGateway(w, w.mStore.Address());
    w.Until([&second]() { return Version(*second) == 3; }, "the manifest");
    w.mStore.SetAnswerEnd(standin_store::answer_end::Connection);
    w.PutManifest(9, "added");
    w.List("i-desk", "desk", w.mDeskEndpoint.mServer.Address(), "draining");
    for (const gateway* const one : { w.mGateway.get(), second.get() }) {
      w.Until(
        [one]() {
          const std::map<std::string, known_endpoint>& endpoints =
            one->Board().mEndpoints.mEndpoints;
          const auto desk = endpoints.find("i-desk");
          return Version(*one) == 9 && desk != endpoints.end() &&
                 desk->second.mListed.mLeaving;
        },
        "both changes");
    }
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r1", "added")).Status());
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r2", "safe")).Status());
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  /// Guards against a gateway whose copy is outdated for as long as an answer
  /// of the store keeps arriving, although its peers have the change.
  void ChangesComeFromPeerWhileAnswerOfStoreStalls()
  {
    constexpr std::size_t kRoutes = 500;
    constexpr std::size_t kSliceBytes = 40;
    constexpr duration kSliceEvery = milliseconds(50);
    gateway_with_own_store setup;
    world& w = setup.mWorld;
    setup.mStore.ThrottleAnswers(kSliceBytes, kSliceEvery);
    WriteManifest(setup.mStore, 9, "added", kRoutes);
    w.PutManifest(9, "added", kRoutes);
    w.Until([&setup]() { return Version(*setup.mSecond) == 9; }, "the change");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, setup.mStore.AbortedAnswers());
  }

  /// Guards against peers that take an outdated copy for current: a gateway
  /// states that its copy is current as of the arrival of an answer which the
  /// store had made seconds before.
  void CopyIsNotNewerThanTheReadThatConfirmedIt()
  {
    constexpr std::size_t kRoutes = 300;
    constexpr std::size_t kSliceBytes = 4000;
    constexpr duration kSliceEvery = milliseconds(50);
    world w;
    w.PutManifest(4, "", kRoutes);
    w.Start();
    w.Until([&w]() { return w.mStore.RequestsForTable("op") == 2; },
            "the question about changes is open");
    w.mStore.ThrottleAnswers(kSliceBytes, kSliceEvery);
    w.mStore.LoseHistory();
    w.Until([&w]() { return w.mStore.RequestsForTable("op") == 3; },
            "the table is read");
    w.PutManifest(9, "", kRoutes);
    const time_point changed = w.mLoop.Now();
    bool statedTooNew = false;
    w.Until(
      [&w, changed, &statedTooNew]() {
        const std::optional<time_point>& confirmed =
          FreshnessOf(w.mGateway->Board(), belief::Operator).mConfirmedAt;
        const bool outdated = Version(*w.mGateway) < 9;
        statedTooNew = statedTooNew || (outdated && *confirmed > changed);
        return !outdated;
      },
      "the change");
    CPPUNIT_ASSERT(!statedTooNew);
  }

  /// The first abandoned poll counts as a failure of the store, and the newer
  /// version is fetched from a peer.
  void UnansweredPollCausesPeerFetch()
  {
    gateway_with_own_store setup;
    world& w = setup.mWorld;
    standin_store& store = setup.mStore;
    const gateway& second = *setup.mSecond;
    store.StopAnswering();
    const std::size_t pollsBefore = store.RequestsForTable("op");
    w.PutManifest(9, "added");
    constexpr std::size_t kMaxPolls = 3;
    w.Until(
      [&second, &store, pollsBefore]() {
        return Version(second) == 9 ||
               store.RequestsForTable("op") >= pollsBefore + kMaxPolls;
      },
      "the peer's version, or questions that nobody answers");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, Version(second));
    standin_caller caller(w.mLoop,
                          ip_address{ "127.0.0.2", second.CallersPort() });
    caller.Send(w.Request("r1", "added"));
    w.Until([&caller]() { return caller.Answered(); }, "an answer");
    CPPUNIT_ASSERT_EQUAL(200U, caller.Status());
  }

  /// Writes many versions of 60 KB each.
  static void PutManyVersions(world& aWorld)
  {
    constexpr std::size_t kRoutes = 250;
    for (std::uint64_t version = 4; version < 4 + kVersions; ++version) {
      aWorld.PutManifest(version, "added", kRoutes);
    }
  }

  /// After an outage only the newest version is read, however many were missed,
  /// so that catching up does not take longer the more there were.
  void OnlyNewestMissedVersionIsRead()
  {
    world w;
    w.Start();
    w.Until([&w]() { return w.mStore.RequestsForTable("op") == 2; },
            "the question about changes is open");
    w.mStore.StopAnswering();
    const std::size_t versionsReadBefore = w.mStore.RowsSentFromTable("op");
    PutManyVersions(w);
    w.mStore.SetResponseMode(standin_store::response_mode::Good);
    w.Until([&w]() { return Version(*w.mGateway) == 3 + kVersions; },
            "the newest version");
    CPPUNIT_ASSERT(w.mStore.RowsSentFromTable("op") <= versionsReadBefore + 2);
    CPPUNIT_ASSERT_EQUAL(200U, w.Answered(w.Request("r1", "added")).Status());
  }

  /// A gateway that was suspended polls for changes as usual. The first answer
  /// of 1 MB shows how many versions it missed; it then does a full read
  /// instead of reading the rest.
  void ManyMissedChangesCauseFullRead()
  {
    world w;
    w.Start();
    const std::size_t versionsReadBefore = w.mStore.RowsSentFromTable("op");
    PutManyVersions(w);
    w.Until([&w]() { return Version(*w.mGateway) == 3 + kVersions; },
            "the newest version");
    constexpr std::size_t kVersionsPerAnswer = 20;
    CPPUNIT_ASSERT(w.mStore.RowsSentFromTable("op") <=
                   versionsReadBefore + kVersionsPerAnswer + 2);
  }

  /// Arriving bytes show that the store and the path work. Each answer takes 3
  /// s to arrive here, which is longer than the timeout of an answer that has
  /// not begun.
  void ArrivingAnswerIsNotAbandoned()
  {
    constexpr std::size_t kRoutes = 500;
    constexpr std::size_t kSliceBytes = 2500;
    constexpr duration kSliceEvery = milliseconds(50);
    gateway_with_own_store setup;
    world& w = setup.mWorld;
    standin_store& slowStore = setup.mStore;
    const gateway& second = *setup.mSecond;
    slowStore.ThrottleAnswers(kSliceBytes, kSliceEvery);
    // The peer has the new version at once and reports it by gossip.
    w.PutManifest(9, "added", kRoutes);
    WriteManifest(slowStore, 9, "added", kRoutes);
    w.Until([&second]() { return Version(second) == 9; }, "a version");
    w.For(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, slowStore.AbortedAnswers());

    // The same holds for the first full read of a gateway without peers.
    world singleGateway;
    singleGateway.PutManifest(9, "added", kRoutes);
    singleGateway.mStore.ThrottleAnswers(kSliceBytes, kSliceEvery);
    singleGateway.Start();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         singleGateway.mStore.AbortedAnswers());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_outage_test, "gateway-cut-off");
