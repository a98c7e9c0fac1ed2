#pragma once

/// LibObserve: what people and monitoring see of a process: log lines of
/// key=value pairs and metrics in the text exposition format.

#include "LibObserve/BoundedOutput.h"
#include "LibObserve/Log.h"
#include "LibObserve/Metrics.h"
