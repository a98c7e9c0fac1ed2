#pragma once

/// Quarantine of requests, and of parts of prompts, that crash the endpoints
/// which run them.
///
/// Callers send such a request again, to any gateway, and each time it takes
/// down one endpoint with everything in flight there. No gateway alone sees
/// enough of these crashes, so each crash report is broadcast to all gateways,
/// and a request with three crashes is no longer sent.
///
/// A crash also hits innocent requests in flight at the same endpoint, which
/// look the same as the cause at first. Therefore:
/// - a request that was answered recently is not suspected;
/// - a crash counts less if a part of the answer had arrived from there;
/// - a quarantined request gets a few trial sends, far apart, each made by only
///   one gateway of the fleet.
///
/// If the cause is a part of a prompt, no two requests with it need to be
/// alike. Each part that other requests may share is a suspect of its own. All
/// parts of a crashed request look the same at first, but a part that crashes
/// endpoints is never answered, and the others are. Therefore:
/// - any complete answer clears the parts of its prompt;
/// - crashes at the same moment count once, since one failure of another kind
///   may hit requests with a common part at many endpoints;
/// - the first trial is due at once, and is made with a request that lacks one
///   of the parts quarantined for the same crashes.
///
/// No I/O, no clock.

#include "LibFleet/EngineLedger.h"
#include "LibFleet/RequestDigest.h"

#include <deque>
#include <unordered_map>

namespace primrose {

/// An endpoint ended, unplanned, with this request, or a request with this part
/// in its prompt, in flight there.
struct crash_report
{
  request_digest mRequest = 0;
  engine_key mEndpoint = 0;
  /// A part of the answer had arrived from there. A request that crashes an
  /// endpoint does so when it begins to run; one that gets further was more
  /// likely only in flight beside the cause.
  bool mAnswering = false;

  bool operator==(const crash_report&) const = default;
};

/// A quarantined request or part, as gateways send it to each other.
struct quarantined_request
{
  request_digest mRequest = 0;
  unsigned mTrials = 0; ///< Trials made since it was quarantined.
  duration mAge{};      ///< Time since its last crash or its quarantine.

  bool operator==(const quarantined_request&) const = default;
};

/// Sum over the crashes of a request. At `kQuarantineThreshold` the request is
/// quarantined: after three crashes, or four if some came while answering.
using crash_score = unsigned;
inline constexpr crash_score kQuarantineThreshold = 12;
inline constexpr crash_score kCrashScore = 4;
inline constexpr crash_score kCrashScoreWhileAnswering = 3;

/// Score of one crash.
constexpr crash_score
ScoreOfCrash(bool aAnswering)
{
  return aAnswering ? kCrashScoreWhileAnswering : kCrashScore;
}

/// Trials of a quarantined request by the whole fleet. Operators allow three
/// more sends of a request that has crashed three endpoints; one of them may
/// already be in flight. They allow as many of requests with a part that has
/// crashed five, some seconds later.
inline constexpr unsigned kMaxTrials = 2;

/// A request with crashes, below the threshold.
struct suspected_request
{
  std::vector<crash_report> mReports; ///< One for each endpoint.
  crash_score mScore = 0;
  time_point mLastCrash{};
  time_point mLastCounted{}; ///< The last crash that added to the score.

  bool operator==(const suspected_request&) const = default;
};

/// State of one quarantined request.
struct quarantine_record
{
  unsigned mTrials = 0;
  time_point mNextTrial{};
  time_point mLastCrash{}; ///< Last crash, or when it was quarantined.
  /// This gateway was granted a trial that reached no endpoint. Its next
  /// request may use it.
  bool mHasUnusedTrial = false;

  bool operator==(const quarantine_record&) const = default;
};

struct quarantine
{
  std::unordered_map<request_digest, suspected_request> mSuspects;
  /// The quarantined requests.
  std::unordered_map<request_digest, quarantine_record> mHeld;
  /// Requests answered recently, with the time of the last answer;
  /// `mAnsweredOrder` has the oldest answer first.
  std::unordered_map<request_digest, time_point> mAnswered;
  std::deque<std::pair<time_point, request_digest>> mAnsweredOrder;
  /// Requests that a peer has cleared, and when. Reports that were still in
  /// flight then are ignored.
  std::unordered_map<request_digest, time_point> mCleared;
};

/// What a crash report changed.
enum class crash_effect : std::uint8_t
{
  Nothing,  ///< The report was known, or a peer has cleared the request.
  Recorded, ///< The report was added; nothing newly quarantined.
  Held,     ///< The report reached the threshold: newly quarantined.
  Refuted,  ///< Ignored: the request was answered here recently.
};

crash_effect
RecordCrash(quarantine& aQuarantine,
            const crash_report& aReport,
            time_point aNow);

/// Records that the request, or one with this part, was answered completely,
/// here. True if the peers must be notified: it was quarantined, or had crashes
/// at more than one endpoint, or is a part that had any crash.
bool
RecordAnswered(quarantine& aQuarantine,
               request_digest aRequest,
               time_point aNow);

/// Records that a peer cleared the request because it answered it. True if the
/// request was quarantined.
bool
RecordCleared(quarantine& aQuarantine,
              request_digest aRequest,
              time_point aNow);

/// True if the request was answered here so recently that crash reports about
/// it are ignored.
bool
AnsweredRecently(const quarantine& aQuarantine,
                 request_digest aRequest,
                 time_point aNow);

/// Records that a peer, or the platform's table, has the request quarantined.
/// True if it was not quarantined here before.
bool
RecordQuarantined(quarantine& aQuarantine,
                  const quarantined_request& aReceived,
                  time_point aNow);

/// Records that some gateway has made the trial with this number.
void
RecordTrial(quarantine& aQuarantine,
            request_digest aRequest,
            unsigned aTrial,
            time_point aNow);

/// Records that a trial which this gateway was granted reached no endpoint.
void
RecordUnusedTrial(quarantine& aQuarantine, request_digest aRequest);

/// Takes such a trial; false if there is none.
bool
TakeUnusedTrial(quarantine& aQuarantine, request_digest aRequest);

/// What to do with a request.
enum class quarantine_verdict : std::uint8_t
{
  Send,
  Refuse,
  Try, ///< Send as a trial, if no other gateway has claimed this trial.
};

/// `aPending` is the score of crashes that are not confirmed yet.
quarantine_verdict
QuarantineVerdictFor(const quarantine& aQuarantine,
                     request_digest aRequest,
                     crash_score aPending,
                     time_point aNow);

/// A verdict on a request together with the parts of its prompt.
struct suspects_verdict
{
  quarantine_verdict mVerdict = quarantine_verdict::Send;
  /// The quarantined ones among its suspects. A trial of the request is a trial
  /// of each of them.
  std::vector<request_digest> mQuarantined;

  bool operator==(const suspects_verdict&) const = default;
};

/// `aSuspects` are the digest of the request, then those of the parts.
suspects_verdict
SuspectsVerdictFor(const quarantine& aQuarantine,
                   const std::vector<request_digest>& aSuspects,
                   crash_score aPending,
                   time_point aNow);

/// Time until a refused request may be sent as a trial; up to a day if no trial
/// is left. If only unconfirmed crashes made it refused, the delay of a first
/// trial.
duration
TimeUntilTrial(const quarantine& aQuarantine,
               request_digest aRequest,
               time_point aNow);

/// All quarantined requests, to be sent to a peer.
std::vector<quarantined_request>
QuarantinedRequests(const quarantine& aQuarantine, time_point aNow);

/// Equal at two gateways that have the same requests quarantined with the same
/// numbers of trials; never 0.
std::uint64_t
QuarantineChecksum(const quarantine& aQuarantine);

/// Removes expired state. Returns the requests whose quarantine expired.
std::vector<request_digest>
ExpireCrashRecords(quarantine& aQuarantine, time_point aNow);

} // namespace primrose
