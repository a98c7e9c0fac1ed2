#include "LibSettings/ObjectReader.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace primrose {

namespace {

std::size_t
LineNumberAt(const std::string& aText, std::size_t aByte)
{
  const auto end =
    aText.begin() + static_cast<std::ptrdiff_t>(std::min(aByte, aText.size()));
  return 1 + static_cast<std::size_t>(std::count(aText.begin(), end, '\n'));
}

} // namespace

std::string
settings_problem::Line(const std::string& aSource) const
{
  return fmt::format("{}: {}: {}", aSource, mPath.empty() ? "/" : mPath, mText);
}

std::string
DescribeValue(const json& aValue)
{
  constexpr std::size_t kMaxLength = 40;
  std::string text =
    aValue.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxLength) {
    text = text.substr(0, kMaxLength) + "...";
  }
  return text;
}

object_reader::object_reader(const json* aObject,
                             std::string aPath,
                             settings_problems& aProblems)
  : mObject(aObject)
  , mPath(std::move(aPath))
  , mProblems(aProblems)
{
}

std::string
object_reader::PathOf(const std::string& aKey) const
{
  return mPath + "/" + aKey;
}

void
object_reader::Report(const std::string& aKey, std::string aText)
{
  mProblems.push_back({ PathOf(aKey), std::move(aText) });
}

const json*
object_reader::Find(const std::string& aKey)
{
  mKnownKeys.push_back(aKey);
  if (mObject == nullptr) {
    return nullptr;
  }
  const auto member = mObject->find(aKey);
  return member == mObject->end() ? nullptr : &*member;
}

std::optional<double>
object_reader::Number(const std::string& aKey, const number_range& aRange)
{
  const json* const value = Find(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  const bool inRange = value->is_number() &&
                       value->get<double>() >= aRange.mLowest &&
                       value->get<double>() <= aRange.mHighest;
  if (!inRange) {
    Report(aKey,
           fmt::format("expected a number of {} to {} ({}), found {}",
                       aRange.mLowest,
                       aRange.mHighest,
                       aRange.mUnit,
                       DescribeValue(*value)));
    return std::nullopt;
  }
  return value->get<double>();
}

std::optional<std::string>
object_reader::Text(const std::string& aKey)
{
  const json* const value = Find(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_string()) {
    Report(aKey,
           fmt::format("expected a text, found {}", DescribeValue(*value)));
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<bool>
object_reader::Flag(const std::string& aKey)
{
  const json* const value = Find(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_boolean()) {
    Report(
      aKey,
      fmt::format("expected true or false, found {}", DescribeValue(*value)));
    return std::nullopt;
  }
  return value->get<bool>();
}

std::vector<std::string>
object_reader::Texts(const std::string& aKey)
{
  const json* const value = Find(aKey);
  std::vector<std::string> texts;
  if (value == nullptr) {
    return texts;
  }
  const bool isList =
    value->is_array() &&
    std::all_of(value->begin(), value->end(), [](const json& aItem) {
      return aItem.is_string();
    });
  if (!isList) {
    Report(
      aKey,
      fmt::format("expected a list of texts, found {}", DescribeValue(*value)));
    return texts;
  }
  for (const json& item : *value) {
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

const json*
object_reader::Object(const std::string& aKey)
{
  const json* const value = Find(aKey);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_object()) {
    Report(aKey,
           fmt::format("expected an object, found {}", DescribeValue(*value)));
    return nullptr;
  }
  return value;
}

std::string
object_reader::RequiredText(const std::string& aKey)
{
  const std::size_t problems = mProblems.size();
  const std::optional<std::string> text = Text(aKey);
  if (!text && mProblems.size() == problems) {
    Report(aKey, "expected a text, found nothing");
  }
  return text.value_or("");
}

std::string
object_reader::RequiredAddress(const std::string& aKey)
{
  const std::size_t problems = mProblems.size();
  std::string text = RequiredText(aKey);
  if (mProblems.size() > problems) {
    return text;
  }
  const outcome<ip_address> parsed =
    Capture<ip_address>([&text]() { return ParseAddress(text); });
  if (!parsed) {
    Report(aKey, parsed.mFailure.mMessage);
  }
  return text;
}

void
object_reader::Finish()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& [key, value] : mObject->items()) {
    if (std::find(mKnownKeys.begin(), mKnownKeys.end(), key) !=
        mKnownKeys.end()) {
      continue;
    }
    const std::optional<std::string> similarKey = NearestWord(key, mKnownKeys);
    Report(key,
           similarKey
             ? fmt::format("unknown key; did you mean \"{}\"?", *similarKey)
             : fmt::format("unknown key; expected one of: {}",
                           fmt::join(mKnownKeys, ", ")));
  }
}

result<json>
ParseSettings(const std::string& aText, const std::string& aSource)
{
  try {
    json document = json::parse(aText, nullptr, true, true);
    if (!document.is_object()) {
      return Fail(error_kind::SettingsInvalid,
                  fmt::format("{}: /: expected an object, found {}",
                              aSource,
                              DescribeValue(document)));
    }
    return document;
  } catch (const json::parse_error& problem) {
    return Fail(error_kind::SettingsInvalid,
                fmt::format("{}: line {}: not JSON with comments: {}",
                            aSource,
                            LineNumberAt(aText, problem.byte),
                            problem.what()));
  }
}

result<void>
RequireNoProblems(const settings_problems& aProblems,
                  const std::string& aSource)
{
  if (aProblems.empty()) {
    return {};
  }
  std::string line = aProblems.front().Line(aSource);
  if (aProblems.size() > 1) {
    line += fmt::format(" (and {} more)", aProblems.size() - 1);
  }
  return Fail(error_kind::SettingsInvalid, std::move(line));
}

} // namespace primrose
