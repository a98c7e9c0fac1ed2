#include "Faults.h"

namespace primrose::standin {

namespace {

constexpr std::int64_t kMaxValue = 1000000;

} // namespace

result<faults>
ReadFaults(const faults& aCurrent, const std::string& aBody)
{
  BOOST_LEAF_ASSIGN(json const body, ParseObject(aBody));
  faults changed = aCurrent;
  BOOST_LEAF_ASSIGN(changed.mDown, OptionalFlag(body, "down", aCurrent.mDown));
  BOOST_LEAF_ASSIGN(changed.mSilent,
                    OptionalFlag(body, "silent", aCurrent.mSilent));
  BOOST_LEAF_ASSIGN(
    changed.mSlowMs,
    OptionalInteger(body, "slow_ms", aCurrent.mSlowMs, 0, kMaxValue));
  BOOST_LEAF_ASSIGN(
    changed.mRefuse,
    OptionalInteger(body, "refuse", aCurrent.mRefuse, 0, kMaxValue));
  BOOST_LEAF_ASSIGN(
    changed.mLoseAnswers,
    OptionalInteger(body, "lose_answers", aCurrent.mLoseAnswers, 0, kMaxValue));
  BOOST_LEAF_ASSIGN(
    changed.mStepPercent,
    OptionalInteger(body, "step_percent", aCurrent.mStepPercent, 1, kMaxValue));
  BOOST_LEAF_ASSIGN(
    changed.mCutStreams,
    OptionalInteger(body, "cut_streams", aCurrent.mCutStreams, 0, kMaxValue));
  BOOST_LEAF_ASSIGN(changed.mGapEvents,
                    OptionalFlag(body, "gap_events", aCurrent.mGapEvents));
  BOOST_LEAF_ASSIGN(
    changed.mIgnoreFencing,
    OptionalFlag(body, "ignore_fencing", aCurrent.mIgnoreFencing));
  BOOST_LEAF_ASSIGN(changed.mDie, OptionalFlag(body, "die", aCurrent.mDie));
  return changed;
}

json
ToJson(const faults& aFaults)
{
  return { { "down", aFaults.mDown },
           { "silent", aFaults.mSilent },
           { "slow_ms", aFaults.mSlowMs },
           { "refuse", aFaults.mRefuse },
           { "lose_answers", aFaults.mLoseAnswers },
           { "step_percent", aFaults.mStepPercent },
           { "cut_streams", aFaults.mCutStreams },
           { "gap_events", aFaults.mGapEvents },
           { "ignore_fencing", aFaults.mIgnoreFencing },
           { "die", aFaults.mDie } };
}

} // namespace primrose::standin
