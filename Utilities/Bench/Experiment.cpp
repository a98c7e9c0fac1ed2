#include "Experiment.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <future>
#include <map>
#include <spdlog/fmt/fmt.h>

namespace primrose::bench {

namespace {

constexpr tokens kShortLimit = 8000;
constexpr tokens kLongLimit = 100000;
constexpr tokens kUnbounded = tokens{ 1 } << 60;

/// A baseline: requests go straight to the engine's queue, in their order.
bench_policy
Baseline(const std::string& aName, placement_kind aKind)
{
  bench_policy baseline;
  baseline.mName = aName;
  baseline.mPlacement = aKind;
  baseline.mEnginePriorities = false;
  baseline.mRules.mMaxLongPartTokens = kUnbounded;
  baseline.mLimits.mLongTokensAtOnce = kUnbounded;
  baseline.mLimits.mMaxQueueLength = 1000000;
  baseline.mLimits.mEngineQueueSeconds = 1e9;
  baseline.mLimits.mLongMemoryPart = 1;
  baseline.mLimits.mUseFairShares = false;
  baseline.mLimits.mUsePriorities = false;
  return baseline;
}

const std::map<std::string, placement_kind> kBaselines = {
  { "round-robin", placement_kind::RoundRobin },
  { "least-requests", placement_kind::LeastRequests },
  { "two-choices", placement_kind::TwoChoices },
  { "shortest-queue", placement_kind::ShortestQueue },
};

result<bench_policy>
MakeBenchPolicy(const std::string& aName, const policy& aValues)
{
  const auto baseline = kBaselines.find(aName);
  if (baseline != kBaselines.end()) {
    return Baseline(aName, baseline->second);
  }
  if (aName == "shortest-queue-parts") {
    // The best baseline with our cutting of long prompts, to tell the two
    // apart.
    bench_policy cutting = Baseline(aName, placement_kind::ShortestQueue);
    cutting.mRules = PlacementRulesFor(aValues);
    return cutting;
  }
  bench_policy own;
  own.mName = aName;
  own.mRules = PlacementRulesFor(aValues);
  own.mLimits = LimitsOf(aValues);
  own.mAttempts = static_cast<unsigned>(aValues.mAttempts);
  own.mLongAttempts = static_cast<unsigned>(aValues.mLongAttempts);
  // Our policy with one part taken out, to see what the part is worth.
  if (aName == "primrose") {
    return own;
  }
  if (aName == "primrose-no-packing") {
    own.mRules.mLongPoolSlack = 0;
    return own;
  }
  if (aName == "primrose-no-priorities") {
    own.mEnginePriorities = false;
    return own;
  }
  if (aName == "primrose-no-cache") {
    own.mRules.mUsePrefixAffinity = false;
    return own;
  }
  if (aName == "primrose-no-parts") {
    own.mRules.mLongSpread = 1;
    own.mRules.mMaxLongPartTokens = kUnbounded;
    return own;
  }
  return Fail(error_kind::SettingsInvalid,
              fmt::format("/policies: there is no policy \"{}\"", aName));
}

void
ReadClass(const std::string& aName,
          const json& aNode,
          settings_problems& aProblems,
          traffic_mix& aMix)
{
  object_reader reader(
    aNode.is_object() ? &aNode : nullptr, "/classes/" + aName, aProblems);
  length_class one;
  one.mName = aName;
  one.mWeight =
    reader.Number("weight", { 0, 1e6, "weight" }).value_or(one.mWeight);
  one.mLeast =
    reader.Number("least", { 1, 1e8, "tokens" }).value_or(one.mLeast);
  one.mMost = reader.Number("most", { 1, 1e8, "tokens" }).value_or(one.mMost);
  one.mMeanOutput = reader.Number("mean_output", { 4, 1e5, "tokens" })
                      .value_or(one.mMeanOutput);
  one.mPriority = static_cast<unsigned>(
    reader.Number("priority", { 0, 3, "class" }).value_or(one.mPriority));
  one.mTimeLimitSeconds =
    reader.Number("time_limit_s", { 0.1, 86400, "seconds" })
      .value_or(one.mTimeLimitSeconds);
  reader.Finish();
  if (one.mMost < one.mLeast) {
    reader.Report("most", "expected at least \"least\"");
  }
  aMix.mClasses.push_back(std::move(one));
}

void
ReadOrganisation(const std::string& aName,
                 const json& aNode,
                 settings_problems& aProblems,
                 traffic_mix& aMix)
{
  object_reader reader(
    aNode.is_object() ? &aNode : nullptr, "/organisations/" + aName, aProblems);
  organisation_share one;
  one.mName = aName;
  one.mWeight = reader.Number("weight", { 0, 1e6, "weight" }).value_or(1);
  one.mShareWeight =
    reader.Number("share_weight", { 0.01, 1000, "weight" }).value_or(1);
  reader.Finish();
  aMix.mOrganisations.push_back(std::move(one));
}

void
ReadWorld(object_reader& aReader, simulation_settings& aWorld)
{
  aWorld.mEngines = static_cast<std::size_t>(
    aReader.Number("engines", { 1, 2000, "engines" }).value_or(20));
  aWorld.mEntries = static_cast<std::size_t>(
    aReader.Number("entries", { 1, 1000, "entries" }).value_or(4));
  aWorld.mProbeLossRate =
    aReader.Number("lost_probes", { 0, 1, "part" }).value_or(0);
  aWorld.mEngineCrashes = static_cast<std::size_t>(
    aReader.Number("deaths", { 0, 2000, "engines" }).value_or(0));
}

result<void>
ReadLoads(const json& aDocument, experiment& aExperiment)
{
  if (!aDocument.contains("loads") || !aDocument["loads"].is_array()) {
    return Fail(error_kind::SettingsInvalid,
                "/loads: expected a list of numbers");
  }
  for (const json& load : aDocument["loads"]) {
    constexpr double kMost = 20;
    const bool good =
      load.is_number() && load.get<double>() > 0 && load.get<double>() <= kMost;
    if (!good) {
      return Fail(error_kind::SettingsInvalid,
                  "/loads: expected numbers over 0 and up to 20, found " +
                    DescribeValue(load));
    }
    aExperiment.mLoads.push_back(load.get<double>());
  }
  return {};
}

double
IdleEngineSeconds(const arrival& aArrival, const engine_shape& aEngine)
{
  const double prompt = static_cast<double>(aArrival.mShape.mPromptTokens);
  const double chunk = static_cast<double>(aEngine.mChunk);
  const double steps = std::ceil(prompt / chunk);
  const double reading =
    steps * aEngine.mBaseStepSeconds + prompt / aEngine.mPrefillTokensPerSecond;
  const double writing =
    static_cast<double>(aArrival.mOutput - 1) * StepSeconds(aEngine, 1, 0, 0);
  return reading + writing;
}

sample
ShortSlowdowns(const simulation_result& aResult,
               const std::vector<arrival>& aArrivals,
               const engine_shape& aEngine)
{
  sample slowdowns;
  for (const request_record& record : aResult.mRequests) {
    const arrival& own = aArrivals[record.mArrival];
    if (own.mShape.mPromptTokens <= kShortLimit &&
        record.mEnd == request_outcome::Complete) {
      slowdowns.mValues.push_back(record.mSecondsToEnd /
                                  IdleEngineSeconds(own, aEngine));
    }
  }
  std::sort(slowdowns.mValues.begin(), slowdowns.mValues.end());
  return slowdowns;
}

/// The distance of each organisation's served part from its fair part, where
/// all of them ask for more than that.
double
ShareError(const experiment& aExperiment,
           const simulation_result& aResult,
           const std::vector<arrival>& aArrivals)
{
  const std::vector<organisation_share>& shares =
    aExperiment.mMix.mOrganisations;
  std::vector<double> served(shares.size());
  double all = 0;
  double weights = 0;
  for (const organisation_share& one : shares) {
    weights += one.mShareWeight;
  }
  const time_point end = aArrivals.back().mAt;
  for (const request_record& record : aResult.mRequests) {
    const arrival& own = aArrivals[record.mArrival];
    const bool inTime = own.mAt + FromSeconds(record.mSecondsToEnd) <= end;
    if (record.mEnd == request_outcome::Complete && inTime) {
      const double cost =
        NominalCost(own.mShape, own.mOutput, aExperiment.mWorld.mEngine);
      served[own.mOrganisation] += cost;
      all += cost;
    }
  }
  double error = 0;
  for (std::size_t i = 0; i < shares.size() && all > 0; ++i) {
    const double fair = shares[i].mShareWeight / weights;
    error = std::max(error, std::abs(served[i] / all - fair));
  }
  return error;
}

void
Count(run_summary& aSummary, const request_record& aRecord)
{
  aSummary.mComplete += aRecord.mEnd == request_outcome::Complete ? 1 : 0;
  aSummary.mRefused += aRecord.mEnd == request_outcome::Refused ? 1 : 0;
  aSummary.mTimedOutCount += aRecord.mEnd == request_outcome::Late ? 1 : 0;
}

run_summary
SimulateRun(const experiment& aExperiment,
            const bench_policy& aPolicy,
            double aLoad)
{
  const engine_shape& engine = aExperiment.mWorld.mEngine;
  const double rate =
    aLoad *
    NominalCapacity(aExperiment.mMix, engine, aExperiment.mWorld.mEngines);
  const std::vector<arrival> arrivals =
    DrawArrivals(aExperiment.mMix,
                 rate,
                 FromSeconds(aExperiment.mSeconds),
                 aExperiment.mLongPrompt,
                 aExperiment.mSeed);
  const simulation_result result = RunSimulation(
    aExperiment.mWorld, aPolicy, aExperiment.mMix, arrivals, aExperiment.mSeed);
  run_summary summary;
  summary.mPolicy = aPolicy.mName;
  summary.mLoad = aLoad;
  summary.mArrivalCount = arrivals.size();
  double served = 0;
  for (const request_record& record : result.mRequests) {
    const arrival& own = arrivals[record.mArrival];
    Count(summary, record);
    if (record.mEnd != request_outcome::Complete) {
      continue;
    }
    served += NominalCost(own.mShape, own.mOutput, engine);
    const tokens length = own.mShape.mPromptTokens;
    sample& first = length <= kShortLimit  ? summary.mShortFirstToken
                    : length <= kLongLimit ? summary.mMiddleFirstToken
                                           : summary.mLongFirstToken;
    first.mValues.push_back(record.mSecondsToFirstToken);
  }
  for (sample* const one : { &summary.mShortFirstToken,
                             &summary.mMiddleFirstToken,
                             &summary.mLongFirstToken }) {
    std::sort(one->mValues.begin(), one->mValues.end());
  }
  const double engineSeconds =
    aExperiment.mSeconds * static_cast<double>(aExperiment.mWorld.mEngines);
  const double offered = static_cast<double>(arrivals.size());
  summary.mGoodput = served / engineSeconds;
  summary.mBusy = result.mBusySeconds / engineSeconds;
  summary.mProbesPerRequest = static_cast<double>(result.mProbes) / offered;
  summary.mReservationsPerRequest =
    static_cast<double>(result.mReservations) / offered;
  summary.mLeakedTokens = result.mLeakedTokens;
  summary.mShareError = ShareError(aExperiment, result, arrivals);
  summary.mShortSlowdown = ShortSlowdowns(result, arrivals, engine);
  std::vector<arrival> shortOnly;
  for (const arrival& one : arrivals) {
    if (!one.mShape.mLong) {
      shortOnly.push_back(one);
    }
  }
  summary.mShortSlowdownWithoutLong =
    ShortSlowdowns(RunSimulation(aExperiment.mWorld,
                                 aPolicy,
                                 aExperiment.mMix,
                                 shortOnly,
                                 aExperiment.mSeed),
                   shortOnly,
                   engine);
  return summary;
}

} // namespace

double
sample::At(double aPart) const
{
  if (mValues.empty()) {
    return 0;
  }
  const double rank = aPart * static_cast<double>(mValues.size() - 1);
  return mValues[static_cast<std::size_t>(std::lround(rank))];
}

result<experiment>
LoadExperiment(const std::string& aFile)
{
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(aFile));
  BOOST_LEAF_ASSIGN(json const document, ParseSettings(text, aFile));
  settings_problems problems;
  object_reader reader(&document, "", problems);
  experiment read;
  read.mName = reader.RequiredText("name");
  const std::string treeFile = reader.RequiredText("tree");
  ReadWorld(reader, read.mWorld);
  read.mSeconds =
    reader.Number("seconds", { 1, 86400, "seconds" }).value_or(read.mSeconds);
  read.mSeed = static_cast<std::uint64_t>(
    reader.Number("seed", { 0, 1e9, "seed" }).value_or(1));
  read.mMix.mSharedPrefixPart =
    reader.Number("shared_prefix_part", { 0, 1, "part" }).value_or(0.3);
  const std::vector<std::string> policies = reader.Texts("policies");
  const json* const classes = reader.Object("classes");
  const json* const organisations = reader.Object("organisations");
  reader.Expect("loads");
  reader.Finish();
  // NOTE: Named, since a loop over items() of a temporary would outlive it.
  const json none = json::object();
  const json& classNodes = classes == nullptr ? none : *classes;
  const json& organisationNodes =
    organisations == nullptr ? none : *organisations;
  for (const auto& [name, node] : classNodes.items()) {
    ReadClass(name, node, problems, read.mMix);
  }
  for (const auto& [name, node] : organisationNodes.items()) {
    ReadOrganisation(name, node, problems, read.mMix);
  }
  if (read.mMix.mClasses.empty() || read.mMix.mOrganisations.empty()) {
    problems.push_back({ "/", "expected classes and organisations" });
  }
  BOOST_LEAF_CHECK(RequireNoProblems(problems, aFile));
  BOOST_LEAF_CHECK(ReadLoads(document, read));
  const std::filesystem::path folder =
    std::filesystem::path(aFile).parent_path();
  BOOST_LEAF_ASSIGN(settings_tree const tree,
                    LoadTree((folder / treeFile).string()));
  if (tree.Models().empty()) {
    return Fail(error_kind::SettingsInvalid, treeFile + ": has no model");
  }
  const model_settings& model = tree.Models().begin()->second;
  read.mWorld.mEngine = EngineShapeFor(model);
  const policy values = tree.Resolve({});
  read.mLongPrompt = static_cast<tokens>(values.mLongPromptTokens);
  read.mWorld.mQueueWaitSeconds = values.mQueueWaitSeconds;
  read.mWorld.mLongQueueWaitSeconds = values.mLongQueueWaitSeconds;
  for (const std::string& name : policies) {
    BOOST_LEAF_ASSIGN(bench_policy one, MakeBenchPolicy(name, values));
    read.mPolicies.push_back(std::move(one));
  }
  return read;
}

std::vector<run_summary>
RunExperiment(const experiment& aExperiment,
              std::size_t aThreads,
              const std::function<void(std::size_t, std::size_t)>& aProgress)
{
  struct planned
  {
    const bench_policy* mPolicy;
    double mLoad;
  };
  std::vector<planned> runs;
  for (const double load : aExperiment.mLoads) {
    for (const bench_policy& one : aExperiment.mPolicies) {
      runs.push_back({ &one, load });
    }
  }
  std::vector<run_summary> summaries(runs.size());
  std::size_t done = 0;
  for (std::size_t first = 0; first < runs.size(); first += aThreads) {
    const std::size_t end = std::min(runs.size(), first + aThreads);
    std::vector<std::future<run_summary>> batch;
    for (std::size_t i = first; i < end; ++i) {
      batch.push_back(std::async(std::launch::async, [&, i]() {
        return SimulateRun(aExperiment, *runs[i].mPolicy, runs[i].mLoad);
      }));
    }
    for (std::size_t i = first; i < end; ++i) {
      summaries[i] = batch[i - first].get();
      aProgress(++done, runs.size());
    }
  }
  return summaries;
}

} // namespace primrose::bench
