#include "LibHttp/HttpClient.h"

#include "LibNet/LibNet.h"
#include "LibWire/LibWire.h"

#include <algorithm>
#include <kj/debug.h>
#include <limits>

namespace primrose {

namespace {

constexpr std::size_t kReadSize = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxHeadBytes = std::size_t{ 64 } * 1024;
constexpr std::string_view kScheme = "http://";

struct request_target
{
  ip_address mServer;
  std::string mPath;
};

result<request_target>
ParseUrl(const std::string& aUrl)
{
  if (!aUrl.starts_with(kScheme)) {
    return Fail(error_kind::BadValue, "not a URL: " + aUrl);
  }
  const std::size_t path =
    std::min(aUrl.find('/', kScheme.size()), aUrl.size());
  BOOST_LEAF_ASSIGN(
    const ip_address server,
    ParseAddress(aUrl.substr(kScheme.size(), path - kScheme.size())));
  return request_target{ server,
                         path == aUrl.size() ? "/" : aUrl.substr(path) };
}

http_call
MakeCall(http_request aRequest, std::string aPath)
{
  http_call call{ std::move(aRequest.mMethod),
                  std::move(aPath),
                  std::move(aRequest.mBody),
                  "",
                  // Without it the server would keep the connection open until
                  // its timeout.
                  { { "Connection", "close" } } };
  if (!call.mBody.empty()) {
    call.mContentType = std::move(aRequest.mContentType);
  }
  for (const auto& [name, value] : aRequest.mHeaders) {
    call.mFields.push_back({ name, value });
  }
  return call;
}

/// True if no part of the head can be taken for the start of another one.
bool
IsHeadSafe(const http_request& aRequest)
{
  return !HasLineBreak(aRequest.mMethod) && !HasLineBreak(aRequest.mUrl) &&
         aRequest.mUrl.find(' ') == std::string::npos &&
         !HasLineBreak(aRequest.mContentType) &&
         std::none_of(aRequest.mHeaders.begin(),
                      aRequest.mHeaders.end(),
                      [](const auto& aField) {
                        return HasLineBreak(aField.first) ||
                               HasLineBreak(aField.second);
                      });
}

/// The response on a connection that carries one request.
class response_stream final : public http_stream
{
public:
  explicit response_stream(kj::Own<kj::AsyncIoStream> aSocket)
    : mSocket(kj::mv(aSocket))
    , mReader(
        http_role::Answer,
        http_limits{ kMaxHeadBytes, std::numeric_limits<std::size_t>::max() })
    , mBuffer(kReadSize, '\0')
  {
  }

  unsigned Status() const override { return mReader.Head().mStatus; }

  std::string Header(const char* aName) const override
  {
    return std::string(FieldValue(mReader.Head().mFields, aName).value_or(""));
  }

  kj::Promise<std::string> Read() override
  {
    if (!mReader.Body().empty() || mReader.State() == read_state::Complete) {
      return std::exchange(mReader.Body(), {});
    }
    return ReadMore().then([this]() { return Read(); });
  }

  kj::Promise<void> ReadHead()
  {
    if (mReader.State() != read_state::Head) {
      return kj::READY_NOW;
    }
    return ReadMore().then([this]() { return ReadHead(); });
  }

  const http_fields& Fields() const { return mReader.Head().mFields; }

private:
  /// Reads bytes of the response, or its end.
  kj::Promise<void> ReadMore()
  {
    return mSocket->tryRead(mBuffer.data(), 1, mBuffer.size())
      .then([this](size_t aSize) -> kj::Promise<void> {
        mInput.append(mBuffer, 0, aSize);
        if (aSize == 0 && mReader.Finish() != read_state::Complete) {
          return KJ_EXCEPTION(DISCONNECTED,
                              "the connection ended before the response did");
        }
        const read_state state = mReader.Read(mInput);
        if (state != read_state::Head && state != read_state::Body &&
            state != read_state::Complete) {
          return KJ_EXCEPTION(FAILED, "the response is malformed");
        }
        return kj::READY_NOW;
      });
  }

  kj::Own<kj::AsyncIoStream> mSocket;
  http_reader mReader;
  std::string mBuffer;
  std::string mInput;
};

kj::Promise<kj::Own<http_stream>>
SendOn(kj::Own<kj::AsyncIoStream> aSocket, std::string aRequest)
{
  kj::Own<std::string> bytes = kj::heap(std::move(aRequest));
  // A server that answers before it has read the whole request may close; its
  // answer counts.
  kj::Promise<void> written = aSocket->write(bytes->data(), bytes->size())
                                .catch_([](kj::Exception&&) {})
                                .attach(kj::mv(bytes))
                                .eagerlyEvaluate(nullptr);
  kj::Own<response_stream> response =
    kj::heap<response_stream>(kj::mv(aSocket));
  kj::Promise<void> head = response->ReadHead();
  return head
    .then([response = kj::mv(response)]() mutable -> kj::Own<http_stream> {
      return kj::mv(response);
    })
    .attach(kj::mv(written));
}

std::map<std::string, std::string>
LowerCaseHeaders(const http_fields& aFields)
{
  std::map<std::string, std::string> headers;
  for (const http_field& field : aFields) {
    headers.insert_or_assign(LowerCaseFieldName(field.mName), field.mValue);
  }
  return headers;
}

kj::Promise<std::string>
ReadAll(kj::Own<http_stream> aStream,
        std::string aReceived,
        std::size_t aMaxBytes)
{
  kj::Promise<std::string> next = aStream->Read();
  return next.then(
    [stream = kj::mv(aStream), text = std::move(aReceived), aMaxBytes](
      std::string aPiece) mutable -> kj::Promise<std::string> {
      if (aPiece.empty()) {
        return std::move(text);
      }
      if (text.size() + aPiece.size() > aMaxBytes) {
        return KJ_EXCEPTION(FAILED, "the response body is over the limit");
      }
      text += aPiece;
      return ReadAll(kj::mv(stream), std::move(text), aMaxBytes);
    });
}

} // namespace

kj::Promise<kj::Own<http_stream>>
http_client::Open(http_request aRequest)
{
  const outcome<request_target> target =
    Capture<request_target>([&aRequest]() { return ParseUrl(aRequest.mUrl); });
  if (!target) {
    return KJ_EXCEPTION(FAILED, target.mFailure.mMessage.c_str());
  }
  if (!IsHeadSafe(aRequest)) {
    return KJ_EXCEPTION(FAILED, "a line break in a request's head");
  }
  const ip_address& server = target.mValue->mServer;
  return Connect(server, traffic_class::Http)
    .then([bytes =
             RequestBytes(MakeCall(std::move(aRequest), target.mValue->mPath),
                          server)](kj::Own<kj::AsyncIoStream> aSocket) mutable {
      return SendOn(kj::mv(aSocket), std::move(bytes));
    });
}

kj::Promise<http_response>
http_client::Send(http_request aRequest, std::size_t aMaxBodyBytes)
{
  return Open(std::move(aRequest))
    .then([aMaxBodyBytes](kj::Own<http_stream> aStream) {
      const response_stream& stream = kj::downcast<response_stream>(*aStream);
      http_response response;
      response.mStatus = stream.Status();
      response.mContentType = stream.Header("Content-Type");
      response.mHeaders = LowerCaseHeaders(stream.Fields());
      return ReadAll(kj::mv(aStream), std::string(), aMaxBodyBytes)
        .then([response = std::move(response)](std::string aBody) mutable {
          response.mBody = std::move(aBody);
          return response;
        });
    });
}

} // namespace primrose
