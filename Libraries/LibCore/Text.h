#pragma once

/// Small helpers for texts that people read.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// The known word nearest to a mistyped one (edit distance of at most a third
/// of its length), for "did you mean".
std::optional<std::string>
NearestWord(std::string_view aWord, const std::vector<std::string>& aKnown);

/// A finite decimal number that uses the whole text, or nothing.
std::optional<double>
ParseNumber(std::string_view aText);

} // namespace primrose
