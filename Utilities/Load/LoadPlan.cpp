#include "LoadPlan.h"

namespace primrose::load {

namespace {

constexpr number_range kCallCountRange = { 0, 1e6, "requests" };
constexpr number_range kTokens = { 1, 1e8, "tokens" };

std::uint64_t
Whole(std::optional<double> aNumber, std::uint64_t aDefault)
{
  return aNumber ? static_cast<std::uint64_t>(*aNumber) : aDefault;
}

void
ReadCallers(object_reader& aReader, load_plan& aPlan)
{
  const json* const callers = aReader.Object("callers");
  if (callers == nullptr) {
    return;
  }
  for (const auto& [name, key] : callers->items()) {
    if (!key.is_string()) {
      aReader.Report("callers/" + name,
                     "expected a key, found " + DescribeValue(key));
      continue;
    }
    aPlan.mCallers.push_back({ name, key.get<std::string>() });
  }
}

void
ReadPrompts(object_reader& aReader,
            load_plan& aPlan,
            settings_problems& aProblems)
{
  const json* const prompts = aReader.Object("prompts");
  if (prompts == nullptr) {
    return;
  }
  for (const auto& [size, count] : prompts->items()) {
    const std::optional<double> tokens = ParseNumber(size);
    const bool good = tokens && *tokens >= 1 && *tokens <= kTokens.mHighest &&
                      count.is_number_unsigned();
    if (!good) {
      aProblems.push_back(
        { "/prompts/" + size,
          "expected tokens and a count, found " + DescribeValue(count) });
      continue;
    }
    aPlan.mPrompts.push_back(
      { static_cast<std::uint64_t>(*tokens), count.get<std::uint64_t>() });
  }
}

} // namespace

result<load_plan>
ReadLoadPlan(const std::string& aFile)
{
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(aFile));
  BOOST_LEAF_ASSIGN(json const document, ParseSettings(text, aFile));
  settings_problems problems;
  object_reader reader(&document, "", problems);
  load_plan plan;
  plan.mEntries = reader.Texts("entries");
  ReadCallers(reader, plan);
  plan.mModel = reader.RequiredText("model");
  plan.mService = reader.Text("service").value_or("");
  plan.mGuardedPath = reader.Text("guarded_path").value_or("/");
  plan.mPlainPath = reader.Text("plain_path").value_or("/");
  ReadPrompts(reader, plan, problems);
  plan.mPlainCalls = Whole(reader.Number("plain_calls", kCallCountRange), 0);
  plan.mGuardedCalls =
    Whole(reader.Number("guarded_calls", kCallCountRange), 0);
  plan.mConcurrency =
    Whole(reader.Number("at_once", { 1, 256, "requests" }), plan.mConcurrency);
  plan.mOutputTokens =
    Whole(reader.Number("output_tokens", kTokens), plan.mOutputTokens);
  plan.mSeed = Whole(reader.Number("seed", { 0, 1e9, "seed" }), plan.mSeed);
  plan.mTimeLimitSeconds =
    reader.Number("time_limit_s", { 0.1, 86400, "seconds" })
      .value_or(plan.mTimeLimitSeconds);
  reader.Finish();
  if (plan.mEntries.empty() || plan.mCallers.empty()) {
    problems.push_back({ "/", "expected entries and callers, found none" });
  }
  BOOST_LEAF_CHECK(RequireNoProblems(problems, aFile));
  return plan;
}

} // namespace primrose::load
