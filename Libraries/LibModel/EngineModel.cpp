#include "LibModel/EngineModel.h"

#include <algorithm>

namespace primrose {

namespace {

std::vector<job_state*>
JobsByPriority(engine_model& aEngine, job_stage aStage)
{
  std::vector<job_state*> jobs;
  for (auto& [id, job] : aEngine.mJobs) {
    if (job.mStage == aStage) {
      jobs.push_back(&job);
    }
  }
  std::sort(jobs.begin(),
            jobs.end(),
            [](const job_state* aLeft, const job_state* aRight) {
              return std::tuple(aLeft->mJob.mPriority, aLeft->mOrder) <
                     std::tuple(aRight->mJob.mPriority, aRight->mOrder);
            });
  return jobs;
}

std::size_t
BatchSize(const engine_model& aEngine)
{
  return static_cast<std::size_t>(std::count_if(
    aEngine.mJobs.begin(), aEngine.mJobs.end(), [](const auto& aItem) {
      const job_stage reservation_stage = aItem.second.mStage;
      return reservation_stage == job_stage::Reading ||
             reservation_stage == job_stage::Writing;
    }));
}

void
ShrinkCacheToFree(engine_model& aEngine)
{
  aEngine.mCache.Resize(aEngine.mShape.mCapacity - aEngine.mUsed);
}

void
Admit(engine_model& aEngine, job_state& aJob)
{
  const engine_job& job = aJob.mJob;
  aEngine.mUsed += job.mReserveTokens;
  if (job.mHoldOnly) {
    aJob.mStage = job_stage::Holding;
    ShrinkCacheToFree(aEngine);
    return;
  }
  const tokens cached =
    std::min(aEngine.mCache.Held(job.mPrefixHashes), job.mPromptTokens);
  // At least one token is read: the first answer token needs its result.
  const double unread = static_cast<double>(job.mPromptTokens - cached);
  aJob.mUnread = std::max(1.0, unread * job.mPrefillPart);
  aJob.mStage = job_stage::Reading;
  ShrinkCacheToFree(aEngine);
}

void
AdmitWaiting(engine_model& aEngine)
{
  std::size_t batch = BatchSize(aEngine);
  for (job_state* const job : JobsByPriority(aEngine, job_stage::Waiting)) {
    const bool fits =
      aEngine.mUsed + job->mJob.mReserveTokens <= aEngine.mShape.mCapacity;
    const bool hasPlace =
      job->mJob.mHoldOnly || batch < aEngine.mShape.mLargestBatch;
    if (!fits || !hasPlace) {
      // Nobody passes the first that does not fit; an engine that let small
      // ones pass would starve the large one.
      return;
    }
    Admit(aEngine, *job);
    batch += job->mJob.mHoldOnly ? 0 : 1;
  }
}

void
BeginStep(engine_model& aEngine, time_point aNow)
{
  AdmitWaiting(aEngine);
  aEngine.mStepPrefills.clear();
  aEngine.mStepDecodes.clear();
  double budget = static_cast<double>(aEngine.mShape.mChunk);
  for (const job_state* const job :
       JobsByPriority(aEngine, job_stage::Reading)) {
    const double part = std::min(budget, job->mUnread);
    if (part <= 0) {
      break;
    }
    aEngine.mStepPrefills.emplace(job->mJob.mId, part);
    budget -= part;
  }
  for (const auto& [id, job] : aEngine.mJobs) {
    if (job.mStage == job_stage::Writing) {
      aEngine.mStepDecodes.push_back(id);
    }
  }
  if (aEngine.mStepPrefills.empty() && aEngine.mStepDecodes.empty()) {
    aEngine.mStepEnds.reset();
    return;
  }
  const double read = static_cast<double>(aEngine.mShape.mChunk) - budget;
  const double seconds =
    aEngine.mStepTimeFactor * StepSeconds(aEngine.mShape,
                                          aEngine.mStepDecodes.size(),
                                          static_cast<tokens>(read),
                                          aEngine.mUsed);
  aEngine.mBusySeconds += seconds;
  aEngine.mStepEnds = aNow + FromSeconds(seconds);
}

void
Finish(engine_model& aEngine, const std::string& aId)
{
  const auto found = aEngine.mJobs.find(aId);
  const engine_job job = found->second.mJob;
  aEngine.mUsed -= job.mReserveTokens;
  aEngine.mJobs.erase(found);
  ShrinkCacheToFree(aEngine);
  aEngine.mCache.Insert(job.mPrefixHashes);
}

void
EmitToken(engine_model& aEngine,
          const std::string& aId,
          std::vector<engine_output>& aOutputs)
{
  const auto found = aEngine.mJobs.find(aId);
  if (found == aEngine.mJobs.end()) {
    return; // Cancelled during the step.
  }
  job_state& job = found->second;
  const bool last = job.mWritten + 1 >= job.mJob.mOutputTokens;
  aOutputs.push_back({ aId, job.mWritten, last, false });
  ++job.mWritten;
  ++aEngine.mDecodedTokens;
  if (last) {
    Finish(aEngine, aId);
  }
}

void
PrefillPart(engine_model& aEngine,
            const std::string& aId,
            double aPart,
            std::vector<engine_output>& aOutputs)
{
  const auto found = aEngine.mJobs.find(aId);
  if (found == aEngine.mJobs.end()) {
    return;
  }
  job_state& job = found->second;
  job.mUnread -= aPart;
  aEngine.mPrefilledTokens += aPart;
  constexpr double kRounding = 1e-6;
  if (job.mUnread > kRounding) {
    return;
  }
  if (job.mJob.mGroupPart) {
    job.mStage = job_stage::Holding;
    aOutputs.push_back({ aId, 0, false, true });
    return;
  }
  job.mStage = job_stage::Writing;
  EmitToken(aEngine, aId, aOutputs);
}

} // namespace

engine_model
MakeEngine(const engine_shape& aShape)
{
  engine_model engine;
  engine.mShape = aShape;
  engine.mCache = prefix_cache(aShape.mCapacity);
  return engine;
}

bool
Submit(engine_model& aEngine, const engine_job& aJob, time_point aNow)
{
  if (aJob.mReserveTokens > aEngine.mShape.mCapacity ||
      aEngine.mJobs.contains(aJob.mId)) {
    return false;
  }
  job_state state;
  state.mJob = aJob;
  state.mOrder = aEngine.mNextArrivalOrder++;
  aEngine.mJobs.emplace(aJob.mId, std::move(state));
  if (!aEngine.mStepEnds) {
    BeginStep(aEngine, aNow);
  }
  return true;
}

bool
Cancel(engine_model& aEngine, const std::string& aId)
{
  const auto found = aEngine.mJobs.find(aId);
  if (found == aEngine.mJobs.end()) {
    return false;
  }
  if (found->second.mStage != job_stage::Waiting) {
    aEngine.mUsed -= found->second.mJob.mReserveTokens;
  }
  aEngine.mJobs.erase(found);
  ShrinkCacheToFree(aEngine);
  return true;
}

bool
BeginDecoding(engine_model& aEngine, const std::string& aId, time_point aNow)
{
  const auto found = aEngine.mJobs.find(aId);
  if (found == aEngine.mJobs.end() ||
      found->second.mStage != job_stage::Holding ||
      !found->second.mJob.mGroupPart) {
    return false;
  }
  found->second.mStage = job_stage::Writing;
  if (!aEngine.mStepEnds) {
    BeginStep(aEngine, aNow);
  }
  return true;
}

std::vector<engine_output>
Advance(engine_model& aEngine, time_point aNow)
{
  std::vector<engine_output> outputs;
  if (!aEngine.mStepEnds || aNow < *aEngine.mStepEnds) {
    return outputs;
  }
  ++aEngine.mSteps;
  for (const std::string& id : aEngine.mStepDecodes) {
    EmitToken(aEngine, id, outputs);
  }
  for (const auto& [id, part] : aEngine.mStepPrefills) {
    PrefillPart(aEngine, id, part, outputs);
  }
  BeginStep(aEngine, *aEngine.mStepEnds);
  return outputs;
}

double
PendingPrefillTokens(const engine_model& aEngine)
{
  double unread = 0;
  for (const auto& [id, job] : aEngine.mJobs) {
    if (job.mStage == job_stage::Waiting && !job.mJob.mHoldOnly) {
      unread +=
        static_cast<double>(job.mJob.mPromptTokens) * job.mJob.mPrefillPart;
    }
    unread += job.mStage == job_stage::Reading ? job.mUnread : 0;
  }
  return unread;
}

} // namespace primrose
