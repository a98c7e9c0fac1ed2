#pragma once

/// LibGateway: a gateway that terminates callers' connections and forwards
/// requests unchanged and directly to endpoints. It chooses the endpoints,
/// streams answers back, and resumes interrupted streams.

#include "LibGateway/Adapter.h"
#include "LibGateway/Gateway.h"
#include "LibGossip/LibGossip.h"
