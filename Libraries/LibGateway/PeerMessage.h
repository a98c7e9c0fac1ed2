#pragma once

/// The datagrams of entries as bytes: Cap'n Proto, packed.

#include "LibFleet/LibFleet.h"

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// The limit in an endpoint's answer.
struct limit_report
{
  engine_key mEndpoint = 0;
  std::optional<double> mPerSecond; ///< Nullopt: unlimited.
  time_point mObserved{};

  bool operator==(const limit_report&) const = default;
};

/// What is told at once. A beat is one with nothing in it.
struct peer_updates
{
  std::vector<placement> mPlaced; ///< All of the entry that tells.
  std::vector<placement_key> mEnded;
  std::vector<placement_key> mUnread;   ///< Ended before they were read.
  std::vector<engine_key> mHelpRefused; ///< Engines that refuse to help.
  std::vector<engine_key> mTroubled;    ///< Endpoints that gave a bad sign.
  std::vector<limit_report> mLimits;
  std::vector<crash_report> mCrashes;
  std::vector<quarantined_request> mHeld;
  std::vector<request_digest> mCleared; ///< Requests that were answered.

  bool operator==(const peer_updates&) const = default;
};

struct peer_message
{
  std::uint64_t mGatewayIncarnation = 0; ///< The start of the entry that tells.
  bool mLeaving = false;
  std::uint64_t mManifest = 0; ///< The version in force there.
  std::uint64_t mList = 0;     ///< Newest revision of its list of endpoints.
  std::uint64_t mQuarantineHash = 0; ///< Of what it holds; 0: it does not say.
  peer_updates mUpdates;
  std::vector<std::string> mHosts; ///< Of entries that it knows.

  bool operator==(const peer_message&) const = default;
};

/// Times are told as what is left at `aNow`.
std::string
EncodePeerMessage(const peer_message& aMessage, time_point aNow);

/// Fails on bytes that are no such message.
result<peer_message>
DecodePeerMessage(std::string_view aBytes, time_point aNow);

} // namespace primrose
