#include "RequestParser.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

constexpr std::int64_t kMaxOutputTokens = 100000;
constexpr std::int64_t kDefaultOutputTokens = 16;
constexpr std::size_t kMaxIdempotencyKeyLength = 255;
constexpr std::string_view kServicesPrefix = "/services/";

bool
IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return aCharacter > ' ' && aCharacter < '\x7f';
  });
}

result<std::string>
ReadIdempotencyKey(const http_exchange& aExchange)
{
  std::string key = aExchange.Header("Idempotency-Key");
  if (key.size() > kMaxIdempotencyKeyLength || !IsPrintable(key)) {
    return Fail(error_kind::BadValue,
                fmt::format("Idempotency-Key: expected up to {} printable "
                            "characters without blanks",
                            kMaxIdempotencyKeyLength));
  }
  return key;
}

result<request_head>
ReadHead(const settings_tree& aTree,
         const http_exchange& aExchange,
         const std::string& aId,
         tree_path aPath,
         time_point aNow)
{
  request_head head;
  head.mId = aId;
  head.mPath = std::move(aPath);
  head.mPolicy = aTree.Resolve(head.mPath);
  BOOST_LEAF_ASSIGN(double const limit,
                    ReadTimeLimit(aExchange.Header("Request-Timeout"),
                                  aExchange.HasHeader("Request-Timeout"),
                                  head.mPolicy));
  head.mDeadline = aNow + FromSeconds(limit);
  return head;
}

result<void>
CheckPromptLength(const completion_request& aRequest)
{
  const double limit = aRequest.mHead.mPolicy.mLongestPromptTokens;
  if (static_cast<double>(aRequest.mShape.mPromptTokens) > limit) {
    return Fail(error_kind::PromptTooLong,
                fmt::format("the prompt has about {} tokens, the limit is {}",
                            aRequest.mShape.mPromptTokens,
                            limit));
  }
  return {};
}

} // namespace

result<std::string>
Authenticate(const settings_tree& aTree, const http_exchange& aExchange)
{
  const std::string key = aExchange.BearerKey();
  if (key.empty()) {
    return Fail(error_kind::Unauthenticated,
                "Authorization: expected \"Bearer KEY\"");
  }
  std::string organisation = aTree.OrganisationOfKey(KeyHash(key));
  if (organisation.empty()) {
    return Fail(error_kind::Unauthenticated, "no organisation has this key");
  }
  return organisation;
}

result<double>
ReadTimeLimit(const std::string& aHeader, bool aPresent, const policy& aPolicy)
{
  if (!aPresent) {
    return aPolicy.mTimeLimitSeconds;
  }
  const std::optional<double> seconds = ParseNumber(aHeader);
  if (!seconds || *seconds <= 0 ||
      *seconds > aPolicy.mLongestTimeLimitSeconds) {
    return Fail(error_kind::BadTimeLimit,
                fmt::format("Request-Timeout: expected seconds over 0 and up "
                            "to {}, found \"{}\"",
                            aPolicy.mLongestTimeLimitSeconds,
                            aHeader.substr(0, 40)));
  }
  return *seconds;
}

result<completion_request>
ReadCompletion(const settings_tree& aTree,
               const http_exchange& aExchange,
               const std::string& aId,
               time_point aNow)
{
  BOOST_LEAF_ASSIGN(std::string const organisation,
                    Authenticate(aTree, aExchange));
  BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange.Body()));
  BOOST_LEAF_ASSIGN(std::string const model, RequiredText(body, "model"));
  if (aTree.Model(model) == nullptr) {
    return Fail(error_kind::UnknownModel,
                fmt::format("there is no model \"{}\"", model));
  }
  BOOST_LEAF_ASSIGN(std::string const workload,
                    OptionalText(body, "workload", ""));
  completion_request request;
  BOOST_LEAF_ASSIGN(
    request.mHead,
    ReadHead(aTree, aExchange, aId, { organisation, model, workload }, aNow));
  BOOST_LEAF_ASSIGN(request.mPrompt, RequiredText(body, "prompt"));
  BOOST_LEAF_ASSIGN(
    std::int64_t const output,
    OptionalInteger(
      body, "max_tokens", kDefaultOutputTokens, 1, kMaxOutputTokens));
  BOOST_LEAF_ASSIGN(request.mStream, OptionalFlag(body, "stream", false));
  const policy& rules = request.mHead.mPolicy;
  request_shape& shape = request.mShape;
  shape.mModel = model;
  shape.mOrganisation = organisation;
  shape.mPromptTokens = std::max<tokens>(1, EstimateTokens(request.mPrompt));
  shape.mMaxTokens = static_cast<tokens>(output);
  shape.mPriority = static_cast<unsigned>(rules.mPriority);
  shape.mLong =
    static_cast<double>(shape.mPromptTokens) >= rules.mLongPromptTokens;
  shape.mPrefixHashes = PrefixHashes(request.mPrompt);
  BOOST_LEAF_CHECK(CheckPromptLength(request));
  return request;
}

result<call_request>
ReadCall(const settings_tree& aTree,
         const http_exchange& aExchange,
         const std::string& aId,
         time_point aNow)
{
  BOOST_LEAF_ASSIGN(std::string const organisation,
                    Authenticate(aTree, aExchange));
  const std::string rest = aExchange.Path().substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const service_settings* const service = aTree.Service(name);
  if (service == nullptr) {
    return Fail(error_kind::UnknownService,
                fmt::format("there is no service \"{}\"", name));
  }
  call_request request;
  BOOST_LEAF_ASSIGN(
    request.mHead,
    ReadHead(aTree,
             aExchange,
             aId,
             { organisation, name, aExchange.Header("Primrose-Workload") },
             aNow));
  request.mMethod = aExchange.Method();
  request.mServicePath = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!aExchange.Query().empty()) {
    request.mServicePath += "?" + aExchange.Query();
  }
  request.mContentType = aExchange.Header("Content-Type");
  request.mBody = aExchange.Body();
  BOOST_LEAF_ASSIGN(request.mKey, ReadIdempotencyKey(aExchange));
  request.mGuarded =
    std::any_of(service->mGuardedPaths.begin(),
                service->mGuardedPaths.end(),
                [&](const std::string& aPrefix) {
                  return request.mServicePath.starts_with(aPrefix);
                });
  if (request.mGuarded && request.mKey.empty()) {
    return Fail(
      error_kind::MissingIdempotencyKey,
      fmt::format("{} of {} must not run twice: send an Idempotency-Key",
                  request.mServicePath,
                  name));
  }
  return request;
}

} // namespace primrose::entry
