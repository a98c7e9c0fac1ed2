#pragma once

/// The scheduler of one agent: accepts or refuses reservations, chooses the
/// order in which waiting reservations get engine memory and a batch slot, and
/// ends those whose time is up.

#include "LibDecision/AgentState.h"

#include <vector>

namespace primrose {

/// The answer to a probe: the refusal, estimated delay and load that a request
/// of this shape would meet if it were reserved now.
struct probe_answer
{
  refusal mRefusal = refusal::None;
  /// Estimated time until the first token of the answer.
  double mFirstTokenSeconds = 0;
  tokens mFreeMemoryTokens = 0;
  tokens mCapacity = 0;
  /// Tokens of the prompt that are in the engine's prefix cache.
  tokens mCachedTokens = 0;
  /// Prompt tokens that wait in the agent or are not yet read by the engine.
  tokens mQueuedTokens = 0;
  tokens mLong = 0; ///< The part of `mQueuedTokens` from long prompts.
  std::uint32_t mRunningSequences = 0;
  /// Current step time divided by that of an idle engine.
  double mStepSlowdown = 1;

  bool operator==(const probe_answer&) const = default;
};

probe_answer
Probe(agent_state& aState, const request_shape& aShape, time_point aNow);

/// Queues a reservation, or returns why it is refused. A refused reservation
/// leaves no state behind.
refusal
Reserve(agent_state& aState, const reservation& aReservation, time_point aNow);

/// Grants every waiting reservation that fits now and returns the attempts in
/// the order granted.
std::vector<std::string>
Dispatch(agent_state& aState, time_point aNow);

/// Marks the prompt of a granted attempt as sent to the engine. Returns false
/// if the agent does not hold the grant (any more); nothing may be sent to the
/// engine then.
bool
StartPrefill(agent_state& aState, const std::string& aAttempt, time_point aNow);
void
RecordFirstToken(agent_state& aState,
                 const std::string& aAttempt,
                 time_point aNow);
/// Frees everything that an attempt holds. No effect if it holds nothing.
void
Release(agent_state& aState, const std::string& aAttempt, time_point aNow);

/// Renews the lease of an attempt; false if the attempt is not held.
bool
Renew(agent_state& aState, const std::string& aAttempt, time_point aNow);

enum class expiry_cause : std::uint8_t
{
  WaitExpired,
  DeadlineReached,
  LeaseExpired,
};

std::string_view
ExpiryCauseName(expiry_cause aCause);

struct expired_reservation
{
  std::string mRequest;
  std::string mAttempt;
  expiry_cause mCause = expiry_cause::WaitExpired;
  reservation_stage mStage = reservation_stage::Waiting;

  bool operator==(const expired_reservation&) const = default;
};

/// Frees every reservation whose deadline, lease or queue wait has expired and
/// returns what was freed. The caller cancels at the engine what had been sent
/// there.
std::vector<expired_reservation>
Expire(agent_state& aState, time_point aNow);

/// The next time at which `Expire` has something to free, if any.
std::optional<time_point>
NextExpiry(const agent_state& aState);

/// Stops accepting reservations. Returns the waiting attempts, which are
/// refused; those that hold memory run to their end.
std::vector<std::string>
StartDrain(agent_state& aState);

} // namespace primrose
