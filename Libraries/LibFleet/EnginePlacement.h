#pragma once

/// Where a prompt is read and its answer written.
///
/// An engine works in passes: a pass writes one event for each writer and reads
/// everything that waits, so what is read in one pass is a pause in all streams
/// of that engine. Two rules follow. Work whose events may not pause for long
/// is gathered on few engines, most busy first, so that the others are free to
/// read long prompts. And a prompt is cut into parts so short that they fit
/// into the pause that the writers of each reading engine allow.

#include "LibFleet/Endpoints.h"
#include "LibFleet/EngineCost.h"
#include "LibFleet/EngineLedger.h"

namespace primrose {

/// What a request asks of an engine.
struct engine_work
{
  std::string mService;
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  duration mLongestPause{};
  duration mObjective{};

  bool operator==(const engine_work&) const = default;
};

struct engine_choice
{
  known_endpoint* mWriter = nullptr;
  std::vector<known_endpoint*> mReaders; ///< Besides the writer.
  double mPartMs = 0;        ///< Reading of each.
  double mFirstEventMs = 0;  ///< Expected until the first event.
  bool mWithinPauses = false; ///< No writer's pause is stretched over its limit.

  bool operator==(const engine_choice&) const = default;
};

/// Chooses engines for a request; nothing if no engine is listed or all were
/// tried. `aTried` are endpoints that this request was sent to already.
std::optional<engine_choice>
PlaceOnEngines(endpoint_board& aBoard,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const engine_work& aWork,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow);

} // namespace primrose
