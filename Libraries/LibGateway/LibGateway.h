#pragma once

/// LibGateway: a gateway that terminates callers' connections and forwards
/// requests unchanged and directly to endpoints. It chooses the endpoints,
/// streams answers back, resumes interrupted streams, and follows the
/// platform's tables.

#include "LibGateway/Adapter.h"
#include "LibGateway/Gateway.h"
#include "LibGateway/GatewayState.h"
