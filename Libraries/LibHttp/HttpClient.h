#pragma once

/// An HTTP client as promises. Dropping a promise or a stream cancels the
/// request and closes its connection.

#include "LibCore/LibCore.h"

#include <kj/async.h>
#include <kj/common.h>
#include <libsoup/soup-types.h>

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

/// A response whose body is read piece by piece.
class http_stream
{
public:
  virtual ~http_stream() = default;
  virtual unsigned Status() const = 0;
  virtual std::string Header(const char* aName) const = 0;
  /// The next bytes; empty at the end of the body.
  virtual kj::Promise<std::string> Read() = 0;
};

class http_client
{
public:
  /// The largest body that `Send` takes from a peer.
  static constexpr std::size_t kLargestBody = std::size_t{ 64 } * 1024 * 1024;

  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  kj::Promise<http_response> Send(http_request aRequest,
                                  std::size_t aMaxBodyBytes = kLargestBody);
  kj::Promise<kj::Own<http_stream>> Open(http_request aRequest);

private:
  SoupSession* mSession;
};

} // namespace primrose
