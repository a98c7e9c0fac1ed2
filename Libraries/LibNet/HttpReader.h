#pragma once

/// Reads HTTP/1.1 messages out of a connection's bytes, one at a time.

#include "LibNet/HttpMessage.h"

#include <http_parser.h>

namespace primrose {

enum class http_role : std::uint8_t
{
  Request,
  Answer,
};

enum class read_state : std::uint8_t
{
  Head,       ///< The head is not whole yet.
  Body,       ///< The head is whole; the body goes on.
  Complete,   ///< The message is whole.
  Malformed,  ///< These bytes are no message.
  HeadTooBig, ///< The head is over its limit.
  BodyTooBig, ///< The body is over its limit.
};

struct http_limits
{
  std::size_t mHeadBytes = std::size_t{ 64 } * 1024;
  std::size_t mBodyBytes = std::size_t{ 16 } * 1024 * 1024;

  bool operator==(const http_limits&) const = default;
};

class http_reader
{
public:
  http_reader(http_role aRole, const http_limits& aLimits);
  http_reader(const http_reader&) = delete;
  http_reader& operator=(const http_reader&) = delete;

  /// Begins the next message. `aNoBody` for the answer to a HEAD request.
  void Restart(bool aNoBody = false);
  /// Takes bytes from the front of `aInput` up to the end of one message, and
  /// never one byte more: what follows belongs to somebody else.
  read_state Read(std::string& aInput);
  /// The peer has finished sending: that is the end of an answer without
  /// length, and a broken message otherwise.
  read_state Finish();

  read_state State() const { return mState; }
  /// True once a byte of the message has been read.
  bool Started() const { return mHeadBytes > 0; }
  const http_head& Head() const { return mHead; }
  /// The body's bytes that nobody has taken yet.
  std::string& Body() { return mBody; }
  /// The answer has neither length nor chunks: it ends with its connection.
  bool IsCloseDelimited() const { return mCloseDelimited; }

private:
  static int OnUrl(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnName(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnValue(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnHead(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnEnd(http_parser* aParser);
  static const http_parser_settings& Callbacks();
  bool HeadIsUnambiguous() const;

  http_role mRole;
  http_limits mLimits;
  http_parser mParser{};
  http_head mHead;
  std::string mBody;
  std::size_t mHeadBytes = 0;
  std::size_t mBodyBytes = 0;
  bool mNoBody = false;
  bool mValueSeen = false;
  bool mCloseDelimited = false;
  read_state mState = read_state::Head;
};

} // namespace primrose
