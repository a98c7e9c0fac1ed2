#pragma once

/// Server-sent events, as in the HTML standard's "event stream" format. Only
/// the `data` field is used here; others are skipped.

#include "LibCore/LibCore.h"

#include <string>
#include <string_view>
#include <vector>

namespace primrose {

/// Cuts a byte stream into events. An event over the limit is an error: a
/// stream from outside must not make this process hold unbounded memory.
class sse_parser
{
public:
  static constexpr std::size_t kDefaultMaxEventBytes =
    std::size_t{ 1024 } * 1024;

  explicit sse_parser(std::size_t aMaxEventBytes = kDefaultMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  /// Takes the next bytes; gives the data of each event that they complete.
  result<std::vector<std::string>> Feed(std::string_view aBytes);

private:
  void ProcessLine(std::string_view aLine, std::vector<std::string>& aEvents);

  std::size_t mMaxEventBytes;
  std::string mLine;
  std::string mData;
  bool mHasData = false;
};

/// One event as it is sent.
std::string
FormatEvent(std::string_view aData);

} // namespace primrose
