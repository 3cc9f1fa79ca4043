#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pomelomill/http.h"

namespace pomelomill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t kKb = 1'024;
constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/// A caller's connection that sends and receives raw bytes.
class Caller {
 public:
  Caller(asio::io_context& context, std::uint16_t port) : socket_(context) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
    Read();
  }

  void Write(const std::string& text) {
    std::error_code ec;
    asio::write(socket_, asio::buffer(text), ec);
  }
  const std::string& received() const { return received_; }
  bool has(const std::string& text) const {
    return received_.find(text) != std::string::npos;
  }
  bool is_closed() const { return is_closed_; }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(buf_),
                            [this](std::error_code ec, std::size_t n) {
                              if (ec == asio::error::operation_aborted) return;
                              received_.append(buf_.data(), n);
                              is_closed_ = static_cast<bool>(ec);
                              if (!ec) Read();
                            });
  }

  tcp::socket socket_;
  std::array<char, 4096> buf_{};
  std::string received_;
  bool is_closed_ = false;
};

/// A listener that holds requests for "/hold" and answers the others with their
/// target and the size of their body.
struct Fixture {
  explicit Fixture(HttpListenerOptions options = {}) {
    listener.emplace(
        context, std::move(options),
        HttpListenerHooks{
            .on_request =
                [this](const IncomingRequest& request, RespondHook respond) {
                  requests.push_back(request.target);
                  if (request.target.starts_with("/hold")) {
                    held.push_back(std::move(respond));
                    return;
                  }
                  respond({.body = request.target + ' ' +
                                   std::to_string(request.body.size())});
                },
            .on_closed = [this](std::uint64_t) { ++closed; },
            .on_dropped = [this](
                              std::string_view reason,
                              std::size_t) { dropped.emplace_back(reason); }});
    REQUIRE(listener->Start());
  }

  std::unique_ptr<Caller> Connect() {
    auto caller = std::make_unique<Caller>(context, listener->port());
    Run(milliseconds(10));
    return caller;
  }
  void Run(Duration time) {
    context.restart();
    context.run_for(time);
  }
  bool RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 2500 && !condition(); ++i) Run(milliseconds(2));
    return condition();
  }

  asio::io_context context;
  std::vector<std::string> requests;
  std::vector<RespondHook> held;
  std::vector<std::string> dropped;
  int closed = 0;
  std::optional<HttpListener> listener;
};

std::string Head(const std::string& target, std::size_t body_bytes) {
  return "POST " + target +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

HttpListenerOptions WithMemory(std::size_t bytes) {
  return {.max_body_bytes = 256 * kKb,
          .memory_budget = std::make_shared<MemoryBudget>(bytes)};
}

}  // namespace

// Guards against slow callers within the limits that are not served.
TEST_CASE("a whole body in chunks of one byte is served") {
  Fixture f(WithMemory(1'024 * kKb));
  const auto caller = f.Connect();
  caller->Write("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 50; ++i) {
    caller->Write("1\r\nx\r\n");
    f.Run(milliseconds(1));
  }
  caller->Write("0\r\n\r\n");
  CHECK(f.RunUntil([&] { return caller->has("/a 50"); }));
  CHECK(f.dropped.empty());
}

TEST_CASE("a body of exactly the limit is served and a larger one is not") {
  Fixture f(WithMemory(2'048 * kKb));
  const std::size_t limit = 256 * kKb;
  const auto caller = f.Connect();
  caller->Write(Head("/a", limit) + std::string(limit, 'b'));
  CHECK(f.RunUntil([&] { return caller->has("/a 262144"); }));
  caller->Write(Head("/b", limit + 1));
  CHECK(f.RunUntil([&] { return caller->is_closed(); }));
  CHECK(f.requests == std::vector<std::string>{"/a"});
}

// Guards against responses that reach the wrong request, and against requests
// that stay unread behind the limit on pipelined ones.
TEST_CASE("pipelined requests are answered in their order") {
  Fixture f({.max_pipelined = 2});
  const auto caller = f.Connect();
  caller->Write(Head("/hold/0", 0) + Head("/b", 0) + Head("/hold/2", 0) +
                Head("/d", 3) + "abc");
  REQUIRE(f.RunUntil([&] { return f.requests.size() == 2; }));
  f.Run(milliseconds(10));
  CHECK(f.requests.size() == 2);
  CHECK(caller->received().empty());
  f.held[0]({.body = "first"});
  REQUIRE(f.RunUntil([&] { return f.held.size() == 2; }));
  f.held[1]({.body = "third"});
  REQUIRE(f.RunUntil([&] { return caller->has("/d 3"); }));
  const std::string& text = caller->received();
  CHECK(text.find("first") < text.find("/b 0"));
  CHECK(text.find("/b 0") < text.find("third"));
  CHECK(text.find("third") < text.find("/d 3"));
}

// Guards against a peer whose many small requests hold up the event loop: with
// 200 such peers, calls on the store timed out.
TEST_CASE("many small requests of one connection take turns with others") {
  Fixture f;
  const auto many = f.Connect();
  std::string text;
  for (int i = 0; i < 300; ++i) text += "GET /many HTTP/1.1\r\n\r\n";
  const auto other = f.Connect();
  many->Write(text);
  other->Write(kGet);
  REQUIRE(f.RunUntil([&] { return other->has("/a 0"); }));
  const auto place = std::find(f.requests.begin(), f.requests.end(), "/a");
  CHECK(place - f.requests.begin() < 100);
  CHECK(f.RunUntil([&] { return f.requests.size() == 301; }));
}

// Guards against a crowd of incomplete bodies that fills the memory or keeps
// out an ordinary caller.
TEST_CASE("incomplete requests give way, the largest first") {
  const auto options = WithMemory(400 * kKb);
  Fixture f(options);
  const auto small = f.Connect();
  small->Write(Head("/small", 20 * kKb) + std::string(10 * kKb, 'x'));
  const auto large = f.Connect();
  large->Write(Head("/large", 250 * kKb) + std::string(200 * kKb, 'x'));
  f.Run(milliseconds(30));
  CHECK(options.memory_budget->held() > 210 * kKb);
  const auto caller = f.Connect();
  caller->Write(Head("/a", 80 * kKb) + std::string(80 * kKb, 'x'));
  CHECK(f.RunUntil([&] { return caller->has("/a 81920"); }));
  CHECK(f.RunUntil([&] { return large->is_closed(); }));
  CHECK_FALSE(small->is_closed());
  CHECK(f.dropped == std::vector<std::string>{"memory"});
  small->Write(std::string(10 * kKb, 'x'));
  CHECK(f.RunUntil([&] { return small->has("/small 20480"); }));
  CHECK(options.memory_budget->held() < 10 * kKb);
}

// Guards against an accepted request whose caller gets no response because
// another connection wanted its memory.
TEST_CASE("a complete request is not dropped for a new one") {
  Fixture f(WithMemory(100 * kKb));
  const auto first = f.Connect();
  first->Write(Head("/hold", 20 * kKb) + std::string(20 * kKb, 'x'));
  REQUIRE(f.RunUntil([&] { return f.held.size() == 1; }));
  const auto second = f.Connect();
  second->Write(Head("/a", 30 * kKb) + std::string(30 * kKb, 'x'));
  CHECK(f.RunUntil([&] { return second->is_closed(); }));
  f.held[0]({.body = "whole"});
  CHECK(f.RunUntil([&] { return first->has("whole"); }));
  CHECK(f.requests == std::vector<std::string>{"/hold"});
}

// Guards against responses that pile up for a peer that does not read them.
TEST_CASE("responses that nobody reads are bounded and end") {
  HttpListenerOptions options;
  SUBCASE("beyond the memory") { options = WithMemory(64 * kKb); }
  SUBCASE("beyond the time") { options.write_timeout = milliseconds(50); }
  Fixture f(options);
  tcp::socket peer(f.context);
  peer.connect({asio::ip::address_v4::loopback(), f.listener->port()});
  asio::write(peer, asio::buffer(std::string(kGet).replace(5, 1, "hold")));
  REQUIRE(f.RunUntil([&] { return f.held.size() == 1; }));
  // More than the buffers of both sockets hold.
  f.held[0]({.body = std::string(std::size_t{32} << 20, 'r')});
  CHECK(f.RunUntil([&] { return f.closed == 1; }));
  CHECK(f.listener->open_connections() == 0);
}

// Guards against silent connections that keep ordinary callers out.
TEST_CASE("a new connection displaces an idle one, then an incomplete one") {
  Fixture f({.max_connections = 3, .displaces_connections = true});
  const auto held = f.Connect();
  held->Write(std::string(kGet).replace(5, 1, "hold"));
  const auto incomplete = f.Connect();
  incomplete->Write(Head("/a", 10));
  const auto idle = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.held.size() == 1; }));
  const auto fourth = f.Connect();
  CHECK(f.RunUntil([&] { return idle->is_closed(); }));
  fourth->Write(Head("/hold/4", 0));
  REQUIRE(f.RunUntil([&] { return f.held.size() == 2; }));
  const auto fifth = f.Connect();
  CHECK(f.RunUntil([&] { return incomplete->is_closed(); }));
  fifth->Write(Head("/hold/5", 0));
  REQUIRE(f.RunUntil([&] { return f.held.size() == 3; }));
  const auto sixth = f.Connect();
  CHECK(f.RunUntil([&] { return sixth->is_closed(); }));
  CHECK(f.dropped == std::vector<std::string>{"connections", "connections"});
  for (const RespondHook& it : f.held) it({.body = "late"});
  CHECK(f.RunUntil([&] {
    return held->has("late") && fourth->has("late") && fifth->has("late");
  }));
}

// Guards against a listener that stops accepting, or keeps the processor busy,
// once the process has run out of descriptors.
TEST_CASE("a listener without descriptors accepts again later") {
  Fixture f;
  tcp::socket peer(f.context, tcp::v4());
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  rlimit low = before;
  low.rlim_cur = 128;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  std::vector<int> taken;
  for (int fd = dup(STDERR_FILENO); fd >= 0; fd = dup(STDERR_FILENO))
    taken.push_back(fd);
  peer.connect({asio::ip::address_v4::loopback(), f.listener->port()});
  asio::write(peer, asio::buffer(std::string(kGet)));
  f.Run(milliseconds(50));
  const std::size_t accepted = f.listener->open_connections();
  for (const int it : taken) close(it);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(accepted == 0);
  CHECK(f.RunUntil([&] { return f.requests.size() == 1; }));
}

TEST_CASE("requests that are not served are told so") {
  Fixture f;
  const auto upgrade = f.Connect();
  upgrade->Write(
      "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n");
  CHECK(f.RunUntil([&] { return upgrade->is_closed(); }));
  CHECK(upgrade->received().starts_with("HTTP/1.1 501 Not Implemented\r\n"));
  const auto header = f.Connect();
  std::string fields;
  for (int i = 0; i < 40; ++i)
    fields += "A: " + std::string(1'000, 'a') + "\r\n";
  header->Write("GET / HTTP/1.1\r\n" + fields + "\r\n");
  CHECK(f.RunUntil([&] { return header->is_closed(); }));
  CHECK(header->received().starts_with(
      "HTTP/1.1 431 Request Header Fields Too Large\r\n"));
  CHECK(f.requests.empty());
}

TEST_CASE("a connection is kept or closed as both sides ask") {
  Fixture f;
  const auto kept = f.Connect();
  kept->Write(kGet);
  CHECK(f.RunUntil([&] { return kept->has("Connection: keep-alive\r\n"); }));
  kept->Write("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(f.RunUntil([&] { return kept->is_closed(); }));
  CHECK(kept->has("Connection: close\r\n"));
  const auto closed = f.Connect();
  closed->Write(std::string(kGet).replace(5, 1, "hold"));
  REQUIRE(f.RunUntil([&] { return f.held.size() == 1; }));
  f.held[0]({.status = 413, .closes_connection = true});
  CHECK(f.RunUntil([&] { return closed->is_closed(); }));
  CHECK(closed->received().starts_with("HTTP/1.1 413 Payload Too Large\r\n"));
  CHECK(f.RunUntil([&] { return f.closed == 2; }));
}

// Guards against calls into an owner that has gone.
TEST_CASE("nothing is handled after a request that ends the connection") {
  // Guards against jobs that are stored for a caller that gets no response.
  Fixture f;
  const auto caller = f.Connect();
  caller->Write(std::string("GET /hold HTTP/1.1\r\nConnection: close\r\n\r\n") +
                kGet);
  REQUIRE(f.RunUntil([&] { return !f.held.empty(); }));
  f.Run(milliseconds(20));
  f.held[0]({.body = "last"});
  CHECK(f.RunUntil([&] { return caller->is_closed(); }));
  CHECK(caller->has("last"));
  CHECK(f.requests == std::vector<std::string>{"/hold"});
}

TEST_CASE("requests that were read get responses before a close") {
  // Guards against responses that are lost in a planned stop, which closes
  // connections after the next response.
  Fixture f;
  const auto caller = f.Connect();
  for (const char* it : {"/hold1", "/hold2"})
    caller->Write(std::string("GET ") + it + " HTTP/1.1\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return f.held.size() == 2; }));
  f.held[0]({.body = "first", .closes_connection = true});
  f.Run(milliseconds(20));
  f.held[1]({.body = "second"});
  CHECK(f.RunUntil([&] { return caller->is_closed(); }));
  CHECK(caller->has("first"));
  CHECK(caller->has("second"));
}

TEST_CASE("a request counts until its handler is done with it") {
  // Guards against a client that has any number of requests handled at a time
  // by closing its connections.
  const HttpListenerOptions options = WithMemory(1'024 * kKb);
  Fixture f(options);
  auto caller = f.Connect();
  caller->Write(Head("/hold", 64 * kKb) + std::string(64 * kKb, 'x'));
  REQUIRE(f.RunUntil([&] { return !f.held.empty(); }));
  caller.reset();
  REQUIRE(f.RunUntil([&] { return f.closed == 1; }));
  CHECK(options.memory_budget->held() >= std::size_t{3} * 64 * kKb);
  f.held[0]({});
  f.held.clear();
  f.Run(milliseconds(5));
  CHECK(options.memory_budget->held() == 0);
}

TEST_CASE("a destroyed listener calls no hook and finishes its responses") {
  Fixture f;
  const auto waiting = f.Connect();
  const auto idle = f.Connect();
  waiting->Write(std::string(kGet).replace(5, 1, "hold") + kGet);
  REQUIRE(f.RunUntil([&] { return f.requests.size() == 2; }));
  f.listener.reset();
  CHECK(f.RunUntil([&] { return idle->is_closed(); }));
  waiting->Write(kGet);
  f.held[0]({.body = "last"});
  CHECK(f.RunUntil([&] { return waiting->is_closed(); }));
  CHECK(waiting->has("last"));
  CHECK(waiting->has("/a 0"));
  CHECK(f.requests.size() == 2);
  CHECK(f.closed == 0);
}

}  // namespace pomelomill
