#pragma once

/// Requests that end the endpoints which run them, kept away from the rest.
///
/// Such a request comes again, at any entry, and each time takes an endpoint
/// and all that works there with it. No entry sees enough of that by itself, so
/// all count together: an end of an endpoint under a request is told to every
/// entry, and what has ended three is not sent any more. An endpoint that ends
/// takes sound requests with it, which look the same for a moment. So what has
/// been answered lately is not suspected; what had begun to be answered where
/// it ended counts less; and what is held is tried again, seldom, and by one
/// entry of the whole fleet.
///
/// No I/O, no clock.

#include "LibFleet/EngineLedger.h"
#include "LibFleet/RequestDigest.h"

#include <deque>
#include <unordered_map>

namespace primrose {

/// An endpoint ended, in no planned way, with a request in flight there.
struct crash_report
{
  request_digest mRequest = 0;
  engine_key mEndpoint = 0;
  /// A part of the answer had come from there. What ends an endpoint does so
  /// when it begins to run; what gets further is more likely a bystander.
  bool mAnswering = false;

  bool operator==(const crash_report&) const = default;
};

/// A request that is held, as entries tell each other of it.
struct quarantined_request
{
  request_digest mRequest = 0;
  unsigned mTrials = 0; ///< That have been made since it was held.
  duration mAge{};      ///< Since an endpoint ended under it, or it was held.

  bool operator==(const quarantined_request&) const = default;
};

/// What points to a request; it is held from `kQuarantineThreshold` on. Three
/// ends tell, or four where some had begun to answer.
using crash_score = unsigned;
inline constexpr crash_score kQuarantineThreshold = 12;
inline constexpr crash_score kCrashScore = 4;
inline constexpr crash_score kCrashScoreWhileAnswering = 3;

/// What one end adds.
constexpr crash_score
ScoreOfCrash(bool aAnswering)
{
  return aAnswering ? kCrashScoreWhileAnswering : kCrashScore;
}

/// Trials of a held request by the whole fleet. Operators allow three more
/// sends of a request that has ended three endpoints; one may have been on its
/// way.
inline constexpr unsigned kMaxTrials = 2;

/// One request that endpoints have ended under.
struct suspected_request
{
  std::vector<crash_report> mReports; ///< One for each endpoint.
  time_point mLast{};

  bool operator==(const suspected_request&) const = default;
};

/// One request that is not sent any more.
struct quarantine_record
{
  unsigned mTrials = 0;
  time_point mNextTrial{};
  time_point mLast{};

  bool operator==(const quarantine_record&) const = default;
};

struct quarantine
{
  std::unordered_map<request_digest, suspected_request> mSuspects;
  std::unordered_map<request_digest, quarantine_record> mHeld;
  /// Answered lately, and when last; `mAnsweredOrder` has the oldest first.
  std::unordered_map<request_digest, time_point> mServed;
  std::deque<std::pair<time_point, request_digest>> mAnsweredOrder;
  /// Said to be sound by another entry, and when: what is still on its way does
  /// not count against them.
  std::unordered_map<request_digest, time_point> mCleared;
};

/// What a report changed.
enum class crash_effect : std::uint8_t
{
  Nothing, ///< It was known.
  Recorded,
  Held,    ///< It was the one that told.
  Refuted, ///< The request was answered lately: it ends nobody.
};

crash_effect
RecordCrash(quarantine& aBoard, const crash_report& aReport, time_point aNow);

/// The request was answered whole, here. True if it was held, or suspected of
/// more than one end, so that others have to hear of it.
bool
RecordAnswered(quarantine& aBoard, request_digest aRequest, time_point aNow);

/// Another entry says that it answered the request. True if it was held.
bool
RecordCleared(quarantine& aBoard, request_digest aRequest, time_point aNow);

/// True if it was answered here so lately that no report of it is believed.
bool
AnsweredRecently(const quarantine& aBoard,
                 request_digest aRequest,
                 time_point aNow);

/// Another entry, or the platform's table, has it held. True if that is new.
bool
RecordQuarantined(quarantine& aBoard,
                  const quarantined_request& aHeld,
                  time_point aNow);

/// This trial of a held request has been made, by whichever entry.
void
RecordTrial(quarantine& aBoard,
            request_digest aRequest,
            unsigned aTrial,
            time_point aNow);

/// What to do with a request.
enum class quarantine_verdict : std::uint8_t
{
  Send,
  Refuse,
  Try, ///< It may be sent if no other entry has taken this trial.
};

/// `aPending` is what ends that are not certain yet would add.
quarantine_verdict
QuarantineVerdictFor(const quarantine& aBoard,
                     request_digest aRequest,
                     crash_score aPending,
                     time_point aNow);

/// Until a refused request may be tried again; a day if it is not at all.
duration
TimeUntilTrial(const quarantine& aBoard,
               request_digest aRequest,
               time_point aNow);

/// All that is held, to be told.
std::vector<quarantined_request>
QuarantinedRequests(const quarantine& aBoard, time_point aNow);

/// The same at two entries that hold the same with the same trials; never 0.
std::uint64_t
QuarantineChecksum(const quarantine& aBoard);

/// Forgets what is old. Gives the requests that are not held any more.
std::vector<request_digest>
ExpireCrashRecords(quarantine& aBoard, time_point aNow);

} // namespace primrose
