#include "LibGateway/PeerGossip.h"

#include "LibGateway/GatewayMetrics.h"
#include "LibGateway/LimitUpdates.h"

#include <algorithm>

namespace primrose {

namespace {

/// How often an entry shows that it is there, and after how many times the
/// usual span between two of its beats a silent one counts as gone.
constexpr duration kBeat = std::chrono::seconds(1);
constexpr unsigned kSilentBeats = 4;
/// Hosts not heard from are asked every so many beats.
constexpr unsigned kCandidateBeats = 3;

/// The usual span between two beats of one peer, as this entry hears them.
duration
SpanBetweenBeats(std::size_t aPeers)
{
  const std::size_t told = PeersPerHeartbeat(aPeers);
  return told == aPeers ? kBeat
                        : kBeat * static_cast<int>((aPeers + told - 1) / told);
}

/// The endpoint that peers name by this key; null if it is not listed here.
known_endpoint*
FindByKey(endpoint_board& aBoard, engine_key aKey)
{
  for (auto& [id, known] : aBoard.mEndpoints) {
    if (EngineKey(id) == aKey) {
      return &known;
    }
  }
  return nullptr;
}

} // namespace

std::uint64_t
ManifestHeld(const gateway_board& aBoard)
{
  return aBoard.mManifest == nullptr ? 0
                                     : aBoard.mManifest->Manifest().mVersion;
}

std::uint64_t
ListHeld(const gateway_board& aBoard)
{
  return std::max(aBoard.mEndpoints.mNewestRevision, aBoard.mListAsOf);
}

std::vector<std::string>
PeerHosts(const gateway_board& aBoard)
{
  std::vector<std::string> hosts;
  hosts.reserve(aBoard.mPeers.size());
  for (const auto& [host, peer] : aBoard.mPeers) {
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<std::string>
PeersAhead(const gateway_board& aBoard)
{
  const std::uint64_t manifest = ManifestHeld(aBoard);
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
  std::vector<std::string> hosts = PeerHosts(aBoard);
  hosts.push_back(aOwnHost);
  RankEntries(aBoard.mRing, hosts);
  RankEngines(aBoard.mRing, aBoard.mEndpoints);
  MarkPreferred(aBoard.mEndpoints, aBoard.mRing, aOwnHost);
  aBoard.mRingStale = false;
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
                     news_outbox& aOutbox,
                     crash_watch& aCrashes,
                     const behind& aBehind)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mOutbox(aOutbox)
  , mCrashes(aCrashes)
  , mManifestWatch(
      aLoop,
      aBoard,
      "manifest",
      [&aBoard]() -> std::optional<std::uint64_t> {
        if (aBoard.mManifest == nullptr) {
          return std::nullopt;
        }
        return ManifestHeld(aBoard);
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
  mOutbox.Open(*mSocket);
  AddHosts(mSettings.mSeeds);
  Beat();
  return {};
}

void
peer_news::AddHosts(const std::vector<std::string>& aHosts)
{
  for (const std::string& host : aHosts) {
    if (host != mSettings.mPeers.mHost && !mBoard.mPeers.contains(host) &&
        mCandidates.insert(host).second) {
      mOutbox.Beat(host);
    }
  }
}

void
peer_news::ApplyEndpointNews(
  engine_key aEndpoint,
  const std::string& aHost,
  const std::function<void(endpoint_health&, time_point)>& aNote)
{
  const time_point now = mLoop.Now();
  known_endpoint* const known = FindByKey(mBoard.mEndpoints, aEndpoint);
  if (known == nullptr) {
    return;
  }
  const time_point before = known->mHealth.mAvoidUntil;
  aNote(known->mHealth, now);
  if (known->mHealth.mAvoidUntil == before) {
    return;
  }
  Log(log_level::Info,
      "endpoint_avoided",
      { { "endpoint", known->mListed.mId },
        { "told_by", aHost },
        { "strikes", known->mHealth.mStrikes },
        { "for_ms", Milliseconds(known->mHealth.mAvoidUntil - now) } });
}

void
peer_news::Beat()
{
  ForgetSilent();
  CompareWithPresent();
  mOutbox.Beat();
  if (mBeats % kCandidateBeats == 0) {
    for (const std::string& host : mCandidates) {
      mOutbox.Beat(host);
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
    mBoard.mRingStale = true;
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
    mBoard.mRingStale = true;
    return;
  }
  NotePeer(message, aFrom.mHost);
  CompareBeliefs(message.mManifest, message.mList);
  TakeNews(message.mNews, aFrom.mHost);
  TakeCrashNews(message, aFrom.mHost);
  AddHosts(message.mHosts);
}

void
peer_news::NotePeer(const peer_message& aMessage, const std::string& aHost)
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
    mBoard.mRingStale = true;
    Log(log_level::Info,
        "peer_found",
        { { "host", aHost }, { "peers", mBoard.mPeers.size() } });
    mOutbox.Greet(aHost);
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
    ApplyEndpointNews(
      engine, aHost, [](endpoint_health& aHealth, time_point aNow) {
        NoteSign(aHealth, endpoint_sign::Unwilling, aNow);
      });
  }
  for (const engine_key endpoint : aNews.mTroubled) {
    ApplyEndpointNews(endpoint, aHost, NoteTold);
  }
  for (const told_limit& limit : aNews.mLimits) {
    if (known_endpoint* const known =
          FindByKey(mBoard.mEndpoints, limit.mEndpoint);
        known != nullptr) {
      known->mLimit.mTold = now;
      (void)ApplyLimit(
        mBoard, mSettings.mPeers.mHost, *known, limit, now, aHost);
    }
  }
}

void
peer_news::TakeCrashNews(const peer_message& aMessage, const std::string& aHost)
{
  const told_news& news = aMessage.mNews;
  for (const request_digest cleared : news.mCleared) {
    mCrashes.HearCleared(cleared, aHost);
  }
  for (const crash_report& report : news.mCrashes) {
    mCrashes.HearCrash(report, aHost);
  }
  mCrashes.HearHeld(news.mHeld, aHost);
  mCrashes.HearState(aMessage.mHeldState, aHost);
}

} // namespace primrose
