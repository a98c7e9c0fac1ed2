#pragma once

/// The agent's RPC face: the gate, the agent, the tickets.

#include "AgentService.h"

namespace primrose::agent {

wire::Gate::Client
MakeGate(agent_service& aService);

} // namespace primrose::agent
