#include "LibSettings/Policy.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

constexpr double kSecondsPerDay = 86400;
constexpr double kMaxTokenValue = 1e15;

constexpr std::array kPolicyValues = {
  policy_value{ "time_limit_s",
                &policy::mTimeLimitSeconds,
                { 0.001, kSecondsPerDay, "seconds" },
                "A request's time limit when it names none." },
  policy_value{ "longest_time_limit_s",
                &policy::mLongestTimeLimitSeconds,
                { 0.001, kSecondsPerDay, "seconds" },
                "The largest Request-Timeout that is taken." },
  policy_value{ "priority",
                &policy::mPriority,
                { 0, 3, "class" },
                "0 is served first, 3 last; waiting raises a request." },
  policy_value{ "share_weight",
                &policy::mShareWeight,
                { 0.01, 1000, "weight" },
                "Share of the fleet under contention, by tokens." },
  policy_value{
    "tokens_per_s",
    &policy::mTokensPerSecond,
    { 1, kMaxTokenValue, "tokens/s" },
    "Tokens an organisation may spend in a second, over all entries." },
  policy_value{
    "concurrent_tokens",
    &policy::mConcurrentTokens,
    { 1, kMaxTokenValue, "tokens" },
    "Tokens an organisation may have in flight, over all entries." },
  policy_value{ "longest_prompt_tokens",
                &policy::mLongestPromptTokens,
                { 1, 1e8, "tokens" },
                "Longer prompts are refused." },
  policy_value{ "long_prompt_tokens",
                &policy::mLongPromptTokens,
                { 1, 1e8, "tokens" },
                "From this length a prompt is placed as a long one." },
  policy_value{ "probes",
                &policy::mProbes,
                { 1, 64, "agents" },
                "Agents asked before a request is placed." },
  policy_value{ "probe_timeout_s",
                &policy::mProbeTimeoutSeconds,
                { 0.001, 60, "seconds" },
                "An agent that has not answered by then is passed over." },
  policy_value{
    "queue_wait_s",
    &policy::mQueueWaitSeconds,
    { 0.01, kSecondsPerDay, "seconds" },
    "The longest wait in one agent's queue before another is tried." },
  policy_value{
    "long_memory_part",
    &policy::mLongMemoryPart,
    { 0.05, 1, "part" },
    "Part of an engine's memory that long prompts may hold together." },
  policy_value{
    "long_tokens_at_once",
    &policy::mLongTokensAtOnce,
    { 1, 1e9, "tokens" },
    "Prompt tokens of long requests that one engine reads at once." },
  policy_value{
    "long_spread",
    &policy::mLongSpread,
    { 1, 16, "engines" },
    "Engines over which a long prompt may be spread to read it sooner." },
  policy_value{ "long_part_tokens",
                &policy::mLongPartTokens,
                { 1000, 1e9, "tokens" },
                "A long prompt is cut into parts of at most this many tokens, "
                "each on an engine of its own." },
  policy_value{ "most_parts",
                &policy::mMostParts,
                { 1, 64, "engines" },
                "Most engines that one long prompt is cut over, unless its "
                "memory needs more." },
  policy_value{ "long_patience",
                &policy::mLongPatience,
                { 0, 100, "part of reading time" },
                "Long prompts are packed on few engines and move on to one "
                "more when they would wait longer than this part of their own "
                "reading time; 0: not packed." },
  policy_value{ "long_queue_wait_s",
                &policy::mLongQueueWaitSeconds,
                { 0.01, 86400, "seconds" },
                "The longest wait of a long prompt in one agent's queue before "
                "others are tried." },
  policy_value{ "long_attempts",
                &policy::mLongAttempts,
                { 1, 1000, "attempts" },
                "Placements tried for a long prompt at the most." },
  policy_value{
    "short_protection",
    &policy::mShortProtection,
    { 0, 100, "factor" },
    "How strongly long prompts keep away from engines with short ones." },
  policy_value{ "ageing_s",
                &policy::mAgeingSeconds,
                { 0.1, kSecondsPerDay, "seconds" },
                "Waiting this long raises a request by one priority class." },
  policy_value{ "lease_s",
                &policy::mLeaseSeconds,
                { 0.1, 600, "seconds" },
                "A reservation not renewed in this time is freed." },
  policy_value{ "attempts",
                &policy::mAttempts,
                { 1, 100, "attempts" },
                "Placements tried for one request at the most." },
  policy_value{
    "backoff_s",
    &policy::mBackoffSeconds,
    { 0.001, 60, "seconds" },
    "First pause before another attempt; it doubles, with jitter." },
  policy_value{ "retry_budget",
                &policy::mRetryBudget,
                { 0, 10, "retries per request" },
                "Retries an entry may send for each request it admits." },
};

} // namespace

std::span<const policy_value>
PolicyValues()
{
  return kPolicyValues;
}

const policy_value*
FindPolicyValue(std::string_view aName)
{
  const auto row =
    std::find_if(kPolicyValues.begin(),
                 kPolicyValues.end(),
                 [&](const policy_value& aRow) { return aRow.mName == aName; });
  return row == kPolicyValues.end() ? nullptr : &*row;
}

} // namespace primrose
