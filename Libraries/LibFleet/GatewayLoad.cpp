#include "LibFleet/GatewayLoad.h"

#include <algorithm>
#include <cmath>

namespace primrose {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kAveragingSeconds = 1;
/// The longest pause between events that callers of short prompts allow.
constexpr duration kLateFrom = milliseconds(60);
/// The balancer sends new connections for up to 2.6 s after the first "not
/// ready", and resumes within a second.
constexpr duration kMinRest = seconds(4);
constexpr duration kMaxRest = seconds(10);
constexpr duration kMinInRotation = seconds(3);
/// One in so many gateways of a data centre may rest, rounded to the nearest.
/// The balancer uses all if fewer than half are in rotation.
constexpr std::size_t kGatewaysPerResting = 3;
/// Time of a full core for handing out one part of a prompt.
constexpr duration kPartWork = std::chrono::microseconds(200);
constexpr double kMinCoreShare = 0.01;
constexpr double kMsPerSecond = 1e3;

duration
Bounded(duration aLateness)
{
  return std::clamp(aLateness, duration::zero(), kMaxLateness);
}

/// Late gateways that rest before this one does.
std::size_t
LatePeersBefore(const rotation_inputs& aInputs)
{
  constexpr std::string_view kOrder = "rotation";
  const std::uint64_t own = RendezvousWeight(kOrder, aInputs.mOwnHost);
  return static_cast<std::size_t>(
    std::count_if(aInputs.mPeers.begin(),
                  aInputs.mPeers.end(),
                  [own, kOrder](const peer_lateness& aPeer) {
                    return aPeer.mLateness >= kLateFrom &&
                           RendezvousWeight(kOrder, aPeer.mHost) > own;
                  }));
}

/// True if most others are in time, and few enough of them rest.
bool
MayRest(const rotation_inputs& aInputs)
{
  const std::size_t most = (aInputs.mPeers.size() + 2) / kGatewaysPerResting;
  return !aInputs.mSurge && !aInputs.mPeers.empty() &&
         MedianLateness(aInputs.mPeers) < kNotableLateness &&
         LatePeersBefore(aInputs) < most;
}

} // namespace

duration
UpdatedLateness(duration aLateness, duration aLate, duration aInterval)
{
  const duration late = Bounded(aLate);
  // A timer that fires late stands for all the time since the last one.
  const double elapsed = Seconds(std::max(aInterval, duration::zero()) + late);
  const double weight = 1 - std::exp(-elapsed / kAveragingSeconds);
  return Bounded(FromSeconds(Seconds(Bounded(aLateness)) * (1 - weight) +
                             Seconds(late) * weight));
}

std::uint32_t
DataCentreId(std::string_view aDataCentre)
{
  // Two bytes on the wire.
  const std::uint32_t id = static_cast<std::uint16_t>(Hash(aDataCentre));
  return id == 0 ? 1 : id;
}

duration
MedianLateness(const std::vector<peer_lateness>& aPeers)
{
  if (aPeers.empty()) {
    return duration::zero();
  }
  std::vector<duration> values;
  values.reserve(aPeers.size());
  for (const peer_lateness& one : aPeers) {
    values.push_back(Bounded(one.mLateness));
  }
  const auto middle =
    values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool
MayChangeRotation(const gateway_rotation& aRotation, duration aLateness)
{
  return aRotation.mResting || aLateness >= kLateFrom;
}

gateway_rotation
NextRotation(const gateway_rotation& aRotation,
             const rotation_inputs& aInputs,
             time_point aNow)
{
  const duration lateness = Bounded(aInputs.mLateness);
  const duration since = aNow - aRotation.mSince;
  if (!aRotation.mResting) {
    const bool begins =
      since >= kMinInRotation && lateness >= kLateFrom && MayRest(aInputs);
    return begins ? gateway_rotation{ true, aNow, lateness } : aRotation;
  }
  const bool ends = since >= kMaxRest || !MayRest(aInputs) ||
                    (since >= kMinRest && lateness < kNotableLateness);
  return ends ? gateway_rotation{ false, aNow, {} } : aRotation;
}

duration
ReportedLateness(const gateway_rotation& aRotation, duration aLateness)
{
  return std::clamp(
    aRotation.mResting ? std::max(aLateness, aRotation.mRestedAt) : aLateness,
    duration::zero(),
    kMaxReportedLateness);
}

gateway_delay
OwnDelay(duration aLateness, double aCoreShare)
{
  const duration lateness = Bounded(aLateness);
  if (lateness < kLateFrom) {
    return {};
  }
  const double share =
    std::isfinite(aCoreShare) ? std::clamp(aCoreShare, kMinCoreShare, 1.0) : 1;
  return { lateness, FromSeconds(Seconds(kPartWork) / share) };
}

double
DelayMs(const gateway_delay& aDelay, std::size_t aParts)
{
  const std::size_t further = aParts > 0 ? aParts - 1 : 0;
  return kMsPerSecond * (Seconds(aDelay.mFirst) + static_cast<double>(further) *
                                                    Seconds(aDelay.mPerPart));
}

} // namespace primrose
