#pragma once

/// Checked reading of one JSON object of settings. All problems are collected,
/// each with its path, the expected and the found value. Keys that were never
/// requested are reported as unknown.

#include "LibCore/LibCore.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace primrose {

using json = nlohmann::json;

struct settings_problem
{
  std::string mPath; ///< Such as `/organisations/padani/values/probes`.
  std::string mText;

  bool operator==(const settings_problem&) const = default;
  std::string Line(const std::string& aSource) const;
};

using settings_problems = std::vector<settings_problem>;

/// The inclusive bounds and the unit of a number, whole or fractional.
struct number_range
{
  double mLowest = 0;
  double mHighest = 0;
  std::string_view mUnit;
};

class object_reader
{
public:
  /// A null `aObject` stands for an absent object: all its keys are absent.
  object_reader(const json* aObject,
                std::string aPath,
                settings_problems& aProblems);

  // These return nullopt, or an empty list, if the key is absent or its value
  // is invalid; an invalid value is reported.
  std::optional<double> Number(const std::string& aKey,
                               const number_range& aRange);
  std::optional<std::string> Text(const std::string& aKey);
  std::optional<bool> Flag(const std::string& aKey);
  std::vector<std::string> Texts(const std::string& aKey);
  /// The child object, or null if absent. A value that is not an object is
  /// reported.
  const json* Object(const std::string& aKey);
  /// Like `Text`, but an absent key is reported and gives an empty text.
  std::string RequiredText(const std::string& aKey);
  /// A required text of the form `IP-ADDRESS:PORT`.
  std::string RequiredAddress(const std::string& aKey);

  /// Declares a key as known that the caller reads without this class.
  void Expect(const std::string& aKey) { mKnownKeys.push_back(aKey); }

  /// Reports every key of the object that was never requested, with the most
  /// similar known key.
  void Finish();
  void Report(const std::string& aKey, std::string aText);
  /// Adds a problem that another reader found.
  void AddProblem(settings_problem aProblem)
  {
    mProblems.push_back(std::move(aProblem));
  }
  std::string PathOf(const std::string& aKey) const;

private:
  const json* Find(const std::string& aKey);

  const json* mObject;
  std::string mPath;
  settings_problems& mProblems;
  std::vector<std::string> mKnownKeys;
};

/// A value as JSON for error messages, cut off if it is long.
std::string
DescribeValue(const json& aValue);

/// Parses JSON with comments. `aSource` is the name of the text in messages.
result<json>
ParseSettings(const std::string& aText, const std::string& aSource);

/// Fails with `SettingsInvalid` if there are problems. The message is one line
/// with the first problem and the number of further ones.
result<void>
RequireNoProblems(const settings_problems& aProblems,
                  const std::string& aSource);

} // namespace primrose
