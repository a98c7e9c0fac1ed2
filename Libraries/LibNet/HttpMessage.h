#pragma once

/// Heads of HTTP/1.1 messages as values, and functions to look up and write
/// header fields and chunks.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrose {

struct http_field
{
  std::string mName;
  std::string mValue;

  bool operator==(const http_field&) const = default;
};

using http_fields = std::vector<http_field>;

/// The head of a request or of an answer: start line and fields.
struct http_head
{
  std::string mMethod;  ///< Requests only.
  std::string mTarget;  ///< Requests only: path and query, unchanged.
  unsigned mStatus = 0; ///< Answers only.
  http_fields mFields;
  bool mKeepAlive = false; ///< The connection may carry another message.

  bool operator==(const http_head&) const = default;
};

/// Compares field names, ignoring case.
bool
SameFieldName(std::string_view aOne, std::string_view aOther);

/// The name in lower case.
std::string
LowerCaseFieldName(std::string_view aName);

/// True if the text would end a line of a head, or is not text at all.
bool
HasLineBreak(std::string_view aText);

/// The value of the first field with this name, ignoring case.
std::optional<std::string_view>
FieldValue(const http_fields& aFields, std::string_view aName);

/// The number of fields with this name, ignoring case.
std::size_t
FieldCount(const http_fields& aFields, std::string_view aName);

/// True for hop-by-hop fields, which are never forwarded: those of the HTTP
/// standard, and those that the `Connection` field names.
bool
IsHopByHopField(const http_fields& aFields, std::string_view aName);

/// Appends `name: value\r\n` to a head that is being written.
void
AppendField(std::string& aHead,
            std::string_view aName,
            std::string_view aValue);

/// The standard reason phrase of a status.
std::string_view
ReasonPhrase(unsigned aStatus);

/// Appends the bytes as one chunk of a chunked body. Appends nothing if there
/// are none, since an empty chunk would end the message.
void
AppendChunk(std::string& aOutput, std::string_view aBytes);

/// The empty chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace primrose
