#pragma once

/// Where a prompt is read and its answer written.
///
/// An engine works in passes: a pass writes one event for each writer and reads
/// everything that waits, so what is read in one pass is a pause in all streams
/// of that engine. A place is therefore priced by what it costs callers: the
/// worth of this request if its first event would be late, and the worth of
/// the streams whose pauses its reading would stretch over their limits. From
/// that follow the two habits of the fleet: streams with tight limits gather on
/// few engines, and long prompts, cut into equal parts, are read on the others;
/// where they must meet, few streams are harmed much rather than many a little.

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/EngineTiming.h"

namespace primrose {

/// What a request asks of an engine.
struct placement_request
{
  std::string mService;
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  duration mLongestPause{};
  duration mObjective{};
  double mWorth = 0; ///< Against other requests; see `WorthOfPrompt`.
  /// Order in which equal engines are taken, of each entry's own: where news of
  /// the others are late or lost, entries must not all take the same one.
  std::uint64_t mTieBreakSeed = 0;
  duration mElapsed{}; ///< Since its caller asked.

  bool operator==(const placement_request&) const = default;
};

/// What is to be done with a request.
enum class placement_verdict : std::uint8_t
{
  Send,
  /// It takes much from the callers of others, though not so much that it is
  /// turned away. To be weighed again after `kReevaluationInterval`: the
  /// streams that it would interrupt end within a second or two.
  Wait,
  /// It takes more from the callers of others than it gains its own.
  TurnAway,
  /// The fleet has no memory for it.
  NoMemory,
};

/// Worth that other requests are expected to lose by a placement, by cause.
struct placement_harm
{
  double mStreams = 0;  ///< Streams whose pauses become too long.
  double mPrefills = 0; ///< Prompts being read whose first event is delayed.
  double mFutureRequests =
    0; ///< Requests that arrive while its parts are read.

  bool operator==(const placement_harm&) const = default;
};

struct engine_choice
{
  placement_verdict mVerdict = placement_verdict::Send;
  known_endpoint* mDecodeEngine = nullptr;
  std::vector<known_endpoint*> mPrefillHelpers; ///< Besides the writer.
  /// Of the readers, the first so many are to hold memory for the prompt.
  std::size_t mHolders = 0;
  double mHolderTokens = 0;  ///< Memory of each holder, in tokens.
  double mPartPrefillMs = 0; ///< Reading time of each part.
  double mFirstEventMs = 0;  ///< Expected time to the first event.
  placement_harm mHarm;
  double mPrefillSecondPrice = 0; ///< What a second of one engine counted for.
  double mPrice = 0;              ///< Price of reading, compared with `mGain`.
  double mGain = 0; ///< Worth to the caller of serving the prompt.

  bool operator==(const engine_choice&) const = default;
};

double
TotalHarm(const placement_harm& aHarm);

/// Lower bound of the delay after which a rejected caller is asked to return.
inline constexpr duration kMinRetryAfter = std::chrono::milliseconds(250);

/// Between two decisions on a prompt that waits: two passes of an engine.
inline constexpr duration kReevaluationInterval =
  std::chrono::milliseconds(100);

/// What a prompt of this size is worth against others: operators of both
/// deployments value their long documents about in proportion to their size.
double
WorthOfPrompt(double aPromptTokens);

/// Chooses engines for a request; nothing if no engine is listed or all were
/// tried. `aTried` are endpoints that this request was sent to already.
std::optional<engine_choice>
PlaceOnEngines(endpoint_registry& aBoard,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const placement_request& aWork,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow);

/// What the ledger is to know of a choice that is carried out. Whose it is,
/// when its caller asked and when it expires is left to who carries it out.
placement
MakePlacement(const engine_choice& aChoice,
              const placement_request& aWork,
              placement_key aKey);

/// After which time a prompt that is turned away now would be taken, if nothing
/// else came; `aLongest` if not before.
duration
TimeUntilAccepted(endpoint_registry& aBoard,
                  const engine_ledger& aLedger,
                  const engine_timing& aTiming,
                  const placement_request& aWork,
                  std::string_view aDataCentre,
                  time_point aNow,
                  duration aLongest);

} // namespace primrose
