#pragma once

/// LibDaemon: code shared by all programs: command line, main loop with signal
/// handling, address file.

#include "LibDaemon/AddressFile.h"
#include "LibDaemon/CommandLine.h"
#include "LibDaemon/MainLoop.h"
