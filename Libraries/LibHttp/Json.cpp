#include "LibHttp/Json.h"

#include <spdlog/fmt/fmt.h>

namespace primrose {

namespace {

constexpr int kMaxNesting = 32;

leaf::error_id
WrongTypeError(const std::string& aName,
               std::string_view aExpected,
               const json& aFound)
{
  return Fail(
    error_kind::WrongType,
    fmt::format(
      "\"{}\": expected {}, found {}", aName, aExpected, aFound.type_name()));
}

} // namespace

result<json>
ParseObject(std::string_view aText)
{
  bool tooDeep = false;
  const json::parser_callback_t bound =
    [&tooDeep](int aDepth, json::parse_event_t, json&) {
      tooDeep = tooDeep || aDepth > kMaxNesting;
      return !tooDeep;
    };
  json document = json::parse(aText, bound, false);
  if (tooDeep) {
    return Fail(error_kind::MalformedJson,
                fmt::format("nested deeper than {}", kMaxNesting));
  }
  if (document.is_discarded()) {
    return Fail(error_kind::MalformedJson, "the body is not JSON");
  }
  if (!document.is_object()) {
    return Fail(
      error_kind::WrongType,
      fmt::format("expected a JSON object, found {}", document.type_name()));
  }
  return document;
}

result<std::string>
RequiredText(const json& aObject, const std::string& aName)
{
  const auto member = aObject.find(aName);
  if (member == aObject.end()) {
    return Fail(error_kind::MissingField,
                fmt::format("\"{}\" is required", aName));
  }
  if (!member->is_string()) {
    return WrongTypeError(aName, "a string", *member);
  }
  return member->get<std::string>();
}

result<std::string>
OptionalText(const json& aObject,
             const std::string& aName,
             std::string aDefault)
{
  if (!aObject.contains(aName)) {
    return aDefault;
  }
  return RequiredText(aObject, aName);
}

result<std::int64_t>
OptionalInteger(const json& aObject,
                const std::string& aName,
                std::int64_t aDefault,
                std::int64_t aLowest,
                std::int64_t aHighest)
{
  const auto member = aObject.find(aName);
  if (member == aObject.end()) {
    return aDefault;
  }
  if (!member->is_number_integer()) {
    return WrongTypeError(aName, "a whole number", *member);
  }
  const bool tooBig =
    member->is_number_unsigned() &&
    member->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  const std::int64_t value = tooBig ? INT64_MAX : member->get<std::int64_t>();
  if (value < aLowest || value > aHighest) {
    return Fail(error_kind::BadValue,
                fmt::format("\"{}\": expected {} to {}, found {}",
                            aName,
                            aLowest,
                            aHighest,
                            member->dump()));
  }
  return value;
}

result<bool>
OptionalFlag(const json& aObject, const std::string& aName, bool aDefault)
{
  const auto member = aObject.find(aName);
  if (member == aObject.end()) {
    return aDefault;
  }
  if (!member->is_boolean()) {
    return WrongTypeError(aName, "true or false", *member);
  }
  return member->get<bool>();
}

json
ErrorBody(const failure& aFailure)
{
  json error = { { "kind", AnswerFor(aFailure.mKind).mName },
                 { "message", aFailure.mMessage },
                 { "ran", RanStateName(aFailure.mRan) } };
  if (aFailure.mRetryAfterSeconds) {
    error["retry_after_s"] = *aFailure.mRetryAfterSeconds;
  }
  return json{ { "error", error } };
}

} // namespace primrose
