#pragma once

/// An HTTP server with asynchronous handlers: each request becomes an exchange
/// that is answered later, with a complete body or as a stream.

#include "LibCore/LibCore.h"

#include <functional>
#include <libsoup/soup-types.h>
#include <memory>
#include <string>

namespace primrose {

/// One request and its answer. The code that handles the request shares
/// ownership of the exchange. If it is destroyed without an answer, the caller
/// receives an internal error.
class http_exchange
{
public:
  explicit http_exchange(SoupServerMessage* aMessage, std::string aPath);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  std::string Method() const;
  const std::string& Path() const { return mPath; }
  /// The part of the URL after `?`, or empty.
  std::string Query() const;
  /// A header's value, or empty.
  std::string Header(const char* aName) const;
  bool HasHeader(const char* aName) const;
  std::string Body() const;
  /// The key of `Authorization: Bearer KEY`, or empty.
  std::string BearerKey() const;

  void SetHeader(const char* aName, const std::string& aValue);
  /// Answers with a complete body. Ignored if the exchange was answered
  /// already.
  void Answer(unsigned aStatus,
              const std::string& aContentType,
              std::string aBody);
  void AnswerFailure(const failure& aFailure);

  /// Starts an answer whose body is sent in chunks by `Send` until `EndStream`.
  void StartStream(unsigned aStatus, const std::string& aContentType);
  void Send(std::string aBytes);
  void EndStream();
  /// Bytes passed to `Send` that are not yet written to the connection.
  std::size_t UnsentBytes() const { return mUnsentBytes; }
  bool IsStreaming() const { return mStreaming; }

  /// Sets a handler that is called once if the caller closes the connection
  /// before the answer has ended.
  void OnHangup(std::function<void()> aHandler);
  /// True once the exchange has ended, with a complete answer or without one.
  bool IsFinished() const { return mFinished; }

private:
  static void OnFinished(SoupServerMessage*, void* aSelf);
  static void OnWroteChunk(SoupServerMessage*, unsigned aSize, void* aSelf);
  static int CheckForHangup(void* aSelf);
  void NotifyHangup();
  void StopHangupChecks();

  SoupServerMessage* mMessage;
  std::string mPath;
  std::function<void()> mHangupHandler;
  std::size_t mUnsentBytes = 0;
  unsigned mHangupTimer = 0;
  unsigned long mFinishedSignal = 0;
  unsigned long mWroteSignal = 0;
  bool mStreaming = false;
  bool mAnswered = false;
  bool mFinished = false;
};

class http_server
{
public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;

  /// Listens on `aHost:aPort`; for port 0 the kernel chooses one. A body over
  /// `aMaxBodyBytes` is rejected with `BodyTooLarge` without being read whole.
  static result<std::unique_ptr<http_server>> Open(const std::string& aHost,
                                                   std::uint16_t aPort,
                                                   std::size_t aMaxBodyBytes,
                                                   handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t Port() const { return mPort; }

private:
  http_server() = default;

  SoupServer* mServer = nullptr;
  std::uint16_t mPort = 0;
  std::size_t mMaxBodyBytes = 0;
  handler mHandler;

  friend struct server_callbacks;
};

} // namespace primrose
