#pragma once

/// What each engine has been given, by this entry and by the others: reading
/// that it still has to do, and the requests that write there.

#include "LibCore/LibCore.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Names an engine in messages between entries: a hash of the endpoint's id,
/// which is new at each of its starts. Short, since each placement is told to
/// every peer; among 1,200 engines two share one in a day of 6,000.
using engine_key = std::uint32_t;
/// The start of the entry that placed it, and a number of its own.
using placement_key = std::uint64_t;

engine_key
EngineKey(std::string_view aEndpointId);

placement_key
PlacementKey(std::uint64_t aOwner, std::uint32_t aSequence);

/// The number that the entry gave it.
std::uint32_t
SequenceOf(placement_key aKey);

/// One request's place: the engine that writes its answer, and those that read
/// an equal part of its prompt.
struct placement
{
  placement_key mKey = 0;
  std::uint64_t mOwner = 0;         ///< The start of the entry that placed it.
  std::vector<engine_key> mEngines; ///< The first one writes; all read.
  double mPartPrefillMs = 0;        ///< Reading that each of them does.
  duration mLongestPause{};         ///< That its events may have.
  double mWorth = 0;                ///< Against other requests.
  time_point mBegan{};              ///< When its caller asked.
  duration mObjective{};            ///< Its first event is late after this.
  double mTokens = 0;               ///< Memory that it takes where it writes.
  std::vector<engine_key> mHolders; ///< Engines that hold memory for it.
  double mHolderTokens = 0;         ///< Memory that each of those holds.
  time_point mExpires{};            ///< Forgotten then, whatever was heard.
  /// A pause of its stream is known to be over its limit, so that further
  /// reading beside it costs its caller nothing more.
  bool mPauseExceeded = false;
  /// When the last of its engines has read its part, as far as is known.
  time_point mPrefillEndsAt{};

  bool operator==(const placement&) const = default;
};

struct engine_load
{
  double mBacklogMs = 0; ///< Reading not yet done, as of `mBacklogAt`.
  time_point mBacklogAt{};
  double mTokens = 0; ///< Memory taken by those that write here.
  std::vector<placement_key> mDecoding;
  std::vector<placement_key>
    mPrefilling; ///< That it reads, or has read lately.
  std::size_t mReportedRequestCount =
    0; ///< Requests there, as the engine said at `mReportedAt`.
  time_point mReportedAt{};

  bool operator==(const engine_load&) const = default;
};

struct engine_ledger
{
  std::unordered_map<engine_key, engine_load> mEngines;
  std::unordered_map<placement_key, placement> mPlacements;
};

/// How a placement ended, for what its engines still have to read.
enum class placement_end : std::uint8_t
{
  Read,   ///< Its prompt was read.
  Unread, ///< It was refused or given up before its first event.
};

/// Takes a placement in; one that is known already changes nothing.
void
AddPlacement(engine_ledger& aLedger, const placement& aPlaced, time_point aNow);

/// Takes a placement out: its answer has ended, or it never began.
void
RemovePlacement(engine_ledger& aLedger,
                placement_key aKey,
                placement_end aEnd,
                time_point aNow);

/// Takes out what has expired: entries that were killed never tell the end.
void
RemoveExpiredPlacements(engine_ledger& aLedger, time_point aNow);

/// Takes out what one entry had placed: it is gone, and what it sent on ended
/// with it.
void
RemovePlacementsOfOwner(engine_ledger& aLedger,
                        std::uint64_t aOwner,
                        time_point aNow);

/// Takes note of how many requests an engine itself said that it has.
void
SetReportedRequests(engine_ledger& aLedger,
                    engine_key aEngine,
                    std::size_t aRequests,
                    time_point aNow);

/// Requests on an engine: those known to be placed there, or what it said a
/// moment ago where that is more, since other entries' news may be missing.
std::size_t
RequestsOn(const engine_load& aLoad, time_point aNow);

/// Reading that is left at a time, in milliseconds.
double
BacklogMs(const engine_load& aLoad, time_point aNow);

} // namespace primrose
