#include "LibGateway/PeerMessage.h"

#include "LibGateway/PeerNews.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/io.h>

namespace primrose {

namespace {

/// The largest message that is taken, in words of eight bytes.
constexpr std::uint64_t kMostWords = 4096;
constexpr double kMicrosInMs = 1e3;
constexpr double kCentsInOne = 1e2;
constexpr double kMillisInOne = 1e3;

std::uint32_t
Whole(double aValue)
{
  constexpr double kMost = 4e9;
  return static_cast<std::uint32_t>(std::clamp(std::round(aValue), 0.0, kMost));
}

std::uint32_t
WholeMs(duration aSpan)
{
  return Whole(static_cast<double>(Milliseconds(aSpan)));
}

void
WriteNumbers(capnp::List<std::uint32_t>::Builder aList,
             const std::vector<std::uint32_t>& aNumbers)
{
  for (unsigned i = 0; i < aNumbers.size(); ++i) {
    aList.set(i, aNumbers[i]);
  }
}

std::vector<std::uint32_t>
ReadNumbers(capnp::List<std::uint32_t>::Reader aList)
{
  std::vector<std::uint32_t> numbers;
  numbers.reserve(aList.size());
  for (const std::uint32_t number : aList) {
    numbers.push_back(number);
  }
  return numbers;
}

std::vector<std::uint32_t>
Sequences(const std::vector<placement_key>& aKeys)
{
  std::vector<std::uint32_t> sequences;
  sequences.reserve(aKeys.size());
  for (const placement_key key : aKeys) {
    sequences.push_back(SequenceOf(key));
  }
  return sequences;
}

std::vector<placement_key>
Keys(std::uint64_t aOwner, capnp::List<std::uint32_t>::Reader aSequences)
{
  std::vector<placement_key> keys;
  keys.reserve(aSequences.size());
  for (const std::uint32_t sequence : aSequences) {
    keys.push_back(PlacementKey(aOwner, sequence));
  }
  return keys;
}

void
WriteWork(wire::PlacedWork::Builder aWork,
          const placement& aPlaced,
          time_point aNow)
{
  aWork.setSequence(SequenceOf(aPlaced.mKey));
  WriteNumbers(
    aWork.initEngines(static_cast<unsigned>(aPlaced.mEngines.size())),
    aPlaced.mEngines);
  aWork.setPartMicros(Whole(aPlaced.mPartPrefillMs * kMicrosInMs));
  aWork.setPauseMs(WholeMs(aPlaced.mLongestPause));
  aWork.setTokens(Whole(aPlaced.mTokens));
  aWork.setLifeMs(WholeMs(aPlaced.mExpires - aNow));
  aWork.setObjectiveMs(WholeMs(aPlaced.mObjective));
  aWork.setElapsedMs(WholeMs(aNow - aPlaced.mBegan));
  aWork.setWorthCents(Whole(aPlaced.mWorth * kCentsInOne));
  if (!aPlaced.mHolders.empty()) {
    WriteNumbers(
      aWork.initHolders(static_cast<unsigned>(aPlaced.mHolders.size())),
      aPlaced.mHolders);
    aWork.setHolderTokens(Whole(aPlaced.mHolderTokens));
  }
}

placement
ReadWork(wire::PlacedWork::Reader aWork, std::uint64_t aOwner, time_point aNow)
{
  placement told;
  told.mKey = PlacementKey(aOwner, aWork.getSequence());
  told.mOwner = aOwner;
  told.mEngines = ReadNumbers(aWork.getEngines());
  told.mPartPrefillMs = aWork.getPartMicros() / kMicrosInMs;
  told.mLongestPause = std::chrono::milliseconds(aWork.getPauseMs());
  told.mObjective = std::chrono::milliseconds(aWork.getObjectiveMs());
  told.mBegan = aNow - std::chrono::milliseconds(aWork.getElapsedMs());
  told.mWorth = aWork.getWorthCents() / kCentsInOne;
  told.mTokens = aWork.getTokens();
  told.mHolders = ReadNumbers(aWork.getHolders());
  told.mHolderTokens = aWork.getHolderTokens();
  told.mExpires = aNow + std::chrono::milliseconds(aWork.getLifeMs());
  return told;
}

void
WriteCrashes(wire::PeerNews::Builder aNews, const peer_updates& aTold)
{
  if (!aTold.mCrashes.empty()) {
    capnp::List<wire::CrashReport>::Builder crashes =
      aNews.initCrashes(static_cast<unsigned>(aTold.mCrashes.size()));
    for (unsigned i = 0; i < aTold.mCrashes.size(); ++i) {
      crashes[i].setDigest(aTold.mCrashes[i].mRequest);
      crashes[i].setEndpoint(aTold.mCrashes[i].mEndpoint);
      crashes[i].setAnswering(aTold.mCrashes[i].mAnswering);
    }
  }
  if (!aTold.mHeld.empty()) {
    capnp::List<wire::HeldRequest>::Builder held =
      aNews.initHeld(static_cast<unsigned>(aTold.mHeld.size()));
    for (unsigned i = 0; i < aTold.mHeld.size(); ++i) {
      held[i].setDigest(aTold.mHeld[i].mRequest);
      held[i].setTrials(aTold.mHeld[i].mTrials);
      held[i].setAgeSeconds(Whole(Seconds(aTold.mHeld[i].mAge)));
    }
  }
  if (!aTold.mCleared.empty()) {
    capnp::List<std::uint64_t>::Builder cleared =
      aNews.initCleared(static_cast<unsigned>(aTold.mCleared.size()));
    for (unsigned i = 0; i < aTold.mCleared.size(); ++i) {
      cleared.set(i, aTold.mCleared[i]);
    }
  }
}

void
ReadCrashes(wire::PeerNews::Reader aNews, peer_updates& aTold)
{
  for (const wire::CrashReport::Reader crash : aNews.getCrashes()) {
    aTold.mCrashes.push_back(
      { crash.getDigest(), crash.getEndpoint(), crash.getAnswering() });
  }
  for (const wire::HeldRequest::Reader held : aNews.getHeld()) {
    aTold.mHeld.push_back({ held.getDigest(),
                            held.getTrials(),
                            std::chrono::seconds(held.getAgeSeconds()) });
  }
  for (const std::uint64_t cleared : aNews.getCleared()) {
    aTold.mCleared.push_back(cleared);
  }
}

void
WriteLimits(wire::PeerNews::Builder aNews,
            const std::vector<limit_report>& aLimits,
            time_point aNow)
{
  if (aLimits.empty()) {
    return;
  }
  capnp::List<wire::EndpointLimit>::Builder limits =
    aNews.initLimits(static_cast<unsigned>(aLimits.size()));
  for (unsigned i = 0; i < aLimits.size(); ++i) {
    const std::optional<double>& rate = aLimits[i].mPerSecond;
    limits[i].setEndpoint(aLimits[i].mEndpoint);
    limits[i].setPerSecondMillis(
      rate.has_value() ? std::max(1U, Whole(*rate * kMillisInOne)) : 0);
    limits[i].setAgeMs(WholeMs(aNow - aLimits[i].mObserved));
  }
}

void
ReadLimits(wire::PeerNews::Reader aNews, peer_updates& aTold, time_point aNow)
{
  for (const wire::EndpointLimit::Reader limit : aNews.getLimits()) {
    limit_report told;
    told.mEndpoint = limit.getEndpoint();
    if (limit.getPerSecondMillis() > 0) {
      told.mPerSecond = limit.getPerSecondMillis() / kMillisInOne;
    }
    told.mObserved = aNow - std::chrono::milliseconds(limit.getAgeMs());
    aTold.mLimits.push_back(told);
  }
}

void
WriteNews(wire::PeerNews::Builder aNews,
          const peer_updates& aTold,
          time_point aNow)
{
  if (!aTold.mPlaced.empty()) {
    capnp::List<wire::PlacedWork>::Builder placed =
      aNews.initPlaced(static_cast<unsigned>(aTold.mPlaced.size()));
    for (unsigned i = 0; i < aTold.mPlaced.size(); ++i) {
      WriteWork(placed[i], aTold.mPlaced[i], aNow);
    }
  }
  if (!aTold.mEnded.empty()) {
    WriteNumbers(aNews.initEnded(static_cast<unsigned>(aTold.mEnded.size())),
                 Sequences(aTold.mEnded));
  }
  if (!aTold.mUnread.empty()) {
    WriteNumbers(aNews.initUnread(static_cast<unsigned>(aTold.mUnread.size())),
                 Sequences(aTold.mUnread));
  }
  if (!aTold.mHelpRefused.empty()) {
    WriteNumbers(
      aNews.initUnwilling(static_cast<unsigned>(aTold.mHelpRefused.size())),
      aTold.mHelpRefused);
  }
  if (!aTold.mTroubled.empty()) {
    WriteNumbers(
      aNews.initTroubled(static_cast<unsigned>(aTold.mTroubled.size())),
      aTold.mTroubled);
  }
  WriteLimits(aNews, aTold.mLimits, aNow);
  WriteCrashes(aNews, aTold);
}

peer_message
ReadMessage(wire::PeerNews::Reader aNews, time_point aNow)
{
  peer_message message;
  message.mGatewayIncarnation = aNews.getBoot();
  message.mLeaving = aNews.getLeaving();
  message.mManifest = aNews.getManifest();
  message.mList = aNews.getList();
  message.mQuarantineHash = aNews.getHeldState();
  for (const wire::PlacedWork::Reader work : aNews.getPlaced()) {
    message.mUpdates.mPlaced.push_back(
      ReadWork(work, message.mGatewayIncarnation, aNow));
  }
  message.mUpdates.mEnded = Keys(message.mGatewayIncarnation, aNews.getEnded());
  message.mUpdates.mUnread =
    Keys(message.mGatewayIncarnation, aNews.getUnread());
  message.mUpdates.mHelpRefused = ReadNumbers(aNews.getUnwilling());
  message.mUpdates.mTroubled = ReadNumbers(aNews.getTroubled());
  ReadLimits(aNews, message.mUpdates, aNow);
  ReadCrashes(aNews, message.mUpdates);
  for (const capnp::Text::Reader host : aNews.getPeers()) {
    message.mHosts.emplace_back(host.cStr());
  }
  return message;
}

} // namespace

std::string
EncodePeerMessage(const peer_message& aMessage, time_point aNow)
{
  capnp::MallocMessageBuilder builder;
  wire::PeerNews::Builder news = builder.initRoot<wire::PeerNews>();
  news.setBoot(aMessage.mGatewayIncarnation);
  news.setLeaving(aMessage.mLeaving);
  news.setManifest(aMessage.mManifest);
  news.setList(aMessage.mList);
  news.setHeldState(aMessage.mQuarantineHash);
  WriteNews(news, aMessage.mUpdates, aNow);
  if (!aMessage.mHosts.empty()) {
    capnp::List<capnp::Text>::Builder hosts =
      news.initPeers(static_cast<unsigned>(aMessage.mHosts.size()));
    for (unsigned i = 0; i < aMessage.mHosts.size(); ++i) {
      hosts.set(i, aMessage.mHosts[i].c_str());
    }
  }
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, builder);
  const kj::ArrayPtr<const char> bytes = packed.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

result<peer_message>
DecodePeerMessage(std::string_view aBytes, time_point aNow)
{
  // The library answers a message that is none with an exception.
  try {
    kj::ArrayInputStream stream(
      kj::arrayPtr(aBytes.data(), aBytes.size()).asBytes());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMostWords;
    capnp::PackedMessageReader reader(stream, options);
    return ReadMessage(reader.getRoot<wire::PeerNews>(), aNow);
  } catch (const kj::Exception& aError) {
    return Fail(error_kind::BadValue, aError.getDescription().cStr());
  }
}

} // namespace primrose
