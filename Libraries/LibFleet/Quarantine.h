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
struct held_request
{
  request_digest mRequest = 0;
  unsigned mTrials = 0; ///< That have been made since it was held.
  duration mAge{};      ///< Since an endpoint ended under it, or it was held.

  bool operator==(const held_request&) const = default;
};

/// What points to a request; it is held from `kHeldFrom` on. Three ends tell,
/// or four where some had begun to answer.
using suspicion = unsigned;
inline constexpr suspicion kHeldFrom = 12;
inline constexpr suspicion kOfAnEnd = 4;
inline constexpr suspicion kOfAnEndWhileAnswering = 3;

/// What one end adds.
constexpr suspicion
SuspicionOfEnd(bool aAnswering)
{
  return aAnswering ? kOfAnEndWhileAnswering : kOfAnEnd;
}

/// Trials of a held request by the whole fleet. Operators allow three more
/// sends of a request that has ended three endpoints; one may have been on its
/// way.
inline constexpr unsigned kMostTrials = 2;

/// One request that endpoints have ended under.
struct crash_suspect
{
  std::vector<crash_report> mReports; ///< One for each endpoint.
  time_point mLast{};

  bool operator==(const crash_suspect&) const = default;
};

/// One request that is not sent any more.
struct crash_hold
{
  unsigned mTrials = 0;
  time_point mNextTrial{};
  time_point mLast{};

  bool operator==(const crash_hold&) const = default;
};

struct quarantine
{
  std::unordered_map<request_digest, crash_suspect> mSuspects;
  std::unordered_map<request_digest, crash_hold> mHeld;
  /// Answered lately, and when last; `mServedOrder` has the oldest first.
  std::unordered_map<request_digest, time_point> mServed;
  std::deque<std::pair<time_point, request_digest>> mServedOrder;
  /// Said to be sound by another entry, and when: what is still on its way does
  /// not count against them.
  std::unordered_map<request_digest, time_point> mCleared;
};

/// What a report changed.
enum class crash_effect : std::uint8_t
{
  Nothing, ///< It was known.
  Noted,
  Held,    ///< It was the one that told.
  Refuted, ///< The request was answered lately: it ends nobody.
};

crash_effect
NoteCrash(quarantine& aBoard, const crash_report& aReport, time_point aNow);

/// The request was answered whole, here. True if it was held, or suspected of
/// more than one end, so that others have to hear of it.
bool
NoteServed(quarantine& aBoard, request_digest aRequest, time_point aNow);

/// Another entry says that it answered the request. True if it was held.
bool
NoteCleared(quarantine& aBoard, request_digest aRequest, time_point aNow);

/// True if it was answered here so lately that no report of it is believed.
bool
ServedLately(const quarantine& aBoard,
             request_digest aRequest,
             time_point aNow);

/// Another entry, or the platform's table, has it held. True if that is new.
bool
NoteHeld(quarantine& aBoard, const held_request& aHeld, time_point aNow);

/// This trial of a held request has been made, by whichever entry.
void
NoteTrial(quarantine& aBoard,
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
VerdictOn(const quarantine& aBoard,
          request_digest aRequest,
          suspicion aPending,
          time_point aNow);

/// Until a refused request may be tried again; a day if it is not at all.
duration
UntilTrial(const quarantine& aBoard, request_digest aRequest, time_point aNow);

/// All that is held, to be told.
std::vector<held_request>
AllHeld(const quarantine& aBoard, time_point aNow);

/// The same at two entries that hold the same with the same trials; never 0.
std::uint64_t
HeldState(const quarantine& aBoard);

/// Forgets what is old. Gives the requests that are not held any more.
std::vector<request_digest>
ForgetOldCrashes(quarantine& aBoard, time_point aNow);

} // namespace primrose
