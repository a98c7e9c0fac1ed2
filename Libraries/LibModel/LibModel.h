#pragma once

/// LibModel: a simulation of an inference engine (continuous batching, chunked
/// prefill, bounded KV memory, prefix cache, priorities). The caller supplies
/// the time: the stand-in engine runs it in real time, tests and experiments in
/// virtual time.

#include "LibModel/Answer.h"
#include "LibModel/EngineModel.h"
