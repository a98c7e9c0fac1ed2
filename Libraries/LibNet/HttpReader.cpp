#include "LibNet/HttpReader.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

/// Returned by a callback to stop the parser with an error.
constexpr int kStopParsing = 1;
/// Returned by the headers-complete callback for "there is no body".
constexpr int kSkipBody = 1;
constexpr unsigned kFirstFinalStatus = 200;

/// The characters that a field name may have besides letters and digits.
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

/// True for a valid field name. Different HTTP implementations interpret a name
/// differently if it contains a blank or if a blank precedes the colon.
bool
IsToken(const std::string& aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') ||
                  kTokenPunctuation.find(aCharacter) != std::string_view::npos;
         });
}

bool
MayHaveBody(unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus >= kFirstFinalStatus && aStatus != kNoContent &&
         aStatus != kNotModified;
}

http_reader&
ReaderOf(http_parser* aParser)
{
  return *static_cast<http_reader*>(aParser->data);
}

} // namespace

std::string_view
FramingName(body_framing aFraming)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "none", "length", "chunked", "close"
  };
  return kNames.at(static_cast<std::size_t>(aFraming));
}

http_reader::http_reader(http_role aRole, const http_limits& aLimits)
  : mRole(aRole)
  , mLimits(aLimits)
{
  Restart();
}

void
http_reader::Restart(bool aNoBody)
{
  http_parser_init(&mParser,
                   mRole == http_role::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  mParser.data = this;
  mHead = http_head{};
  // Clearing it would keep the memory of a large body.
  std::string().swap(mBody);
  mHeadBytes = 0;
  mBodyBytes = 0;
  mNoBody = aNoBody;
  mValueSeen = false;
  mFraming = body_framing::None;
  mDeclaredLength.reset();
  mState = read_state::Head;
}

const http_parser_settings&
http_reader::Callbacks()
{
  static const http_parser_settings callbacks = []() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &http_reader::OnUrl;
    settings.on_header_field = &http_reader::OnName;
    settings.on_header_value = &http_reader::OnValue;
    settings.on_headers_complete = &http_reader::OnHead;
    settings.on_body = &http_reader::OnBody;
    settings.on_message_complete = &http_reader::OnEnd;
    return settings;
  }();
  return callbacks;
}

int
http_reader::OnUrl(http_parser* aParser, const char* aAt, size_t aSize)
{
  ReaderOf(aParser).mHead.mTarget.append(aAt, aSize);
  return 0;
}

int
http_reader::OnName(http_parser* aParser, const char* aAt, size_t aSize)
{
  http_reader& reader = ReaderOf(aParser);
  if (reader.mState != read_state::Head) {
    // A trailer field. Callers can't rely on trailers, so they are dropped.
    return 0;
  }
  if (reader.mHead.mFields.empty() || reader.mValueSeen) {
    reader.mHead.mFields.emplace_back();
    reader.mValueSeen = false;
  }
  reader.mHead.mFields.back().mName.append(aAt, aSize);
  return 0;
}

int
http_reader::OnValue(http_parser* aParser, const char* aAt, size_t aSize)
{
  http_reader& reader = ReaderOf(aParser);
  if (reader.mState != read_state::Head) {
    return 0;
  }
  reader.mValueSeen = true;
  reader.mHead.mFields.back().mValue.append(aAt, aSize);
  return 0;
}

bool
http_reader::HeadIsUnambiguous() const
{
  // If two HTTP implementations derive different body lengths from one head,
  // they see different requests in the same bytes (request smuggling). Only
  // heads with exactly one interpretation are accepted.
  const bool chunked = FieldCount(mHead.mFields, "transfer-encoding") > 0;
  const std::size_t lengths = FieldCount(mHead.mFields, "content-length");
  if (lengths > 1 || (chunked && lengths > 0)) {
    return false;
  }
  if (chunked) {
    const std::optional<std::string_view> coding =
      FieldValue(mHead.mFields, "transfer-encoding");
    if (FieldCount(mHead.mFields, "transfer-encoding") > 1 ||
        !SameFieldName(*coding, "chunked")) {
      return false;
    }
  }
  for (const http_field& field : mHead.mFields) {
    if (!IsToken(field.mName) || HasLineBreak(field.mValue)) {
      return false;
    }
  }
  return mRole == http_role::Answer ||
         (FieldCount(mHead.mFields, "host") == 1 && !mHead.mTarget.empty() &&
          mHead.mTarget.front() == '/');
}

body_framing
http_reader::FramingOfHead() const
{
  const bool isAnswer = mRole == http_role::Answer;
  if (mNoBody || (isAnswer && !MayHaveBody(mHead.mStatus))) {
    return body_framing::None;
  }
  if (FieldCount(mHead.mFields, "transfer-encoding") > 0) {
    return body_framing::Chunked;
  }
  if (FieldCount(mHead.mFields, "content-length") > 0) {
    return body_framing::Length;
  }
  return isAnswer ? body_framing::Close : body_framing::None;
}

int
http_reader::OnHead(http_parser* aParser)
{
  http_reader& reader = ReaderOf(aParser);
  reader.mHead.mStatus = aParser->status_code;
  if (reader.mRole == http_role::Request) {
    reader.mHead.mMethod =
      http_method_str(static_cast<http_method>(aParser->method));
  }
  reader.mHead.mKeepAlive = http_should_keep_alive(aParser) != 0;
  if (aParser->upgrade != 0 || !reader.HeadIsUnambiguous()) {
    reader.mState = read_state::Malformed;
    return -1;
  }
  reader.mFraming = reader.FramingOfHead();
  if (reader.mFraming == body_framing::Length) {
    reader.mDeclaredLength = aParser->content_length;
  }
  reader.mState = read_state::Body;
  return reader.mNoBody ? kSkipBody : 0;
}

int
http_reader::OnBody(http_parser* aParser, const char* aAt, size_t aSize)
{
  http_reader& reader = ReaderOf(aParser);
  reader.mBodyBytes += aSize;
  if (reader.mBodyBytes > reader.mLimits.mBodyBytes) {
    reader.mState = read_state::BodyTooBig;
    return kStopParsing;
  }
  reader.mBody.append(aAt, aSize);
  return 0;
}

int
http_reader::OnEnd(http_parser* aParser)
{
  http_reader& reader = ReaderOf(aParser);
  reader.mState = read_state::Complete;
  // Stops the parser directly after the message.
  http_parser_pause(aParser, 1);
  return 0;
}

read_state
http_reader::Read(std::string& aInput)
{
  std::string_view rest = aInput;
  bool isInterim = true;
  while (isInterim &&
         (mState == read_state::Head || mState == read_state::Body)) {
    rest.remove_prefix(Parse(rest));
    isInterim = mState == read_state::Complete && mRole == http_role::Answer &&
                mHead.mStatus < kFirstFinalStatus;
    if (isInterim) {
      // The final answer follows. All heads of an answer share one limit.
      const std::size_t headBytes = mHeadBytes;
      Restart(mNoBody);
      mHeadBytes = headBytes;
      CheckHeadSize();
      isInterim = !rest.empty();
    }
  }
  aInput.erase(0, aInput.size() - rest.size());
  return mState;
}

std::size_t
http_reader::Parse(std::string_view aInput)
{
  const bool inHead = mState == read_state::Head;
  const std::size_t used =
    http_parser_execute(&mParser, &Callbacks(), aInput.data(), aInput.size());
  const http_errno error = HTTP_PARSER_ERRNO(&mParser);
  if (inHead) {
    mHeadBytes += used;
  }
  if (error == HPE_PAUSED) {
    return used;
  }
  if (error == HPE_HEADER_OVERFLOW) {
    mState = read_state::HeadTooBig;
  } else if (error == HPE_OK) {
    CheckHeadSize();
  } else if (mState != read_state::BodyTooBig) {
    mState = read_state::Malformed;
  }
  return error == HPE_OK ? used : 0;
}

void
http_reader::CheckHeadSize()
{
  if (mState == read_state::Head && mHeadBytes > mLimits.mHeadBytes) {
    mState = read_state::HeadTooBig;
  }
}

read_state
http_reader::Finish()
{
  if (mState == read_state::Complete) {
    return mState;
  }
  (void)http_parser_execute(&mParser, &Callbacks(), nullptr, 0);
  if (mState != read_state::Complete) {
    mState = read_state::Malformed;
  }
  return mState;
}

} // namespace primrose
