#pragma once

/// LibDecision: placement, scheduling, admission and claim logic as free
/// functions over plain structs. The functions do no I/O, start no threads and
/// read no clock: the current time and the random generator are arguments, and
/// the state is a struct owned by the caller. The daemons call them from socket
/// and timer handlers and turn their results into I/O; tests and simulations
/// call the same functions in virtual time.

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
