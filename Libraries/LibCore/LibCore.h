#pragma once

/// LibCore: what every other part needs and that does no I/O: the closed list
/// of error kinds, the clock interface, identifiers, seeded randomness.

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibCore/Identity.h"
#include "LibCore/Random.h"
#include "LibCore/Text.h"
