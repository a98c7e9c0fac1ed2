#pragma once

/// Reading callers' requests: every wrong input has its own kind of error.

#include "EntryState.h"

#include "LibHttp/LibHttp.h"

namespace primrose::entry {

/// What every request has.
struct request_head
{
  std::string mId;
  tree_path mPath;
  policy mPolicy;
  time_point mDeadline;

  bool operator==(const request_head&) const = default;
};

struct completion_request
{
  request_head mHead;
  std::string mPrompt;
  work_shape mShape;
  bool mStream = false;

  bool operator==(const completion_request&) const = default;
};

struct call_request
{
  request_head mHead;
  std::string mMethod;
  std::string mServicePath;
  std::string mContentType;
  std::string mBody;
  std::string mKey;
  bool mGuarded = false;

  bool operator==(const call_request&) const = default;
};

/// The organisation whose key the caller showed.
result<std::string>
Authenticate(const settings_tree& aTree, const http_exchange& aExchange);

result<completion_request>
ReadCompletion(const settings_tree& aTree,
               const http_exchange& aExchange,
               const std::string& aId,
               time_point aNow);

result<call_request>
ReadCall(const settings_tree& aTree,
         const http_exchange& aExchange,
         const std::string& aId,
         time_point aNow);

/// The time limit in seconds that a Request-Timeout header asks for.
result<double>
ReadTimeLimit(const std::string& aHeader, bool aPresent, const policy& aPolicy);

} // namespace primrose::entry
