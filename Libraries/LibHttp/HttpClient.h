#pragma once

/// An HTTP client that returns promises. Dropping a promise or a stream cancels
/// the request and closes its connection.

#include "LibCore/LibCore.h"

#include <kj/async.h>
#include <kj/common.h>

#include <map>
#include <memory>
#include <string>

namespace primrose {

struct http_request
{
  std::string mMethod = "GET";
  std::string mUrl;
  std::map<std::string, std::string> mHeaders;
  std::string mContentType = "application/json";
  std::string mBody;

  bool operator==(const http_request&) const = default;
};

struct http_response
{
  unsigned mStatus = 0;
  std::string mContentType;
  std::string mBody;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.

  bool operator==(const http_response&) const = default;
};

/// A response whose body is read incrementally.
class http_stream
{
public:
  virtual ~http_stream() noexcept(false) = default;
  virtual unsigned Status() const = 0;
  virtual std::string Header(const char* aName) const = 0;
  /// Resolves to the next bytes, or to an empty string at the end of the body.
  /// Fails if the connection ends before the body does.
  virtual kj::Promise<std::string> Read() = 0;
};

class http_client
{
public:
  /// The largest response body that `Send` accepts by default.
  static constexpr std::size_t kMaxResponseBytes =
    std::size_t{ 64 } * 1024 * 1024;

  /// Sends a request and reads the whole response. Fails if the body is larger
  /// than `aMaxBodyBytes`, or if the connection ends before the body does.
  kj::Promise<http_response> Send(
    http_request aRequest,
    std::size_t aMaxBodyBytes = kMaxResponseBytes);
  /// Sends a request on a new connection and resolves once the head of the
  /// response was received. The URL is "http://", an address and a path.
  kj::Promise<kj::Own<http_stream>> Open(http_request aRequest);
};

} // namespace primrose
