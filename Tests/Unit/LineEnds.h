#pragma once

#include <string>
#include <string_view>

namespace primrose::test {

/// The text with another line end in place of each LF.
inline std::string
WithLineEnds(std::string_view aText, std::string_view aLineEnd)
{
  std::string text;
  for (const char one : aText) {
    text.append(one == '\n' ? aLineEnd : std::string_view(&one, 1));
  }
  return text;
}

} // namespace primrose::test
