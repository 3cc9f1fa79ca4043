#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "pomelomill/http.h"

namespace pomelomill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// Server on loopback that answers the n-th request with the n-th reply and
/// closes the connection after a reply that asks for it.
class ScriptedServer {
 public:
  struct Reply {
    std::string text;
    bool closes = false;
    /// Closes by a reset.
    bool resets = false;
  };

  ScriptedServer(asio::io_context& context, std::vector<Reply> replies)
      : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        replies_(std::move(replies)) {
    Accept();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port()) + "/x";
  }
  std::size_t requests() const { return requests_; }
  std::size_t connections() const { return connections_; }
  /// Request line and headers of each request.
  const std::vector<std::string>& heads() const { return heads_; }
  /// Requests on the connections that are open now get no reply.
  void SilenceConnections() {
    for (const auto& it : sessions_) it->is_silent = true;
  }
  /// Closes all connections, by a reset if `is_reset`.
  void Close(bool is_reset = false) {
    acceptor_.close();
    for (const auto& it : sessions_) {
      std::error_code ec;
      if (is_reset) it->socket.set_option(tcp::socket::linger(true, 0), ec);
      it->socket.close(ec);
    }
  }

 private:
  struct Session {
    explicit Session(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    asio::streambuf buf;
    bool is_silent = false;
  };

  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (ec) return;
      ++connections_;
      sessions_.push_back(std::make_shared<Session>(std::move(socket)));
      Read(sessions_.back());
      Accept();
    });
  }

  void Read(const std::shared_ptr<Session>& session) {
    asio::async_read_until(
        session->socket, session->buf, "\r\n\r\n",
        [this, session](std::error_code ec, std::size_t n) {
          if (ec) return;
          const auto* const text =
              static_cast<const char*>(session->buf.data().data());
          heads_.emplace_back(text, n);
          session->buf.consume(session->buf.size());
          if (session->is_silent || requests_ >= replies_.size()) return;
          const Reply& reply = replies_[requests_++];
          std::error_code ignored;
          asio::write(session->socket, asio::buffer(reply.text), ignored);
          if (reply.closes) {
            if (reply.resets)
              session->socket.set_option(tcp::socket::linger(true, 0), ignored);
            session->socket.close(ignored);
          } else {
            Read(session);
          }
        });
  }

  tcp::acceptor acceptor_;
  std::vector<Reply> replies_;
  std::vector<std::shared_ptr<Session>> sessions_;
  std::vector<std::string> heads_;
  std::size_t requests_ = 0;
  std::size_t connections_ = 0;
};

constexpr char kOk[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nok";

/// More than the buffers of both sockets hold.
constexpr std::size_t kLargeBodyBytes = std::size_t{16} << 20;

/// Both clients keep the same promises.
#define CLIENTS HttpClient, PersistentHttpClient

template <typename Client>
HttpResult Exchange(asio::io_context& context, Client& client,
                    HttpRequest request) {
  std::optional<HttpResult> result;
  client.Send(std::move(request), [&](HttpResult r) { result = std::move(r); });
  context.restart();
  while (!result) context.run_one();
  return *result;
}

// Guards against responses that are lost or altered between libcurl and the
// callback, and against connections that are not reused.
TEST_CASE_TEMPLATE(
    "a complete response arrives whole and its connection is reused", Client,
    CLIENTS) {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}, {kOk}});
  Client client(context);
  for (int i = 0; i < 2; ++i) {
    const HttpResult r = Exchange(context, client, {.url = server.url()});
    CHECK_FALSE(r.error);
    CHECK(r.response.status == 200);
    CHECK(r.response.body == "ok");
    CHECK(r.response.header("x-a") == "b");
  }
  CHECK(server.connections() == 1);
  CHECK(client.in_flight() == 0);
}

// Guards against a truncated response that is passed on as complete.
TEST_CASE_TEMPLATE("truncated responses are errors", Client, CLIENTS) {
  const std::vector<std::string> texts = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "HTTP/1.1 200 OK\r\n\r\nends with the connection",
  };
  for (const std::string& text : texts) {
    CAPTURE(text);
    asio::io_context context;
    ScriptedServer server(context, {{text, true}});
    Client client(context);
    const HttpResult r = Exchange(context, client, {.url = server.url()});
    CHECK(r.error == HttpError::kTruncated);
    CHECK(r.may_have_been_sent);
    CHECK(r.response.body.empty());
  }
}

// Guards against libcurl's own repeat of a POST on a reused connection that
// dies after the request was read: a request that must not be repeated would
// run twice.
TEST_CASE_TEMPLATE("a fresh connection keeps a client from repeating a request",
                   Client, CLIENTS) {
  const std::vector<ScriptedServer::Reply> replies = {
      {kOk}, {"", true}, {kOk}, {kOk}};
  {
    asio::io_context context;
    ScriptedServer server(context, replies);
    Client client(context);
    Exchange(context, client, {.url = server.url()});
    const HttpResult r =
        Exchange(context, client, {.method = "POST", .url = server.url()});
    if constexpr (std::is_same_v<Client, HttpClient>) {
      // The danger is real: without a fresh connection the request runs twice.
      CHECK(server.requests() == 3);
    } else {
      CHECK(server.requests() == 2);
      CHECK(r.error == HttpError::kConnectionClosed);
      CHECK(r.may_have_been_sent);
    }
  }
  asio::io_context context;
  ScriptedServer server(context, replies);
  Client client(context);
  Exchange(context, client, {.url = server.url()});
  const HttpResult r = Exchange(
      context, client,
      {.method = "POST", .url = server.url(), .use_fresh_connection = true});
  CHECK(server.requests() == 2);
  CHECK(r.error == HttpError::kConnectionClosed);
  CHECK(r.may_have_been_sent);
}

// Guards against "not run" for a request that went out, and against "unknown"
// for one that certainly did not.
TEST_CASE_TEMPLATE("only a failed connection proves that nothing was sent",
                   Client, CLIENTS) {
  asio::io_context context;
  ScriptedServer server(context, {});
  const std::string url = server.url();
  Client client(context);
  const HttpResult timed_out =
      Exchange(context, client, {.url = url, .timeout = milliseconds(50)});
  CHECK(timed_out.error == HttpError::kTimeout);
  CHECK(timed_out.may_have_been_sent);
  server.Close();
  const HttpResult refused = Exchange(context, client, {.url = url});
  CHECK(refused.error == HttpError::kConnectionRefused);
  CHECK_FALSE(refused.may_have_been_sent);
}

// Guards against a partition that resets connections being taken for the end
// of the peer's process.
TEST_CASE("only an orderly close shows that the peer's process has ended") {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}});
  const std::string url = server.url();
  PersistentHttpClient client(context);
  CHECK_FALSE(Exchange(context, client, {.url = url}).error);
  std::optional<HttpResult> pending;
  client.Send({.url = url}, [&](HttpResult r) { pending = std::move(r); });
  while (server.heads().size() < 2) context.run_one();
  bool is_reset = false;
  SUBCASE("closed") {}
  SUBCASE("reset") { is_reset = true; }
  server.Close(is_reset);
  while (!pending) context.run_one();
  CHECK(pending->error == HttpError::kConnectionRefused);
  CHECK(pending->has_peer_closed != is_reset);
  const HttpResult next = Exchange(context, client, {.url = url});
  CHECK(next.error == HttpError::kConnectionRefused);
  CHECK(next.has_peer_closed != is_reset);
}

// Guards against a process whose end is noticed late, since the close of its
// idle connection was seen only as the connection was to be used again.
TEST_CASE("an orderly close of an idle connection counts when it is found") {
  for (const bool is_reset : {false, true}) {
    CAPTURE(is_reset);
    asio::io_context context;
    ScriptedServer server(context,
                          {{.text = kOk, .closes = true, .resets = is_reset}});
    const std::string url = server.url();
    PersistentHttpClient client(context);
    CHECK_FALSE(Exchange(context, client, {.url = url}).error);
    server.Close();
    const HttpResult r = Exchange(context, client, {.url = url});
    CHECK(r.error == HttpError::kConnectionRefused);
    CHECK(r.has_peer_closed != is_reset);
    CHECK_FALSE(r.may_have_been_sent);
  }
}

// Guards against a failure of this process that is taken for the end of the
// peer's process.
TEST_CASE_TEMPLATE("a process without descriptors does not blame the peer",
                   Client, CLIENTS) {
  asio::io_context context;
  ScriptedServer server(context, {});
  Client client(context);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  rlimit low = before;
  low.rlim_cur = 128;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  std::vector<int> taken;
  for (int fd = dup(STDERR_FILENO); fd >= 0; fd = dup(STDERR_FILENO))
    taken.push_back(fd);
  const HttpResult r = Exchange(context, client, {.url = server.url()});
  for (const int it : taken) close(it);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(r.error == HttpError::kNoSocket);
  CHECK_FALSE(r.may_have_been_sent);
}

// Guards against an exchange that inherits the method, the body or the outcome
// of the one before it on the same connection.
TEST_CASE_TEMPLATE("an exchange takes over nothing from the exchange before it",
                   Client, CLIENTS) {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}, {kOk}, {kOk, true}});
  Client client(context);
  CHECK_FALSE(Exchange(context, client,
                       {.method = "POST", .url = server.url(), .body = "a"})
                  .error);
  CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
  // PersistentHttpClient knows no HEAD.
  const std::string last =
      std::is_same_v<Client, HttpClient> ? "HEAD" : "DELETE";
  CHECK_FALSE(
      Exchange(context, client, {.method = last, .url = server.url()}).error);
  REQUIRE(server.heads().size() == 3);
  CHECK(server.heads()[0].starts_with("POST /x HTTP/1.1\r\n"));
  CHECK(server.heads()[0].find("Content-Length: 1\r\n") != std::string::npos);
  CHECK(server.heads()[1].starts_with("GET /x HTTP/1.1\r\n"));
  CHECK(server.heads()[1].find("Content-Length") == std::string::npos);
  CHECK(server.heads()[2].starts_with(last + " /x HTTP/1.1\r\n"));
  const std::string url = server.url();
  server.Close();
  const HttpResult refused = Exchange(context, client, {.url = url});
  CHECK(refused.error == HttpError::kConnectionRefused);
  // PersistentHttpClient may have written to the connection that has ended.
  if constexpr (std::is_same_v<Client, HttpClient>)
    CHECK_FALSE(refused.may_have_been_sent);
}

// Guards against unbounded memory and header injection.
TEST_CASE_TEMPLATE("oversize responses and malformed requests are refused",
                   Client, CLIENTS) {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}});
  Client client(context);
  const HttpResult large =
      Exchange(context, client, {.url = server.url(), .max_response_bytes = 1});
  CHECK(large.error == HttpError::kTooLarge);
  const HttpResult bad = Exchange(
      context, client, {.url = server.url(), .headers = {{"A", "b\r\nC: d"}}});
  CHECK(bad.error == HttpError::kBadRequest);
  CHECK_FALSE(bad.may_have_been_sent);
}

// Guards against a callback after Cancel, which would touch freed state.
TEST_CASE("a cancelled exchange runs no callback") {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}});
  HttpClient client(context);
  const auto id = client.Send({.url = server.url()},
                              [](const HttpResult&) { FAIL("callback ran"); });
  client.Cancel(id);
  CHECK(client.in_flight() == 0);
  context.run_for(milliseconds(20));
}

// Guards against responses that are taken for complete, mixed up or accepted
// with bytes that nobody asked for.
TEST_CASE("a persistent connection carries one response after the other") {
  asio::io_context context;
  ScriptedServer server(
      context,
      {{"HTTP/1.1 100 Continue\r\n\r\n" + std::string(kOk)},
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
       {std::string(kOk) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
       {kOk}});
  PersistentHttpClient client(context);
  CHECK(Exchange(context, client, {.url = server.url()}).response.body == "ok");
  CHECK(Exchange(context, client, {.url = server.url()}).response.body ==
        "abcde");
  CHECK(server.connections() == 1);
  CHECK(Exchange(context, client, {.url = server.url()}).error ==
        HttpError::kFailed);
  CHECK(Exchange(context, client, {.url = server.url()}).response.body == "ok");
  CHECK(server.connections() == 2);
}

// Guards against a read that fails because its peer closed the idle connection
// at that moment, and against a third attempt.
TEST_CASE("a GET is repeated once when a reused connection has ended") {
  asio::io_context context;
  ScriptedServer server(context,
                        {{kOk}, {"", true}, {kOk}, {"", true}, {"", true}});
  int repeats = 0;
  PersistentHttpClient client(
      context, {.on_repeat = [&](const HttpRequest&) { ++repeats; }});
  CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
  const HttpResult repeated = Exchange(context, client, {.url = server.url()});
  CHECK(repeated.response.body == "ok");
  CHECK(server.requests() == 3);
  CHECK(repeats == 1);
  const HttpResult lost = Exchange(context, client, {.url = server.url()});
  CHECK(lost.error == HttpError::kConnectionClosed);
  CHECK(lost.may_have_been_sent);
  CHECK(server.requests() == 5);
}

// Guards against TWICE and REFUSED: a second copy of a request with effects is
// refused, and its sender takes the refusal for the outcome of the first.
TEST_CASE("a request with effects is written once") {
  std::size_t body_size = 1;
  SUBCASE("as a whole") {}
  SUBCASE("in part") { body_size = kLargeBodyBytes; }
  for (const std::string method : {"POST", "PUT", "DELETE"}) {
    for (const bool is_reset : {false, true}) {
      CAPTURE(method);
      CAPTURE(is_reset);
      asio::io_context context;
      ScriptedServer server(
          context, {{kOk},
                    {.text = "", .closes = true, .resets = is_reset},
                    {"HTTP/1.1 503 Unhealthy\r\nContent-Length: 0\r\n\r\n"}});
      PersistentHttpClient client(context);
      Exchange(context, client, {.url = server.url()});
      const HttpResult r = Exchange(context, client,
                                    {.method = method,
                                     .url = server.url(),
                                     .body = std::string(body_size, 'x')});
      CHECK(r.error == HttpError::kConnectionClosed);
      CHECK(r.may_have_been_sent);
      CHECK(server.heads().size() == 2);
    }
  }
}

// Guards against a request that is written into the body of the one before it,
// whose response came before the peer had read it all.
TEST_CASE(
    "a connection on which a request is being written is not used again") {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}, {kOk}});
  PersistentHttpClient client(context);
  const HttpRequest large = {.method = "POST",
                             .url = server.url(),
                             .body = std::string(kLargeBodyBytes, 'x')};
  CHECK_FALSE(Exchange(context, client, large).error);
  CHECK_FALSE(
      Exchange(context, client, {.method = "POST", .url = server.url()}).error);
  CHECK(server.connections() == 2);
}

// Guards against unknown outcomes of calls that never left: peers close idle
// connections as they like.
TEST_CASE("an idle connection that has ended carries no request") {
  for (const bool is_reset : {false, true}) {
    CAPTURE(is_reset);
    asio::io_context context;
    ScriptedServer server(
        context, {{.text = kOk, .closes = true, .resets = is_reset}, {kOk}});
    PersistentHttpClient client(context);
    CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
    const HttpResult r =
        Exchange(context, client, {.method = "POST", .url = server.url()});
    CHECK_FALSE(r.error);
    CHECK(server.heads().size() == 2);
    CHECK(server.connections() == 2);
  }
}

// Guards against a response to an exchange that has timed out reaching the next
// exchange.
TEST_CASE("a connection whose exchange timed out is not used again") {
  asio::io_context context;
  ScriptedServer server(context, {{""}, {kOk}});
  PersistentHttpClient client(context);
  CHECK(Exchange(context, client,
                 {.url = server.url(), .timeout = milliseconds(30)})
            .error == HttpError::kTimeout);
  CHECK(Exchange(context, client, {.url = server.url()}).response.body == "ok");
  CHECK(server.connections() == 2);
}

// Guards against a second Host header, by which no queue is found.
TEST_CASE_TEMPLATE("a given Host header replaces the address", Client,
                   CLIENTS) {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}});
  Client client(context);
  CHECK_FALSE(
      Exchange(context, client,
               {.url = server.url(), .headers = {{"Host", "shop.example"}}})
          .error);
  const std::string& head = server.heads().at(0);
  CHECK(head.find("Host: shop.example\r\n") != std::string::npos);
  CHECK(head.find("127.0.0.1") == std::string::npos);
}

// Guards against descriptors that are kept for peers that were called once.
TEST_CASE("few idle connections are kept to one address") {
  asio::io_context context;
  ScriptedServer server(context, std::vector<ScriptedServer::Reply>(20, {kOk}));
  PersistentHttpClient client(context, {.max_idle_connections_per_host = 2});
  const auto send_ten = [&] {
    int ended = 0;
    for (int i = 0; i < 10; ++i)
      client.Send({.url = server.url()}, [&](const HttpResult&) { ++ended; });
    context.restart();
    while (ended < 10) context.run_one();
  };
  send_ten();
  CHECK(server.connections() == 10);
  send_ten();
  CHECK(server.connections() == 18);
}

TEST_CASE("a destroyed client runs no callback") {
  asio::io_context context;
  ScriptedServer server(context, {{""}});
  {
    PersistentHttpClient client(context);
    client.Send({.url = server.url()},
                [](const HttpResult&) { FAIL("callback ran"); });
    context.run_for(milliseconds(5));
    CHECK(server.requests() == 1);
  }
  context.run_for(milliseconds(20));
}

}  // namespace
namespace {

/// Opens `count` connections, which are idle afterwards.
void OpenConnections(asio::io_context& context, PersistentHttpClient& client,
                     const std::string& url, int count) {
  int answered = 0;
  for (int i = 0; i < count; ++i) {
    client.Send({.url = url}, [&](const HttpResult& result) {
      CHECK_FALSE(result.error);
      ++answered;
    });
  }
  context.restart();
  while (answered < count) context.run_one();
}

}  // namespace

// Guards against calls that time out one after the other when the connections
// to a peer have gone silent together: each idle one was tried in turn.
TEST_CASE("after a time-out no idle connection is used that may be silent") {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}, {kOk}, {kOk}, {kOk}});
  PersistentHttpClient client(context);
  OpenConnections(context, client, server.url(), 3);
  server.SilenceConnections();
  CHECK(Exchange(context, client,
                 {.url = server.url(), .timeout = milliseconds(50)})
            .error == HttpError::kTimeout);
  CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
  CHECK(server.connections() == 4);
}

// Guards against new connections to a peer that leaves single calls unanswered.
TEST_CASE("a connection that responds during a call that times out is kept") {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}, {kOk}, {""}, {kOk}, {kOk}});
  PersistentHttpClient client(context);
  OpenConnections(context, client, server.url(), 2);
  std::optional<HttpResult> unanswered;
  client.Send({.url = server.url(), .timeout = milliseconds(1'000)},
              [&](HttpResult r) { unanswered = std::move(r); });
  context.restart();
  while (server.requests() < 3) context.run_one();
  CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
  while (!unanswered) context.run_one();
  CHECK(unanswered->error == HttpError::kTimeout);
  CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
  CHECK(server.connections() == 2);
}

TEST_CASE("a request that distrusts idle connections opens one that is kept") {
  asio::io_context context;
  ScriptedServer server(context, {{kOk}, {kOk}, {kOk}, {kOk}});
  PersistentHttpClient client(context);
  OpenConnections(context, client, server.url(), 2);
  server.SilenceConnections();
  CHECK_FALSE(
      Exchange(context, client,
               {.url = server.url(), .distrusts_idle_connections = true})
          .error);
  CHECK_FALSE(Exchange(context, client, {.url = server.url()}).error);
  CHECK(server.connections() == 3);
}

}  // namespace pomelomill
