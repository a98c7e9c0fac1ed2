#pragma once

/// LibModel: a small model of a model engine (continuous batching, chunked
/// reading of prompts, bounded KV memory, a prefix cache, priorities), in
/// whatever time its caller gives it. The stand-in runs it in real time, tests
/// and experiments in virtual time.

#include "LibModel/Answer.h"
#include "LibModel/EngineModel.h"
