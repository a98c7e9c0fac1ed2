#pragma once

/// LibCore: basic types and helpers for all other libraries: error kinds,
/// clocks, identifiers, seeded random numbers, addresses, reading of small
/// files. It uses no sockets and no event loop.

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibCore/File.h"
#include "LibCore/Identity.h"
#include "LibCore/Random.h"
#include "LibCore/Text.h"
