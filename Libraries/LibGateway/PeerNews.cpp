#include "LibGateway/PeerNews.h"

#include "LibGateway/PeerNews.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <iterator>

namespace primrose {

namespace {

/// News of one such span goes in one datagram: short against a pass of an
/// engine (50 ms), long against the time between two placements in a burst.
constexpr duration kGather = std::chrono::milliseconds(3);
/// How often an entry shows that it is there, and after how many times the
/// usual span between two of its beats a silent one counts as gone.
constexpr duration kBeat = std::chrono::seconds(1);
constexpr unsigned kSilentBeats = 4;
/// Up to so many peers, each is told everything. With more, an entry sends so
/// many bytes of news a second (what a second saved up is spent at once), each
/// piece to as many peers as that allows, drawn anew, but to no fewer than
/// these. So what an entry sends does not grow with the fleet: the operators
/// allow 15 KB a second for control, and beats take the rest. Engines' own
/// statements of their load then carry more of what is known.
constexpr std::size_t kMostPeersAllTold = 32;
constexpr std::size_t kDrawnPeers = 12;
constexpr double kNewsBytesPerSecond = 11e3;
constexpr double kNewsBytesAtOnce = 33e3;
/// Hosts not heard from are asked every so many beats.
constexpr unsigned kCandidateBeats = 3;
/// How long a peer may know more before this entry asks the platform anew.
constexpr duration kBehindPatience = std::chrono::milliseconds(450);
/// Placements in one datagram, so that it fits into one packet.
constexpr std::size_t kMostPlaced = 8;
/// Hosts named in one datagram.
constexpr std::size_t kMostHosts = 16;
/// The largest datagram that is taken, in words of eight bytes.
constexpr std::size_t kMostWords = 4096;

/// The usual span between two beats of one peer, as this entry hears them.
duration
SpanBetweenBeats(std::size_t aPeers)
{
  return aPeers <= kMostPeersAllTold
           ? kBeat
           : kBeat * static_cast<int>(1 + aPeers / kDrawnPeers);
}

void
WriteKeys(capnp::List<std::uint64_t>::Builder aList,
          const std::vector<std::uint64_t>& aKeys)
{
  for (unsigned i = 0; i < aKeys.size(); ++i) {
    aList.set(i, aKeys[i]);
  }
}

std::vector<std::uint64_t>
ReadKeys(capnp::List<std::uint64_t>::Reader aList)
{
  std::vector<std::uint64_t> keys;
  keys.reserve(aList.size());
  for (const std::uint64_t key : aList) {
    keys.push_back(key);
  }
  return keys;
}

void
WriteWork(wire::PlacedWork::Builder aWork,
          const placement& aPlaced,
          time_point aNow)
{
  aWork.setKey(aPlaced.mKey);
  WriteKeys(aWork.initEngines(static_cast<unsigned>(aPlaced.mEngines.size())),
            aPlaced.mEngines);
  aWork.setPartMs(static_cast<float>(aPlaced.mPartMs));
  aWork.setPauseMs(
    static_cast<std::uint32_t>(Milliseconds(aPlaced.mLongestPause)));
  aWork.setTokens(static_cast<float>(aPlaced.mTokens));
  aWork.setLifeMs(static_cast<std::uint32_t>(
    std::max<std::int64_t>(0, Milliseconds(aPlaced.mExpires - aNow))));
  aWork.setWorth(static_cast<float>(aPlaced.mWorth));
  WriteKeys(aWork.initHolders(static_cast<unsigned>(aPlaced.mHolders.size())),
            aPlaced.mHolders);
  aWork.setHolderTokens(static_cast<float>(aPlaced.mHolderTokens));
}

placement
ReadWork(wire::PlacedWork::Reader aWork, std::uint64_t aOwner, time_point aNow)
{
  placement told;
  told.mKey = aWork.getKey();
  told.mOwner = aOwner;
  told.mEngines = ReadKeys(aWork.getEngines());
  told.mPartMs = aWork.getPartMs();
  told.mLongestPause = std::chrono::milliseconds(aWork.getPauseMs());
  told.mWorth = aWork.getWorth();
  told.mTokens = aWork.getTokens();
  told.mHolders = ReadKeys(aWork.getHolders());
  told.mHolderTokens = aWork.getHolderTokens();
  told.mExpires = aNow + std::chrono::milliseconds(aWork.getLifeMs());
  return told;
}

} // namespace

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
                     behind aBehind)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mBehind(std::move(aBehind))
{
}

peer_news::~peer_news()
{
  mLoop.Cancel(mFlushTimer);
  mLoop.Cancel(mBeatTimer);
  mLoop.Cancel(mBehindTimer);
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
  FlushSoon();
}

void
peer_news::TellEnded(placement_key aKey, placement_end aEnd)
{
  (aEnd == placement_end::Read ? mGathered.mEnded : mGathered.mUnread)
    .push_back(aKey);
  FlushSoon();
}

void
peer_news::TellUnwilling(engine_key aEngine)
{
  mGathered.mUnwilling.push_back(aEngine);
  FlushSoon();
}

void
peer_news::HeedUnwilling(engine_key aEngine, const std::string& aHost)
{
  for (auto& [id, known] : mBoard.mEndpoints.mEndpoints) {
    if (Hash(id) != aEngine) {
      continue;
    }
    NoteSign(known.mHealth, endpoint_sign::Unwilling, mLoop.Now());
    Log(
      log_level::Info,
      "endpoint_avoided",
      { { "endpoint", id },
        { "told_by", aHost },
        { "strikes", known.mHealth.mStrikes },
        { "for_ms", Milliseconds(known.mHealth.mAvoidUntil - mLoop.Now()) } });
  }
}

void
peer_news::TellLeaving()
{
  mLeaving = true;
  Flush();
}

void
peer_news::FlushSoon()
{
  if (mGathered.mPlaced.size() >= kMostPlaced) {
    Flush();
  } else if (mFlushTimer == 0) {
    mFlushTimer = mLoop.After(kGather, [this]() {
      mFlushTimer = 0;
      Flush();
    });
  }
}

std::string
peer_news::Encode(const gathered& aNews)
{
  capnp::MallocMessageBuilder message;
  wire::PeerNews::Builder news = message.initRoot<wire::PeerNews>();
  news.setBoot(mBoard.mBoot);
  news.setLeaving(mLeaving);
  news.setManifest(
    mBoard.mManifest == nullptr ? 0 : mBoard.mManifest->Manifest().mVersion);
  news.setList(mBoard.mEndpoints.mNewestRevision);
  const time_point now = mLoop.Now();
  capnp::List<wire::PlacedWork>::Builder placed =
    news.initPlaced(static_cast<unsigned>(aNews.mPlaced.size()));
  for (unsigned i = 0; i < aNews.mPlaced.size(); ++i) {
    WriteWork(placed[i], aNews.mPlaced[i], now);
  }
  WriteKeys(news.initEnded(static_cast<unsigned>(aNews.mEnded.size())),
            aNews.mEnded);
  WriteKeys(news.initUnread(static_cast<unsigned>(aNews.mUnread.size())),
            aNews.mUnread);
  WriteKeys(news.initUnwilling(static_cast<unsigned>(aNews.mUnwilling.size())),
            aNews.mUnwilling);
  if (aNews == gathered{}) {
    // A beat: it also says who else is there.
    const std::size_t hosts = std::min(kMostHosts, mBoard.mPeers.size());
    capnp::List<capnp::Text>::Builder peers =
      news.initPeers(static_cast<unsigned>(hosts));
    std::map<std::string, peer_entry>::const_iterator peer =
      mBoard.mPeers.begin();
    std::advance(peer,
                 static_cast<std::ptrdiff_t>(
                   Below(mBoard.mRandom, mBoard.mPeers.size() - hosts + 1)));
    for (unsigned i = 0; i < hosts; ++i, ++peer) {
      peers.set(i, peer->first.c_str());
    }
  }
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const char> bytes = words.asChars();
  return { bytes.begin(), bytes.size() };
}

void
peer_news::Flush()
{
  mLoop.Cancel(mFlushTimer);
  const std::string bytes = Encode(mGathered);
  mGathered = gathered{};
  for (const std::string& host : PeersToTell(bytes.size())) {
    mSocket->Send(bytes, { host, mSettings.mPeers.mPort });
  }
}

std::vector<std::string>
peer_news::PeersToTell(std::size_t aBytes)
{
  std::vector<std::string> hosts;
  hosts.reserve(mBoard.mPeers.size());
  for (const auto& [host, peer] : mBoard.mPeers) {
    hosts.push_back(host);
  }
  const time_point now = mLoop.Now();
  mNewsBytes =
    std::min(kNewsBytesAtOnce,
             mNewsBytes + Seconds(now - mNewsBytesAt) * kNewsBytesPerSecond);
  mNewsBytesAt = now;
  const std::size_t affordable = static_cast<std::size_t>(
    std::max(0.0, mNewsBytes) / static_cast<double>(aBytes));
  mBoard.mAllTold = hosts.size() <= std::max(kMostPeersAllTold, affordable);
  const std::size_t told =
    mBoard.mAllTold ? hosts.size() : std::max(kDrawnPeers, affordable);
  mNewsBytes = std::max(-kNewsBytesAtOnce,
                        mNewsBytes - static_cast<double>(told * aBytes));
  if (mBoard.mAllTold) {
    return hosts;
  }
  std::vector<std::string> drawn;
  std::sample(hosts.begin(),
              hosts.end(),
              std::back_inserter(drawn),
              told,
              mBoard.mRandom);
  return drawn;
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
  Flush();
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

bool
peer_news::ManifestBehind() const
{
  return mBoard.mManifest != nullptr &&
         mBoard.mManifest->Manifest().mVersion < mNewestManifest;
}

bool
peer_news::ListBehind() const
{
  return mBoard.mEndpoints.mNewestRevision < mNewestList;
}

void
peer_news::CompareBeliefs(std::uint64_t aManifest, std::uint64_t aList)
{
  mNewestManifest = std::max(mNewestManifest, aManifest);
  mNewestList = std::max(mNewestList, aList);
  if (mBehindTimer != 0 || (!ManifestBehind() && !ListBehind())) {
    return;
  }
  // What a peer has just been told is on its way here too; only what does not
  // come shows that this entry's own question has gone silent.
  mBehindTimer = mLoop.After(kBehindPatience, [this]() {
    mBehindTimer = 0;
    if (ManifestBehind() || ListBehind()) {
      mBehind(ManifestBehind(), ListBehind());
    }
  });
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
  }
}

void
peer_news::OnNews(std::string_view aBytes, const ip_address& aFrom)
{
  if (aBytes.empty() || aBytes.size() % sizeof(capnp::word) != 0 ||
      aBytes.size() / sizeof(capnp::word) > kMostWords) {
    return;
  }
  std::vector<capnp::word> words(aBytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), aBytes.data(), aBytes.size());
  const time_point now = mLoop.Now();
  // The library answers a message that is none with an exception.
  try {
    capnp::FlatArrayMessageReader reader(
      kj::arrayPtr(words.data(), words.size()));
    const wire::PeerNews::Reader news = reader.getRoot<wire::PeerNews>();
    if (news.getBoot() == mBoard.mBoot) {
      return;
    }
    mCandidates.erase(aFrom.mHost);
    if (news.getLeaving()) {
      mBoard.mPeers.erase(aFrom.mHost);
      return;
    }
    const auto known = mBoard.mPeers.find(aFrom.mHost);
    const bool isNew =
      known == mBoard.mPeers.end() || known->second.mBoot != news.getBoot();
    if (known != mBoard.mPeers.end() && isNew) {
      ForgetOwner(mBoard.mLedger, known->second.mBoot, now);
    }
    mBoard.mPeers[aFrom.mHost] = { news.getBoot(), now };
    if (isNew) {
      Log(log_level::Info,
          "peer_found",
          { { "host", aFrom.mHost }, { "peers", mBoard.mPeers.size() } });
      Greet(aFrom.mHost);
    }
    CompareBeliefs(news.getManifest(), news.getList());
    for (const wire::PlacedWork::Reader work : news.getPlaced()) {
      NotePlaced(mBoard.mLedger, ReadWork(work, news.getBoot(), now), now);
    }
    for (const std::uint64_t key : news.getEnded()) {
      NoteEnded(mBoard.mLedger, key, placement_end::Read, now);
    }
    for (const std::uint64_t key : news.getUnread()) {
      NoteEnded(mBoard.mLedger, key, placement_end::Unread, now);
    }
    for (const std::uint64_t engine : news.getUnwilling()) {
      HeedUnwilling(engine, aFrom.mHost);
    }
    std::vector<std::string> hosts;
    for (const capnp::Text::Reader host : news.getPeers()) {
      hosts.emplace_back(host.cStr());
    }
    AddHosts(hosts);
  } catch (const kj::Exception& aError) {
    Log(log_level::Warning,
        "peer_news_malformed",
        { { "host", aFrom.mHost }, { "why", aError.getDescription().cStr() } });
  }
}

} // namespace primrose
