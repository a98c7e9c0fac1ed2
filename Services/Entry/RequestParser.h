#pragma once

/// Parses and checks callers' requests. Each kind of invalid input is reported
/// with its own kind of error.

#include "EntryState.h"

#include "LibHttp/LibHttp.h"

namespace primrose::entry {

/// The parts that completions and service calls have in common.
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
  request_shape mShape;
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

/// The organisation whose key is in the caller's Authorization header.
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

/// The time limit in seconds from the Request-Timeout header, or the policy's
/// default if the header is absent.
result<double>
ReadTimeLimit(const std::string& aHeader, bool aPresent, const policy& aPolicy);

} // namespace primrose::entry
