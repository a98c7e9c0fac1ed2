#pragma once

/// Where a request goes: whom to ask, and which of those that answered.
///
/// Long prompts are packed: they go to the first engines of an order that all
/// entries share, and to further ones only when those would make them wait.
/// Short prompts ask engines anywhere, rather past that front, and keep away
/// from engines that have long prompts to read. So the number of engines that
/// read long prompts follows the demand without any agreement.

#include "LibDecision/Scheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace primrose {

/// What placing needs of the settings.
struct placement_rules
{
  unsigned mProbes = 4;
  double mShortProtection = 1;
  unsigned mLongSpread = 1;
  /// Long prompts are cut into parts of at most this size. An engine with a
  /// whole large prompt has no memory left to read the next while it writes.
  tokens mMaxLongPartTokens = 128000;
  /// Most parts that a long prompt is cut into, unless memory needs more.
  std::size_t mMostParts = 8;
  /// Long prompts move on to one more engine when they would wait longer than
  /// this part of their own reading time; 0: they are not packed at all.
  double mLongPoolSlack = 0.25;
  bool mUsePrefixAffinity = true;

  bool operator==(const placement_rules&) const = default;
};

/// What an entry remembers of a model's fleet from the answers it got.
struct placement_state
{
  /// Engines, from the start of the order, thought to read long prompts.
  double mLongPoolSize = 0;

  bool operator==(const placement_state&) const = default;
};

/// Indices into the usable endpoints of those to ask, best guesses first.
/// `aNames` are in the shared order; `aGroup` engines are needed.
std::vector<std::size_t>
ChooseProbeTargets(const std::vector<std::string>& aNames,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const placement_state& aMemory,
                   std::size_t aGroup,
                   random_engine& aRandom);

/// An endpoint that answered.
struct candidate
{
  std::size_t mIndex = 0; ///< Into the usable endpoints.
  probe_answer mAnswer;

  bool operator==(const candidate&) const = default;
};

struct scored_candidate
{
  std::size_t mIndex = 0;
  double mScore = 0; ///< Seconds; lower is better.
  bool operator==(const scored_candidate&) const = default;
};

/// Whether long prompts are packed now. Packing pays while they need the
/// smaller part of the engines. Past that, short prompts would crowd on the few
/// that are left and long ones wait for each other (measured, see
/// docs/MEASUREMENTS.md), so all share all.
bool
PacksLongPrompts(const placement_rules& aRules,
                 const placement_state& aMemory,
                 std::size_t aEndpoints);

/// The candidates that can take the work, best first.
std::vector<scored_candidate>
RankCandidates(const std::vector<candidate>& aCandidates,
               const request_shape& aShape,
               const placement_rules& aRules,
               const engine_shape& aEngine,
               bool aPacks);

/// Learns from the answers to the probes of one request for `aGroup` engines.
void
UpdateLongPoolSize(placement_state& aMemory,
                   const std::vector<candidate>& aCandidates,
                   const request_shape& aShape,
                   const placement_rules& aRules,
                   const engine_shape& aEngine,
                   std::size_t aGroup,
                   std::size_t aEndpoints);

/// How many engines a prompt is spread over: as many as its memory needs, and
/// for a long one up to `mLongSpread`, so that it is read sooner.
std::size_t
GroupSize(const request_shape& aShape,
          const placement_rules& aRules,
          tokens aEngineCapacity);

/// The part of a group's prompt that one member holds (rounded up); the lead
/// also holds the answer's tokens.
request_shape
MemberShape(const request_shape& aShape, std::size_t aMembers, hold_role aRole);

} // namespace primrose
