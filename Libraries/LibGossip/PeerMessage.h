#pragma once

/// Encoding of the gossip datagrams between gateways: packed Cap'n Proto.

#include "LibFleet/LibFleet.h"

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// A request rate limit that an endpoint stated in an answer.
struct limit_report
{
  engine_key mEndpoint = 0;
  std::optional<double> mPerSecond; ///< Nullopt: no limit.
  time_point mObserved{};

  bool operator==(const limit_report&) const = default;
};

/// The pace of an engine as measured by the sender; see LibFleet/EngineSpeed.
struct speed_report
{
  engine_key mEngine = 0;
  double mPace = 1;
  time_point mObserved{};

  bool operator==(const speed_report&) const = default;
};

/// The updates in one datagram. A heartbeat has none.
struct peer_updates
{
  std::vector<placement> mNewPlacements; ///< All owned by the sender.
  std::vector<placement_key> mEndedPlacements;
  std::vector<placement_key>
    mEndedBeforePrefill;                ///< Ended before their prefill.
  std::vector<engine_key> mHelpRefused; ///< Engines that refuse prefill help.
  std::vector<engine_key> mFailedEndpoints; ///< Endpoints that failed.
  std::vector<limit_report> mLimits;
  std::vector<speed_report> mSpeeds;
  std::vector<size_report> mSizes; ///< All of the sender, in heartbeats.
  std::vector<crash_report> mCrashes;
  std::vector<quarantined_request> mQuarantined;
  std::vector<request_digest> mCleared; ///< Requests that were answered.

  bool operator==(const peer_updates&) const = default;
};

struct peer_message
{
  std::uint64_t mGatewayIncarnation = 0; ///< The sender's incarnation number.
  bool mLeaving = false;
  std::uint64_t mManifest = 0; ///< Version that the sender has applied.
  std::uint64_t mList = 0;     ///< Newest revision of its endpoint list.
  /// Newest revision of its rows of the operators' table; 0 if not stated.
  std::uint64_t mOperatorRevision = 0;
  /// Times as of which the sender's copies of the two tables were current.
  std::optional<store_time> mOperatorStoreTime;
  std::optional<store_time> mListStoreTime;
  std::uint64_t mQuarantineHash = 0;  ///< Of its quarantine; 0: not stated.
  unsigned mConnectionsPerSecond = 0; ///< New ones from callers.
  lateness_report mLateness;          ///< Stated in heartbeats.
  peer_updates mUpdates;
  std::vector<std::string> mHosts; ///< Of gateways known to the sender.

  bool operator==(const peer_message&) const = default;
};

/// Points in time are encoded as durations relative to `aNow`.
std::string
EncodePeerMessage(const peer_message& aMessage, time_point aNow);

/// Fails if the bytes are no such message.
result<peer_message>
DecodePeerMessage(std::string_view aBytes, time_point aNow);

} // namespace primrose
