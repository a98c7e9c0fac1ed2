#pragma once

/// LibFleet: the fleet state and the decisions of a gateway that forwards
/// requests directly to the endpoints: the manifest in force, the endpoint
/// registry, the work assigned to each engine, the choice of endpoints for a
/// request, and the limits on retries. Does no I/O, reads no clock and starts
/// no threads.

#include "LibFleet/AllowedRegions.h"
#include "LibFleet/AnswerMemory.h"
#include "LibFleet/AwaitedReturns.h"
#include "LibFleet/CallerWait.h"
#include "LibFleet/ConnectionAdmission.h"
#include "LibFleet/EndpointLimits.h"
#include "LibFleet/EndpointNotices.h"
#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineLedger.h"
#include "LibFleet/EnginePlacement.h"
#include "LibFleet/EngineSpeed.h"
#include "LibFleet/EngineSubset.h"
#include "LibFleet/EngineSummary.h"
#include "LibFleet/EngineTiming.h"
#include "LibFleet/Evacuations.h"
#include "LibFleet/FairShares.h"
#include "LibFleet/GatewayLoad.h"
#include "LibFleet/Manifest.h"
#include "LibFleet/OrganisationUsage.h"
#include "LibFleet/OverloadFeatures.h"
#include "LibFleet/PassIntervals.h"
#include "LibFleet/PeerSendBudget.h"
#include "LibFleet/Quarantine.h"
#include "LibFleet/RankDemand.h"
#include "LibFleet/ReadDuty.h"
#include "LibFleet/RequestDigest.h"
#include "LibFleet/RequestRank.h"
#include "LibFleet/RetryBudget.h"
#include "LibFleet/RetryTargets.h"
#include "LibFleet/SizeShares.h"
#include "LibFleet/StoreClock.h"
#include "LibFleet/StorePolling.h"
#include "LibFleet/StreamTimeouts.h"
#include "LibFleet/WarmUp.h"
