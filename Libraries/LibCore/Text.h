#pragma once

/// Helpers for parsing text and for error messages.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// The known word nearest to a mistyped one, for "did you mean" hints; nothing
/// if none is within an edit distance of a third of the word's length plus one.
std::optional<std::string>
NearestWord(std::string_view aWord, const std::vector<std::string>& aKnown);

/// Parses a finite decimal number; nothing unless the whole text is one.
std::optional<double>
ParseNumber(std::string_view aText);

} // namespace primrose
