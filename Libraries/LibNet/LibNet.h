#pragma once

/// LibNet: sockets on GLib's main loop: readiness by epoll, timers, buffered
/// TCP channels, datagrams, and HTTP/1.1 messages parsed by http-parser.

#include "LibNet/Datagram.h"
#include "LibNet/EventCursor.h"
#include "LibNet/EventLoop.h"
#include "LibNet/FileWatch.h"
#include "LibNet/HttpClientCall.h"
#include "LibNet/HttpMessage.h"
#include "LibNet/HttpReader.h"
#include "LibNet/TcpChannel.h"
