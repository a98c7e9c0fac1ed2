#pragma once

/// LibSettings: reading, checking and resolving settings. Two documents: the
/// tree that operators change (fleet, organisation, service, workload), and
/// the few settings of one process (its name, addresses, data centre).

#include "LibSettings/NodeSettings.h"
#include "LibSettings/ObjectReader.h"
#include "LibSettings/Policy.h"
#include "LibSettings/Tree.h"
