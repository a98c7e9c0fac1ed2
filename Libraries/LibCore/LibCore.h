#pragma once

/// LibCore: what every other part needs, without sockets and loops: the closed
/// list of error kinds, the clock interface, identifiers, seeded randomness,
/// reading of small files.

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibCore/File.h"
#include "LibCore/Identity.h"
#include "LibCore/Random.h"
#include "LibCore/Text.h"
