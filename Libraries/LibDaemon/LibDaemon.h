#pragma once

/// LibDaemon: what the programs have in common: the command line, the main
/// loop with signals, the address file.

#include "LibDaemon/AddressFile.h"
#include "LibDaemon/CommandLine.h"
#include "LibDaemon/MainLoop.h"
