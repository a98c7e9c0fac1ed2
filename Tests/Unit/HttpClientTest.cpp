#include "LibDaemon/LibDaemon.h"
#include "LibHttp/LibHttp.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <gio/gio.h>
#include <sys/socket.h>

using namespace primrose;

namespace {

/// A server that answers each connection with fixed bytes and then ends it, in
/// order or by a reset.
class scripted_server
{
public:
  scripted_server(std::string aAnswer, bool aReset)
    : mAnswer(std::move(aAnswer))
    , mReset(aReset)
    , mService(g_threaded_socket_service_new(1))
  {
    mPort = g_socket_listener_add_any_inet_port(
      G_SOCKET_LISTENER(mService), nullptr, nullptr);
    CPPUNIT_ASSERT(mPort != 0);
    g_signal_connect(mService, "run", G_CALLBACK(&scripted_server::Run), this);
    g_socket_service_start(mService);
  }
  ~scripted_server()
  {
    g_socket_service_stop(mService);
    g_socket_listener_close(G_SOCKET_LISTENER(mService));
    g_object_unref(mService);
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/";
  }

private:
  static gboolean Run(GThreadedSocketService*,
                      GSocketConnection* aConnection,
                      GObject*,
                      gpointer aSelf)
  {
    const scripted_server& self = *static_cast<scripted_server*>(aSelf);
    GSocket* const socket = g_socket_connection_get_socket(aConnection);
    // Input that is left unread would turn the end into a reset.
    std::string request;
    std::array<char, 4096> buffer{};
    while (request.find("\r\n\r\n") == std::string::npos) {
      const gssize size = g_socket_receive(
        socket, buffer.data(), buffer.size(), nullptr, nullptr);
      if (size <= 0) {
        return TRUE;
      }
      request.append(buffer.data(), static_cast<std::size_t>(size));
    }
    (void)g_socket_send(
      socket, self.mAnswer.data(), self.mAnswer.size(), nullptr, nullptr);
    if (self.mReset) {
      // The client has to have read the answer before the reset discards it.
      g_usleep(kTimeToRead);
      const linger immediately{ 1, 0 };
      setsockopt(g_socket_get_fd(socket),
                 SOL_SOCKET,
                 SO_LINGER,
                 &immediately,
                 sizeof(immediately));
    }
    return TRUE;
  }

  static constexpr gulong kTimeToRead = 50000;
  std::string mAnswer;
  bool mReset;
  guint16 mPort = 0;
  GSocketService* mService;
};

} // namespace

class http_client_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_client_test);
  CPPUNIT_TEST(CutAnswerIsAnError);
  CPPUNIT_TEST(AnswerThatEndsWithItsConnectionIsWhole);
  CPPUNIT_TEST_SUITE_END();

  /// The body of the answer, or none if the call failed.
  static std::optional<std::string> Fetch(const std::string& aAnswer,
                                          bool aReset)
  {
    const scripted_server server("HTTP/1.1 200 OK\r\n" + aAnswer, aReset);
    main_loop loop;
    http_client client;
    return client.Send(http_request{ "GET", server.Url() })
      .then([](http_response aResponse) -> std::optional<std::string> {
        return std::move(aResponse.mBody);
      })
      .catch_([](kj::Exception&&) -> std::optional<std::string> {
        return std::nullopt;
      })
      .wait(loop.Scope());
  }

public:
  /// Guards against passing on the first part of an endpoint's answer as the
  /// whole one.
  void CutAnswerIsAnError()
  {
    for (const bool reset : { false, true }) {
      CPPUNIT_ASSERT(
        !Fetch("Content-Length: 9\r\n\r\nhalf", reset).has_value());
      CPPUNIT_ASSERT(
        !Fetch("Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", reset)
           .has_value());
      CPPUNIT_ASSERT(
        !Fetch("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", reset)
           .has_value());
    }
    CPPUNIT_ASSERT(!Fetch("Connection: close\r\n\r\nhalf", true).has_value());
  }

  void AnswerThatEndsWithItsConnectionIsWhole()
  {
    const std::optional<std::string> body =
      Fetch("Connection: close\r\n\r\nwhole", false);
    CPPUNIT_ASSERT(body.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), *body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_client_test, "http-client");
