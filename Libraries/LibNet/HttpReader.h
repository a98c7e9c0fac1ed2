#pragma once

/// Parses HTTP/1.1 messages from the bytes of a connection, one at a time.

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
  Head,       ///< The head is not complete yet.
  Body,       ///< The head is complete, the body is not.
  Complete,   ///< The message is complete.
  Malformed,  ///< The bytes are not a valid message.
  HeadTooBig, ///< The head exceeds its limit.
  BodyTooBig, ///< The body exceeds its limit.
};

/// What ends the body of a message.
enum class body_framing : std::uint8_t
{
  None,   ///< There is no body, or its head has not been read.
  Length, ///< The body has the length that the head declares.
  Chunked,
  Close, ///< The body of an answer ends when the peer closes the connection.
};

/// The name of a framing in logs.
std::string_view
FramingName(body_framing aFraming);

struct http_limits
{
  /// Of a head; of an answer's interim (1xx) heads and its own one together.
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

  /// Prepares for the next message. Set `aNoBody` for the answer to a HEAD
  /// request.
  void Restart(bool aNoBody = false);
  /// Removes bytes from the front of `aInput` up to the end of one message.
  /// Interim (1xx) answers are skipped.
  /// The bytes after it stay, since they belong to another message.
  read_state Read(std::string& aInput);
  /// To be called when the peer has finished sending. This completes a
  /// close-delimited answer; any other incomplete message is malformed.
  read_state Finish();

  read_state State() const { return mState; }
  /// True once a byte of the message has been read.
  bool Started() const { return mHeadBytes > 0; }
  const http_head& Head() const { return mHead; }
  /// The bytes of the body that the caller has not removed yet.
  std::string& Body() { return mBody; }
  const std::string& Body() const { return mBody; }
  body_framing Framing() const { return mFraming; }
  /// The length of the body, if the head declares it.
  std::optional<std::size_t> DeclaredLength() const { return mDeclaredLength; }

private:
  static int OnUrl(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnName(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnValue(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnHead(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, size_t aSize);
  static int OnEnd(http_parser* aParser);
  static const http_parser_settings& Callbacks();
  /// Parses up to the end of one message, an interim answer too. Returns the
  /// number of bytes that were used; none of invalid ones.
  std::size_t Parse(std::string_view aInput);
  void CheckHeadSize();
  bool HeadIsUnambiguous() const;
  body_framing FramingOfHead() const;

  http_role mRole;
  http_limits mLimits;
  http_parser mParser{};
  http_head mHead;
  std::string mBody;
  std::size_t mHeadBytes = 0;
  std::size_t mBodyBytes = 0;
  bool mNoBody = false;
  bool mValueSeen = false;
  body_framing mFraming = body_framing::None;
  std::optional<std::size_t> mDeclaredLength;
  read_state mState = read_state::Head;
};

} // namespace primrose
