#pragma once

/// LibDecision: every decision, as free functions over plain structs. They do
/// no I/O, start no thread and read no clock: the time and the randomness are
/// arguments, the state is a blackboard that the caller owns. Daemons turn
/// sockets and timers into calls of these functions and their results into
/// I/O; tests and experiments call the very same functions in virtual time.

#include "LibDecision/Admission.h"
#include "LibDecision/AgentState.h"
#include "LibDecision/Claims.h"
#include "LibDecision/DecisionLog.h"
#include "LibDecision/Directory.h"
#include "LibDecision/Limits.h"
#include "LibDecision/Placement.h"
#include "LibDecision/PrefixCache.h"
#include "LibDecision/RequestShape.h"
#include "LibDecision/Retry.h"
#include "LibDecision/Scheduler.h"
#include "LibDecision/StreamCursor.h"
