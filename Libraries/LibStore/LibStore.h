#pragma once

/// LibStore: the client of the platform's transactional table service. It
/// reports a write without a clear answer as `Lost`, never as failed, because
/// the write may have taken effect.

#include "LibStore/TableClient.h"
