#pragma once

/// LibGossip: what the gateways of a fleet know together. It follows the tables
/// of the platform's store, keeps the membership of the fleet, and exchanges
/// placements, reports about endpoints and copies of table rows with the peers.

#include "LibGossip/GatewayMetrics.h"
#include "LibGossip/GatewayRegistry.h"
#include "LibGossip/GatewayState.h"
#include "LibGossip/GossipSender.h"
#include "LibGossip/LimitUpdates.h"
#include "LibGossip/NoticeUpdates.h"
#include "LibGossip/OrganisationReports.h"
#include "LibGossip/PeerGossip.h"
#include "LibGossip/PeerMessage.h"
#include "LibGossip/PeerSnapshot.h"
#include "LibGossip/SpeedUpdates.h"
#include "LibGossip/StoreAdapter.h"
#include "LibGossip/TableFollower.h"
