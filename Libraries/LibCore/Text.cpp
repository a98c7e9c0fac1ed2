#include "LibCore/Text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>

namespace primrose {

namespace {

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0U : 1U);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ row[j] + 1, diagonal + 1, replaced });
    }
  }
  return row.back();
}

} // namespace

std::optional<std::string>
NearestWord(std::string_view aWord, const std::vector<std::string>& aKnown)
{
  constexpr std::size_t kLengthPerEdit = 3;
  // The + 2 always allows one edit, and two (such as a pair of swapped letters)
  // from three letters on.
  std::size_t best = aWord.size() / kLengthPerEdit + 2;
  std::optional<std::string> nearest;
  for (const std::string& known : aKnown) {
    const std::size_t distance = EditDistance(aWord, known);
    if (distance < best) {
      best = distance;
      nearest = known;
    }
  }
  return nearest;
}

std::optional<double>
ParseNumber(std::string_view aText)
{
  double number = 0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (parsed.ec != std::errc{} || parsed.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  if (!std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

} // namespace primrose
