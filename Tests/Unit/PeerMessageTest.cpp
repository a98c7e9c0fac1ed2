#include "LibGateway/PeerMessage.h"
#include "RingFixture.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace primrose;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kBoot = 0x1234567890abcdef;
/// A placement of a short prompt with the heads of its message.
constexpr std::size_t kShortNews = 70;

placement
ShortPlacement()
{
  placement placed;
  placed.mKey = PlacementKey(kBoot, 7001);
  placed.mOwner = kBoot;
  placed.mEngines = { EngineKey("i-4a5b6c7d8e") };
  placed.mPartPrefillMs = 32.125;
  placed.mLongestPause = milliseconds(250);
  placed.mWorth = 1.25;
  placed.mTokens = 6267;
  placed.mExpires = kStart + milliseconds(9700);
  placed.mBegan = kStart - milliseconds(12);
  placed.mObjective = milliseconds(300);
  return placed;
}

/// Peers told by an entry that sends so many datagrams a second.
std::vector<std::size_t>
ToldOver(std::size_t aPeers, std::size_t aPerSecond, std::chrono::seconds aFor)
{
  peer_send_budget budget;
  std::vector<std::size_t> told;
  const duration gap = duration(std::chrono::seconds(1)) / aPerSecond;
  for (time_point now = kStart; now < kStart + aFor; now += gap) {
    told.push_back(TakeRecipientCount(budget, aPeers, kShortNews, now));
  }
  return told;
}

} // namespace

class news_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(news_test);
  CPPUNIT_TEST(BurstIsToldToEveryEntry);
  CPPUNIT_TEST(LongOverloadKeepsToItsBytes);
  CPPUNIT_TEST(LimitsOfAllEndpointsKeepToTheBytes);
  CPPUNIT_TEST(QuietFleetIsToldAlways);
  CPPUNIT_TEST(EntryKeepsToItsBytesAtAnySize);
  CPPUNIT_TEST(EndsOfEndpointsKeepToTheBytes);
  CPPUNIT_TEST(ShortPlacementIsShort);
  CPPUNIT_TEST(NewsComeBackAsTheyWere);
  CPPUNIT_TEST(BytesThatAreNoNewsAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Symptom: in a burst of short prompts engines have 36 requests while others
  /// have four; two of five first events are late, where three entries fewer
  /// have one of twelve late. Sequence: five entries are added to 29 as a burst
  /// of 310 short prompts a second begins; each entry has 33 peers. Cause: past
  /// 32 peers an entry spent what each second allows, which in a burst told a
  /// third of the others, and several gave an engine its last slot.
  void BurstIsToldToEveryEntry()
  {
    // Nine placements a second, and about as many ends that go alone.
    for (const std::size_t told : ToldOver(33, 18, std::chrono::seconds(10))) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 33 }, told);
    }
  }

  /// The bound that the operators set holds at the size that they plan for.
  void LongOverloadKeepsToItsBytes()
  {
    constexpr std::size_t kPerSecond = 8;
    constexpr std::size_t kSeconds = 3600;
    const std::vector<std::size_t> told =
      ToldOver(349, kPerSecond, std::chrono::seconds(kSeconds));
    std::size_t sent = 0;
    for (const std::size_t one : told) {
      CPPUNIT_ASSERT(one >= 12);
      sent += one * kShortNews;
    }
    CPPUNIT_ASSERT(sent / kSeconds < 11500);
    // What is left is a sample, and larger than the fewest.
    CPPUNIT_ASSERT(told.back() >= 15 && told.back() < 40);
  }

  /// Symptom: control takes several times the 15 KB a second that operators
  /// allow each entry. Cause: what an entry tells and hears grew with the
  /// requests of the whole fleet. Here one entry's placements of ten minutes,
  /// at the rates of each size, 1 in 50 of them divided over 17 engines, each
  /// with an end that goes alone, and its beats; it hears as much on the mean.
  void EntryKeepsToItsBytesAtAnySize()
  {
    struct size
    {
      std::size_t mEntries;
      std::size_t mEngines;
      double mPerSecond; ///< Requests that one entry takes.
    };
    constexpr double kMostBytesPerSecond = 15e3;
    for (const size& one : { size{ 103, 172, 3.1 }, size{ 350, 1200, 4.0 } }) {
      CPPUNIT_ASSERT(BytesPerSecond(one.mEntries,
                                    one.mEngines,
                                    one.mPerSecond) < kMostBytesPerSecond);
    }
  }

  /// The ring of a fleet, the peers of its first entry, and what that prefers.
  struct sized_fleet
  {
    subset_ring mSubsetRing;
    std::vector<std::string> mPeers;
    std::vector<engine_key> mPreferred;
  };

  static sized_fleet FleetOf(std::size_t aEntries, std::size_t aEngines)
  {
    std::vector<std::string> hosts = test::Hosts(aEntries);
    const endpoint_registry board = test::Engines(aEngines);
    sized_fleet fleet;
    fleet.mSubsetRing = test::Ring(hosts, board);
    for (const std::string& id :
         test::PreferredBy(fleet.mSubsetRing, hosts.front(), board)) {
      fleet.mPreferred.push_back(EngineKey(id));
    }
    hosts.erase(hosts.begin());
    fleet.mPeers = std::move(hosts);
    return fleet;
  }

  /// A message without anything in it.
  static peer_message EmptyMessage()
  {
    peer_message message;
    message.mGatewayIncarnation = kBoot;
    message.mManifest = 17;
    message.mList = 4321;
    return message;
  }

  /// Bytes of one placement and of its end, to all whom they concern.
  static std::size_t BytesOfRequest(const sized_fleet& aFleet,
                                    std::size_t aParts,
                                    peer_send_budget& aBudget,
                                    random_engine& aRandom,
                                    time_point aNow)
  {
    placement placed = ShortPlacement();
    placed.mEngines.clear();
    std::sample(aFleet.mPreferred.begin(),
                aFleet.mPreferred.end(),
                std::back_inserter(placed.mEngines),
                aParts,
                aRandom);
    peer_message news = EmptyMessage();
    news.mUpdates.mPlaced = { placed };
    peer_message end = EmptyMessage();
    end.mUpdates.mEnded = { placed.mKey };
    const std::size_t concerned =
      HostsThatPrefer(aFleet.mSubsetRing, aFleet.mPeers, placed.mEngines)
        .size();
    std::size_t sent = 0;
    for (const peer_message& one : { news, end }) {
      const std::size_t bytes = EncodePeerMessage(one, aNow).size();
      sent += bytes * TakeRecipientCount(aBudget, concerned, bytes, aNow);
    }
    return sent;
  }

  /// What one entry sends to its peers.
  static double BytesPerSecond(std::size_t aEntries,
                               std::size_t aEngines,
                               double aPerSecond)
  {
    constexpr std::size_t kSeconds = 600;
    constexpr std::size_t kOneInLong = 50;
    constexpr std::size_t kParts = 17;
    constexpr std::size_t kHostsInBeat = 16;
    constexpr std::size_t kHeartbeatsPerHostList = 4;
    const sized_fleet fleet = FleetOf(aEntries, aEngines);
    peer_send_budget budget;
    random_engine random(5);
    std::size_t sent = 0;
    const std::size_t requests =
      static_cast<std::size_t>(aPerSecond * kSeconds);
    for (std::size_t i = 0; i < requests; ++i) {
      const time_point now =
        kStart + FromSeconds(static_cast<double>(i) / aPerSecond);
      const std::size_t parts = i % kOneInLong == 0 ? kParts : 1;
      sent += BytesOfRequest(fleet, parts, budget, random, now);
    }
    peer_message beat = EmptyMessage();
    beat.mQuarantineHash = kBoot;
    const std::size_t plain = EncodePeerMessage(beat, kStart).size();
    beat.mHosts.assign(kHostsInBeat, "10.255.255.255");
    const std::size_t naming = EncodePeerMessage(beat, kStart).size();
    const std::size_t beats = PeersPerHeartbeat(aEntries - 1) * kSeconds;
    sent += beats * (naming + (kHeartbeatsPerHostList - 1) * plain) /
            kHeartbeatsPerHostList;
    return static_cast<double>(sent) / kSeconds;
  }

  /// What an entry sends of ends of endpoints: reports, in as many datagrams,
  /// to all its peers.
  static std::size_t BytesOfReports(std::size_t aPeers,
                                    std::size_t aReports,
                                    std::size_t aDatagrams)
  {
    random_engine random(7);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < aDatagrams; ++i) {
      peer_message message = EmptyMessage();
      const std::size_t here =
        (aReports * (i + 1)) / aDatagrams - (aReports * i) / aDatagrams;
      for (std::size_t j = 0; j < here; ++j) {
        message.mUpdates.mCrashes.push_back(
          { random(), static_cast<engine_key>(random()), false });
      }
      bytes += aPeers * EncodePeerMessage(message, kStart).size();
    }
    return bytes;
  }

  /// Each entry hears of each end, wherever it is seen. An hour in which one
  /// engine in ten ends, each with all its slots in use, and then all of them
  /// at once, beside the usual news: on the mean within what operators allow,
  /// and the worst second within the narrowest link.
  void EndsOfEndpointsKeepToTheBytes()
  {
    struct size
    {
      std::size_t mEntries;
      std::size_t mEngines;
      std::size_t mSlots;
      double mPerSecond; ///< Requests that one entry takes.
    };
    constexpr double kMostBytesPerSecond = 15e3;
    constexpr double kNarrowestLink = 20e6 / 8;
    constexpr double kHour = 3600;
    /// Ends that come together are seen over some tenths of a second.
    constexpr std::size_t kDatagramsOfAll = 10;
    for (const size& one : { size{ 15, 23, 10, 3.0 },
                             size{ 103, 172, 10, 3.1 },
                             size{ 350, 1200, 10, 4.0 } }) {
      const std::size_t peers = one.mEntries - 1;
      const std::size_t inFlight = one.mEngines * one.mSlots / one.mEntries + 1;
      // By one entry: of each engine that ends alone, at most one report.
      const std::size_t alone =
        one.mEngines / 10 * std::min(one.mSlots, one.mEntries) / one.mEntries +
        1;
      const double all =
        static_cast<double>(BytesOfReports(peers, inFlight, kDatagramsOfAll));
      const double hour =
        all + static_cast<double>(BytesOfReports(peers, alone, alone));
      CPPUNIT_ASSERT(all < kNarrowestLink);
      CPPUNIT_ASSERT(
        BytesPerSecond(one.mEntries, one.mEngines, one.mPerSecond) +
          hour / kHour <
        kMostBytesPerSecond);
    }
  }

  /// Guards against limit announcements that exceed the byte budget when every
  /// endpoint names a limit.
  void LimitsOfAllEndpointsKeepToTheBytes()
  {
    constexpr double kMostBytesPerSecond = 15e3;
    constexpr double kTellPeriodSeconds = 4;
    peer_message message = EmptyMessage();
    message.mUpdates.mLimits = { { 0xfedcba98, 1.6, kStart } };
    const double bytes =
      static_cast<double>(EncodePeerMessage(message, kStart).size());
    struct size
    {
      std::size_t mEntries;
      std::size_t mEngines;
      double mPerSecond; ///< Requests that one entry takes.
    };
    for (const size& one : { size{ 15, 23, 3.0 },
                             size{ 103, 172, 3.1 },
                             size{ 350, 1200, 4.0 } }) {
      const double told = static_cast<double>(std::min(
        one.mEntries - 1, static_cast<std::size_t>(kFullBroadcastPeers)));
      const double perEntry = static_cast<double>(one.mEngines) /
                              static_cast<double>(one.mEntries) /
                              kTellPeriodSeconds;
      CPPUNIT_ASSERT(
        BytesPerSecond(one.mEntries, one.mEngines, one.mPerSecond) +
          perEntry * told * bytes <
        kMostBytesPerSecond);
    }
  }

  void QuietFleetIsToldAlways()
  {
    const std::vector<std::size_t> told =
      ToldOver(100, 1, std::chrono::seconds(600));
    CPPUNIT_ASSERT_EQUAL(
      told.size(),
      static_cast<std::size_t>(std::count(told.begin(), told.end(), 100)));
  }

  void ShortPlacementIsShort()
  {
    peer_message message;
    message.mGatewayIncarnation = kBoot;
    message.mManifest = 17;
    message.mList = 4321;
    message.mUpdates.mPlaced = { ShortPlacement() };
    CPPUNIT_ASSERT(EncodePeerMessage(message, kStart).size() <= kShortNews);
    message.mUpdates = {};
    message.mUpdates.mEnded = { ShortPlacement().mKey };
    CPPUNIT_ASSERT(EncodePeerMessage(message, kStart).size() <= kShortNews / 2);
  }

  void NewsComeBackAsTheyWere()
  {
    rc::check("news", [](std::uint64_t aBoot, const std::string& aHost) {
      peer_message message;
      message.mGatewayIncarnation = aBoot;
      message.mLeaving = *rc::gen::arbitrary<bool>();
      message.mManifest = *rc::gen::arbitrary<std::uint64_t>();
      message.mList = *rc::gen::arbitrary<std::uint64_t>();
      placement placed = ShortPlacement();
      placed.mOwner = aBoot;
      placed.mKey = PlacementKey(aBoot, *rc::gen::arbitrary<std::uint32_t>());
      placed.mEngines =
        *rc::gen::nonEmpty(rc::gen::arbitrary<std::vector<engine_key>>());
      placed.mHolders = *rc::gen::arbitrary<std::vector<engine_key>>();
      placed.mHolderTokens = placed.mHolders.empty() ? 0 : 51000;
      message.mUpdates.mPlaced = { placed };
      message.mUpdates.mEnded = { PlacementKey(aBoot, 1) };
      message.mUpdates.mUnread = { PlacementKey(aBoot, 2) };
      message.mUpdates.mHelpRefused = { EngineKey(aHost) };
      message.mUpdates.mTroubled = { EngineKey(aHost), 7 };
      message.mUpdates.mLimits = {
        { EngineKey(aHost), 1.6, kStart - std::chrono::milliseconds(340) },
        { 7, std::nullopt, kStart }
      };
      message.mUpdates.mCrashes = { { aBoot, EngineKey(aHost), true },
                                    { 7, 8, false } };
      message.mUpdates.mHeld = { { aBoot, 2, std::chrono::seconds(86399) } };
      message.mUpdates.mCleared = { aBoot, 9 };
      message.mQuarantineHash = *rc::gen::arbitrary<std::uint64_t>();
      message.mHosts = { "10.1.0.9", "10.2.0.4" };
      const std::string bytes = EncodePeerMessage(message, kStart);
      const outcome<peer_message> read = Capture<peer_message>(
        [&bytes]() { return DecodePeerMessage(bytes, kStart); });
      RC_ASSERT(static_cast<bool>(read));
      RC_ASSERT(*read.mValue == message);
    });
  }

  /// Symptom: an entry ends on a datagram from a stranger, or takes in much
  /// more than a datagram holds. Cause: bytes of another program on the port,
  /// or a message that names sizes which it does not have.
  void BytesThatAreNoNewsAreRefused()
  {
    rc::check("mutated news", [](const std::string& aNoise) {
      peer_message message;
      message.mGatewayIncarnation = kBoot;
      message.mUpdates.mPlaced = { ShortPlacement() };
      std::string bytes = EncodePeerMessage(message, kStart);
      const std::size_t at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes.replace(at, aNoise.size(), aNoise);
      const outcome<peer_message> read = Capture<peer_message>(
        [&bytes]() { return DecodePeerMessage(bytes, kStart); });
      RC_ASSERT(!read || read.mValue->mUpdates.mPlaced.size() < 4096);
    });
    CPPUNIT_ASSERT(!Capture<peer_message>(
      []() { return DecodePeerMessage("GET / HTTP/1.1\r\n\r\n", kStart); }));
    CPPUNIT_ASSERT(
      !Capture<peer_message>([]() { return DecodePeerMessage("", kStart); }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(news_test, "news");
