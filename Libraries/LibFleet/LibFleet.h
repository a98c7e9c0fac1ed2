#pragma once

/// LibFleet: what an entry that forwards straight to the endpoints believes and
/// decides: the manifest in force, the list of endpoints, what each engine has
/// been given to read, where a request goes, and how often it may be repeated.
/// No I/O, no clock, no thread.

#include "LibFleet/EndpointLimits.h"
#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/EnginePlacement.h"
#include "LibFleet/EngineSubset.h"
#include "LibFleet/EngineTiming.h"
#include "LibFleet/Manifest.h"
#include "LibFleet/PeerSendBudget.h"
#include "LibFleet/Quarantine.h"
#include "LibFleet/RequestDigest.h"
#include "LibFleet/RetryBudget.h"
#include "LibFleet/StorePolling.h"
#include "LibFleet/StreamTimeouts.h"
