#pragma once

/// Chooses the engines that prefill a prompt and decode its answer.
///
/// An engine works in passes. A pass prefills everything that is queued and
/// decodes one event for each stream, so the prefill in a pass is a pause in
/// all streams of that engine. The cost of a placement is the worth that
/// callers are expected to lose by it: that of this request if its first event
/// would be late, and that of the streams whose pauses the prefill would make
/// too long. As a result, streams with short allowed pauses are packed on few
/// engines, and long prompts, divided into equal parts, are prefilled on the
/// others. Where both have to share engines, few streams are delayed by much
/// rather than many by a little.

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/EngineTiming.h"
#include "LibFleet/GatewayLoad.h"
#include "LibFleet/SizeShares.h"

namespace primrose {

/// The requirements of a request that is to be placed.
struct placement_request
{
  endpoint_scope mScope;
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  duration mLongestPause{}; ///< Allowed between two events.
  duration mObjective{};    ///< Latency target of the first event.
  double mWorth = 0;        ///< See `WorthOfPrompt`.
  /// Breaks ties between engines of equal cost. It differs between gateways,
  /// so that they choose different engines while gossip about placements is
  /// late or lost.
  std::uint64_t mTieBreakSeed = 0;
  duration mElapsed{}; ///< Since the gateway received the request.
  request_class mClass;
  /// If its rank is below the floor, the most urgent rank. The harm that it
  /// does is weighed for admission, and it is protected later, as if it had
  /// that rank. Its engines are chosen by its own rank, so that it does as
  /// little harm to more urgent requests as possible, and so is its price:
  /// backlog of its own rank is engine time that the rank is given.
  std::optional<unsigned> mFloorRank;
  /// Slots that have to stay free when the request is admitted; no value: it is
  /// not refused for want of slots.
  std::optional<slot_reserve> mSlotReserve;
  /// Factor of the price of its prefill; see `PrefillPriceFactor`.
  double mPriceFactor = 1;
  /// Time that its caller had waited before the gateway received it, because
  /// gateways refused it or an attempt failed.
  duration mWaitedBefore{};
  /// Differs between requests, so that refused callers return at different
  /// times.
  std::uint64_t mRequestNumber = 0;
  /// Gateways that place requests on the same engines, this one included. With
  /// 1, no slots are left for the placements of others.
  std::size_t mGateways = 1;
  /// Callers that this gateway has refused and that have yet to return.
  std::size_t mAwaitedReturns = 0;
  /// An engine whose slots are all in use has rejected it. It is only placed
  /// on a slot that is free.
  bool mRejectedByFullEngine = false;
  size_preference mSize; ///< See `SizePreference`.
  /// It waits until an engine is known to have a free slot, whatever its
  /// reserve.
  bool mAwaitsRoom = false;
  /// Ids of the engines that may decode the answer; empty: all candidates.
  std::vector<std::string> mDecodeAmong;
  gateway_delay mOwnDelay; ///< Of the gateway that places it.

  bool operator==(const placement_request&) const = default;
};

/// The kind of a prompt for `SizePreference`.
size_kind
SizeKind(const placement_request& aRequest);

/// The admission decision for a request.
enum class placement_verdict : std::uint8_t
{
  Send,
  /// Serving it now would cost other callers much, though not so much that it
  /// is refused. It is re-evaluated after `kReevaluationInterval`, because the
  /// streams that it would interrupt end within a second or two.
  Wait,
  /// Serving it would cost other callers more than its own caller gains.
  TurnAway,
  /// The fleet does not have the memory for it.
  NoMemory,
  /// The free slots are too few, or reserved; see `slot_refusal`.
  NoSlot,
};

/// The refusal of a request for want of slots.
struct slot_refusal
{
  admission_reason mReason = admission_reason::None; ///< None: admitted.
  duration mRetryAfter{};     ///< Until a request like it would be admitted.
  std::size_t mFreeSlots = 0; ///< Of the candidates.
  std::size_t mSlots = 0;     ///< Of the candidates, in use or not.
  /// Slots that have to stay free: the larger of the request's reserve and the
  /// slots left for concurrent placements of other gateways.
  double mReservedSlots = 0;

  bool operator==(const slot_refusal&) const = default;
};

/// Worth that other requests are expected to lose by a placement, by cause.
struct placement_harm
{
  double mStreams = 0;        ///< Streams whose pauses become too long.
  double mPrefills = 0;       ///< Prefills whose first event is delayed.
  double mFutureRequests = 0; ///< Requests that arrive during its prefill.
  /// Requests of more urgent ranks that find too few engines without long
  /// prefills.
  double mUrgentRoom = 0;

  bool operator==(const placement_harm&) const = default;
};

struct engine_choice
{
  placement_verdict mVerdict = placement_verdict::Send;
  known_endpoint* mDecodeEngine = nullptr;
  /// Engines that prefill parts, in addition to the decode engine.
  std::vector<known_endpoint*> mPrefillHelpers;
  /// The first so many helpers also hold memory for the prompt.
  std::size_t mHolders = 0;
  double mHolderTokens = 0;  ///< Memory of each holder, in tokens.
  double mPartPrefillMs = 0; ///< Declared prefill time of each part.
  double mFirstEventMs = 0;  ///< Expected time to the first event.
  placement_harm mHarm;
  double mPrefillSecondPrice = 0; ///< Price of a second of one engine.
  double mPrice = 0;              ///< Price of the prefill; see `mGain`.
  double mGain = 0; ///< Worth to the caller of serving the prompt.
  slot_refusal mSlotRefusal;

  bool operator==(const engine_choice&) const = default;
};

double
TotalHarm(const placement_harm& aHarm);

/// Lower bound of the delay after which a refused caller is asked to return.
inline constexpr duration kMinRetryAfter = std::chrono::milliseconds(250);

/// Time between two evaluations of a waiting prompt: two passes of an engine.
inline constexpr duration kReevaluationInterval =
  std::chrono::milliseconds(100);

/// The worth of serving a prompt of this size, in units that are comparable
/// between requests. Operators of both deployments value their long documents
/// about in proportion to their size.
double
WorthOfPrompt(double aPromptTokens);

/// Chooses engines for a request. `aTried` are the endpoints that it was
/// already sent to. Returns nullopt if no engine is listed or all were tried.
std::optional<engine_choice>
PlaceOnEngines(endpoint_registry& aRegistry,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const placement_request& aRequest,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow);

/// The ledger entry for a choice that is carried out. The caller has to set
/// `mOwner`, `mBegan` and `mExpires`.
placement
MakePlacement(const engine_choice& aChoice,
              const placement_request& aRequest,
              placement_key aKey);

/// Estimates the time after which a prompt that is refused now would be
/// accepted if other prompts arrive as before for another `kInflowWindow` and
/// then no more; at most `aMaximum`, but not less than `kMinRetryAfter`.
duration
TimeUntilAccepted(endpoint_registry& aRegistry,
                  const engine_ledger& aLedger,
                  const engine_timing& aTiming,
                  const placement_request& aRequest,
                  std::string_view aDataCentre,
                  time_point aNow,
                  duration aMaximum);

/// The refusal of a request that an engine with all slots in use has rejected
/// and that is not sent to another one. Estimates when a request like it would
/// be admitted.
slot_refusal
RefusalByFullEngine(endpoint_registry& aRegistry,
                    const engine_ledger& aLedger,
                    const engine_timing& aTiming,
                    const placement_request& aRequest,
                    std::string_view aDataCentre,
                    time_point aNow);

} // namespace primrose
