#pragma once

/// LibWire: the protocol between our processes (Cap'n Proto RPC over TCP) and
/// the marriage of its event loop with GLib's main loop.

#include "LibWire/Connection.h"
#include "LibWire/Convert.h"
#include "LibWire/GlibEventPort.h"
#include "LibWire/GlibStream.h"
#include "LibWire/Primrose.capnp.h"
#include "LibWire/Timer.h"
