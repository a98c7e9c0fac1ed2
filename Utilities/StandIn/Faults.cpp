#include "Faults.h"

namespace primrose::standin {

namespace {

constexpr std::int64_t kMany = 1000000;

} // namespace

result<faults>
ReadFaults(const faults& aOld, const std::string& aBody)
{
  BOOST_LEAF_ASSIGN(json const body, ParseObject(aBody));
  faults read = aOld;
  BOOST_LEAF_ASSIGN(read.mDown, OptionalFlag(body, "down", aOld.mDown));
  BOOST_LEAF_ASSIGN(read.mSilent, OptionalFlag(body, "silent", aOld.mSilent));
  BOOST_LEAF_ASSIGN(read.mSlowMs,
                    OptionalInteger(body, "slow_ms", aOld.mSlowMs, 0, kMany));
  BOOST_LEAF_ASSIGN(read.mRefuse,
                    OptionalInteger(body, "refuse", aOld.mRefuse, 0, kMany));
  BOOST_LEAF_ASSIGN(
    read.mLoseAnswers,
    OptionalInteger(body, "lose_answers", aOld.mLoseAnswers, 0, kMany));
  BOOST_LEAF_ASSIGN(
    read.mStepPercent,
    OptionalInteger(body, "step_percent", aOld.mStepPercent, 1, kMany));
  BOOST_LEAF_ASSIGN(
    read.mCutStreams,
    OptionalInteger(body, "cut_streams", aOld.mCutStreams, 0, kMany));
  BOOST_LEAF_ASSIGN(read.mGapEvents,
                    OptionalFlag(body, "gap_events", aOld.mGapEvents));
  BOOST_LEAF_ASSIGN(read.mIgnoreFencing,
                    OptionalFlag(body, "ignore_fencing", aOld.mIgnoreFencing));
  BOOST_LEAF_ASSIGN(read.mDie, OptionalFlag(body, "die", aOld.mDie));
  return read;
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
