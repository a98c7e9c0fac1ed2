#pragma once

/// LibNet: networking on GLib's main loop: an event loop on epoll with timers,
/// buffered TCP channels, UDP datagrams, and HTTP/1.1 messages parsed by
/// http-parser.

#include "LibNet/Compression.h"
#include "LibNet/Datagram.h"
#include "LibNet/EventCursor.h"
#include "LibNet/EventLoop.h"
#include "LibNet/FileWatch.h"
#include "LibNet/HttpClientCall.h"
#include "LibNet/HttpMessage.h"
#include "LibNet/HttpReader.h"
#include "LibNet/HttpResponder.h"
#include "LibNet/TcpChannel.h"
