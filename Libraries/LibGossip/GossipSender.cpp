#include "LibGossip/GossipSender.h"

#include "LibGossip/GatewayMetrics.h"
#include "LibGossip/LimitUpdates.h"
#include "LibGossip/SpeedUpdates.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace primrose {

namespace {

/// Updates within this time share a datagram. It is short compared with one
/// pass of an engine (50 ms) and long compared with the time between two
/// placements in a burst.
constexpr duration kBatchDelay = std::chrono::milliseconds(3);
/// The end of a placement only frees capacity, and headers are half the cost of
/// a datagram. An end therefore waits longer, to share the datagram of a
/// placement. One pass of an engine takes 50 ms.
constexpr duration kEndBatchDelay = std::chrono::milliseconds(30);
/// Bounds the placements in one datagram so that it fits into one packet.
constexpr std::size_t kMaxPlacementsPerDatagram = 8;
/// Hosts listed in one datagram, and in one of how many heartbeats. A gateway
/// that starts finds the others in the platform's registry table, so the list
/// only serves gateways that could not read it. With hosts in every heartbeat,
/// they were half of the bytes that one of 103 gateways sent.
constexpr std::size_t kMaxHostsPerDatagram = 16;
constexpr unsigned kHeartbeatsPerHostList = 4;
/// Broadcasts within this time share a datagram. An endpoint that crashes fails
/// all its requests at once, so the reports arrive together. The delay is short
/// compared with the seconds within which all gateways need them.
constexpr duration kBroadcastBatchDelay = std::chrono::milliseconds(30);
/// Quarantined requests or crash reports in one datagram, at 14 bytes each.
constexpr std::size_t kMaxQuarantinedPerDatagram = 64;

} // namespace

gossip_sender::gossip_sender(event_loop& aLoop,
                             const gateway_settings& aSettings,
                             gateway_state& aBoard)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
{
}

gossip_sender::~gossip_sender()
{
  mLoop.Cancel(mFlushTimer);
  mLoop.Cancel(mBroadcastTimer);
}

void
gossip_sender::Open(datagram_socket& aSocket)
{
  mSocket = &aSocket;
}

void
gossip_sender::Send(const std::string& aBytes, const std::string& aHost)
{
  if (mSocket != nullptr) {
    mSocket->Send(aBytes, { aHost, mSettings.mPeers.mPort });
  }
}

void
gossip_sender::AnnouncePlacement(const placement& aPlacement)
{
  mBatch.mNewPlacements.push_back(aPlacement);
  AddBatchEngines(aPlacement.mEngines);
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnouncePlacementEnd(placement_key aKey,
                                    placement_end aEnd,
                                    const std::vector<engine_key>& aEngines)
{
  (aEnd == placement_end::Read ? mBatch.mEndedPlacements
                               : mBatch.mEndedBeforePrefill)
    .push_back(aKey);
  AddBatchEngines(aEngines);
  ScheduleFlush(kEndBatchDelay);
}

void
gossip_sender::AnnounceHelpRefusal(engine_key aEngine)
{
  mBatch.mHelpRefused.push_back(aEngine);
  AddBatchEngines({ aEngine });
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnounceEndpointFailure(engine_key aEndpoint)
{
  mBatch.mFailedEndpoints.push_back(aEndpoint);
  AddBatchEngines({ aEndpoint });
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnounceLimit(const limit_report& aLimit)
{
  mBatch.mLimits.push_back(aLimit);
  AddBatchEngines({ aLimit.mEndpoint });
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnounceSpeed(const speed_report& aSpeed)
{
  mBatch.mSpeeds.push_back(aSpeed);
  AddBatchEngines({ aSpeed.mEngine });
  // A pace is measured over several passes, so it may wait for the datagram of
  // a placement.
  ScheduleFlush(kEndBatchDelay);
}

void
gossip_sender::BroadcastCrash(const crash_report& aReport)
{
  mBroadcastBatch.mCrashes.push_back(aReport);
  ScheduleBroadcast();
}

void
gossip_sender::BroadcastCleared(request_digest aRequest)
{
  mBroadcastBatch.mCleared.push_back(aRequest);
  ScheduleBroadcast();
}

void
gossip_sender::BroadcastQuarantined(
  const std::vector<quarantined_request>& aQuarantined)
{
  mBroadcastBatch.mQuarantined.insert(mBroadcastBatch.mQuarantined.end(),
                                      aQuarantined.begin(),
                                      aQuarantined.end());
  ScheduleBroadcast();
}

void
gossip_sender::SendQuarantined(
  const std::vector<quarantined_request>& aQuarantined,
  const std::string& aHost)
{
  for (std::size_t from = 0; from < aQuarantined.size();
       from += kMaxQuarantinedPerDatagram) {
    peer_message message = NewMessage();
    const auto begin = aQuarantined.begin() + static_cast<std::ptrdiff_t>(from);
    const std::size_t count =
      std::min(kMaxQuarantinedPerDatagram, aQuarantined.size() - from);
    message.mUpdates.mQuarantined = {
      begin, begin + static_cast<std::ptrdiff_t>(count)
    };
    const std::string bytes = EncodePeerMessage(message, mLoop.Now());
    CountPeerBytes(
      mBoard.mMetrics, peer_traffic::CrashReportsSent, bytes.size());
    Send(bytes, aHost);
  }
}

void
gossip_sender::ScheduleBroadcast()
{
  const std::size_t gathered = mBroadcastBatch.mCrashes.size() +
                               mBroadcastBatch.mCleared.size() +
                               mBroadcastBatch.mQuarantined.size();
  if (gathered >= kMaxQuarantinedPerDatagram) {
    FlushBroadcast();
    return;
  }
  if (mBroadcastTimer == 0) {
    mBroadcastTimer = mLoop.After(kBroadcastBatchDelay, [this]() {
      mBroadcastTimer = 0;
      FlushBroadcast();
    });
  }
}

void
gossip_sender::FlushBroadcast()
{
  mLoop.Cancel(mBroadcastTimer);
  peer_message message = NewMessage();
  message.mUpdates = std::exchange(mBroadcastBatch, {});
  if (message.mUpdates == peer_updates{}) {
    return;
  }
  const std::string bytes = EncodePeerMessage(message, mLoop.Now());
  for (const auto& [host, peer] : mBoard.mPeers) {
    Send(bytes, host);
  }
  const std::size_t sent = bytes.size() * mBoard.mPeers.size();
  // Broadcasts are never cut, so their bytes are charged to the budget of
  // placements, which then go to fewer peers for a while.
  ChargePeerBytes(mBudget, sent, mLoop.Now());
  CountPeerBytes(mBoard.mMetrics, peer_traffic::CrashReportsSent, sent);
}

void
gossip_sender::BroadcastLeaving()
{
  Flush();
  FlushBroadcast();
  mLeaving = true;
  const std::string bytes = EncodeHeartbeat(false, false);
  for (const auto& [host, peer] : mBoard.mPeers) {
    Send(bytes, host);
  }
}

void
gossip_sender::ScheduleFlush(duration aDelay)
{
  if (mBatch.mNewPlacements.size() >= kMaxPlacementsPerDatagram) {
    Flush();
    return;
  }
  const time_point due = mLoop.Now() + aDelay;
  if (mFlushTimer != 0 && mFlushAt <= due) {
    return;
  }
  mLoop.Cancel(mFlushTimer);
  mFlushAt = due;
  mFlushTimer = mLoop.After(aDelay, [this]() {
    mFlushTimer = 0;
    Flush();
  });
}

peer_message
gossip_sender::NewMessage() const
{
  peer_message message;
  message.mGatewayIncarnation = mBoard.mGatewayIncarnation;
  message.mLeaving = mLeaving;
  message.mManifest = CurrentManifestVersion(mBoard);
  message.mConnectionsPerSecond =
    static_cast<unsigned>(std::lround(mBoard.mConnectionLoad.mPerSecond));
  message.mList = mBoard.mEndpoints.mNewestRevision;
  message.mOperatorRevision = mBoard.mOperatorRowRevision;
  message.mOperatorStoreTime = FreshnessOf(mBoard, belief::Operator).mStoreTime;
  message.mListStoreTime = FreshnessOf(mBoard, belief::Endpoints).mStoreTime;
  return message;
}

std::vector<size_report>
gossip_sender::OwnSizes() const
{
  return mSettings.mOverload.mSizes
           ? OwnSizeReports(mBoard.mSizeShares, mLoop.Now())
           : std::vector<size_report>{};
}

std::string
gossip_sender::EncodeHeartbeat(bool aListsHosts, bool aReportsSizes)
{
  peer_message message = NewMessage();
  if (aReportsSizes) {
    message.mUpdates.mSizes = OwnSizes();
  }
  message.mQuarantineHash = QuarantineChecksum(mBoard.mQuarantine);
  // One that is in time is stated rarely, to save bytes.
  const duration lateness =
    ReportedLateness(mBoard.mRotation, mBoard.mLateness);
  if (mSettings.mOverload.mLate &&
      (aListsHosts || lateness >= kNotableLateness)) {
    message.mLateness = { DataCentreId(mSettings.mDataCentre), lateness };
  }
  if (!aListsHosts) {
    return EncodePeerMessage(message, mLoop.Now());
  }
  const std::size_t hosts =
    std::min(kMaxHostsPerDatagram, mBoard.mPeers.size());
  std::map<std::string, peer_state>::const_iterator peer =
    mBoard.mPeers.begin();
  std::advance(peer,
               static_cast<std::ptrdiff_t>(
                 Below(mBoard.mRandom, mBoard.mPeers.size() - hosts + 1)));
  for (std::size_t i = 0; i < hosts; ++i, ++peer) {
    message.mHosts.push_back(peer->first);
  }
  return EncodePeerMessage(message, mLoop.Now());
}

void
gossip_sender::Flush()
{
  mLoop.Cancel(mFlushTimer);
  mFlushTimer = 0;
  if (mBatchEngines.empty()) {
    return;
  }
  peer_message message = NewMessage();
  message.mUpdates = std::exchange(mBatch, {});
  const std::vector<std::string> recipients = HostsThatPrefer(
    mBoard.mSubsetRing, PeerHosts(mBoard), std::exchange(mBatchEngines, {}));
  const std::string bytes = EncodePeerMessage(message, mLoop.Now());
  for (const std::string& host : ChooseRecipients(recipients, bytes.size())) {
    Send(bytes, host);
  }
}

void
gossip_sender::AddBatchEngines(const std::vector<engine_key>& aEngines)
{
  mBatchEngines.insert(mBatchEngines.end(), aEngines.begin(), aEngines.end());
}

std::vector<std::string>
gossip_sender::ChooseRecipients(const std::vector<std::string>& aHosts,
                                std::size_t aBytes)
{
  const std::size_t chosen =
    TakeRecipientCount(mBudget, aHosts.size(), aBytes, mLoop.Now());
  mBoard.mMetrics.Count(Labelled(
    "gateway_news_total", "told", chosen == aHosts.size() ? "all" : "some"));
  mBoard.mMetrics.Count("gateway_news_peers_skipped_total",
                        static_cast<double>(aHosts.size() - chosen));
  CountPeerBytes(mBoard.mMetrics, peer_traffic::UpdatesSent, chosen * aBytes);
  if (chosen == aHosts.size()) {
    return aHosts;
  }
  std::vector<std::string> drawn;
  std::sample(aHosts.begin(),
              aHosts.end(),
              std::back_inserter(drawn),
              chosen,
              mBoard.mRandom);
  return drawn;
}

void
gossip_sender::SendHeartbeat(const std::string& aHost)
{
  Send(EncodeHeartbeat(true, true), aHost);
}

void
gossip_sender::SendHeartbeats()
{
  // Heartbeats rotate over the peers, so that also those that receive none of
  // this gateway's placements hear from it regularly.
  const std::string bytes =
    EncodeHeartbeat(mHeartbeats % kHeartbeatsPerHostList == 0,
                    CarriesSizeReports(mHeartbeats, mBoard.mPeers.size()));
  ++mHeartbeats;
  const std::size_t chosen = PeersPerHeartbeat(mBoard.mPeers.size());
  std::map<std::string, peer_state>::const_iterator next =
    mBoard.mPeers.upper_bound(mLastHeartbeatHost);
  for (std::size_t i = 0; i < chosen; ++i, ++next) {
    if (next == mBoard.mPeers.end()) {
      next = mBoard.mPeers.begin();
    }
    mLastHeartbeatHost = next->first;
    Send(bytes, next->first);
  }
  CountPeerBytes(
    mBoard.mMetrics, peer_traffic::HeartbeatsSent, chosen * bytes.size());
}

void
gossip_sender::SpreadVersions()
{
  const std::vector<std::string> hosts = PeerHosts(mBoard);
  std::vector<std::string> chosen;
  std::sample(hosts.begin(),
              hosts.end(),
              std::back_inserter(chosen),
              kSpreadPeers,
              mBoard.mRandom);
  const std::string bytes = EncodeHeartbeat(false, false);
  for (const std::string& host : chosen) {
    Send(bytes, host);
  }
  CountPeerBytes(
    mBoard.mMetrics, peer_traffic::VersionsSent, chosen.size() * bytes.size());
}

void
gossip_sender::SendInitialState(const std::string& aHost)
{
  // Without this gateway's placements, known limits and measured paces, a new
  // peer would treat busy engines as idle, limited endpoints as unlimited and
  // slow engines as fast.
  peer_message message = NewMessage();
  message.mUpdates.mLimits = KnownLimits(mBoard);
  if (mSettings.mOverload.mSpeeds) {
    message.mUpdates.mSpeeds = OwnSpeedReports(mBoard, mLoop.Now());
  }
  message.mUpdates.mSizes = OwnSizes();
  std::vector<placement>& ownPlacements = message.mUpdates.mNewPlacements;
  for (const auto& [key, placed] : mBoard.mLedger.mPlacements) {
    if (placed.mOwner != mBoard.mGatewayIncarnation) {
      continue;
    }
    ownPlacements.push_back(placed);
    // The prefill of a placement made a while ago is mostly done.
    ownPlacements.back().mPartPrefillMs = 0;
    if (ownPlacements.size() == kMaxPlacementsPerDatagram) {
      Send(EncodePeerMessage(message, mLoop.Now()), aHost);
      ownPlacements.clear();
      message.mUpdates.mLimits.clear();
      message.mUpdates.mSpeeds.clear();
      message.mUpdates.mSizes.clear();
    }
  }
  if (message.mUpdates == peer_updates{}) {
    SendHeartbeat(aHost);
  } else {
    Send(EncodePeerMessage(message, mLoop.Now()), aHost);
  }
}

} // namespace primrose
