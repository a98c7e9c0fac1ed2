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
constexpr duration kGather = std::chrono::milliseconds(3);
/// An end only frees a place, and half of what a datagram costs is its heads:
/// it waits this long for a placement to go with. A pass takes 50 ms.
constexpr duration kGatherEnds = std::chrono::milliseconds(30);
/// Placements in one datagram, so that it fits into one packet.
constexpr std::size_t kMostPlaced = 8;
/// Hosts named in one datagram, and in which of the beats: an entry that starts
/// finds the others in the platform's table of entries, so this is for those
/// that could not read it. Named in each, hosts were half of what an entry of
/// 103 sent.
constexpr std::size_t kMostHosts = 16;
constexpr unsigned kBeatsPerNamedHosts = 4;
/// What concerns all entries goes to each of them: an endpoint that ends takes
/// all that it worked on, so its reports come together and share a datagram.
/// Short against the seconds within which all have to know.
constexpr duration kGatherForAll = std::chrono::milliseconds(30);
/// Held requests or reports in one datagram, of 14 bytes each.
constexpr std::size_t kMostHeldTold = 64;

} // namespace

news_outbox::news_outbox(event_loop& aLoop,
                         const gateway_settings& aSettings,
                         gateway_board& aBoard)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
{
}

news_outbox::~news_outbox()
{
  mLoop.Cancel(mFlushTimer);
  mLoop.Cancel(mForAllTimer);
}

void
news_outbox::Open(datagram_socket& aSocket)
{
  mSocket = &aSocket;
}

void
news_outbox::Send(const std::string& aBytes, const std::string& aHost)
{
  if (mSocket != nullptr) {
    mSocket->Send(aBytes, { aHost, mSettings.mPeers.mPort });
  }
}

void
news_outbox::TellPlaced(const placement& aPlaced)
{
  mGathered.mPlaced.push_back(aPlaced);
  Concern(aPlaced.mEngines);
  FlushWithin(kGather);
}

void
news_outbox::TellEnded(placement_key aKey,
                       placement_end aEnd,
                       const std::vector<engine_key>& aEngines)
{
  (aEnd == placement_end::Read ? mGathered.mEnded : mGathered.mUnread)
    .push_back(aKey);
  Concern(aEngines);
  FlushWithin(kGatherEnds);
}

void
news_outbox::TellUnwilling(engine_key aEngine)
{
  mGathered.mUnwilling.push_back(aEngine);
  Concern({ aEngine });
  FlushWithin(kGather);
}

void
news_outbox::TellTroubled(engine_key aEndpoint)
{
  mGathered.mTroubled.push_back(aEndpoint);
  Concern({ aEndpoint });
  FlushWithin(kGather);
}

void
news_outbox::TellLimit(const told_limit& aLimit)
{
  mGathered.mLimits.push_back(aLimit);
  Concern({ aLimit.mEndpoint });
  FlushWithin(kGather);
}

void
news_outbox::TellCrash(const crash_report& aReport)
{
  mForAll.mCrashes.push_back(aReport);
  FlushToAllSoon();
}

void
news_outbox::TellCleared(request_digest aRequest)
{
  mForAll.mCleared.push_back(aRequest);
  FlushToAllSoon();
}

void
news_outbox::TellHeldToAll(const std::vector<quarantined_request>& aHeld)
{
  mForAll.mHeld.insert(mForAll.mHeld.end(), aHeld.begin(), aHeld.end());
  FlushToAllSoon();
}

void
news_outbox::TellHeld(const std::vector<quarantined_request>& aHeld,
                      const std::string& aHost)
{
  for (std::size_t from = 0; from < aHeld.size(); from += kMostHeldTold) {
    peer_message message = Message();
    const auto begin = aHeld.begin() + static_cast<std::ptrdiff_t>(from);
    const std::size_t count = std::min(kMostHeldTold, aHeld.size() - from);
    message.mNews.mHeld = { begin, begin + static_cast<std::ptrdiff_t>(count) };
    const std::string bytes = EncodeNews(message, mLoop.Now());
    CountPeerBytes(mBoard.mMetrics, peer_traffic::CrashesSent, bytes.size());
    Send(bytes, aHost);
  }
}

void
news_outbox::FlushToAllSoon()
{
  const std::size_t gathered =
    mForAll.mCrashes.size() + mForAll.mCleared.size() + mForAll.mHeld.size();
  if (gathered >= kMostHeldTold) {
    FlushToAll();
    return;
  }
  if (mForAllTimer == 0) {
    mForAllTimer = mLoop.After(kGatherForAll, [this]() {
      mForAllTimer = 0;
      FlushToAll();
    });
  }
}

void
news_outbox::FlushToAll()
{
  mLoop.Cancel(mForAllTimer);
  peer_message message = Message();
  message.mNews = std::exchange(mForAll, {});
  if (message.mNews == told_news{}) {
    return;
  }
  const std::string bytes = EncodeNews(message, mLoop.Now());
  for (const auto& [host, peer] : mBoard.mPeers) {
    Send(bytes, host);
  }
  const std::size_t sent = bytes.size() * mBoard.mPeers.size();
  // Placements go to fewer peers for a while: their bytes are what can wait.
  ChargePeerBytes(mBudget, sent, mLoop.Now());
  CountPeerBytes(mBoard.mMetrics, peer_traffic::CrashesSent, sent);
}

void
news_outbox::TellLeaving()
{
  Flush();
  FlushToAll();
  mLeaving = true;
  const std::string bytes = EncodeBeat(false);
  for (const auto& [host, peer] : mBoard.mPeers) {
    Send(bytes, host);
  }
}

void
news_outbox::FlushWithin(duration aSpan)
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

peer_message
news_outbox::Message() const
{
  peer_message message;
  message.mBoot = mBoard.mBoot;
  message.mLeaving = mLeaving;
  message.mManifest = ManifestHeld(mBoard);
  message.mList = mBoard.mEndpoints.mNewestRevision;
  return message;
}

std::string
news_outbox::EncodeBeat(bool aNamesHosts)
{
  peer_message message = Message();
  message.mHeldState = QuarantineChecksum(mBoard.mQuarantine);
  if (!aNamesHosts) {
    return EncodeNews(message, mLoop.Now());
  }
  const std::size_t hosts = std::min(kMostHosts, mBoard.mPeers.size());
  std::map<std::string, peer_entry>::const_iterator peer =
    mBoard.mPeers.begin();
  std::advance(peer,
               static_cast<std::ptrdiff_t>(
                 Below(mBoard.mRandom, mBoard.mPeers.size() - hosts + 1)));
  for (std::size_t i = 0; i < hosts; ++i, ++peer) {
    message.mHosts.push_back(peer->first);
  }
  return EncodeNews(message, mLoop.Now());
}

void
news_outbox::Flush()
{
  mLoop.Cancel(mFlushTimer);
  mFlushTimer = 0;
  if (mConcerned.empty()) {
    return;
  }
  peer_message message = Message();
  message.mNews = std::exchange(mGathered, {});
  const std::vector<std::string> concerned = HostsThatPrefer(
    mBoard.mRing, PeerHosts(mBoard), std::exchange(mConcerned, {}));
  const std::string bytes = EncodeNews(message, mLoop.Now());
  for (const std::string& host : PeersToTell(concerned, bytes.size())) {
    Send(bytes, host);
  }
}

void
news_outbox::Concern(const std::vector<engine_key>& aEngines)
{
  mConcerned.insert(mConcerned.end(), aEngines.begin(), aEngines.end());
}

std::vector<std::string>
news_outbox::PeersToTell(const std::vector<std::string>& aHosts,
                         std::size_t aBytes)
{
  const std::size_t told =
    TakeRecipientCount(mBudget, aHosts.size(), aBytes, mLoop.Now());
  mBoard.mMetrics.Count(Labelled(
    "gateway_news_total", "told", told == aHosts.size() ? "all" : "some"));
  CountPeerBytes(mBoard.mMetrics, peer_traffic::NewsSent, told * aBytes);
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
news_outbox::Beat(const std::string& aHost)
{
  Send(EncodeBeat(true), aHost);
}

void
news_outbox::Beat()
{
  // Whoever hears of no placement of this entry hears a beat now and then, each
  // in its turn.
  const std::string bytes = EncodeBeat(mBeats++ % kBeatsPerNamedHosts == 0);
  const std::size_t told = PeersPerHeartbeat(mBoard.mPeers.size());
  std::map<std::string, peer_entry>::const_iterator next =
    mBoard.mPeers.upper_bound(mLastBeatTold);
  for (std::size_t i = 0; i < told; ++i, ++next) {
    if (next == mBoard.mPeers.end()) {
      next = mBoard.mPeers.begin();
    }
    mLastBeatTold = next->first;
    Send(bytes, next->first);
  }
  CountPeerBytes(mBoard.mMetrics, peer_traffic::BeatsSent, told * bytes.size());
}

void
news_outbox::Greet(const std::string& aHost)
{
  // A new peer knows nothing of what this entry has placed, and would take
  // busy engines for idle ones, and limited endpoints for unlimited ones.
  peer_message message = Message();
  message.mNews.mLimits = KnownLimits(mBoard);
  std::vector<placement>& own = message.mNews.mPlaced;
  for (const auto& [key, placed] : mBoard.mLedger.mPlacements) {
    if (placed.mOwner != mBoard.mBoot) {
      continue;
    }
    own.push_back(placed);
    // Reading that was placed a while ago is mostly done.
    own.back().mPartMs = 0;
    if (own.size() == kMostPlaced) {
      Send(EncodeNews(message, mLoop.Now()), aHost);
      own.clear();
      message.mNews.mLimits.clear();
    }
  }
  if (own.empty() && message.mNews.mLimits.empty()) {
    Beat(aHost);
  } else {
    Send(EncodeNews(message, mLoop.Now()), aHost);
  }
}

} // namespace primrose
