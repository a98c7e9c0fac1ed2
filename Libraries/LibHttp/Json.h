#pragma once

/// Reading members of JSON that came from outside: every absent or wrong-typed
/// member becomes a failure that names the member, what was expected and what
/// was found.

#include "LibCore/LibCore.h"

#include <nlohmann/json.hpp>

#include <string>

namespace primrose {

using json = nlohmann::json;

/// Parses a body; fails with `MalformedJson` or, where the document is no
/// object, `WrongType`. Nesting is bounded.
result<json>
ParseObject(std::string_view aText);

result<std::string>
RequiredText(const json& aObject, const std::string& aName);
result<std::string>
OptionalText(const json& aObject,
             const std::string& aName,
             std::string aDefault);
/// A whole number within the bounds; `aDefault` where the member is absent.
result<std::int64_t>
OptionalInteger(const json& aObject,
                const std::string& aName,
                std::int64_t aDefault,
                std::int64_t aMin,
                std::int64_t aMax);
result<bool>
OptionalFlag(const json& aObject, const std::string& aName, bool aDefault);

/// `{"error":{kind, message, ran, retry_after_s}}`.
json
ErrorBody(const failure& aFailure);

} // namespace primrose
