#include "LibGateway/PeerNews.h"

#include "LibGateway/PeerNews.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>

namespace primrose {

namespace {

/// News of one such span goes in one datagram: short against a pass of an
/// engine (50 ms), long against the time between two placements in a burst.
constexpr duration kGather = std::chrono::milliseconds(3);
/// How often an entry shows that it is there, and after how long a silent one
/// counts as gone; with many peers less often, so that beats cost the same.
constexpr duration kBeat = std::chrono::seconds(1);
constexpr unsigned kSilentBeats = 4;
constexpr std::size_t kPeersPerBeat = 32;
/// Hosts not heard from are asked every so many beats.
constexpr unsigned kCandidateBeats = 3;
/// Placements in one datagram, so that it fits into one packet.
constexpr std::size_t kMostPlaced = 8;
/// Hosts named in one datagram.
constexpr std::size_t kMostHosts = 16;
/// The largest datagram that is taken, in words of eight bytes.
constexpr std::size_t kMostWords = 4096;

duration
BeatEvery(std::size_t aPeers)
{
  return kBeat * (1 + aPeers / kPeersPerBeat);
}

} // namespace

std::size_t
EntryCount(const gateway_board& aBoard)
{
  return aBoard.mPeers.size() + 1;
}

peer_news::peer_news(event_loop& aLoop,
                     const gateway_settings& aSettings,
                     gateway_board& aBoard)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
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
  BOOST_LEAF_ASSIGN(
    mSocket,
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
    if (host != mSettings.mPeers.mHost && !mBoard.mPeers.contains(host)) {
      mCandidates.insert(host);
    }
  }
}

void
peer_news::TellPlaced(const placement& aPlaced)
{
  mPlaced.push_back(aPlaced);
  FlushSoon();
}

void
peer_news::TellEnded(placement_key aKey)
{
  mEnded.push_back(aKey);
  FlushSoon();
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
  if (mPlaced.size() >= kMostPlaced) {
    Flush();
  } else if (mFlushTimer == 0) {
    mFlushTimer = mLoop.After(kGather, [this]() {
      mFlushTimer = 0;
      Flush();
    });
  }
}

void
peer_news::Flush()
{
  mLoop.Cancel(mFlushTimer);
  capnp::MallocMessageBuilder message;
  wire::PeerNews::Builder news = message.initRoot<wire::PeerNews>();
  news.setBoot(mBoard.mBoot);
  news.setLeaving(mLeaving);
  const time_point now = mLoop.Now();
  capnp::List<wire::PlacedWork>::Builder placed =
    news.initPlaced(static_cast<unsigned>(mPlaced.size()));
  for (unsigned i = 0; i < mPlaced.size(); ++i) {
    const placement& work = mPlaced[i];
    placed[i].setKey(work.mKey);
    placed[i].setPartMs(static_cast<float>(work.mPartMs));
    placed[i].setPauseMs(
      static_cast<std::uint32_t>(Milliseconds(work.mLongestPause)));
    placed[i].setTokens(static_cast<float>(work.mTokens));
    placed[i].setLifeMs(
      static_cast<std::uint32_t>(Milliseconds(work.mExpires - now)));
    capnp::List<std::uint64_t>::Builder engines =
      placed[i].initEngines(static_cast<unsigned>(work.mEngines.size()));
    for (unsigned engine = 0; engine < work.mEngines.size(); ++engine) {
      engines.set(engine, work.mEngines[engine]);
    }
  }
  capnp::List<std::uint64_t>::Builder ended =
    news.initEnded(static_cast<unsigned>(mEnded.size()));
  for (unsigned i = 0; i < mEnded.size(); ++i) {
    ended.set(i, mEnded[i]);
  }
  if (mPlaced.empty() && mEnded.empty()) {
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
  mPlaced.clear();
  mEnded.clear();
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const char> bytes = words.asChars();
  for (const auto& [host, peer] : mBoard.mPeers) {
    mSocket->Send({ bytes.begin(), bytes.size() },
                  { host, mSettings.mPeers.mPort });
  }
  if (mBeats % kCandidateBeats == 0) {
    for (const std::string& host : mCandidates) {
      mSocket->Send({ bytes.begin(), bytes.size() },
                    { host, mSettings.mPeers.mPort });
    }
  }
}

void
peer_news::Beat()
{
  ForgetSilent();
  Flush();
  ++mBeats;
  mBeatTimer = mLoop.After(BeatEvery(mBoard.mPeers.size()), [this]() {
    mBeatTimer = 0;
    Beat();
  });
}

void
peer_news::ForgetSilent()
{
  const time_point now = mLoop.Now();
  const duration silence = kSilentBeats * BeatEvery(mBoard.mPeers.size());
  for (auto peer = mBoard.mPeers.begin(); peer != mBoard.mPeers.end();) {
    if (now - peer->second.mHeard < silence) {
      ++peer;
      continue;
    }
    Log(log_level::Warning,
        "peer_lost",
        { { "host", peer->first },
          { "silent_ms", Milliseconds(now - peer->second.mHeard) } });
    ForgetOwner(mBoard.mLedger, peer->second.mBoot);
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
    if (known == mBoard.mPeers.end()) {
      Log(log_level::Info, "peer_found", { { "host", aFrom.mHost } });
    } else if (known->second.mBoot != news.getBoot()) {
      ForgetOwner(mBoard.mLedger, known->second.mBoot);
    }
    mBoard.mPeers[aFrom.mHost] = { news.getBoot(), now };
    for (const wire::PlacedWork::Reader work : news.getPlaced()) {
      placement told;
      told.mKey = work.getKey();
      told.mOwner = news.getBoot();
      for (const std::uint64_t engine : work.getEngines()) {
        told.mEngines.push_back(engine);
      }
      told.mPartMs = work.getPartMs();
      told.mLongestPause = std::chrono::milliseconds(work.getPauseMs());
      told.mTokens = work.getTokens();
      told.mExpires = now + std::chrono::milliseconds(work.getLifeMs());
      NotePlaced(mBoard.mLedger, told, now);
    }
    for (const std::uint64_t key : news.getEnded()) {
      NoteEnded(mBoard.mLedger, key);
    }
    std::vector<std::string> hosts;
    for (const capnp::Text::Reader host : news.getPeers()) {
      hosts.emplace_back(host.cStr());
    }
    AddHosts(hosts);
  } catch (const kj::Exception& aError) {
    Log(log_level::Warning,
        "peer_news_malformed",
        { { "host", aFrom.mHost },
          { "why", aError.getDescription().cStr() } });
  }
}

} // namespace primrose
