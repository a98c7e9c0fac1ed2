#include "LibGateway/GossipSender.h"

#include "LibGateway/GatewayMetrics.h"
#include "LibGateway/LimitUpdates.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace primrose {

namespace {

/// News of one such span goes in one datagram: short against a pass of an
/// engine (50 ms), long against the time between two placements in a burst.
constexpr duration kBatchDelay = std::chrono::milliseconds(3);
/// An end only frees a place, and half of what a datagram costs is its heads:
/// it waits this long for a placement to go with. A pass takes 50 ms.
constexpr duration kEndBatchDelay = std::chrono::milliseconds(30);
/// Placements in one datagram, so that it fits into one packet.
constexpr std::size_t kMaxPlacementsPerDatagram = 8;
/// Hosts named in one datagram, and in which of the beats: an entry that starts
/// finds the others in the platform's table of entries, so this is for those
/// that could not read it. Named in each, hosts were half of what an entry of
/// 103 sent.
constexpr std::size_t kMaxHostsPerDatagram = 16;
constexpr unsigned kHeartbeatsPerHostList = 4;
/// What concerns all entries goes to each of them: an endpoint that ends takes
/// all that it worked on, so its reports come together and share a datagram.
/// Short against the seconds within which all have to know.
constexpr duration kBroadcastBatchDelay = std::chrono::milliseconds(30);
/// Held requests or reports in one datagram, of 14 bytes each.
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
gossip_sender::AnnouncePlacement(const placement& aPlaced)
{
  mGathered.mPlaced.push_back(aPlaced);
  Concern(aPlaced.mEngines);
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnouncePlacementEnd(placement_key aKey,
                                    placement_end aEnd,
                                    const std::vector<engine_key>& aEngines)
{
  (aEnd == placement_end::Read ? mGathered.mEnded : mGathered.mUnread)
    .push_back(aKey);
  Concern(aEngines);
  ScheduleFlush(kEndBatchDelay);
}

void
gossip_sender::AnnounceHelpRefusal(engine_key aEngine)
{
  mGathered.mHelpRefused.push_back(aEngine);
  Concern({ aEngine });
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnounceEndpointFailure(engine_key aEndpoint)
{
  mGathered.mTroubled.push_back(aEndpoint);
  Concern({ aEndpoint });
  ScheduleFlush(kBatchDelay);
}

void
gossip_sender::AnnounceLimit(const limit_report& aLimit)
{
  mGathered.mLimits.push_back(aLimit);
  Concern({ aLimit.mEndpoint });
  ScheduleFlush(kBatchDelay);
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
  const std::vector<quarantined_request>& aHeld)
{
  mBroadcastBatch.mHeld.insert(
    mBroadcastBatch.mHeld.end(), aHeld.begin(), aHeld.end());
  ScheduleBroadcast();
}

void
gossip_sender::SendQuarantined(const std::vector<quarantined_request>& aHeld,
                               const std::string& aHost)
{
  for (std::size_t from = 0; from < aHeld.size();
       from += kMaxQuarantinedPerDatagram) {
    peer_message message = Message();
    const auto begin = aHeld.begin() + static_cast<std::ptrdiff_t>(from);
    const std::size_t count =
      std::min(kMaxQuarantinedPerDatagram, aHeld.size() - from);
    message.mUpdates.mHeld = { begin,
                               begin + static_cast<std::ptrdiff_t>(count) };
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
                               mBroadcastBatch.mHeld.size();
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
  peer_message message = Message();
  message.mUpdates = std::exchange(mBroadcastBatch, {});
  if (message.mUpdates == peer_updates{}) {
    return;
  }
  const std::string bytes = EncodePeerMessage(message, mLoop.Now());
  for (const auto& [host, peer] : mBoard.mPeers) {
    Send(bytes, host);
  }
  const std::size_t sent = bytes.size() * mBoard.mPeers.size();
  // Placements go to fewer peers for a while: their bytes are what can wait.
  ChargePeerBytes(mBudget, sent, mLoop.Now());
  CountPeerBytes(mBoard.mMetrics, peer_traffic::CrashReportsSent, sent);
}

void
gossip_sender::BroadcastLeaving()
{
  Flush();
  FlushBroadcast();
  mLeaving = true;
  const std::string bytes = EncodeHeartbeat(false);
  for (const auto& [host, peer] : mBoard.mPeers) {
    Send(bytes, host);
  }
}

void
gossip_sender::ScheduleFlush(duration aSpan)
{
  if (mGathered.mPlaced.size() >= kMaxPlacementsPerDatagram) {
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

peer_message
gossip_sender::Message() const
{
  peer_message message;
  message.mGatewayIncarnation = mBoard.mGatewayIncarnation;
  message.mLeaving = mLeaving;
  message.mManifest = CurrentManifestVersion(mBoard);
  message.mList = mBoard.mEndpoints.mNewestRevision;
  return message;
}

std::string
gossip_sender::EncodeHeartbeat(bool aNamesHosts)
{
  peer_message message = Message();
  message.mQuarantineHash = QuarantineChecksum(mBoard.mQuarantine);
  if (!aNamesHosts) {
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
  peer_message message = Message();
  message.mUpdates = std::exchange(mGathered, {});
  const std::vector<std::string> concerned = HostsThatPrefer(
    mBoard.mSubsetRing, PeerHosts(mBoard), std::exchange(mBatchEngines, {}));
  const std::string bytes = EncodePeerMessage(message, mLoop.Now());
  for (const std::string& host : ChooseRecipients(concerned, bytes.size())) {
    Send(bytes, host);
  }
}

void
gossip_sender::Concern(const std::vector<engine_key>& aEngines)
{
  mBatchEngines.insert(mBatchEngines.end(), aEngines.begin(), aEngines.end());
}

std::vector<std::string>
gossip_sender::ChooseRecipients(const std::vector<std::string>& aHosts,
                                std::size_t aBytes)
{
  const std::size_t told =
    TakeRecipientCount(mBudget, aHosts.size(), aBytes, mLoop.Now());
  mBoard.mMetrics.Count(Labelled(
    "gateway_news_total", "told", told == aHosts.size() ? "all" : "some"));
  CountPeerBytes(mBoard.mMetrics, peer_traffic::UpdatesSent, told * aBytes);
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
gossip_sender::Beat(const std::string& aHost)
{
  Send(EncodeHeartbeat(true), aHost);
}

void
gossip_sender::Beat()
{
  // Whoever hears of no placement of this entry hears a beat now and then, each
  // in its turn.
  const std::string bytes =
    EncodeHeartbeat(mHeartbeats++ % kHeartbeatsPerHostList == 0);
  const std::size_t told = PeersPerHeartbeat(mBoard.mPeers.size());
  std::map<std::string, peer_state>::const_iterator next =
    mBoard.mPeers.upper_bound(mLastHeartbeatHost);
  for (std::size_t i = 0; i < told; ++i, ++next) {
    if (next == mBoard.mPeers.end()) {
      next = mBoard.mPeers.begin();
    }
    mLastHeartbeatHost = next->first;
    Send(bytes, next->first);
  }
  CountPeerBytes(
    mBoard.mMetrics, peer_traffic::HeartbeatsSent, told * bytes.size());
}

void
gossip_sender::SendInitialState(const std::string& aHost)
{
  // A new peer knows nothing of what this entry has placed, and would take
  // busy engines for idle ones, and limited endpoints for unlimited ones.
  peer_message message = Message();
  message.mUpdates.mLimits = KnownLimits(mBoard);
  std::vector<placement>& own = message.mUpdates.mPlaced;
  for (const auto& [key, placed] : mBoard.mLedger.mPlacements) {
    if (placed.mOwner != mBoard.mGatewayIncarnation) {
      continue;
    }
    own.push_back(placed);
    // Reading that was placed a while ago is mostly done.
    own.back().mPartPrefillMs = 0;
    if (own.size() == kMaxPlacementsPerDatagram) {
      Send(EncodePeerMessage(message, mLoop.Now()), aHost);
      own.clear();
      message.mUpdates.mLimits.clear();
    }
  }
  if (own.empty() && message.mUpdates.mLimits.empty()) {
    Beat(aHost);
  } else {
    Send(EncodePeerMessage(message, mLoop.Now()), aHost);
  }
}

} // namespace primrose
