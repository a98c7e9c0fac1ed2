#include "LibGossip/PeerMessage.h"

#include "LibGossip/PeerNews.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/io.h>
#include <limits>

namespace primrose {

namespace {

/// The largest message that is accepted, in words of eight bytes.
constexpr std::uint64_t kMaxMessageWords = 4096;
constexpr double kMicrosecondsPerMs = 1e3;
constexpr double kCentsPerUnit = 1e2;
constexpr double kMillisPerUnit = 1e3;
constexpr double kTenthsPerUnit = 10;

std::uint32_t
RoundToUint32(double aValue)
{
  constexpr double kMost = 4e9;
  return static_cast<std::uint32_t>(std::clamp(std::round(aValue), 0.0, kMost));
}

std::uint32_t
RoundToMilliseconds(duration aSpan)
{
  return RoundToUint32(static_cast<double>(Milliseconds(aSpan)));
}

/// In milliseconds, plus one; 0 for none.
std::uint64_t
EncodeStoreTime(const std::optional<store_time>& aTime)
{
  return aTime.has_value() && *aTime >= duration::zero()
           ? static_cast<std::uint64_t>(Milliseconds(*aTime)) + 1
           : 0;
}

std::optional<store_time>
DecodeStoreTime(std::uint64_t aEncoded)
{
  if (aEncoded == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(aEncoded - 1);
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
WritePlacement(wire::PlacedWork::Builder aEncoded,
               const placement& aPlacement,
               time_point aNow)
{
  aEncoded.setSequence(SequenceOf(aPlacement.mKey));
  WriteNumbers(
    aEncoded.initEngines(static_cast<unsigned>(aPlacement.mEngines.size())),
    aPlacement.mEngines);
  aEncoded.setPartMicros(
    RoundToUint32(aPlacement.mPartPrefillMs * kMicrosecondsPerMs));
  aEncoded.setPauseMs(RoundToMilliseconds(aPlacement.mLongestPause));
  aEncoded.setTokens(RoundToUint32(aPlacement.mTokens));
  aEncoded.setLifeMs(RoundToMilliseconds(aPlacement.mExpires - aNow));
  aEncoded.setObjectiveMs(RoundToMilliseconds(aPlacement.mObjective));
  aEncoded.setElapsedMs(RoundToMilliseconds(aNow - aPlacement.mBegan));
  aEncoded.setWorthCents(RoundToUint32(aPlacement.mWorth * kCentsPerUnit));
  aEncoded.setOrganisation(aPlacement.mClass.mOrganisation);
  aEncoded.setRank(static_cast<std::uint8_t>(aPlacement.mClass.mRank));
  if (!aPlacement.mHolders.empty()) {
    WriteNumbers(
      aEncoded.initHolders(static_cast<unsigned>(aPlacement.mHolders.size())),
      aPlacement.mHolders);
    aEncoded.setHolderTokens(RoundToUint32(aPlacement.mHolderTokens));
  }
}

placement
ReadPlacement(wire::PlacedWork::Reader aEncoded,
              std::uint64_t aOwner,
              time_point aNow)
{
  placement decoded;
  decoded.mKey = PlacementKey(aOwner, aEncoded.getSequence());
  decoded.mOwner = aOwner;
  decoded.mEngines = ReadNumbers(aEncoded.getEngines());
  decoded.mPartPrefillMs = aEncoded.getPartMicros() / kMicrosecondsPerMs;
  decoded.mLongestPause = std::chrono::milliseconds(aEncoded.getPauseMs());
  decoded.mObjective = std::chrono::milliseconds(aEncoded.getObjectiveMs());
  decoded.mBegan = aNow - std::chrono::milliseconds(aEncoded.getElapsedMs());
  decoded.mWorth = aEncoded.getWorthCents() / kCentsPerUnit;
  decoded.mTokens = aEncoded.getTokens();
  decoded.mClass = { std::min<unsigned>(aEncoded.getRank(), kMaxRank),
                     aEncoded.getOrganisation() };
  decoded.mHolders = ReadNumbers(aEncoded.getHolders());
  decoded.mHolderTokens = aEncoded.getHolderTokens();
  decoded.mExpires = aNow + std::chrono::milliseconds(aEncoded.getLifeMs());
  return decoded;
}

void
WriteCrashes(wire::PeerNews::Builder aEncoded, const peer_updates& aUpdates)
{
  if (!aUpdates.mCrashes.empty()) {
    capnp::List<wire::CrashReport>::Builder crashes =
      aEncoded.initCrashes(static_cast<unsigned>(aUpdates.mCrashes.size()));
    for (unsigned i = 0; i < aUpdates.mCrashes.size(); ++i) {
      crashes[i].setDigest(aUpdates.mCrashes[i].mRequest);
      crashes[i].setEndpoint(aUpdates.mCrashes[i].mEndpoint);
      crashes[i].setAnswering(aUpdates.mCrashes[i].mAnswering);
    }
  }
  if (!aUpdates.mQuarantined.empty()) {
    capnp::List<wire::HeldRequest>::Builder held =
      aEncoded.initHeld(static_cast<unsigned>(aUpdates.mQuarantined.size()));
    for (unsigned i = 0; i < aUpdates.mQuarantined.size(); ++i) {
      held[i].setDigest(aUpdates.mQuarantined[i].mRequest);
      held[i].setTrials(aUpdates.mQuarantined[i].mTrials);
      held[i].setAgeSeconds(
        RoundToUint32(Seconds(aUpdates.mQuarantined[i].mAge)));
    }
  }
  if (!aUpdates.mCleared.empty()) {
    capnp::List<std::uint64_t>::Builder cleared =
      aEncoded.initCleared(static_cast<unsigned>(aUpdates.mCleared.size()));
    for (unsigned i = 0; i < aUpdates.mCleared.size(); ++i) {
      cleared.set(i, aUpdates.mCleared[i]);
    }
  }
}

void
ReadCrashes(wire::PeerNews::Reader aEncoded, peer_updates& aUpdates)
{
  for (const wire::CrashReport::Reader crash : aEncoded.getCrashes()) {
    aUpdates.mCrashes.push_back(
      { crash.getDigest(), crash.getEndpoint(), crash.getAnswering() });
  }
  for (const wire::HeldRequest::Reader held : aEncoded.getHeld()) {
    aUpdates.mQuarantined.push_back(
      { held.getDigest(),
        held.getTrials(),
        std::chrono::seconds(held.getAgeSeconds()) });
  }
  for (const std::uint64_t cleared : aEncoded.getCleared()) {
    aUpdates.mCleared.push_back(cleared);
  }
}

void
WriteLimits(wire::PeerNews::Builder aEncoded,
            const std::vector<limit_report>& aLimits,
            time_point aNow)
{
  if (aLimits.empty()) {
    return;
  }
  capnp::List<wire::EndpointLimit>::Builder limits =
    aEncoded.initLimits(static_cast<unsigned>(aLimits.size()));
  for (unsigned i = 0; i < aLimits.size(); ++i) {
    const std::optional<double>& rate = aLimits[i].mPerSecond;
    limits[i].setEndpoint(aLimits[i].mEndpoint);
    limits[i].setPerSecondMillis(
      rate.has_value() ? std::max(1U, RoundToUint32(*rate * kMillisPerUnit))
                       : 0);
    limits[i].setAgeMs(RoundToMilliseconds(aNow - aLimits[i].mObserved));
  }
}

void
ReadLimits(wire::PeerNews::Reader aEncoded,
           peer_updates& aUpdates,
           time_point aNow)
{
  for (const wire::EndpointLimit::Reader limit : aEncoded.getLimits()) {
    limit_report decoded;
    decoded.mEndpoint = limit.getEndpoint();
    if (limit.getPerSecondMillis() > 0) {
      decoded.mPerSecond = limit.getPerSecondMillis() / kMillisPerUnit;
    }
    decoded.mObserved = aNow - std::chrono::milliseconds(limit.getAgeMs());
    aUpdates.mLimits.push_back(decoded);
  }
}

void
WriteSpeeds(wire::PeerNews::Builder aEncoded,
            const std::vector<speed_report>& aSpeeds,
            time_point aNow)
{
  if (aSpeeds.empty()) {
    return;
  }
  capnp::List<wire::EnginePace>::Builder speeds =
    aEncoded.initSpeeds(static_cast<unsigned>(aSpeeds.size()));
  for (unsigned i = 0; i < aSpeeds.size(); ++i) {
    speeds[i].setEngine(aSpeeds[i].mEngine);
    speeds[i].setHundredths(static_cast<std::uint16_t>(
      std::min<std::uint32_t>(RoundToUint32(aSpeeds[i].mPace * kCentsPerUnit),
                              std::numeric_limits<std::uint16_t>::max())));
    speeds[i].setAgeMs(RoundToMilliseconds(aNow - aSpeeds[i].mObserved));
  }
}

void
ReadSpeeds(wire::PeerNews::Reader aEncoded,
           peer_updates& aUpdates,
           time_point aNow)
{
  for (const wire::EnginePace::Reader speed : aEncoded.getSpeeds()) {
    aUpdates.mSpeeds.push_back(
      { speed.getEngine(),
        speed.getHundredths() / kCentsPerUnit,
        aNow - std::chrono::milliseconds(speed.getAgeMs()) });
  }
}

void
WriteSizes(wire::PeerNews::Builder aEncoded,
           const std::vector<size_report>& aReports)
{
  if (aReports.empty()) {
    return;
  }
  capnp::List<wire::SizeReport>::Builder encoded =
    aEncoded.initSizes(static_cast<unsigned>(aReports.size()));
  for (unsigned i = 0; i < aReports.size(); ++i) {
    const size_report& report = aReports[i];
    std::vector<std::uint32_t> offered;
    std::vector<std::uint32_t> admitted;
    for (const size_counts& counts : report.mCounts) {
      offered.push_back(RoundToUint32(counts.mOffered * kTenthsPerUnit));
      admitted.push_back(RoundToUint32(counts.mAdmitted * kTenthsPerUnit));
    }
    std::vector<std::uint32_t> tokens;
    for (const double size : report.mSizes) {
      tokens.push_back(RoundToUint32(size));
    }
    encoded[i].setKind(report.mKind);
    WriteNumbers(encoded[i].initOfferedTenths(kSizeClasses), offered);
    WriteNumbers(encoded[i].initAdmittedTenths(kSizeClasses), admitted);
    encoded[i].setRefusedTenths(
      RoundToUint32(report.mRefused * kTenthsPerUnit));
    WriteNumbers(encoded[i].initTokens(static_cast<unsigned>(tokens.size())),
                 tokens);
  }
}

/// Reports with another number of classes are skipped.
void
ReadSizes(wire::PeerNews::Reader aEncoded, peer_updates& aUpdates)
{
  for (const wire::SizeReport::Reader encoded : aEncoded.getSizes()) {
    const std::vector<std::uint32_t> offered =
      ReadNumbers(encoded.getOfferedTenths());
    const std::vector<std::uint32_t> admitted =
      ReadNumbers(encoded.getAdmittedTenths());
    if (offered.size() != kSizeClasses || admitted.size() != kSizeClasses) {
      continue;
    }
    size_report report;
    report.mKind = encoded.getKind();
    for (std::size_t i = 0; i < kSizeClasses; ++i) {
      report.mCounts.at(i) = { offered[i] / kTenthsPerUnit,
                               admitted[i] / kTenthsPerUnit };
    }
    report.mRefused = encoded.getRefusedTenths() / kTenthsPerUnit;
    for (const std::uint32_t tokens : ReadNumbers(encoded.getTokens())) {
      report.mSizes.push_back(tokens);
    }
    aUpdates.mSizes.push_back(std::move(report));
  }
}

void
WriteNews(wire::PeerNews::Builder aEncoded,
          const peer_updates& aUpdates,
          time_point aNow)
{
  if (!aUpdates.mNewPlacements.empty()) {
    capnp::List<wire::PlacedWork>::Builder placed = aEncoded.initPlaced(
      static_cast<unsigned>(aUpdates.mNewPlacements.size()));
    for (unsigned i = 0; i < aUpdates.mNewPlacements.size(); ++i) {
      WritePlacement(placed[i], aUpdates.mNewPlacements[i], aNow);
    }
  }
  if (!aUpdates.mEndedPlacements.empty()) {
    WriteNumbers(aEncoded.initEnded(
                   static_cast<unsigned>(aUpdates.mEndedPlacements.size())),
                 Sequences(aUpdates.mEndedPlacements));
  }
  if (!aUpdates.mEndedBeforePrefill.empty()) {
    WriteNumbers(aEncoded.initUnread(
                   static_cast<unsigned>(aUpdates.mEndedBeforePrefill.size())),
                 Sequences(aUpdates.mEndedBeforePrefill));
  }
  if (!aUpdates.mHelpRefused.empty()) {
    WriteNumbers(aEncoded.initUnwilling(
                   static_cast<unsigned>(aUpdates.mHelpRefused.size())),
                 aUpdates.mHelpRefused);
  }
  if (!aUpdates.mFailedEndpoints.empty()) {
    WriteNumbers(aEncoded.initTroubled(
                   static_cast<unsigned>(aUpdates.mFailedEndpoints.size())),
                 aUpdates.mFailedEndpoints);
  }
  WriteLimits(aEncoded, aUpdates.mLimits, aNow);
  WriteSpeeds(aEncoded, aUpdates.mSpeeds, aNow);
  WriteSizes(aEncoded, aUpdates.mSizes);
  WriteCrashes(aEncoded, aUpdates);
}

peer_message
ReadMessage(wire::PeerNews::Reader aEncoded, time_point aNow)
{
  peer_message message;
  message.mGatewayIncarnation = aEncoded.getBoot();
  message.mLeaving = aEncoded.getLeaving();
  message.mManifest = aEncoded.getManifest();
  message.mList = aEncoded.getList();
  message.mOperatorRevision = aEncoded.getOperatorRow();
  message.mOperatorStoreTime =
    DecodeStoreTime(aEncoded.getOperatorStoreTimeMs());
  message.mListStoreTime = DecodeStoreTime(aEncoded.getListStoreTimeMs());
  message.mQuarantineHash = aEncoded.getHeldState();
  message.mConnectionsPerSecond = aEncoded.getConnectionsPerSecond();
  message.mLateness = { aEncoded.getOwnDataCentreId(),
                        std::chrono::milliseconds(
                          aEncoded.getEventLoopLatenessMs()) };
  for (const wire::PlacedWork::Reader work : aEncoded.getPlaced()) {
    message.mUpdates.mNewPlacements.push_back(
      ReadPlacement(work, message.mGatewayIncarnation, aNow));
  }
  message.mUpdates.mEndedPlacements =
    Keys(message.mGatewayIncarnation, aEncoded.getEnded());
  message.mUpdates.mEndedBeforePrefill =
    Keys(message.mGatewayIncarnation, aEncoded.getUnread());
  message.mUpdates.mHelpRefused = ReadNumbers(aEncoded.getUnwilling());
  message.mUpdates.mFailedEndpoints = ReadNumbers(aEncoded.getTroubled());
  ReadLimits(aEncoded, message.mUpdates, aNow);
  ReadSpeeds(aEncoded, message.mUpdates, aNow);
  ReadSizes(aEncoded, message.mUpdates);
  ReadCrashes(aEncoded, message.mUpdates);
  for (const capnp::Text::Reader host : aEncoded.getPeers()) {
    message.mHosts.emplace_back(host.cStr());
  }
  return message;
}

} // namespace

std::string
EncodePeerMessage(const peer_message& aMessage, time_point aNow)
{
  capnp::MallocMessageBuilder builder;
  wire::PeerNews::Builder encoded = builder.initRoot<wire::PeerNews>();
  encoded.setBoot(aMessage.mGatewayIncarnation);
  encoded.setLeaving(aMessage.mLeaving);
  encoded.setManifest(aMessage.mManifest);
  encoded.setList(aMessage.mList);
  encoded.setOperatorRow(aMessage.mOperatorRevision);
  encoded.setOperatorStoreTimeMs(EncodeStoreTime(aMessage.mOperatorStoreTime));
  encoded.setListStoreTimeMs(EncodeStoreTime(aMessage.mListStoreTime));
  encoded.setHeldState(aMessage.mQuarantineHash);
  encoded.setConnectionsPerSecond(aMessage.mConnectionsPerSecond);
  encoded.setOwnDataCentreId(aMessage.mLateness.mDataCentre);
  encoded.setEventLoopLatenessMs(
    RoundToMilliseconds(aMessage.mLateness.mLateness));
  WriteNews(encoded, aMessage.mUpdates, aNow);
  if (!aMessage.mHosts.empty()) {
    capnp::List<capnp::Text>::Builder hosts =
      encoded.initPeers(static_cast<unsigned>(aMessage.mHosts.size()));
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
  // Cap'n Proto reports malformed messages by exceptions.
  try {
    kj::ArrayInputStream stream(
      kj::arrayPtr(aBytes.data(), aBytes.size()).asBytes());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    capnp::PackedMessageReader reader(stream, options);
    return ReadMessage(reader.getRoot<wire::PeerNews>(), aNow);
  } catch (const kj::Exception& aError) {
    return Fail(error_kind::BadValue, aError.getDescription().cStr());
  }
}

} // namespace primrose
