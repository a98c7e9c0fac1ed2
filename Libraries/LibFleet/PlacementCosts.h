#pragma once

/// The worth that callers are expected to lose by a placement: that of the
/// request itself if it is late, and that of other requests which it delays.
/// Internal to LibFleet.

#include "LibFleet/PlacementCandidates.h"

namespace primrose {

/// Passes that add to the time between a prompt's arrival and its first event,
/// besides its prefill: the pass in progress at its arrival, and the pass that
/// decodes the event.
inline constexpr double kPassesToFirstEvent = 2;

/// Worth of a second of one engine when all engines have a long backlog: about
/// what short prompts earn in it.
inline constexpr double kWorthOfBusyEngineSecond = 8;

/// Share of a request's worth that is lost when it is late.
inline constexpr double kLostWhenLate = 0.75;
/// Requests that are packed on one engine, as a share of its slots. The rest is
/// left for requests that other gateways place at the same moment.
inline constexpr double kPackedShare = 0.75;

/// Worth that is likely lost if the first event takes this long.
double
LatenessCost(double aFirstMs, double aObjectiveMs, double aWorth);

double
LatenessCost(double aFirstMs, const placement_request& aRequest);

/// Worth of the engine's streams whose pauses the request's prefill would
/// make too long, weighted by `RankWeight`.
double
PauseHarm(const engine_candidate& aCandidate,
          double aPrefillMs,
          const placement_request& aRequest);

/// Additional worth that a prompt is likely to lose if its remaining prefill
/// ends after `aEndsMs` instead of `mPrefillLeftMs`.
double
PrefillDelayHarm(const prefilling_prompt& aPrompt, double aEndsMs);

/// The sum of `PrefillDelayHarm` over all prompts that the engine prefills, if
/// it is given this prefill as well, weighted by `RankWeight`. A
/// prompt that is divided over several engines counts by this engine's share.
double
EnginePrefillDelayHarm(const engine_candidate& aCandidate,
                       double aPrefillMs,
                       const placement_request& aRequest);

/// Lasting cost of decoding a stream with a short allowed pause on this engine.
/// It makes such streams gather on engines that do not prefill long prompts.
double
PackingCost(const engine_candidate& aCandidate,
            const engine_timing& aTiming,
            const placement_request& aRequest);

/// Worth that requests which arrive later are expected to lose while each of
/// `aParts` engines prefills a part for `aPartPrefillMs`. `aSlotUtilisation` is
/// the share of all slots that is in use now.
double
FutureRequestHarm(double aSlotUtilisation,
                  double aPartPrefillMs,
                  std::size_t aParts);

/// The share of the engines' slots that is in use. Requires at least one
/// candidate.
double
SlotUtilisation(const std::vector<engine_candidate>& aCandidates,
                const engine_timing& aTiming);

} // namespace primrose
