#pragma once

/// The agent's Cap'n Proto RPC interface. A client opens the gate with the RPC
/// key and gets the agent; each granted reservation is a ticket.

#include "AgentService.h"

namespace primrose::agent {

wire::Gate::Client
MakeGate(agent_service& aService);

} // namespace primrose::agent
