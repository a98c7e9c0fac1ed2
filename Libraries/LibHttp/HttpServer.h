#pragma once

/// An HTTP server whose handlers answer later: each request is an exchange
/// that is answered whole or as a stream.

#include "LibCore/LibCore.h"

#include <functional>
#include <libsoup/soup-types.h>
#include <memory>
#include <string>

namespace primrose {

/// One request and its answer. It is kept alive by whoever is working on it;
/// an exchange that is dropped unanswered answers with an internal error.
class http_exchange
{
public:
  explicit http_exchange(SoupServerMessage* aMessage, std::string aPath);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  std::string Method() const;
  const std::string& Path() const { return mPath; }
  /// The part after `?`, or empty.
  std::string Query() const;
  /// A header's value, or empty.
  std::string Header(const char* aName) const;
  bool HasHeader(const char* aName) const;
  std::string Body() const;
  /// The key of `Authorization: Bearer KEY`, or empty.
  std::string BearerKey() const;

  void SetHeader(const char* aName, const std::string& aValue);
  void Answer(unsigned aStatus,
              const std::string& aContentType,
              std::string aBody);
  void AnswerFailure(const failure& aFailure);

  void StartStream(unsigned aStatus, const std::string& aContentType);
  void Send(std::string aBytes);
  void EndStream();
  /// Bytes sent but not yet taken by the caller's connection.
  std::size_t UnsentBytes() const { return mUnsentBytes; }
  bool IsStreaming() const { return mStreaming; }

  /// Called once when the caller's connection goes before the answer ended.
  void OnHangup(std::function<void()> aHandler);
  bool IsFinished() const { return mOver; }

private:
  static void Finished(SoupServerMessage*, void* aSelf);
  static void WroteChunk(SoupServerMessage*, unsigned aSize, void* aSelf);
  static int CheckForHangup(void* aSelf);
  void NotifyHangup();
  void StopHangupChecks();

  SoupServerMessage* mMessage;
  std::string mPath;
  std::function<void()> mHangupHandler;
  std::size_t mUnsentBytes = 0;
  unsigned mWatch = 0;
  unsigned long mFinishedSignal = 0;
  unsigned long mWroteSignal = 0;
  bool mStreaming = false;
  bool mAnswered = false;
  bool mOver = false;
};

class http_server
{
public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;

  /// Listens on `aHost:aPort` (0: the system picks). A body over
  /// `aMaxBodyBytes` is answered with `BodyTooLarge` before it is read.
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
