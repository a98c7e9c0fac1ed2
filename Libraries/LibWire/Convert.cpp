#include "LibWire/Convert.h"

#include <algorithm>

namespace primrose {

namespace {

constexpr std::uint64_t kMostTokens = 1000000000;
constexpr unsigned kMaxWirePrefixHashes = 32;
constexpr unsigned kLowestPriority = 3;
constexpr std::uint64_t kDayInMilliseconds = 86400000;
constexpr double kMillisecondsPerSecond = 1000;

} // namespace

void
ToWire(const request_shape& aShape, wire::Query::Builder aQuery)
{
  aQuery.setModel(aShape.mModel);
  aQuery.setOrganisation(aShape.mOrganisation);
  aQuery.setPromptTokens(aShape.mPromptTokens);
  aQuery.setMaxTokens(aShape.mMaxTokens);
  aQuery.setPriority(static_cast<std::uint8_t>(aShape.mPriority));
  aQuery.setIsLong(aShape.mLong);
  const unsigned count = static_cast<unsigned>(aShape.mPrefixHashes.size());
  capnp::List<std::uint64_t>::Builder marks = aQuery.initMarks(count);
  for (unsigned i = 0; i < count; ++i) {
    marks.set(i, aShape.mPrefixHashes[i]);
  }
}

request_shape
FromWire(wire::Query::Reader aQuery)
{
  request_shape shape;
  shape.mModel = TextFrom(aQuery.getModel());
  shape.mOrganisation = TextFrom(aQuery.getOrganisation());
  shape.mPromptTokens = std::min(aQuery.getPromptTokens(), kMostTokens);
  shape.mMaxTokens = std::min(aQuery.getMaxTokens(), kMostTokens);
  shape.mPriority = std::min<unsigned>(aQuery.getPriority(), kLowestPriority);
  shape.mLong = aQuery.getIsLong();
  const unsigned count =
    std::min(aQuery.getMarks().size(), kMaxWirePrefixHashes);
  for (unsigned i = 0; i < count; ++i) {
    shape.mPrefixHashes.push_back(aQuery.getMarks()[i]);
  }
  return shape;
}

void
ToWire(const probe_answer& aAnswer, wire::ProbeAnswer::Builder aWire)
{
  aWire.setRefusal(ToWire(aAnswer.mRefusal));
  aWire.setFirstTokenMs(static_cast<std::uint64_t>(aAnswer.mFirstTokenSeconds *
                                                   kMillisecondsPerSecond));
  aWire.setFreeTokens(aAnswer.mFreeMemoryTokens);
  aWire.setCapacityTokens(aAnswer.mCapacity);
  aWire.setCachedTokens(aAnswer.mCachedTokens);
  aWire.setQueuedTokens(aAnswer.mQueuedTokens);
  aWire.setLongTokens(aAnswer.mLong);
  aWire.setRunning(aAnswer.mRunningSequences);
  aWire.setSlowdown(static_cast<float>(aAnswer.mStepSlowdown));
}

probe_answer
FromWire(wire::ProbeAnswer::Reader aWire)
{
  probe_answer answer;
  answer.mRefusal = FromWire(aWire.getRefusal());
  answer.mFirstTokenSeconds =
    static_cast<double>(aWire.getFirstTokenMs()) / kMillisecondsPerSecond;
  answer.mFreeMemoryTokens = aWire.getFreeTokens();
  answer.mCapacity = aWire.getCapacityTokens();
  answer.mCachedTokens = aWire.getCachedTokens();
  answer.mQueuedTokens = aWire.getQueuedTokens();
  answer.mLong = aWire.getLongTokens();
  answer.mRunningSequences = aWire.getRunning();
  answer.mStepSlowdown = static_cast<double>(aWire.getSlowdown());
  return answer;
}

wire::Refusal
ToWire(refusal aRefusal)
{
  return static_cast<wire::Refusal>(aRefusal);
}

refusal
FromWire(wire::Refusal aRefusal)
{
  // A newer peer may know reasons that we do not; for us it has no room.
  const unsigned value = static_cast<unsigned>(aRefusal);
  return value > static_cast<unsigned>(refusal::Duplicate)
           ? refusal::NoRoom
           : static_cast<refusal>(value);
}

wire::Ran
ToWire(ran_state aRan)
{
  return static_cast<wire::Ran>(aRan);
}

ran_state
FromWire(wire::Ran aRan)
{
  const unsigned value = static_cast<unsigned>(aRan);
  return value > static_cast<unsigned>(ran_state::Unknown)
           ? ran_state::Unknown
           : static_cast<ran_state>(value);
}

wire::HoldRole
ToWire(hold_role aRole)
{
  return static_cast<wire::HoldRole>(aRole);
}

hold_role
FromWire(wire::HoldRole aRole)
{
  const unsigned value = static_cast<unsigned>(aRole);
  return value > static_cast<unsigned>(hold_role::Member)
           ? hold_role::Whole
           : static_cast<hold_role>(value);
}

duration
RemainingFromWire(std::uint64_t aMilliseconds)
{
  return std::chrono::milliseconds(std::min(aMilliseconds, kDayInMilliseconds));
}

std::uint64_t
RemainingToWire(duration aRemaining)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, Milliseconds(aRemaining)));
}

std::string
TextFrom(capnp::Text::Reader aText)
{
  return std::string(aText.cStr(), aText.size());
}

std::string
BytesFrom(capnp::Data::Reader aData)
{
  return std::string(reinterpret_cast<const char*>(aData.begin()),
                     aData.size());
}

capnp::Data::Reader
DataOf(const std::string& aBytes)
{
  return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(aBytes.data()),
                             aBytes.size());
}

} // namespace primrose
