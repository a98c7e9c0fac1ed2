#include "LibGateway/PeerNews.h"

#include "LibGateway/GatewayMetrics.h"

#include <algorithm>
#include <iterator>

namespace primrose {

namespace {

/// News of one such span goes in one datagram: short against a pass of an
/// engine (50 ms), long against the time between two placements in a burst.
constexpr duration kGather = std::chrono::milliseconds(3);
/// An end only frees a place, and half of what a datagram costs is its heads:
/// it waits this long for a placement to go with. A pass takes 50 ms.
constexpr duration kGatherEnds = std::chrono::milliseconds(30);
/// How often an entry shows that it is there, and after how many times the
/// usual span between two of its beats a silent one counts as gone.
constexpr duration kBeat = std::chrono::seconds(1);
constexpr unsigned kSilentBeats = 4;
/// Hosts not heard from are asked every so many beats.
constexpr unsigned kCandidateBeats = 3;
/// Placements in one datagram, so that it fits into one packet.
constexpr std::size_t kMostPlaced = 8;
/// Hosts named in one datagram.
constexpr std::size_t kMostHosts = 16;

/// The usual span between two beats of one peer, as this entry hears them.
duration
SpanBetweenBeats(std::size_t aPeers)
{
  return aPeers <= kAlwaysTold
           ? kBeat
           : kBeat * static_cast<int>(1 + aPeers / kFewestTold);
}

} // namespace

std::uint64_t
ListHeld(const gateway_board& aBoard)
{
  return std::max(aBoard.mEndpoints.mNewestRevision, aBoard.mListAsOf);
}

std::vector<std::string>
PeersAhead(const gateway_board& aBoard)
{
  const std::uint64_t manifest =
    aBoard.mManifest == nullptr ? 0 : aBoard.mManifest->Manifest().mVersion;
  const std::uint64_t list = ListHeld(aBoard);
  std::vector<std::string> ahead;
  for (const auto& [host, peer] : aBoard.mPeers) {
    if (peer.mManifest > manifest || peer.mList > list) {
      ahead.push_back(host);
    }
  }
  return ahead;
}

void
RankSubsets(gateway_board& aBoard, const std::string& aOwnHost)
{
  std::vector<std::string> hosts{ aOwnHost };
  for (const auto& [host, peer] : aBoard.mPeers) {
    hosts.push_back(host);
  }
  RankEntries(aBoard.mRing, hosts);
  RankEngines(aBoard.mRing, aBoard.mEndpoints);
  MarkPreferred(aBoard.mEndpoints, aBoard.mRing, aOwnHost);
}

std::size_t
EntryCount(const gateway_board& aBoard)
{
  constexpr std::size_t kBeforeAnyIsKnown = 64;
  if (!aBoard.mEntriesKnown && aBoard.mPeers.empty()) {
    return kBeforeAnyIsKnown;
  }
  return std::max(aBoard.mPeers.size() + 1, aBoard.mEntriesListed);
}

peer_news::peer_news(event_loop& aLoop,
                     const gateway_settings& aSettings,
                     gateway_board& aBoard,
                     const behind& aBehind)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mManifestWatch(
      aLoop,
      aBoard,
      "manifest",
      [&aBoard]() -> std::optional<std::uint64_t> {
        if (aBoard.mManifest == nullptr) {
          return std::nullopt;
        }
        return aBoard.mManifest->Manifest().mVersion;
      },
      [aBehind](duration aPatience) { aBehind(belief::Manifest, aPatience); })
  , mListWatch(
      aLoop,
      aBoard,
      "endpoints",
      [&aBoard]() { return std::optional(ListHeld(aBoard)); },
      [aBehind](duration aPatience) { aBehind(belief::Endpoints, aPatience); })
{
}

peer_news::~peer_news()
{
  mLoop.Cancel(mFlushTimer);
  mLoop.Cancel(mBeatTimer);
}

result<void>
peer_news::Open()
{
  BOOST_LEAF_ASSIGN(mSocket,
                    datagram_socket::Open(
                      mLoop,
                      mSettings.mPeers,
                      [this](std::string_view aBytes, const ip_address& aFrom) {
                        OnNews(aBytes, aFrom);
                      }));
  AddHosts(mSettings.mSeeds);
  Beat();
  return {};
}

void
peer_news::AddHosts(const std::vector<std::string>& aHosts)
{
  for (const std::string& host : aHosts) {
    if (host != mSettings.mPeers.mHost && !mBoard.mPeers.contains(host) &&
        mCandidates.insert(host).second && mSocket != nullptr) {
      mSocket->Send(Encode({}), { host, mSettings.mPeers.mPort });
    }
  }
}

void
peer_news::TellPlaced(const placement& aPlaced)
{
  mGathered.mPlaced.push_back(aPlaced);
  Concern(aPlaced.mEngines);
  FlushWithin(kGather);
}

void
peer_news::TellEnded(placement_key aKey,
                     placement_end aEnd,
                     const std::vector<engine_key>& aEngines)
{
  Concern(aEngines);
  (aEnd == placement_end::Read ? mGathered.mEnded : mGathered.mUnread)
    .push_back(aKey);
  FlushWithin(kGatherEnds);
}

void
peer_news::TellUnwilling(engine_key aEngine)
{
  mGathered.mUnwilling.push_back(aEngine);
  Concern({ aEngine });
  FlushWithin(kGather);
}

void
peer_news::Heed(engine_key aEndpoint,
                const std::string& aHost,
                const std::function<void(endpoint_health&, time_point)>& aNote)
{
  const time_point now = mLoop.Now();
  for (auto& [id, known] : mBoard.mEndpoints.mEndpoints) {
    if (EngineKey(id) != aEndpoint) {
      continue;
    }
    const time_point before = known.mHealth.mAvoidUntil;
    aNote(known.mHealth, now);
    if (known.mHealth.mAvoidUntil == before) {
      continue;
    }
    Log(log_level::Info,
        "endpoint_avoided",
        { { "endpoint", id },
          { "told_by", aHost },
          { "strikes", known.mHealth.mStrikes },
          { "for_ms", Milliseconds(known.mHealth.mAvoidUntil - now) } });
  }
}

void
peer_news::TellTroubled(engine_key aEndpoint)
{
  mGathered.mTroubled.push_back(aEndpoint);
  Concern({ aEndpoint });
  FlushWithin(kGather);
}

void
peer_news::TellLeaving()
{
  Flush();
  mLeaving = true;
  const std::string bytes = Encode({});
  for (const auto& [host, peer] : mBoard.mPeers) {
    mSocket->Send(bytes, { host, mSettings.mPeers.mPort });
  }
}

void
peer_news::FlushWithin(duration aSpan)
{
  if (mGathered.mPlaced.size() >= kMostPlaced) {
    Flush();
    return;
  }
  const time_point due = mLoop.Now() + aSpan;
  if (mFlushTimer != 0 && mFlushAt <= due) {
    return;
  }
  mLoop.Cancel(mFlushTimer);
  mFlushAt = due;
  mFlushTimer = mLoop.After(aSpan, [this]() {
    mFlushTimer = 0;
    Flush();
  });
}

std::string
peer_news::Encode(const told_news& aNews)
{
  peer_message message;
  message.mBoot = mBoard.mBoot;
  message.mLeaving = mLeaving;
  message.mManifest =
    mBoard.mManifest == nullptr ? 0 : mBoard.mManifest->Manifest().mVersion;
  message.mList = mBoard.mEndpoints.mNewestRevision;
  message.mNews = aNews;
  if (aNews == told_news{}) {
    // A beat: it also says who else is there.
    const std::size_t hosts = std::min(kMostHosts, mBoard.mPeers.size());
    std::map<std::string, peer_entry>::const_iterator peer =
      mBoard.mPeers.begin();
    std::advance(peer,
                 static_cast<std::ptrdiff_t>(
                   Below(mBoard.mRandom, mBoard.mPeers.size() - hosts + 1)));
    for (std::size_t i = 0; i < hosts; ++i, ++peer) {
      message.mHosts.push_back(peer->first);
    }
  }
  return EncodeNews(message, mLoop.Now());
}

void
peer_news::Flush()
{
  mLoop.Cancel(mFlushTimer);
  mFlushTimer = 0;
  const std::string bytes = Encode(mGathered);
  const std::vector<std::string> concerned = Concerned();
  mGathered = told_news{};
  mConcerned.clear();
  for (const std::string& host : PeersToTell(concerned, bytes.size())) {
    mSocket->Send(bytes, { host, mSettings.mPeers.mPort });
  }
}

void
peer_news::Concern(const std::vector<engine_key>& aEngines)
{
  mConcerned.insert(aEngines.begin(), aEngines.end());
}

std::vector<std::string>
peer_news::Concerned()
{
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : mBoard.mPeers) {
    if (std::any_of(mConcerned.begin(),
                    mConcerned.end(),
                    [this, &host](engine_key aEngine) {
                      return Prefers(mBoard.mRing, host, aEngine);
                    })) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void
peer_news::TellBeat()
{
  // Whoever hears of no placement of this entry hears a beat now and then, each
  // in its turn.
  const std::string bytes = Encode({});
  const std::size_t told =
    mBoard.mPeers.size() <= kAlwaysTold ? mBoard.mPeers.size() : kFewestTold;
  std::map<std::string, peer_entry>::const_iterator next =
    mBoard.mPeers.upper_bound(mLastBeatTold);
  for (std::size_t i = 0; i < told; ++i, ++next) {
    if (next == mBoard.mPeers.end()) {
      next = mBoard.mPeers.begin();
    }
    mLastBeatTold = next->first;
    mSocket->Send(bytes, { next->first, mSettings.mPeers.mPort });
    CountPeerBytes(mBoard.mMetrics, peer_traffic::BeatsSent, bytes.size());
  }
}

std::vector<std::string>
peer_news::PeersToTell(const std::vector<std::string>& aHosts,
                       std::size_t aBytes)
{
  const std::size_t told =
    TakePeersToTell(mBudget, aHosts.size(), aBytes, mLoop.Now());
  CountNews(told, aHosts.size(), aBytes);
  if (told == aHosts.size()) {
    return aHosts;
  }
  std::vector<std::string> drawn;
  std::sample(aHosts.begin(),
              aHosts.end(),
              std::back_inserter(drawn),
              told,
              mBoard.mRandom);
  return drawn;
}

void
peer_news::CountNews(std::size_t aTold, std::size_t aPeers, std::size_t aBytes)
{
  mBoard.mMetrics.Count(
    Labelled("gateway_news_total", "told", aTold == aPeers ? "all" : "some"));
  CountPeerBytes(mBoard.mMetrics, peer_traffic::NewsSent, aTold * aBytes);
}

void
peer_news::Greet(const std::string& aHost)
{
  // A new peer knows nothing of what this entry has placed, and would take
  // busy engines for idle ones.
  std::vector<placement> own;
  for (const auto& [key, placed] : mBoard.mLedger.mPlacements) {
    if (placed.mOwner != mBoard.mBoot) {
      continue;
    }
    own.push_back(placed);
    // Reading that was placed a while ago is mostly done.
    own.back().mPartMs = 0;
    if (own.size() == kMostPlaced) {
      mSocket->Send(Encode({ own, {}, {}, {} }),
                    { aHost, mSettings.mPeers.mPort });
      own.clear();
    }
  }
  mSocket->Send(Encode({ own, {}, {}, {} }), { aHost, mSettings.mPeers.mPort });
}

void
peer_news::Beat()
{
  ForgetSilent();
  CompareWithPresent();
  TellBeat();
  if (mBeats % kCandidateBeats == 0) {
    for (const std::string& host : mCandidates) {
      mSocket->Send(Encode({}), { host, mSettings.mPeers.mPort });
    }
  }
  ++mBeats;
  mBeatTimer = mLoop.After(kBeat, [this]() {
    mBeatTimer = 0;
    Beat();
  });
}

void
peer_news::CompareBeliefs(std::uint64_t aManifest, std::uint64_t aList)
{
  mNewestManifest = std::max(mNewestManifest, aManifest);
  mNewestList = std::max(mNewestList, aList);
  mManifestWatch.Told(mNewestManifest);
  mListWatch.Told(mNewestList);
}

void
peer_news::CompareWithPresent()
{
  // What only a peer knew that is gone can be asked of nobody.
  mNewestManifest = 0;
  mNewestList = 0;
  for (const auto& [host, peer] : mBoard.mPeers) {
    mNewestManifest = std::max(mNewestManifest, peer.mManifest);
    mNewestList = std::max(mNewestList, peer.mList);
  }
  CompareBeliefs(mNewestManifest, mNewestList);
}

void
peer_news::ForgetSilent()
{
  const time_point now = mLoop.Now();
  const duration silence =
    static_cast<int>(kSilentBeats) * SpanBetweenBeats(mBoard.mPeers.size());
  for (auto peer = mBoard.mPeers.begin(); peer != mBoard.mPeers.end();) {
    if (now - peer->second.mHeard < silence) {
      ++peer;
      continue;
    }
    Log(log_level::Warning,
        "peer_lost",
        { { "host", peer->first },
          { "silent_ms", Milliseconds(now - peer->second.mHeard) } });
    ForgetOwner(mBoard.mLedger, peer->second.mBoot, now);
    mCandidates.insert(peer->first);
    peer = mBoard.mPeers.erase(peer);
    RankSubsets(mBoard, mSettings.mPeers.mHost);
  }
}

void
peer_news::OnNews(std::string_view aBytes, const ip_address& aFrom)
{
  const time_point now = mLoop.Now();
  CountPeerBytes(mBoard.mMetrics, peer_traffic::Received, aBytes.size());
  const outcome<peer_message> read =
    Capture<peer_message>([aBytes, now]() { return DecodeNews(aBytes, now); });
  if (!read) {
    Log(log_level::Warning,
        "peer_news_malformed",
        { { "host", aFrom.mHost }, { "why", read.mFailure.mMessage } });
    return;
  }
  const peer_message& message = *read.mValue;
  if (message.mBoot == mBoard.mBoot) {
    return;
  }
  mCandidates.erase(aFrom.mHost);
  if (message.mLeaving) {
    mBoard.mPeers.erase(aFrom.mHost);
    RankSubsets(mBoard, mSettings.mPeers.mHost);
    return;
  }
  HeedPeer(message, aFrom.mHost);
  CompareBeliefs(message.mManifest, message.mList);
  TakeNews(message.mNews, aFrom.mHost);
  AddHosts(message.mHosts);
}

void
peer_news::HeedPeer(const peer_message& aMessage, const std::string& aHost)
{
  const time_point now = mLoop.Now();
  const auto known = mBoard.mPeers.find(aHost);
  const bool isNew =
    known == mBoard.mPeers.end() || known->second.mBoot != aMessage.mBoot;
  if (known != mBoard.mPeers.end() && isNew) {
    ForgetOwner(mBoard.mLedger, known->second.mBoot, now);
  }
  mBoard.mPeers[aHost] = {
    aMessage.mBoot, now, aMessage.mManifest, aMessage.mList
  };
  if (isNew) {
    RankSubsets(mBoard, mSettings.mPeers.mHost);
    Log(log_level::Info,
        "peer_found",
        { { "host", aHost }, { "peers", mBoard.mPeers.size() } });
    Greet(aHost);
  }
}

void
peer_news::TakeNews(const told_news& aNews, const std::string& aHost)
{
  const time_point now = mLoop.Now();
  mBoard.mMetrics.Count("gateway_placements_heard_total",
                        static_cast<double>(aNews.mPlaced.size()));
  for (const placement& placed : aNews.mPlaced) {
    NotePlaced(mBoard.mLedger, placed, now);
  }
  for (const placement_key key : aNews.mEnded) {
    NoteEnded(mBoard.mLedger, key, placement_end::Read, now);
  }
  for (const placement_key key : aNews.mUnread) {
    NoteEnded(mBoard.mLedger, key, placement_end::Unread, now);
  }
  for (const engine_key engine : aNews.mUnwilling) {
    Heed(engine, aHost, [](endpoint_health& aHealth, time_point aNow) {
      NoteSign(aHealth, endpoint_sign::Unwilling, aNow);
    });
  }
  for (const engine_key endpoint : aNews.mTroubled) {
    Heed(endpoint, aHost, NoteTold);
  }
}

} // namespace primrose
