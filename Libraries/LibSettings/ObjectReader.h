#pragma once

/// Checked reading of one JSON object of settings. Every problem is collected
/// with its path, what was expected and what was found; keys that no reader
/// asked for are problems too.

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

/// A whole number or fraction with its unit and inclusive bounds.
struct number_range
{
  double mLowest = 0;
  double mHighest = 0;
  std::string_view mUnit;
};

class object_reader
{
public:
  /// `aObject` may be null for an absent object: then everything is absent.
  object_reader(const json* aObject,
                std::string aPath,
                settings_problems& aProblems);

  std::optional<double> Number(const std::string& aKey,
                               const number_range& aRange);
  std::optional<std::string> Text(const std::string& aKey);
  std::optional<bool> Flag(const std::string& aKey);
  std::vector<std::string> Texts(const std::string& aKey);
  /// The child object, or null; a child that is no object is a problem.
  const json* Object(const std::string& aKey);
  std::string RequiredText(const std::string& aKey);
  /// A text that is an IP number and a port.
  std::string RequiredAddress(const std::string& aKey);

  /// Takes note of a key that its caller reads by itself.
  void Expect(const std::string& aKey) { mKnownKeys.push_back(aKey); }

  /// Reports the keys that nobody asked for, with the nearest known one.
  void Finish();
  void Report(const std::string& aKey, std::string aText);
  /// Takes over a problem that another reader found.
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

/// How a wrong value is shown in a message; long ones are cut.
std::string
DescribeValue(const json& aValue);

/// Parses JSON with comments. `aSource` names the text in messages.
result<json>
ParseSettings(const std::string& aText, const std::string& aSource);

/// Fails with `SettingsInvalid` and one line if there are problems.
result<void>
RequireNoProblems(const settings_problems& aProblems,
                  const std::string& aSource);

} // namespace primrose
