#include "LibGossip/PeerGossip.h"

#include "LibGossip/GatewayMetrics.h"
#include "LibGossip/LimitUpdates.h"
#include "LibGossip/SpeedUpdates.h"

#include <algorithm>
#include <utility>

namespace primrose {

namespace {

constexpr duration kHeartbeatInterval = std::chrono::seconds(1);
/// A peer counts as lost if nothing arrives from it for this many times the
/// usual spacing of its heartbeats.
constexpr unsigned kMissedHeartbeats = 4;
/// Candidate hosts are sent a heartbeat once in this many intervals.
constexpr unsigned kCandidateHeartbeats = 3;

/// The usual time between two heartbeats that are received from one peer. Where
/// peers are many, each interval's heartbeat goes to only some of them.
duration
HeartbeatSpacing(std::size_t aPeers)
{
  const std::size_t recipients = PeersPerHeartbeat(aPeers);
  return recipients == aPeers
           ? kHeartbeatInterval
           : kHeartbeatInterval *
               static_cast<int>((aPeers + recipients - 1) / recipients);
}

} // namespace

peer_gossip::peer_gossip(event_loop& aLoop,
                         const gateway_settings& aSettings,
                         gateway_state& aBoard,
                         gossip_sender& aSender,
                         crash_report_listener& aCrashReports,
                         const stale_callback& aOnStale,
                         ahead_callback aOnAhead)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mSender(aSender)
  , mCrashReports(aCrashReports)
  , mOnAhead(std::move(aOnAhead))
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
      [aOnStale](duration aTimeout) { aOnStale(belief::Operator, aTimeout); })
  , mOperatorStaleness(
      aLoop,
      aBoard,
      "operators",
      [&aBoard]() { return std::optional(CurrentOperatorRevision(aBoard)); },
      [aOnStale](duration aTimeout) { aOnStale(belief::Operator, aTimeout); })
  , mListStaleness(
      aLoop,
      aBoard,
      "endpoints",
      [&aBoard]() { return std::optional(CurrentListRevision(aBoard)); },
      [aOnStale](duration aTimeout) { aOnStale(belief::Endpoints, aTimeout); })
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
  mSender.Open(*mSocket);
  AddHosts(mSettings.mSeeds);
  RunHeartbeat();
  return {};
}

void
peer_gossip::AddHosts(const std::vector<std::string>& aHosts)
{
  for (const std::string& host : aHosts) {
    if (host != mSettings.mPeers.mHost && !mBoard.mPeers.contains(host) &&
        mCandidateHosts.insert(host).second) {
      mSender.SendHeartbeat(host);
    }
  }
}

void
peer_gossip::ApplyEndpointUpdate(
  engine_key aEndpoint,
  const std::string& aHost,
  const std::function<void(endpoint_health&, time_point)>& aUpdate)
{
  const time_point now = mLoop.Now();
  known_endpoint* const known = FindByKey(mBoard.mEndpoints, aEndpoint);
  if (known == nullptr) {
    return;
  }
  const time_point before = known->mHealth.mAvoidUntil;
  aUpdate(known->mHealth, now);
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
peer_gossip::LogNewPeers()
{
  constexpr std::size_t kMaxLines = 4;
  const std::vector<std::string> found = std::exchange(mNewPeers, {});
  if (found.size() > kMaxLines) {
    Log(log_level::Info,
        "peers_found",
        { { "found", found.size() }, { "peers", mBoard.mPeers.size() } });
    return;
  }
  for (const std::string& host : found) {
    Log(log_level::Info,
        "peer_found",
        { { "host", host }, { "peers", mBoard.mPeers.size() } });
  }
}

void
peer_gossip::RunHeartbeat()
{
  LogNewPeers();
  RemoveSilentPeers();
  CompareWithLivePeers();
  mSender.SendHeartbeats();
  if (mHeartbeats % kCandidateHeartbeats == 0) {
    for (const std::string& host : mCandidateHosts) {
      mSender.SendHeartbeat(host);
    }
  }
  ++mHeartbeats;
  mHeartbeatTimer = mLoop.After(kHeartbeatInterval, [this]() {
    mHeartbeatTimer = 0;
    RunHeartbeat();
  });
}

void
peer_gossip::CompareVersions(std::uint64_t aManifest,
                             std::uint64_t aOperatorRevision,
                             std::uint64_t aList)
{
  mNewestPeerManifest = std::max(mNewestPeerManifest, aManifest);
  mNewestPeerOperatorRevision =
    std::max(mNewestPeerOperatorRevision, aOperatorRevision);
  mNewestPeerList = std::max(mNewestPeerList, aList);
  mManifestStaleness.SetNewestPeerVersion(mNewestPeerManifest);
  mOperatorStaleness.SetNewestPeerVersion(mNewestPeerOperatorRevision);
  mListStaleness.SetNewestPeerVersion(mNewestPeerList);
}

void
peer_gossip::CompareWithLivePeers()
{
  // A version that only a lost peer had cannot be fetched from anyone.
  mNewestPeerManifest = 0;
  mNewestPeerOperatorRevision = 0;
  mNewestPeerList = 0;
  for (const auto& [host, peer] : mBoard.mPeers) {
    mNewestPeerManifest = std::max(mNewestPeerManifest, peer.mManifest);
    mNewestPeerOperatorRevision =
      std::max(mNewestPeerOperatorRevision, peer.mOperatorRevision);
    mNewestPeerList = std::max(mNewestPeerList, peer.mList);
  }
  CompareVersions(
    mNewestPeerManifest, mNewestPeerOperatorRevision, mNewestPeerList);
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
    mCandidateHosts.insert(peer->first);
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
  mCandidateHosts.erase(aFrom.mHost);
  if (message.mLeaving) {
    mBoard.mPeers.erase(aFrom.mHost);
    mBoard.mSubsetRingStale = true;
    return;
  }
  RecordPeer(message, aFrom.mHost);
  CompareVersions(message.mManifest, message.mOperatorRevision, message.mList);
  ApplyVersions(message, aFrom.mHost);
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
  const bool statesLateness = isNew || aMessage.mLateness.mDataCentre != 0;
  const lateness_report lateness =
    statesLateness ? aMessage.mLateness : known->second.mLateness;
  mBoard.mPeers[aHost] = { aMessage.mGatewayIncarnation,
                           now,
                           aMessage.mManifest,
                           aMessage.mList,
                           aMessage.mOperatorRevision,
                           aMessage.mConnectionsPerSecond,
                           lateness };
  if (isNew) {
    mBoard.mSubsetRingStale = true;
    mNewPeers.push_back(aHost);
    mSender.SendInitialState(aHost);
  }
}

void
peer_gossip::ApplyVersions(const peer_message& aMessage,
                           const std::string& aHost)
{
  duration newer{};
  const auto confirm = [this,
                        &newer](belief aTable,
                                std::uint64_t aRowRevision,
                                const std::optional<store_time>& aStoreTime) {
    if (aStoreTime.has_value()) {
      newer = std::max(
        newer,
        ConfirmCopy(mBoard, aTable, aRowRevision, *aStoreTime, mLoop.Now()));
    }
  };
  confirm(
    belief::Operator, aMessage.mOperatorRevision, aMessage.mOperatorStoreTime);
  confirm(belief::Endpoints, aMessage.mList, aMessage.mListStoreTime);
  if (IsWorthSpreading(newer, mSettings.mChangeBound)) {
    mSender.SpreadVersions();
  }
  if (aMessage.mOperatorRevision > CurrentOperatorRevision(mBoard) ||
      aMessage.mList > CurrentListRevision(mBoard)) {
    mOnAhead(aHost);
  }
}

void
peer_gossip::ApplyUpdates(const peer_updates& aUpdates,
                          const std::string& aHost)
{
  const time_point now = mLoop.Now();
  mBoard.mMetrics.Count("gateway_placements_heard_total",
                        static_cast<double>(aUpdates.mNewPlacements.size()));
  for (const placement& placed : aUpdates.mNewPlacements) {
    if (mSettings.mOverload.mShares &&
        !mBoard.mLedger.mPlacements.contains(placed.mKey)) {
      AddUse(mBoard.mUsage, placed, now);
    }
    AddPlacement(mBoard.mLedger, placed, now);
  }
  CountUnknownEnds(aUpdates);
  for (const placement_key key : aUpdates.mEndedPlacements) {
    RemovePlacement(mBoard.mLedger, key, placement_end::Read, now);
  }
  for (const placement_key key : aUpdates.mEndedBeforePrefill) {
    const auto ended = mBoard.mLedger.mPlacements.find(key);
    if (ended != mBoard.mLedger.mPlacements.end()) {
      ReturnUse(mBoard.mUsage, ended->second, now);
    }
    RemovePlacement(mBoard.mLedger, key, placement_end::Unread, now);
  }
  for (const engine_key engine : aUpdates.mHelpRefused) {
    ApplyEndpointUpdate(
      engine, aHost, [](endpoint_health& aHealth, time_point aNow) {
        RecordHealthEvent(
          aHealth, endpoint_health_event::PrefillHelpRefused, aNow);
      });
  }
  for (const engine_key endpoint : aUpdates.mFailedEndpoints) {
    ApplyEndpointUpdate(endpoint, aHost, RecordPeerFailureReport);
  }
  for (const limit_report& limit : aUpdates.mLimits) {
    if (known_endpoint* const known =
          FindByKey(mBoard.mEndpoints, limit.mEndpoint);
        known != nullptr) {
      known->mLimit.mTold = now;
      (void)ApplyLimit(
        mBoard, mSettings.mPeers.mHost, *known, limit, now, aHost);
    }
  }
  if (mSettings.mOverload.mSpeeds) {
    ApplyPeerSpeeds(mBoard, aUpdates.mSpeeds, aHost, now);
  }
  if (mSettings.mOverload.mSizes && !aUpdates.mSizes.empty()) {
    ApplyPeerSizes(aUpdates.mSizes, aHost);
  }
}

void
peer_gossip::CountUnknownEnds(const peer_updates& aUpdates)
{
  const engine_ledger& ledger = mBoard.mLedger;
  const auto unknown = [&ledger](placement_key aKey) {
    return !ledger.mPlacements.contains(aKey);
  };
  const std::ptrdiff_t count =
    std::count_if(aUpdates.mEndedPlacements.begin(),
                  aUpdates.mEndedPlacements.end(),
                  unknown) +
    std::count_if(aUpdates.mEndedBeforePrefill.begin(),
                  aUpdates.mEndedBeforePrefill.end(),
                  unknown);
  mBoard.mMetrics.Count("gateway_placements_missed_total",
                        static_cast<double>(count));
}

void
peer_gossip::ApplyPeerSizes(const std::vector<size_report>& aReports,
                            const std::string& aHost)
{
  const std::size_t ignored =
    ApplySizeReports(mBoard.mSizeShares, aHost, aReports, mLoop.Now());
  if (ignored > 0) {
    Log(log_level::Warning,
        "size_report_ignored",
        { { "host", aHost }, { "reports", ignored } });
  }
}

void
peer_gossip::ApplyCrashUpdates(const peer_message& aMessage,
                               const std::string& aHost)
{
  const peer_updates& updates = aMessage.mUpdates;
  for (const request_digest cleared : updates.mCleared) {
    mCrashReports.OnPeerCleared(cleared, aHost);
  }
  for (const crash_report& report : updates.mCrashes) {
    mCrashReports.OnPeerCrashReport(report, aHost);
  }
  mCrashReports.MergeQuarantined(updates.mQuarantined, aHost);
  mCrashReports.OnPeerQuarantineHash(aMessage.mQuarantineHash, aHost);
}

} // namespace primrose
