#pragma once

/// LibSettings: reads, checks and resolves settings. There are two kinds of
/// document: the settings tree that operators edit (fleet, organisation,
/// service, workload), and the settings of a single process (its name,
/// addresses and data centre).

#include "LibSettings/NodeSettings.h"
#include "LibSettings/ObjectReader.h"
#include "LibSettings/Policy.h"
#include "LibSettings/Tree.h"
