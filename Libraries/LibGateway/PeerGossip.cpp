#include "LibGateway/PeerGossip.h"

#include "LibGateway/GatewayMetrics.h"
#include "LibGateway/LimitUpdates.h"

#include <algorithm>

namespace primrose {

namespace {

/// How often an entry shows that it is there, and after how many times the
/// usual span between two of its beats a silent one counts as gone.
constexpr duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr unsigned kMissedHeartbeats = 4;
/// Hosts not heard from are asked every so many beats.
constexpr unsigned kCandidateHeartbeats = 3;

/// The usual span between two beats of one peer, as this entry hears them.
duration
HeartbeatSpacing(std::size_t aPeers)
{
  const std::size_t told = PeersPerHeartbeat(aPeers);
  return told == aPeers
           ? kHeartbeatInterval
           : kHeartbeatInterval * static_cast<int>((aPeers + told - 1) / told);
}

/// The endpoint that peers name by this key; null if it is not listed here.
known_endpoint*
FindByKey(endpoint_registry& aBoard, engine_key aKey)
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
CurrentManifestVersion(const gateway_state& aBoard)
{
  return aBoard.mManifest == nullptr ? 0
                                     : aBoard.mManifest->Manifest().mVersion;
}

std::uint64_t
CurrentListRevision(const gateway_state& aBoard)
{
  return std::max(aBoard.mEndpoints.mNewestRevision,
                  aBoard.mEndpointListRevision);
}

std::vector<std::string>
PeerHosts(const gateway_state& aBoard)
{
  std::vector<std::string> hosts;
  hosts.reserve(aBoard.mPeers.size());
  for (const auto& [host, peer] : aBoard.mPeers) {
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<std::string>
PeersAhead(const gateway_state& aBoard)
{
  const std::uint64_t manifest = CurrentManifestVersion(aBoard);
  const std::uint64_t list = CurrentListRevision(aBoard);
  std::vector<std::string> ahead;
  for (const auto& [host, peer] : aBoard.mPeers) {
    if (peer.mManifest > manifest || peer.mList > list) {
      ahead.push_back(host);
    }
  }
  return ahead;
}

void
UpdateSubsetRing(gateway_state& aBoard, const std::string& aOwnHost)
{
  std::vector<std::string> hosts = PeerHosts(aBoard);
  hosts.push_back(aOwnHost);
  AssignGatewayPositions(aBoard.mSubsetRing, hosts);
  AssignEnginePositions(aBoard.mSubsetRing, aBoard.mEndpoints);
  MarkPreferred(aBoard.mEndpoints, aBoard.mSubsetRing, aOwnHost);
  aBoard.mSubsetRingStale = false;
}

std::size_t
EntryCount(const gateway_state& aBoard)
{
  constexpr std::size_t kBeforeAnyIsKnown = 64;
  if (!aBoard.mGatewaysLoaded && aBoard.mPeers.empty()) {
    return kBeforeAnyIsKnown;
  }
  return std::max(aBoard.mPeers.size() + 1, aBoard.mListedGatewayCount);
}

peer_gossip::peer_gossip(event_loop& aLoop,
                         const gateway_settings& aSettings,
                         gateway_state& aBoard,
                         gossip_sender& aOutbox,
                         crash_detector& aCrashes,
                         const behind& aBehind)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mGossipSender(aOutbox)
  , mCrashes(aCrashes)
  , mManifestStaleness(
      aLoop,
      aBoard,
      "manifest",
      [&aBoard]() -> std::optional<std::uint64_t> {
        if (aBoard.mManifest == nullptr) {
          return std::nullopt;
        }
        return CurrentManifestVersion(aBoard);
      },
      [aBehind](duration aPatience) { aBehind(belief::Manifest, aPatience); })
  , mListStaleness(
      aLoop,
      aBoard,
      "endpoints",
      [&aBoard]() { return std::optional(CurrentListRevision(aBoard)); },
      [aBehind](duration aPatience) { aBehind(belief::Endpoints, aPatience); })
{
}

peer_gossip::~peer_gossip()
{
  mLoop.Cancel(mHeartbeatTimer);
}

result<void>
peer_gossip::Open()
{
  BOOST_LEAF_ASSIGN(mSocket,
                    datagram_socket::Open(
                      mLoop,
                      mSettings.mPeers,
                      [this](std::string_view aBytes, const ip_address& aFrom) {
                        OnDatagram(aBytes, aFrom);
                      }));
  mGossipSender.Open(*mSocket);
  AddHosts(mSettings.mSeeds);
  Beat();
  return {};
}

void
peer_gossip::AddHosts(const std::vector<std::string>& aHosts)
{
  for (const std::string& host : aHosts) {
    if (host != mSettings.mPeers.mHost && !mBoard.mPeers.contains(host) &&
        mCandidates.insert(host).second) {
      mGossipSender.Beat(host);
    }
  }
}

void
peer_gossip::ApplyEndpointUpdate(
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
        { "strikes", known->mHealth.mBackoffFailures },
        { "for_ms", Milliseconds(known->mHealth.mAvoidUntil - now) } });
}

void
peer_gossip::Beat()
{
  RemoveSilentPeers();
  CompareWithLivePeers();
  mGossipSender.Beat();
  if (mHeartbeats % kCandidateHeartbeats == 0) {
    for (const std::string& host : mCandidates) {
      mGossipSender.Beat(host);
    }
  }
  ++mHeartbeats;
  mHeartbeatTimer = mLoop.After(kHeartbeatInterval, [this]() {
    mHeartbeatTimer = 0;
    Beat();
  });
}

void
peer_gossip::CompareVersions(std::uint64_t aManifest, std::uint64_t aList)
{
  mNewestPeerManifest = std::max(mNewestPeerManifest, aManifest);
  mNewestPeerList = std::max(mNewestPeerList, aList);
  mManifestStaleness.Told(mNewestPeerManifest);
  mListStaleness.Told(mNewestPeerList);
}

void
peer_gossip::CompareWithLivePeers()
{
  // What only a peer knew that is gone can be asked of nobody.
  mNewestPeerManifest = 0;
  mNewestPeerList = 0;
  for (const auto& [host, peer] : mBoard.mPeers) {
    mNewestPeerManifest = std::max(mNewestPeerManifest, peer.mManifest);
    mNewestPeerList = std::max(mNewestPeerList, peer.mList);
  }
  CompareVersions(mNewestPeerManifest, mNewestPeerList);
}

void
peer_gossip::RemoveSilentPeers()
{
  const time_point now = mLoop.Now();
  const duration silence = static_cast<int>(kMissedHeartbeats) *
                           HeartbeatSpacing(mBoard.mPeers.size());
  for (auto peer = mBoard.mPeers.begin(); peer != mBoard.mPeers.end();) {
    if (now - peer->second.mLastReceivedAt < silence) {
      ++peer;
      continue;
    }
    Log(log_level::Warning,
        "peer_lost",
        { { "host", peer->first },
          { "silent_ms", Milliseconds(now - peer->second.mLastReceivedAt) } });
    RemovePlacementsOfOwner(
      mBoard.mLedger, peer->second.mGatewayIncarnation, now);
    mCandidates.insert(peer->first);
    peer = mBoard.mPeers.erase(peer);
    mBoard.mSubsetRingStale = true;
  }
}

void
peer_gossip::OnDatagram(std::string_view aBytes, const ip_address& aFrom)
{
  const time_point now = mLoop.Now();
  CountPeerBytes(mBoard.mMetrics, peer_traffic::Received, aBytes.size());
  const outcome<peer_message> read = Capture<peer_message>(
    [aBytes, now]() { return DecodePeerMessage(aBytes, now); });
  if (!read) {
    Log(log_level::Warning,
        "peer_news_malformed",
        { { "host", aFrom.mHost }, { "why", read.mFailure.mMessage } });
    return;
  }
  const peer_message& message = *read.mValue;
  if (message.mGatewayIncarnation == mBoard.mGatewayIncarnation) {
    return;
  }
  mCandidates.erase(aFrom.mHost);
  if (message.mLeaving) {
    mBoard.mPeers.erase(aFrom.mHost);
    mBoard.mSubsetRingStale = true;
    return;
  }
  RecordPeer(message, aFrom.mHost);
  CompareVersions(message.mManifest, message.mList);
  ApplyUpdates(message.mUpdates, aFrom.mHost);
  ApplyCrashUpdates(message, aFrom.mHost);
  AddHosts(message.mHosts);
}

void
peer_gossip::RecordPeer(const peer_message& aMessage, const std::string& aHost)
{
  const time_point now = mLoop.Now();
  const auto known = mBoard.mPeers.find(aHost);
  const bool isNew =
    known == mBoard.mPeers.end() ||
    known->second.mGatewayIncarnation != aMessage.mGatewayIncarnation;
  if (known != mBoard.mPeers.end() && isNew) {
    RemovePlacementsOfOwner(
      mBoard.mLedger, known->second.mGatewayIncarnation, now);
  }
  mBoard.mPeers[aHost] = {
    aMessage.mGatewayIncarnation, now, aMessage.mManifest, aMessage.mList
  };
  if (isNew) {
    mBoard.mSubsetRingStale = true;
    Log(log_level::Info,
        "peer_found",
        { { "host", aHost }, { "peers", mBoard.mPeers.size() } });
    mGossipSender.SendInitialState(aHost);
  }
}

void
peer_gossip::ApplyUpdates(const peer_updates& aNews, const std::string& aHost)
{
  const time_point now = mLoop.Now();
  mBoard.mMetrics.Count("gateway_placements_heard_total",
                        static_cast<double>(aNews.mPlaced.size()));
  for (const placement& placed : aNews.mPlaced) {
    AddPlacement(mBoard.mLedger, placed, now);
  }
  for (const placement_key key : aNews.mEnded) {
    RemovePlacement(mBoard.mLedger, key, placement_end::Read, now);
  }
  for (const placement_key key : aNews.mUnread) {
    RemovePlacement(mBoard.mLedger, key, placement_end::Unread, now);
  }
  for (const engine_key engine : aNews.mHelpRefused) {
    ApplyEndpointUpdate(
      engine, aHost, [](endpoint_health& aHealth, time_point aNow) {
        RecordHealthEvent(
          aHealth, endpoint_health_event::PrefillHelpRefused, aNow);
      });
  }
  for (const engine_key endpoint : aNews.mTroubled) {
    ApplyEndpointUpdate(endpoint, aHost, RecordPeerFailureReport);
  }
  for (const limit_report& limit : aNews.mLimits) {
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
peer_gossip::ApplyCrashUpdates(const peer_message& aMessage,
                               const std::string& aHost)
{
  const peer_updates& news = aMessage.mUpdates;
  for (const request_digest cleared : news.mCleared) {
    mCrashes.OnPeerCleared(cleared, aHost);
  }
  for (const crash_report& report : news.mCrashes) {
    mCrashes.OnPeerCrashReport(report, aHost);
  }
  mCrashes.MergeQuarantined(news.mHeld, aHost);
  mCrashes.OnPeerQuarantineHash(aMessage.mQuarantineHash, aHost);
}

} // namespace primrose
