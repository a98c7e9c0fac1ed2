#pragma once

/// The faults that `POST /faults` can switch on in a stand-in. Each request
/// changes only the members that it names.

#include "LibHttp/LibHttp.h"

#include <string>

namespace primrose::standin {

struct faults
{
  bool mDown = false;       ///< Answer every request with 503.
  bool mSilent = false;     ///< Accept requests and never answer them.
  std::int64_t mSlowMs = 0; ///< Delay of every answer.
  std::int64_t mRefuse = 0; ///< Number of next requests to answer with 503.
  /// Number of next writes or executions that take effect but are not answered.
  std::int64_t mLoseAnswers = 0;
  std::int64_t mStepPercent = 100; ///< Engine: duration of a step, in %.
  std::int64_t mCutStreams = 0; ///< Engine: number of streams to cut half-way.
  bool mGapEvents = false;      ///< Engine: lose every third cache event.
  bool mIgnoreFencing = false;  ///< Engine: accept outdated fencing numbers.
  bool mDie = false;            ///< Exit at once with status 1.

  bool operator==(const faults&) const = default;
};

/// Returns the current faults with the members that the body names replaced.
result<faults>
ReadFaults(const faults& aCurrent, const std::string& aBody);
json
ToJson(const faults& aFaults);

} // namespace primrose::standin
