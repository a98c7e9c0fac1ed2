#pragma once

/// The work assigned to each engine by all gateways: the prefill that is not
/// yet done, and the requests that decode there.

#include "LibFleet/EngineSpeed.h"
#include "LibFleet/RequestClass.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrose {

/// Identifies an engine in messages between gateways: a hash of the endpoint's
/// id, which changes at each of its starts. It is short because each placement
/// is sent to peers. Among 1,200 engines, two share a key on one day in
/// 6,000.
using engine_key = std::uint32_t;
/// The incarnation number of the gateway that placed a request and a sequence
/// number.
using placement_key = std::uint64_t;

engine_key
EngineKey(std::string_view aEndpointId);

placement_key
PlacementKey(std::uint64_t aOwner, std::uint32_t aSequence);

/// The sequence number in the key.
std::uint32_t
SequenceOf(placement_key aKey);

/// The engines that are assigned to one request: one decodes its answer, and
/// each of them prefills an equal part of its prompt.
struct placement
{
  placement_key mKey = 0;
  std::uint64_t mOwner = 0; ///< Incarnation of the gateway that placed it.
  std::vector<engine_key> mEngines; ///< The first one decodes; all prefill.
  double mPartPrefillMs = 0;        ///< Prefill time of the part on each.
  duration mLongestPause{};         ///< Allowed between two of its events.
  double mWorth = 0;                ///< See `WorthOfPrompt`.
  time_point mBegan{};              ///< When the gateway received the request.
  duration mObjective{};            ///< Latency target of the first event.
  double mTokens = 0;               ///< Memory used on the decode engine.
  std::vector<engine_key> mHolders; ///< Other engines that hold memory for it.
  double mHolderTokens = 0;         ///< Memory used on each of those.
  time_point mExpires{};            ///< Removed then, even if its end is lost.
  /// A pause of its stream is known to exceed `mLongestPause`, so more prefill
  /// on its engine costs its caller nothing more.
  bool mPauseExceeded = false;
  /// Estimated time when the last of its engines has prefilled its part.
  time_point mPrefillEndsAt{};
  request_class mClass;

  bool operator==(const placement&) const = default;
};

/// How a placement ended; determines whether its prefill is still counted.
enum class placement_end : std::uint8_t
{
  Read,   ///< Its prompt was prefilled.
  Unread, ///< It was refused or cancelled before its first event.
};

/// Why a placement was removed from the ledger.
enum class placement_removal : std::uint8_t
{
  Read,      ///< See `placement_end`.
  Unread,    ///< See `placement_end`.
  Expired,   ///< Its deadline passed without an announced end.
  OwnerGone, ///< The gateway that placed it is gone.
};

std::string_view
RemovalText(placement_removal aWhy);

/// A part that an engine was given, for logs.
struct placed_part
{
  double mPrefillMs = 0; ///< When it was placed.
  time_point mPlacedAt{};

  bool operator==(const placed_part&) const = default;
};

/// The removal of a placement from an engine, for logs.
struct removed_placement
{
  placement_removal mWhy = placement_removal::Read;
  time_point mAt{};

  bool operator==(const removed_placement&) const = default;
};

struct engine_load
{
  /// Remaining prefill as of `mBacklogAt`, in declared time.
  double mBacklogMs = 0;
  time_point mBacklogAt{};
  /// Prefill time of recent placements, which decays exponentially; see
  /// `PrefillInflow`.
  double mRecentPrefillMs = 0;
  time_point mRecentPrefillAt{};
  double mTokens = 0; ///< Memory used by the placements on this engine.
  std::vector<placement_key> mDecoding; ///< Placements that decode here.
  /// Placements that prefill here or have done so recently.
  std::vector<placement_key> mPrefilling;
  /// Number of requests that the engine reported at `mReportedAt`, adjusted by
  /// the placements that began or ended since.
  std::size_t mReportedRequestCount = 0;
  time_point mReportedAt{};
  engine_speed mSpeed;
  double mPace =
    1; ///< In force since `mBacklogAt` or longer; see `UpdatePace`.
  std::optional<placed_part> mLastPart;
  /// The longest of the last seconds.
  std::optional<placed_part> mLongestPart;
  std::optional<removed_placement> mLastRemoved;

  bool operator==(const engine_load&) const = default;
};

struct engine_ledger
{
  std::unordered_map<engine_key, engine_load> mEngines;
  std::unordered_map<placement_key, placement> mPlacements;
};

/// The load of an engine; that of an idle one if it is not in the ledger.
const engine_load&
LoadOf(const engine_ledger& aLedger, engine_key aEngine);

/// Adds a placement. Does nothing if its key is present already.
void
AddPlacement(engine_ledger& aLedger, const placement& aPlaced, time_point aNow);

/// Removes a placement whose answer has ended or never began.
void
RemovePlacement(engine_ledger& aLedger,
                placement_key aKey,
                placement_end aEnd,
                time_point aNow);

/// Removes placements that have expired. A gateway that was killed does not
/// announce the end of its placements.
void
RemoveExpiredPlacements(engine_ledger& aLedger, time_point aNow);

/// Removes all placements of a gateway that has terminated, since the requests
/// that it forwarded ended with it.
void
RemovePlacementsOfOwner(engine_ledger& aLedger,
                        std::uint64_t aOwner,
                        time_point aNow);

/// Records the number of requests that an engine reported.
void
SetReportedRequests(engine_ledger& aLedger,
                    engine_key aEngine,
                    std::size_t aRequests,
                    time_point aNow);

/// Number of requests on an engine: the larger of the number of known
/// placements that decode there and a recently reported number. The report also
/// covers placements of other gateways whose gossip messages were lost.
std::size_t
RequestsOn(const engine_load& aLoad, time_point aNow);

/// Share of an engine's time that is spent on prefill while requests decode
/// there: a pass prefills all queued prompts and then decodes for about 50 ms.
inline constexpr double kPrefillShareWhileDecoding = 0.75;

/// Declared prefill time that the engine works off per unit of time.
double
PrefillRate(const engine_load& aLoad);

/// Time constant of the average of `PrefillInflow`: a few long prompts.
inline constexpr duration kInflowWindow = std::chrono::seconds(2);

/// Prefill time that was placed on the engine per unit of time, as an
/// exponential moving average.
double
PrefillInflow(const engine_load& aLoad, time_point aNow);

/// Declared prefill time that remains at `aNow`, in milliseconds. The engine
/// needs `mPace` times as long for it.
double
BacklogMs(const engine_load& aLoad, time_point aNow);

/// Puts the current pace of the engine in force. The backlog has decayed at the
/// previous pace until now. True if the pace changed.
bool
UpdatePace(engine_load& aLoad, time_point aNow);

} // namespace primrose
