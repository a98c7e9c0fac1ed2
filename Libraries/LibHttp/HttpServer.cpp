#include "LibHttp/HttpServer.h"

#include "LibHttp/Json.h"

#include <cmath>
#include <libsoup/soup.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>

namespace primrose {

namespace {

/// A paused message is not watched by libsoup, so a caller that hangs up while
/// it waits would go unnoticed and its work would run on for nobody. This is
/// how often each waiting exchange looks at its own socket.
constexpr unsigned kHangupCheckMilliseconds = 100;

constexpr const char* kJsonType = "application/json";

bool
HasPeerClosed(GSocket* aSocket)
{
  char byte = 0;
  const ssize_t peeked =
    recv(g_socket_get_fd(aSocket), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (peeked == 0) {
    return true;
  }
  return peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
         errno != EINTR;
}

void
SetResponse(SoupServerMessage* aMessage,
            unsigned aStatus,
            const char* aContentType,
            const std::string& aBody)
{
  soup_server_message_set_status(aMessage, aStatus, nullptr);
  soup_server_message_set_response(
    aMessage, aContentType, SOUP_MEMORY_COPY, aBody.data(), aBody.size());
}

void
RejectOversizedBody(SoupServerMessage* aMessage, std::size_t aLargest)
{
  const failure tooLarge{ error_kind::BodyTooLarge,
                          fmt::format("the body is over {} bytes", aLargest),
                          ran_state::No,
                          std::nullopt };
  SetResponse(aMessage,
              AnswerFor(tooLarge.mKind).mStatus,
              kJsonType,
              ErrorBody(tooLarge).dump());
  soup_message_headers_replace(
    soup_server_message_get_response_headers(aMessage), "Connection", "close");
}

} // namespace

http_exchange::http_exchange(SoupServerMessage* aMessage, std::string aPath)
  : mMessage(SOUP_SERVER_MESSAGE(g_object_ref(aMessage)))
  , mPath(std::move(aPath))
{
  soup_server_message_pause(mMessage);
  mFinishedSignal = g_signal_connect(
    mMessage, "finished", G_CALLBACK(&http_exchange::Finished), this);
  mWroteSignal = g_signal_connect(
    mMessage, "wrote-body-data", G_CALLBACK(&http_exchange::WroteChunk), this);
  mWatch = g_timeout_add(
    kHangupCheckMilliseconds, &http_exchange::CheckForHangup, this);
}

http_exchange::~http_exchange()
{
  if (!mAnswered && !mOver) {
    AnswerFailure({ error_kind::Internal,
                    "the request was dropped without an answer",
                    ran_state::Unknown,
                    std::nullopt });
  }
  if (mStreaming && !mOver) {
    EndStream();
  }
  StopHangupChecks();
  g_signal_handler_disconnect(mMessage, mFinishedSignal);
  g_signal_handler_disconnect(mMessage, mWroteSignal);
  g_object_unref(mMessage);
}

std::string
http_exchange::Method() const
{
  return soup_server_message_get_method(mMessage);
}

std::string
http_exchange::Query() const
{
  const char* const query =
    g_uri_get_query(soup_server_message_get_uri(mMessage));
  return query == nullptr ? std::string() : std::string(query);
}

std::string
http_exchange::Header(const char* aName) const
{
  const char* const value = soup_message_headers_get_one(
    soup_server_message_get_request_headers(mMessage), aName);
  return value == nullptr ? std::string() : std::string(value);
}

bool
http_exchange::HasHeader(const char* aName) const
{
  return soup_message_headers_get_one(
           soup_server_message_get_request_headers(mMessage), aName) != nullptr;
}

std::string
http_exchange::BearerKey() const
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = Header("Authorization");
  return header.starts_with(kScheme) ? header.substr(kScheme.size())
                                     : std::string();
}

std::string
http_exchange::Body() const
{
  SoupMessageBody* const body = soup_server_message_get_request_body(mMessage);
  GBytes* const bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const gconstpointer data = g_bytes_get_data(bytes, &size);
  std::string text(static_cast<const char*>(data), size);
  g_bytes_unref(bytes);
  return text;
}

void
http_exchange::SetHeader(const char* aName, const std::string& aValue)
{
  soup_message_headers_replace(
    soup_server_message_get_response_headers(mMessage), aName, aValue.c_str());
}

void
http_exchange::Answer(unsigned aStatus,
                      const std::string& aContentType,
                      std::string aBody)
{
  if (mAnswered || mOver) {
    return;
  }
  mAnswered = true;
  SetResponse(mMessage, aStatus, aContentType.c_str(), aBody);
  soup_server_message_unpause(mMessage);
}

void
http_exchange::AnswerFailure(const failure& aFailure)
{
  if (aFailure.mRetryAfterSeconds) {
    SetHeader("Retry-After",
              fmt::format("{:.0f}", std::ceil(*aFailure.mRetryAfterSeconds)));
  }
  Answer(
    AnswerFor(aFailure.mKind).mStatus, kJsonType, ErrorBody(aFailure).dump());
}

void
http_exchange::StartStream(unsigned aStatus, const std::string& aContentType)
{
  if (mAnswered || mOver) {
    return;
  }
  mAnswered = true;
  mStreaming = true;
  soup_server_message_set_status(mMessage, aStatus, nullptr);
  SoupMessageHeaders* const headers =
    soup_server_message_get_response_headers(mMessage);
  soup_message_headers_set_content_type(headers, aContentType.c_str(), nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
    soup_server_message_get_response_body(mMessage), FALSE);
  soup_server_message_unpause(mMessage);
}

void
http_exchange::Send(std::string aBytes)
{
  if (!mStreaming || mOver || aBytes.empty()) {
    return;
  }
  mUnsentBytes += aBytes.size();
  soup_message_body_append(soup_server_message_get_response_body(mMessage),
                           SOUP_MEMORY_COPY,
                           aBytes.data(),
                           aBytes.size());
  soup_server_message_unpause(mMessage);
}

void
http_exchange::EndStream()
{
  if (!mStreaming || mOver) {
    return;
  }
  mStreaming = false;
  soup_message_body_complete(soup_server_message_get_response_body(mMessage));
  soup_server_message_unpause(mMessage);
}

void
http_exchange::OnHangup(std::function<void()> aHandler)
{
  mHangupHandler = std::move(aHandler);
}

void
http_exchange::Finished(SoupServerMessage*, void* aSelf)
{
  http_exchange* const self = static_cast<http_exchange*>(aSelf);
  const bool cutOff = !self->mAnswered || self->mStreaming;
  self->mOver = true;
  self->StopHangupChecks();
  if (cutOff) {
    self->NotifyHangup();
  }
}

void
http_exchange::WroteChunk(SoupServerMessage*, unsigned aSize, void* aSelf)
{
  http_exchange* const self = static_cast<http_exchange*>(aSelf);
  self->mUnsentBytes -= std::min<std::size_t>(self->mUnsentBytes, aSize);
}

int
http_exchange::CheckForHangup(void* aSelf)
{
  http_exchange* const self = static_cast<http_exchange*>(aSelf);
  GSocket* const socket = soup_server_message_get_socket(self->mMessage);
  if (socket != nullptr && !HasPeerClosed(socket)) {
    return G_SOURCE_CONTINUE;
  }
  self->mWatch = 0;
  if (!self->mAnswered || self->mStreaming) {
    self->mOver = true;
    // Let libsoup finish the message: it writes, fails and closes.
    soup_server_message_unpause(self->mMessage);
    self->NotifyHangup();
  }
  return G_SOURCE_REMOVE;
}

void
http_exchange::NotifyHangup()
{
  if (!mHangupHandler) {
    return;
  }
  const std::function<void()> handler = std::move(mHangupHandler);
  mHangupHandler = nullptr;
  handler();
}

void
http_exchange::StopHangupChecks()
{
  if (mWatch != 0) {
    g_source_remove(mWatch);
    mWatch = 0;
  }
}

/// The functions that libsoup calls; they know the server's inside.
struct server_callbacks
{
  static void OnHeaders(SoupServer*,
                        SoupServerMessage* aMessage,
                        const char*,
                        GHashTable*,
                        gpointer aSelf)
  {
    const http_server* const self = static_cast<http_server*>(aSelf);
    const goffset announced = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(aMessage));
    if (announced > 0 &&
        static_cast<std::size_t>(announced) > self->mMaxBodyBytes) {
      RejectOversizedBody(aMessage, self->mMaxBodyBytes);
      return;
    }
    g_signal_connect(aMessage, "got-chunk", G_CALLBACK(&GotChunk), aSelf);
  }

  /// A body in chunks announces no length, so its size is counted as it comes.
  static void GotChunk(SoupServerMessage* aMessage,
                       GBytes* aChunk,
                       gpointer aSelf)
  {
    const http_server* const self = static_cast<http_server*>(aSelf);
    constexpr const char* kSizeKey = "primrose-body-size";
    const std::size_t before =
      GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(aMessage), kSizeKey));
    const std::size_t size = before + g_bytes_get_size(aChunk);
    g_object_set_data(G_OBJECT(aMessage), kSizeKey, GSIZE_TO_POINTER(size));
    if (size <= self->mMaxBodyBytes) {
      return;
    }
    SoupMessageBody* const body =
      soup_server_message_get_request_body(aMessage);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
    RejectOversizedBody(aMessage, self->mMaxBodyBytes);
  }

  static void Handle(SoupServer*,
                     SoupServerMessage* aMessage,
                     const char* aPath,
                     GHashTable*,
                     gpointer aSelf)
  {
    const http_server* const self = static_cast<http_server*>(aSelf);
    if (soup_server_message_get_status(aMessage) != 0) {
      return;
    }
    self->mHandler(std::make_shared<http_exchange>(aMessage, aPath));
  }
};

result<std::unique_ptr<http_server>>
http_server::Open(const std::string& aHost,
                  std::uint16_t aPort,
                  std::size_t aMaxBodyBytes,
                  handler aHandler)
{
  std::unique_ptr<http_server> server(new http_server());
  server->mServer = soup_server_new("server-header", "primrosewind", nullptr);
  server->mMaxBodyBytes = aMaxBodyBytes;
  server->mHandler = std::move(aHandler);
  soup_server_add_early_handler(server->mServer,
                                nullptr,
                                &server_callbacks::OnHeaders,
                                server.get(),
                                nullptr);
  soup_server_add_handler(
    server->mServer, nullptr, &server_callbacks::Handle, server.get(), nullptr);
  GSocketAddress* const address =
    g_inet_socket_address_new_from_string(aHost.c_str(), aPort);
  if (address == nullptr) {
    return Fail(error_kind::BadValue,
                fmt::format("\"{}\" is not an IP number", aHost));
  }
  GError* error = nullptr;
  const gboolean listening = soup_server_listen(
    server->mServer, address, SoupServerListenOptions{}, &error);
  g_object_unref(address);
  if (!listening) {
    const std::string message =
      fmt::format("cannot listen on {}:{}: {}", aHost, aPort, error->message);
    g_error_free(error);
    return Fail(error_kind::BadValue, message);
  }
  GSList* const uris = soup_server_get_uris(server->mServer);
  server->mPort =
    static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return server;
}

http_server::~http_server()
{
  soup_server_disconnect(mServer);
  g_object_unref(mServer);
}

} // namespace primrose
