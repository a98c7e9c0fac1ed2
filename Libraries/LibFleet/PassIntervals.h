#pragma once

/// Measures the passes of an engine by the intervals between the events of its
/// streams.
///
/// A pass writes one event for each stream. Its duration is that of its decode
/// steps and of the prefill that it does. The ledger tells which prefill a pass
/// may have done, so each interval gives an upper and a lower bound of the
/// engine's pace.

#include "LibFleet/EngineLedger.h"
#include "LibFleet/EngineTiming.h"

namespace primrose {

/// The last events of a stream, as read by the gateway.
struct stream_events
{
  std::optional<time_point> mLastAt;
  std::optional<duration> mLastInterval;

  bool operator==(const stream_events&) const = default;
};

/// The duration of a pass as seen by one stream.
struct pass_interval
{
  duration mLength{};
  duration mBefore{}; ///< Length of the pass before it.

  bool operator==(const pass_interval&) const = default;
};

/// Records that this many events were read at once. Returns the duration of the
/// last pass, if it is known. Events that were read together, because they were
/// delayed on the way or the gateway was, do not show it.
std::optional<pass_interval>
RecordEvents(stream_events& aStream, std::size_t aEvents, time_point aNow);

/// Updates the engine's speed with a pass. The first stream whose event is read
/// counts; the others show the same pass. True if the pass showed anything.
bool
RecordPass(engine_load& aLoad,
           const engine_timing& aTiming,
           const pass_interval& aInterval,
           time_point aNow);

/// Records that a prompt which this engine prefills alone had its first event
/// after this time. If that is later than the known prefill explains, it hints
/// that the engine is slow, and counts as one pass. True if it does.
bool
RecordFirstEvent(engine_load& aLoad,
                 const engine_timing& aTiming,
                 duration aSinceSent,
                 time_point aNow);

} // namespace primrose
