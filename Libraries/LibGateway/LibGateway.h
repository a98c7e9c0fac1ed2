#pragma once

/// LibGateway: an entry that forwards requests as they are, straight to the
/// endpoints. It terminates callers' connections, chooses endpoints, streams
/// answers back, resumes broken streams, and follows the platform's tables.

#include "LibGateway/Adapter.h"
#include "LibGateway/Gateway.h"
#include "LibGateway/GatewayState.h"
