#pragma once

/// Functions that read members of untrusted JSON. A missing member or one of
/// the wrong type results in a failure whose message names the member, what was
/// expected and what was found.

#include "LibCore/LibCore.h"

#include <nlohmann/json.hpp>

#include <string>

namespace primrose {

using json = nlohmann::json;

/// Parses a JSON object. Fails with `MalformedJson`, also if it is nested too
/// deep, or with `WrongType` if the document is not an object.
result<json>
ParseObject(std::string_view aText);

result<std::string>
RequiredText(const json& aObject, const std::string& aName);
result<std::string>
OptionalText(const json& aObject,
             const std::string& aName,
             std::string aDefault);
/// An integer from `aMin` to `aMax`, or `aDefault` if the member is missing.
result<std::int64_t>
OptionalInteger(const json& aObject,
                const std::string& aName,
                std::int64_t aDefault,
                std::int64_t aMin,
                std::int64_t aMax);
result<bool>
OptionalFlag(const json& aObject, const std::string& aName, bool aDefault);

/// The body of an error answer: `{"error":{kind, message, ran,
/// retry_after_s}}`.
json
ErrorBody(const failure& aFailure);

} // namespace primrose
