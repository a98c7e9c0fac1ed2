#pragma once

/// LibStore: the platform's transactional table service, as a client that is
/// honest about what it does not know.

#include "LibStore/TableClient.h"
