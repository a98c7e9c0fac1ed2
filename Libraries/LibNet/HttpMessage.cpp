#include "LibNet/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <http_parser.h>

namespace primrose {

namespace {

/// Names of the hop-by-hop fields, in lower case.
constexpr std::array<std::string_view, 9> kHopByHopFields = {
  "connection", "keep-alive", "transfer-encoding", "content-length", "te",
  "trailer",    "upgrade",    "proxy-connection",  "expect"
};

char
Lower(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z'
           ? static_cast<char>(aCharacter - 'A' + 'a')
           : aCharacter;
}

/// True if a comma-separated list contains this word, ignoring case.
bool
ListContains(std::string_view aList, std::string_view aWord)
{
  while (!aList.empty()) {
    const std::size_t comma = aList.find(',');
    std::string_view item = aList.substr(0, comma);
    aList = comma == std::string_view::npos ? "" : aList.substr(comma + 1);
    const std::size_t first = item.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
      continue;
    }
    item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
    if (SameFieldName(item, aWord)) {
      return true;
    }
  }
  return false;
}

} // namespace

bool
SameFieldName(std::string_view aOne, std::string_view aOther)
{
  return std::equal(
    aOne.begin(),
    aOne.end(),
    aOther.begin(),
    aOther.end(),
    [](char aLeft, char aRight) { return Lower(aLeft) == Lower(aRight); });
}

std::string
LowerCaseFieldName(std::string_view aName)
{
  std::string name(aName);
  std::transform(name.begin(), name.end(), name.begin(), &Lower);
  return name;
}

bool
HasLineBreak(std::string_view aText)
{
  return aText.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

std::optional<std::string_view>
FieldValue(const http_fields& aFields, std::string_view aName)
{
  for (const http_field& field : aFields) {
    if (SameFieldName(field.mName, aName)) {
      return field.mValue;
    }
  }
  return std::nullopt;
}

std::size_t
FieldCount(const http_fields& aFields, std::string_view aName)
{
  return static_cast<std::size_t>(std::count_if(
    aFields.begin(), aFields.end(), [aName](const http_field& aField) {
      return SameFieldName(aField.mName, aName);
    }));
}

bool
IsHopByHopField(const http_fields& aFields, std::string_view aName)
{
  for (const std::string_view name : kHopByHopFields) {
    if (SameFieldName(name, aName)) {
      return true;
    }
  }
  for (const http_field& field : aFields) {
    if (SameFieldName(field.mName, "connection") &&
        ListContains(field.mValue, aName)) {
      return true;
    }
  }
  return false;
}

void
AppendField(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

std::string_view
ReasonPhrase(unsigned aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

void
AppendChunk(std::string& aOutput, std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  constexpr int kHexadecimal = 16;
  std::array<char, kHexadecimal> size{};
  const std::to_chars_result end = std::to_chars(
    size.data(), size.data() + size.size(), aBytes.size(), kHexadecimal);
  aOutput.append(size.data(), end.ptr);
  aOutput.append("\r\n").append(aBytes).append("\r\n");
}

} // namespace primrose
