#pragma once

/// What an agent decides: whether to take work, in which order waiting work
/// gets memory and a place in the engine's batch, and what has to end.

#include "LibDecision/AgentState.h"

#include <vector>

namespace primrose {

/// The answer to a probe: what a request of this shape would meet now.
struct probe_answer
{
  refusal mRefusal = refusal::None;
  double mFirstTokenSeconds = 0;
  tokens mFreeMemoryTokens = 0;
  tokens mCapacity = 0;
  tokens mCachedTokens = 0;
  tokens mQueuedTokens = 0;
  tokens mLong = 0;
  std::uint32_t mRunningSequences = 0;
  double mStepSlowdown = 1; ///< Step time now over an idle engine's.

  bool operator==(const probe_answer&) const = default;
};

probe_answer
Probe(agent_state& aBoard, const request_shape& aShape, time_point aNow);

/// Takes a reservation into the queue, or says why not. A refused one leaves
/// nothing behind.
refusal
Reserve(agent_state& aBoard, const reservation& aReservation, time_point aNow);

/// Grants what may be granted now; gives the attempts in the order granted.
std::vector<std::string>
Dispatch(agent_state& aBoard, time_point aNow);

/// The prompt of a granted attempt goes to the engine. False: the agent does
/// not hold it (any more), so nothing may be sent to the engine.
bool
StartPrefill(agent_state& aBoard, const std::string& aAttempt, time_point aNow);
void
RecordFirstToken(agent_state& aBoard,
                 const std::string& aAttempt,
                 time_point aNow);
/// Frees all that an attempt holds. Harmless if it holds nothing.
void
Release(agent_state& aBoard, const std::string& aAttempt, time_point aNow);

/// Lengthens an attempt's lease; false if it is not held.
bool
Renew(agent_state& aBoard, const std::string& aAttempt, time_point aNow);

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

/// Frees everything whose time is over and says what was freed; the caller
/// cancels at the engine what had been given to it.
std::vector<expired_reservation>
Expire(agent_state& aBoard, time_point aNow);

/// When `Expire` has something to do next, if ever.
std::optional<time_point>
NextExpiry(const agent_state& aBoard);

/// Stops taking work. Gives the waiting attempts, which are refused; what has
/// memory goes on to its end.
std::vector<std::string>
StartDrain(agent_state& aBoard);

} // namespace primrose
