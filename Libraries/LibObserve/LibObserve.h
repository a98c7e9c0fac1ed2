#pragma once

/// LibObserve: logging as lines of key=value pairs, and metrics in the text
/// exposition format.

#include "LibObserve/BoundedOutput.h"
#include "LibObserve/Log.h"
#include "LibObserve/Metrics.h"
