#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "pomelomill/http.h"

namespace pomelomill {
namespace {

/// Answers at once, except for "/hold", which is never answered. Counts the
/// connections on which other requests came.
class CountingServer {
 public:
  explicit CountingServer(asio::io_context& context)
      : listener_(context, {},
                  {.on_request = [this](const IncomingRequest& request,
                                        const RespondHook& respond) {
                    if (request.target == "/hold") {
                      ++held_;
                      return;
                    }
                    connections_.insert(request.connection);
                    respond({});
                  }}) {
    REQUIRE(listener_.Start());
  }

  std::string Url(const char* path) const {
    return "http://127.0.0.1:" + std::to_string(listener_.port()) + path;
  }
  std::size_t held() const { return held_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  std::size_t held_ = 0;
  std::set<std::uint64_t> connections_;
  HttpListener listener_;
};

}  // namespace

TEST_CASE("connections in use do not displace idle ones") {
  // Guards against a new connection for each order to a worker: the long polls
  // of all workers counted against the limit on idle connections.
  asio::io_context context;
  CountingServer server(context);
  HttpClient client(context, {.max_idle_connections = 2});
  constexpr std::size_t kHeld = 4;
  for (std::size_t i = 0; i < kHeld; ++i)
    client.Send({.url = server.Url("/hold")}, [](const HttpResult&) {});
  while (server.held() < kHeld) context.run_one();
  for (int i = 0; i < 5; ++i) {
    std::optional<HttpResult> result;
    client.Send({.url = server.Url("/order")},
                [&](HttpResult r) { result = std::move(r); });
    while (!result) context.run_one();
    CHECK_FALSE(result->error);
  }
  CHECK(server.connections() == 1);
}

}  // namespace pomelomill
