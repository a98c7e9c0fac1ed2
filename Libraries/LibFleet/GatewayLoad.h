#pragma once

/// How late a gateway is, and whether it is therefore out of rotation for a
/// while.
///
/// A gateway that is small, slowed or overloaded handles every event late: its
/// callers wait, and it places prompts by a view of the engines that is out of
/// date. Gateways tell each other how late they are. One that is late while
/// most others of its data centre are in time reports "not ready" to the
/// balancer until it has caught up. Callers notice nothing of that, while a
/// connection that is closed unread costs its caller a retry. It serves the
/// requests on open connections as before.
///
/// Where most others are late too, none rests. At most a third of a data
/// centre's gateways do, the first of those that are late in an order
/// by hash. Nothing is agreed: while reports are under way, the views of two
/// gateways may differ for some seconds.
///
/// No I/O, no clock.

#include "LibCore/LibCore.h"

#include <string>
#include <vector>

namespace primrose {

/// Larger values, also those of peers, count as this.
inline constexpr duration kMaxLateness = std::chrono::seconds(10);
/// Shorter ones are in time.
inline constexpr duration kNotableLateness = std::chrono::milliseconds(30);
/// Bound of what is reported: one byte on the wire.
inline constexpr duration kMaxReportedLateness = std::chrono::milliseconds(255);

/// The moving lateness of an event loop, after a timer that was due every
/// `aInterval` has fired `aLate` after its time.
duration
UpdatedLateness(duration aLateness, duration aLate, duration aInterval);

/// Names a data centre in reports; never 0.
std::uint32_t
DataCentreId(std::string_view aDataCentre);

/// What a gateway reports of itself.
struct lateness_report
{
  std::uint32_t mDataCentre = 0; ///< See `DataCentreId`; 0: not stated.
  duration mLateness{};

  bool operator==(const lateness_report&) const = default;
};

/// Another gateway of the same data centre.
struct peer_lateness
{
  std::string mHost;
  duration mLateness{}; ///< As reported.

  bool operator==(const peer_lateness&) const = default;
};

struct gateway_rotation
{
  bool mResting = false; ///< Out of rotation.
  time_point mSince{};   ///< Of the last change, or the start of the process.
  duration mRestedAt{};  ///< Lateness for which it was taken out.

  bool operator==(const gateway_rotation&) const = default;
};

/// Inputs of the decision on rotation.
struct rotation_inputs
{
  std::string mOwnHost;
  duration mLateness{}; ///< Of this gateway.
  std::vector<peer_lateness> mPeers;
  /// The balancer sends most callers here; see LibFleet/ConnectionAdmission. If
  /// this gateway rested, it would send them all to another one.
  bool mSurge = false;

  bool operator==(const rotation_inputs&) const = default;
};

/// The median of the reported values; zero without peers.
duration
MedianLateness(const std::vector<peer_lateness>& aPeers);

/// False if `NextRotation` changes nothing, whatever the peers report.
bool
MayChangeRotation(const gateway_rotation& aRotation, duration aLateness);

/// Decides whether the gateway is in rotation from now on.
gateway_rotation
NextRotation(const gateway_rotation& aRotation,
             const rotation_inputs& aInputs,
             time_point aNow);

/// The lateness to report. A gateway that rests recovers, and still reports the
/// lateness for which it rests, so that peers count it as resting.
duration
ReportedLateness(const gateway_rotation& aRotation, duration aLateness);

/// Time that a gateway's own work adds to its placements; zero unless it is
/// late.
struct gateway_delay
{
  duration mFirst{};   ///< To the first part.
  duration mPerPart{}; ///< To each further part.

  bool operator==(const gateway_delay&) const = default;
};

/// `aCoreShare` is the share of a core that the gateway has by its settings.
gateway_delay
OwnDelay(duration aLateness, double aCoreShare);

double
DelayMs(const gateway_delay& aDelay, std::size_t aParts);

} // namespace primrose
