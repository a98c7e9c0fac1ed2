#pragma once

/// LibWire: the protocol between the processes of this project (Cap'n Proto RPC
/// over TCP), and the integration of KJ's event loop into GLib's main loop.

#include "LibWire/Connection.h"
#include "LibWire/Convert.h"
#include "LibWire/GlibEventPort.h"
#include "LibWire/GlibStream.h"
#include "LibWire/Primrose.capnp.h"
#include "LibWire/Timer.h"
