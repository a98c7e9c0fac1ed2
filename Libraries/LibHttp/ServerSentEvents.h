#pragma once

/// Server-sent events in the HTML standard's "event stream" format. Only the
/// `data` field is supported; other fields are skipped.

#include "LibCore/LibCore.h"

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// Splits a byte stream into events. An event over the limit is an error, so
/// that an untrusted stream can't make this process use unbounded memory.
class sse_parser
{
public:
  static constexpr std::size_t kDefaultMaxEventBytes =
    std::size_t{ 1024 } * 1024;

  explicit sse_parser(std::size_t aMaxEventBytes = kDefaultMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  /// Parses the next bytes. Returns the data of each event that they complete.
  result<std::vector<std::string>> Feed(std::string_view aBytes);

private:
  void ProcessLine(std::string_view aLine, std::vector<std::string>& aEvents);

  std::size_t mMaxEventBytes;
  std::string mLine;
  std::string mData;
  bool mHasData = false;
  bool mAfterCarriageReturn = false; ///< The last line ended with CR.
};

/// Formats one event with the given data, one `data` field for each line.
std::string
FormatEvent(std::string_view aData);

} // namespace primrose
