#pragma once

/// The faults that can be switched on in a stand-in with `POST /faults`; each
/// request replaces only the members that it names.

#include "LibHttp/LibHttp.h"

#include <string>

namespace primrose::standin {

struct faults
{
  bool mDown = false;       ///< Every request is answered 503.
  bool mSilent = false;     ///< Requests are taken and never answered.
  std::int64_t mSlowMs = 0; ///< Every answer is late by this.
  std::int64_t mRefuse = 0; ///< So many next requests are answered 503.
  /// So many next writes or executions take effect, and their answer is lost.
  std::int64_t mLoseAnswers = 0;
  std::int64_t mStepPercent = 100; ///< Engine: duration of a step.
  std::int64_t mCutStreams = 0;    ///< Engine: cut so many streams half-way.
  bool mGapEvents = false;         ///< Engine: every third cache event is lost.
  bool mIgnoreFencing = false;     ///< Engine: old fencing numbers are taken.
  bool mDie = false;               ///< The process ends at once, with 1.

  bool operator==(const faults&) const = default;
};

result<faults>
ReadFaults(const faults& aOld, const std::string& aBody);
json
ToJson(const faults& aFaults);

} // namespace primrose::standin
