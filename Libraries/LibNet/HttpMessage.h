#pragma once

/// HTTP/1.1 messages as values: heads, and what decides where a body ends.

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

/// The head of a request or of an answer.
struct http_head
{
  std::string mMethod;  ///< Requests only.
  std::string mTarget;  ///< Requests only: path and query as they were sent.
  unsigned mStatus = 0; ///< Answers only.
  http_fields mFields;
  bool mKeepAlive = false; ///< The connection may serve another message.

  bool operator==(const http_head&) const = default;
};

bool
SameFieldName(std::string_view aOne, std::string_view aOther);

/// The value of the first field with this name, whatever its case.
std::optional<std::string_view>
FieldValue(const http_fields& aFields, std::string_view aName);

/// How many fields have this name.
std::size_t
FieldCount(const http_fields& aFields, std::string_view aName);

/// True for the fields that concern one connection only and are never
/// forwarded: those of the standard and those that `Connection` names.
bool
IsHopByHopField(const http_fields& aFields, std::string_view aName);

/// `name: value\r\n` at the end of a head that is being written.
void
AppendField(std::string& aHead,
            std::string_view aName,
            std::string_view aValue);

/// The usual reason phrase of a status.
std::string_view
ReasonPhrase(unsigned aStatus);

/// A body's bytes as one chunk; nothing for no bytes, since an empty chunk
/// would end the message.
void
AppendChunk(std::string& aOutput, std::string_view aBytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace primrose
