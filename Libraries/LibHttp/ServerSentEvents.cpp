#include "LibHttp/ServerSentEvents.h"

#include <spdlog/fmt/fmt.h>

namespace primrose {

result<std::vector<std::string>>
sse_parser::Feed(std::string_view aBytes)
{
  std::vector<std::string> events;
  while (!aBytes.empty()) {
    if (mAfterCarriageReturn && mLine.empty() && aBytes.front() == '\n') {
      // The second half of a CR LF, whose CR has ended the line.
      mAfterCarriageReturn = false;
      aBytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = aBytes.find_first_of("\r\n");
    mLine += aBytes.substr(0, end);
    if (mLine.size() + mData.size() > mMaxEventBytes) {
      return Fail(error_kind::EndpointFailed,
                  fmt::format("an event is over {} bytes", mMaxEventBytes),
                  ran_state::Unknown);
    }
    if (end == std::string_view::npos) {
      break;
    }
    mAfterCarriageReturn = aBytes[end] == '\r';
    aBytes.remove_prefix(end + 1);
    ProcessLine(mLine, events);
    mLine.clear();
  }
  return events;
}

void
sse_parser::ProcessLine(std::string_view aLine,
                        std::vector<std::string>& aEvents)
{
  if (aLine.empty()) {
    if (mHasData) {
      aEvents.push_back(std::move(mData));
    }
    mData.clear();
    mHasData = false;
    return;
  }
  constexpr std::string_view kField = "data:";
  if (!aLine.starts_with(kField)) {
    return;
  }
  aLine.remove_prefix(kField.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (mHasData) {
    mData += '\n';
  }
  mData += aLine;
  mHasData = true;
}

std::string
FormatEvent(std::string_view aData)
{
  std::string event;
  while (true) {
    const std::size_t end = aData.find('\n');
    event += fmt::format("data: {}\n", aData.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    aData.remove_prefix(end + 1);
  }
  event += '\n';
  return event;
}

} // namespace primrose
