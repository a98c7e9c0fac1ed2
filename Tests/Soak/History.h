#pragma once

/// Records of callers and endpoints in a soak run, and the check of the
/// guarantees against them.

#include "LibCore/LibCore.h"

#include <map>
#include <string>
#include <vector>

namespace primrose::soak {

enum class request_kind : std::uint8_t
{
  Safe,
  Unsafe,
  Stream,
};

/// One request, as seen by its caller.
struct request_record
{
  std::string mId;
  request_kind mKind = request_kind::Safe;
  std::size_t mGateway = 0;
  time_point mSentAt{};
  time_point mEndedAt{};
  unsigned mStatus = 0;     ///< 0: no answer.
  bool mIsComplete = false; ///< The answer is complete.
  bool mHasSeal = false;    ///< The answer has a Response-Seal field.
  std::string mAnswerId;
  std::string mBody;
  std::size_t mBytesReceived = 0;
  std::uint64_t mPromptTokens = 0;
  /// Endpoints that could have served it, from its arrival to its end.
  std::size_t mSoundEndpoints = 0;

  bool operator==(const request_record&) const = default;
};

/// A span in which a gateway was disturbed by a fault. Requests through it in
/// this span are exempt from some checks.
struct disturbance_span
{
  std::size_t mGateway = 0;
  time_point mFrom{};
  time_point mTo{};

  bool operator==(const disturbance_span&) const = default;
};

/// A gateway that got SIGTERM, to drain and exit.
struct planned_exit
{
  std::size_t mGateway = 0;
  time_point mAt{};

  bool operator==(const planned_exit&) const = default;
};

struct soak_history
{
  std::vector<request_record> mRequests;
  /// Number of executions begun, by request id.
  std::map<std::string, unsigned> mExecutions;
  std::vector<disturbance_span> mDisturbances;
  std::vector<planned_exit> mPlannedExits;
  std::vector<std::string> mOtherViolations; ///< Found during the run.
  /// Requests to endpoints that had announced to get none. Judged by the order
  /// of events, on busy machines too.
  std::vector<std::string> mIgnoredAnnouncements;
  /// How often gateways that were healthy sent a request that crashes engines
  /// well after it had crashed three, or one with a part that had crashed five;
  /// the larger of both.
  std::size_t mLateCrashingRequests = 0;
  duration mTimeLimit{};    ///< Of each request.
  int mEventsPerStream = 0; ///< Of each whole stream.
  /// Whether time bounds are checked, too. They are meaningless on a machine
  /// that is busy with other work.
  bool mCheckTimes = true;
};

struct guarantee_violation
{
  std::string mRequest;
  std::string mWhat;

  bool operator==(const guarantee_violation&) const = default;
};

/// Return the body of an endpoint's answer to a call, and one event of a
/// stream.
std::string
CallBody(const std::string& aId);
std::string
EventText(const std::string& aId, int aNumber);

/// How many requests were served, of those that could be.
struct served_share
{
  std::size_t mServed = 0;
  std::size_t mPossible = 0;

  bool operator==(const served_share&) const = default;
};

/// Counts the calls that had a sound endpoint.
served_share
CallsServed(const soak_history& aHistory);

/// Counts the streams that had a sound engine. Only as many of them are
/// possible as these engines have time for, by the declared prefill speed.
served_share
StreamsServed(const soak_history& aHistory);

std::vector<guarantee_violation>
CheckHistory(const soak_history& aHistory);

} // namespace primrose::soak
