#pragma once

/// Between the wire's structs and those that decisions take. Values from the
/// wire are bounded here, before anything is computed with them.

#include "LibDecision/LibDecision.h"
#include "LibWire/Primrose.capnp.h"

namespace primrose {

void
ToWire(const request_shape& aShape, wire::Query::Builder aQuery);
request_shape
FromWire(wire::Query::Reader aQuery);

void
ToWire(const probe_answer& aAnswer, wire::ProbeAnswer::Builder aWire);
probe_answer
FromWire(wire::ProbeAnswer::Reader aWire);

wire::Refusal
ToWire(refusal aRefusal);
refusal
FromWire(wire::Refusal aRefusal);
wire::Ran
ToWire(ran_state aRan);
ran_state
FromWire(wire::Ran aRan);
wire::HoldRole
ToWire(hold_role aRole);
hold_role
FromWire(wire::HoldRole aRole);

/// A remaining time from the wire; at most a day.
duration
RemainingFromWire(std::uint64_t aMilliseconds);
/// A remaining time for the wire, rounded down: the next hop ends first.
std::uint64_t
RemainingToWire(duration aRemaining);

std::string
TextFrom(capnp::Text::Reader aText);
std::string
BytesFrom(capnp::Data::Reader aData);
capnp::Data::Reader
DataOf(const std::string& aBytes);

} // namespace primrose
