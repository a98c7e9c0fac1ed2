#pragma once

/// LibHttp: HTTP through libsoup, with KJ promises in place of callbacks, and
/// the parser of server-sent events.

#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/Json.h"
#include "LibHttp/ServerSentEvents.h"
