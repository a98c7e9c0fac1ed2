#pragma once

/// LibHttp: an HTTP client (with KJ promises), a server based on libsoup,
/// reading of JSON, and a parser of server-sent events.

#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/Json.h"
#include "LibHttp/ServerSentEvents.h"
