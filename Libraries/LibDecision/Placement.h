#pragma once

/// Placement of a request: which endpoints to probe, and which of those that
/// answered to use.
///
/// Long prompts are packed into the long-prompt pool: the first engines of an
/// order that all entries share. They go to further engines only if those of
/// the pool would make them wait. Short prompts probe engines anywhere, but
/// prefer those outside the pool and those without long prompts to read. So the
/// number of engines that read long prompts follows the demand without any
/// coordination between entries.

#include "LibDecision/Scheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace primrose {

/// The settings that placement depends on.
struct placement_rules
{
  unsigned mProbes = 4; ///< Endpoints probed for each request.
  /// Weight of the slowdown that short and long requests on one engine cause
  /// each other, in a candidate's score.
  double mShortProtection = 1;
  /// Engines over which a long prompt may be spread to be read sooner.
  unsigned mLongSpread = 1;
  /// Long prompts are split into parts of at most this many tokens. An engine
  /// that holds a whole large prompt has no memory left to read the next one
  /// while it decodes.
  tokens mMaxLongPartTokens = 128000;
  /// Maximum number of parts of a long prompt, unless its memory needs more.
  std::size_t mMostParts = 8;
  /// The long-prompt pool grows by one engine or more when a long prompt would
  /// wait longer than this part of its own prefill time. 0: no pool, long
  /// prompts are not packed.
  double mLongPoolSlack = 0.25;
  /// Also probe the endpoint that is assigned to the prompt's prefix.
  bool mUsePrefixAffinity = true;

  bool operator==(const placement_rules&) const = default;
};

/// An entry's placement state for one model, updated from the answers to its
/// probes.
struct placement_state
{
  /// Estimated number of engines, from the start of the shared order, that read
  /// long prompts.
  double mLongPoolSize = 0;

  bool operator==(const placement_state&) const = default;
};

/// Indices into the usable endpoints of those to probe, the preferred ones
/// first. `aNames` is in the shared order; the request needs `aGroupSize`
/// engines.
std::vector<std::size_t>
ChooseProbeTargets(const std::vector<std::string>& aNames,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const placement_state& aState,
                   std::size_t aGroupSize,
                   random_engine& aRandom);

/// An endpoint that answered a probe.
struct candidate
{
  std::size_t mIndex = 0; ///< Index into the usable endpoints.
  probe_answer mAnswer;

  bool operator==(const candidate&) const = default;
};

struct scored_candidate
{
  std::size_t mIndex = 0;
  double mScore = 0; ///< Seconds; lower is better.
  bool operator==(const scored_candidate&) const = default;
};

/// Whether long prompts are packed into the long-prompt pool now. Packing pays
/// off while they need at most half of the engines. Beyond that, short prompts
/// would crowd onto the few engines left and long prompts would wait for each
/// other (measured, see docs/MEASUREMENTS.md), so all requests share all
/// engines.
bool
PacksLongPrompts(const placement_rules& aRules,
                 const placement_state& aState,
                 std::size_t aEndpoints);

/// The candidates that did not refuse, best first.
std::vector<scored_candidate>
RankCandidates(const std::vector<candidate>& aCandidates,
               const request_shape& aShape,
               const placement_rules& aRules,
               const engine_shape& aEngine,
               bool aPacksLong);

/// Updates the size of the long-prompt pool from the answers to the probes of
/// one request that needs `aGroupSize` engines.
void
UpdateLongPoolSize(placement_state& aState,
                   const std::vector<candidate>& aCandidates,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const engine_shape& aEngine,
                   std::size_t aGroupSize,
                   std::size_t aEndpoints);

/// Number of engines that a prompt is spread over: as many as its memory needs;
/// a long prompt also gets one for each part and up to `mLongSpread`, so that
/// it is read sooner.
std::size_t
GroupSize(const request_shape& aShape,
          const placement_rules& aRules,
          tokens aEngineCapacity);

/// The share of the prompt that one engine of a group holds (rounded up). Only
/// the lead also holds the memory for the answer's tokens.
request_shape
MemberShape(const request_shape& aShape, std::size_t aMembers, hold_role aRole);

} // namespace primrose
