#include "LibHttp/HttpClient.h"

#include <libsoup/soup.h>

#include <functional>
#include <kj/debug.h>

namespace primrose {

namespace {

constexpr unsigned kMaxConnections = 4096;
constexpr unsigned kIdleTimeoutSeconds = 30;
constexpr gsize kReadSize = gsize{ 64 } * 1024;

/// Cancels a GLib operation when the promise that waits for it is dropped.
struct cancel_on_drop
{
  GCancellable* mCancellable = g_cancellable_new();

  cancel_on_drop() = default;
  cancel_on_drop(const cancel_on_drop&) = delete;
  cancel_on_drop& operator=(const cancel_on_drop&) = delete;
  ~cancel_on_drop()
  {
    g_cancellable_cancel(mCancellable);
    g_object_unref(mCancellable);
  }
};

/// A GLib call in flight. It outlives a dropped promise, since GLib calls back
/// in any case; the result is then thrown away.
template<typename T>
struct pending_call
{
  kj::Own<kj::PromiseFulfiller<T>> mFulfiller;
  std::function<T(GObject*, GAsyncResult*)> mFinish;

  static void Done(GObject* aSource, GAsyncResult* aResult, gpointer aSelf)
  {
    const std::unique_ptr<pending_call> self(static_cast<pending_call*>(aSelf));
    self->mFulfiller->rejectIfThrows(
      [&]() { self->mFulfiller->fulfill(self->mFinish(aSource, aResult)); });
  }
};

template<typename T, typename Start>
kj::Promise<T>
Await(std::function<T(GObject*, GAsyncResult*)> aFinish, Start&& aStart)
{
  kj::PromiseFulfillerPair<T> pair = kj::newPromiseAndFulfiller<T>();
  kj::Own<cancel_on_drop> guard = kj::heap<cancel_on_drop>();
  pending_call<T>* const call =
    new pending_call<T>{ kj::mv(pair.fulfiller), std::move(aFinish) };
  aStart(guard->mCancellable, &pending_call<T>::Done, call);
  return pair.promise.attach(kj::mv(guard));
}

[[noreturn]] void
ThrowError(GError* aError)
{
  const std::string message = aError->message;
  g_error_free(aError);
  throw KJ_EXCEPTION(DISCONNECTED, message.c_str());
}

struct object_unref
{
  void operator()(gpointer aObject) const { g_object_unref(aObject); }
};
using message_pointer = std::unique_ptr<SoupMessage, object_unref>;
using stream_pointer = std::unique_ptr<GInputStream, object_unref>;

class soup_stream final : public http_stream
{
public:
  soup_stream(message_pointer aMessage, stream_pointer aStream)
    : mMessage(std::move(aMessage))
    , mStream(std::move(aStream))
  {
  }

  unsigned Status() const override
  {
    return soup_message_get_status(mMessage.get());
  }

  std::string Header(const char* aName) const override
  {
    const char* const value = soup_message_headers_get_one(
      soup_message_get_response_headers(mMessage.get()), aName);
    return value == nullptr ? std::string() : std::string(value);
  }

  kj::Promise<std::string> Read() override
  {
    return Await<std::string>(
      [](GObject* aSource, GAsyncResult* aResult) {
        GError* error = nullptr;
        GBytes* const bytes = g_input_stream_read_bytes_finish(
          G_INPUT_STREAM(aSource), aResult, &error);
        if (bytes == nullptr) {
          ThrowError(error);
        }
        gsize size = 0;
        const gconstpointer data = g_bytes_get_data(bytes, &size);
        std::string text(static_cast<const char*>(data), size);
        g_bytes_unref(bytes);
        return text;
      },
      [this](
        GCancellable* aCancellable, GAsyncReadyCallback aDone, gpointer aData) {
        g_input_stream_read_bytes_async(mStream.get(),
                                        kReadSize,
                                        G_PRIORITY_DEFAULT,
                                        aCancellable,
                                        aDone,
                                        aData);
      });
  }

  SoupMessage* Message() const { return mMessage.get(); }

private:
  message_pointer mMessage;
  stream_pointer mStream;
};

message_pointer
MakeMessage(const http_request& aRequest)
{
  message_pointer message(
    soup_message_new(aRequest.mMethod.c_str(), aRequest.mUrl.c_str()));
  if (message == nullptr) {
    throw KJ_EXCEPTION(FAILED, "not a URL", aRequest.mUrl.c_str());
  }
  SoupMessageHeaders* const headers =
    soup_message_get_request_headers(message.get());
  for (const auto& [name, value] : aRequest.mHeaders) {
    soup_message_headers_append(headers, name.c_str(), value.c_str());
  }
  if (!aRequest.mBody.empty()) {
    GBytes* const body =
      g_bytes_new(aRequest.mBody.data(), aRequest.mBody.size());
    soup_message_set_request_body_from_bytes(
      message.get(), aRequest.mContentType.c_str(), body);
    g_bytes_unref(body);
  }
  return message;
}

kj::Promise<std::string>
ReadAll(kj::Own<http_stream> aStream, std::string aSoFar, std::size_t aLargest)
{
  kj::Promise<std::string> next = aStream->Read();
  return next.then(
    [stream = kj::mv(aStream), text = std::move(aSoFar), aLargest](
      std::string aPiece) mutable -> kj::Promise<std::string> {
      if (aPiece.empty()) {
        return std::move(text);
      }
      if (text.size() + aPiece.size() > aLargest) {
        return KJ_EXCEPTION(FAILED, "the response body is over the limit");
      }
      text += aPiece;
      return ReadAll(kj::mv(stream), std::move(text), aLargest);
    });
}

std::map<std::string, std::string>
ResponseHeaders(SoupMessage* aMessage)
{
  std::map<std::string, std::string> headers;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator,
                                 soup_message_get_response_headers(aMessage));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    gchar* const lower = g_ascii_strdown(name, -1);
    headers.insert_or_assign(lower, value);
    g_free(lower);
  }
  return headers;
}

} // namespace

http_client::http_client()
  : mSession(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION,
                                       "max-conns",
                                       kMaxConnections,
                                       "max-conns-per-host",
                                       kMaxConnections,
                                       "timeout",
                                       0U,
                                       "idle-timeout",
                                       kIdleTimeoutSeconds,
                                       nullptr)))
{
}

http_client::~http_client()
{
  soup_session_abort(mSession);
  g_object_unref(mSession);
}

kj::Promise<kj::Own<http_stream>>
http_client::Open(http_request aRequest)
{
  message_pointer message = MakeMessage(aRequest);
  // NOTE: libsoup sends a message again when a kept-alive connection turns out
  // to be closed. For a guarded call that could run it twice, so every request
  // that is not a plain read gets a connection of its own.
  if (aRequest.mMethod != "GET") {
    soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    // A connection of its own is of no use afterwards. Left open, each request
    // would leave one behind on both sides until it idles out.
    soup_message_headers_replace(
      soup_message_get_request_headers(message.get()), "Connection", "close");
  }
  SoupMessage* const raw = message.get();
  kj::Promise<GInputStream*> opened = Await<GInputStream*>(
    [](GObject* aSource, GAsyncResult* aResult) {
      GError* error = nullptr;
      GInputStream* const stream =
        soup_session_send_finish(SOUP_SESSION(aSource), aResult, &error);
      if (stream == nullptr) {
        ThrowError(error);
      }
      return stream;
    },
    [this, raw](
      GCancellable* aCancellable, GAsyncReadyCallback aDone, gpointer aData) {
      soup_session_send_async(
        mSession, raw, G_PRIORITY_DEFAULT, aCancellable, aDone, aData);
    });
  return opened.then(
    [message = std::move(message)](GInputStream* aStream) mutable {
      return kj::Own<http_stream>(
        kj::heap<soup_stream>(std::move(message), stream_pointer(aStream)));
    });
}

kj::Promise<http_response>
http_client::Send(http_request aRequest, std::size_t aMaxBodyBytes)
{
  return Open(std::move(aRequest))
    .then([aMaxBodyBytes](kj::Own<http_stream> aStream) {
      soup_stream& stream = kj::downcast<soup_stream>(*aStream);
      http_response response;
      response.mStatus = stream.Status();
      response.mContentType = stream.Header("Content-Type");
      response.mHeaders = ResponseHeaders(stream.Message());
      return ReadAll(kj::mv(aStream), std::string(), aMaxBodyBytes)
        .then([response = std::move(response)](std::string aBody) mutable {
          response.mBody = std::move(aBody);
          return response;
        });
    });
}

} // namespace primrose
