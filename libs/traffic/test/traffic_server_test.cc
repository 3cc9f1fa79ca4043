#include <doctest/doctest.h>

#include "traffic_fixture.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr const char* kLayout =
    "GET /proof/layout/1 HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char* kOrder =
    "POST /proof/order/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";

// Guards against a response that is truncated or altered, and against internal
// headers that reach the endpoint or the caller.
TEST_CASE("the whole response of the endpoint reaches the caller") {
  TrafficFixture f;
  f.handler = [](const IncomingRequest&, const RespondHook& respond) {
    respond({.status = 201,
             .headers = {{"X-Proof", "7"}, {"Pomelomill-Secret", "1"}},
             .body = std::string(300000, 'p')});
  };
  RawCaller caller(f.context, f.server->port());
  caller.Write(
      "POST /proof/layout/1?q=2 HTTP/1.1\r\nHost: x\r\nX-Id: 4\r\n"
      "Pomelomill-Team: t\r\nContent-Length: 3\r\n\r\nabc");
  REQUIRE(f.RunUntil([&] { return caller.received().size() > 300000; }));
  CHECK(caller.received().starts_with("HTTP/1.1 201"));
  CHECK(caller.has("X-Proof: 7"));
  CHECK(caller.has("Pomelomill-Outcome: answered"));
  CHECK(!caller.has("Pomelomill-Secret"));
  CHECK(caller.received().ends_with(std::string(300000, 'p')));
  REQUIRE(f.endpoint_requests.size() == 1);
  CHECK(f.endpoint_requests[0].body == "abc");
  CHECK(f.endpoint_requests[0].target == "/proof/layout/1?q=2");
  CHECK(f.endpoint_requests[0].header("x-id") == "4");
  CHECK(f.endpoint_requests[0].header("Pomelomill-Team").empty());
  CHECK(!f.endpoint_requests[0].header("Pomelomill-Deadline-Ms").empty());
}

// Guards against responses in the wrong order on one connection.
TEST_CASE("pipelined requests are answered in order") {
  TrafficFixture f;
  std::vector<std::pair<std::string, RespondHook>> held;
  f.handler = [&](const IncomingRequest& request, const RespondHook& respond) {
    held.emplace_back(request.target, respond);
  };
  RawCaller caller(f.context, f.server->port());
  for (int i = 0; i < 3; ++i) {
    caller.Write("GET /proof/layout/" + std::to_string(i) +
                 " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  REQUIRE(f.RunUntil([&] { return held.size() == 3; }));
  for (auto it = held.rbegin(); it != held.rend(); ++it) {
    it->second({.body = "body of " + it->first});
    f.Run(milliseconds(10));
  }
  REQUIRE(f.RunUntil([&] { return caller.responses() == 3; }));
  const std::string& text = caller.received();
  CHECK(text.find("/proof/layout/0") < text.find("/proof/layout/1"));
  CHECK(text.find("/proof/layout/1") < text.find("/proof/layout/2"));
}

// Guards against a refusal that is reported as answered, and against sending
// the order a second time.
TEST_CASE("a refused order is reported as not run and sent once") {
  TrafficFixture f;
  f.handler = [](const IncomingRequest&, const RespondHook& respond) {
    respond({.status = 503, .headers = {{"Pomelomill-Not-Processed", "1"}}});
  };
  RawCaller caller(f.context, f.server->port());
  caller.Write(kOrder);
  REQUIRE(f.RunUntil([&] { return caller.responses() == 1; }));
  CHECK(caller.received().starts_with("HTTP/1.1 503"));
  CHECK(caller.has("Pomelomill-Outcome: not-run"));
  CHECK(caller.has("Retry-After: 1"));
  f.Run(milliseconds(100));
  int orders = 0;
  for (const IncomingRequest& it : f.endpoint_requests)
    orders += it.method == "POST";
  CHECK(orders == 1);
}

// Guards against reporting every 503 as "not run": only the header
// Pomelomill-Not-Processed proves that nothing was processed.
TEST_CASE("a 503 without the refusal header is forwarded as answered") {
  TrafficFixture f;
  f.handler = [](const IncomingRequest&, const RespondHook& respond) {
    respond({.status = 503, .body = "mine"});
  };
  RawCaller caller(f.context, f.server->port());
  caller.Write(kOrder);
  REQUIRE(f.RunUntil([&] { return caller.has("mine"); }));
  CHECK(caller.has("Pomelomill-Outcome: answered"));
}

/// Endpoint that reads a request, sends `text` and closes the connection.
class TruncatingEndpoint {
 public:
  TruncatingEndpoint(asio::io_context& context, std::string text)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        text_(std::move(text)) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests = 0;

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code ec,
                                  asio::ip::tcp::socket socket) {
      if (ec) return;
      auto session = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
      session->async_read_some(
          asio::buffer(buf_),
          [this, session](std::error_code failure, std::size_t) {
            if (failure) return;
            ++requests;
            std::error_code ignored;
            asio::write(*session, asio::buffer(text_), ignored);
            session->close(ignored);
          });
      Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::array<char, 65536> buf_{};
  std::string text_;
};

// Guards against forwarding a truncated response as complete, reporting a
// processed order as "not run", and sending the order a second time.
TEST_CASE("an order whose response is truncated has an unknown outcome") {
  for (const char* text :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\n\r\nno end marked"}) {
    CAPTURE(text);
    TrafficFixture f;
    TruncatingEndpoint endpoint(f.context, text);
    f.SetAddress(endpoint.address());
    RawCaller caller(f.context, f.server->port());
    caller.Write(kOrder);
    REQUIRE(f.RunUntil([&] { return caller.responses() == 1; }));
    CHECK(caller.received().starts_with("HTTP/1.1 504"));
    CHECK(caller.has("Pomelomill-Outcome: unknown"));
    f.Run(milliseconds(100));
    CHECK(endpoint.requests == 1);
  }
}

// Guards against reporting "unknown" when no byte can have been sent.
TEST_CASE("an order to a closed port is reported as not run") {
  TrafficFixture f;
  f.SetAddress("127.0.0.1:1");
  RawCaller caller(f.context, f.server->port());
  caller.Write(kOrder);
  REQUIRE(f.RunUntil([&] { return caller.responses() == 1; }));
  CHECK(caller.has("Pomelomill-Outcome: not-run"));
  CHECK(caller.has("Retry-After: "));
}

// Guards against a slot that is released before the endpoint has finished, or
// never.
TEST_CASE("a cancelled request keeps its slot until the endpoint responds") {
  TrafficFixture f;
  std::vector<RespondHook> held;
  f.handler = [&](const IncomingRequest&, const RespondHook& respond) {
    held.push_back(respond);
  };
  RawCaller caller(f.context, f.server->port());
  caller.Write(kOrder);
  REQUIRE(f.RunUntil([&] { return held.size() == 1; }));
  caller.Close();
  REQUIRE(f.RunUntil([&] { return f.server->status().open_requests == 0; }));
  CHECK(f.server->status().load.in_flight[VmId("vm-0")] == 1);
  held[0]({.body = "late"});
  CHECK(f.RunUntil([&] {
    return f.server->status().load.in_flight.count(VmId("vm-0")) == 0;
  }));
  CHECK(f.server->status().counters.dropped == 1);
}

// Guards against a graceful stop that aborts a request in flight.
TEST_CASE("a graceful stop finishes open requests") {
  TrafficFixture f;
  std::vector<RespondHook> held;
  f.handler = [&](const IncomingRequest&, const RespondHook& respond) {
    held.push_back(respond);
  };
  RawCaller caller(f.context, f.server->port());
  caller.Write(kOrder);
  REQUIRE(f.RunUntil([&] { return held.size() == 1; }));
  bool is_done = false;
  const std::uint16_t port = f.server->port();
  f.server->Drain([&] { is_done = true; });
  f.Run(milliseconds(200));
  CHECK(f.server->status().is_draining);
  CHECK(!is_done);
  CHECK_THROWS(RawCaller(f.context, port));
  held[0]({.body = "whole"});
  CHECK(f.RunUntil([&] { return is_done; }));
  CHECK(f.RunUntil([&] { return caller.has("whole"); }));
}

std::string KeyedOrder(const std::string& key) {
  return "POST /proof/order/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: 0\r\n\r\n";
}

// Guards against a key that runs twice on one entry, and against a repeated
// request that does not receive the outcome of the first one.
TEST_CASE("a key that the entry issued runs once") {
  TrafficFixture f;
  RawCaller caller(f.context, f.server->port());
  caller.Write(
      "POST /-/keys?n=2 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return caller.has("pomelomill.a1.2"); }));
  RawCaller first(f.context, f.server->port());
  first.Write(KeyedOrder("pomelomill.a1.2"));
  REQUIRE(f.RunUntil([&] { return first.has("echo"); }));
  RawCaller second(f.context, f.server->port());
  second.Write(KeyedOrder("pomelomill.a1.2"));
  REQUIRE(f.RunUntil([&] { return second.responses() == 1; }));
  CHECK(second.received().starts_with("HTTP/1.1 409"));
  CHECK(second.has("Pomelomill-Outcome: answered"));
  CHECK(second.has("Pomelomill-First-Status: 200"));
  RawCaller foreign(f.context, f.server->port());
  foreign.Write(KeyedOrder("pomelomill.dead.2"));
  REQUIRE(f.RunUntil([&] { return foreign.responses() == 1; }));
  CHECK(foreign.received().starts_with("HTTP/1.1 504"));
  CHECK(foreign.has("Pomelomill-Outcome: unknown"));
  CHECK(f.endpoint_requests.size() == 1);
}

// Guards against running a request with a caller-chosen key before the key is
// claimed, and against a claim that never receives the outcome.
TEST_CASE("a caller-chosen key is claimed before the request is sent") {
  std::vector<std::function<void(ClaimResult)>> claims;
  std::vector<KeyOutcome> ends;
  TrafficFixture f;
  f.hooks.claim_key = [&](const std::string& key, auto done) {
    CHECK(key == "order-17");
    claims.push_back(std::move(done));
  };
  f.hooks.finish_key = [&](const std::string&, KeyOutcome it) {
    ends.push_back(it);
  };
  f.Restart();
  RawCaller caller(f.context, f.server->port());
  caller.Write(KeyedOrder("order-17"));
  REQUIRE(f.RunUntil([&] { return claims.size() == 1; }));
  f.Run(milliseconds(30));
  CHECK(f.endpoint_requests.empty());
  claims[0]({.state = ClaimState::kMayRun});
  REQUIRE(f.RunUntil([&] { return caller.has("echo"); }));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0] == KeyOutcome{Outcome::kAnswered, 200});
  RawCaller refused(f.context, f.server->port());
  refused.Write(KeyedOrder("order-17"));
  REQUIRE(f.RunUntil([&] { return claims.size() == 2; }));
  claims[1]({.state = ClaimState::kUnavailable});
  REQUIRE(f.RunUntil([&] { return refused.responses() == 1; }));
  CHECK(refused.has("HTTP/1.1 503"));
  CHECK(refused.has("Pomelomill-Outcome: not-run"));
  CHECK(refused.has("Retry-After: 1"));
  CHECK(f.endpoint_requests.size() == 1);
}

// Guards against an admin request that is handled as a caller's request.
TEST_CASE("the admin listener passes requests to the hook") {
  TrafficFixture f;
  RawCaller caller(f.context, f.server->admin_port());
  caller.Write("GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(f.RunUntil([&] { return caller.has("admin /-/status"); }));
  CHECK(f.endpoint_requests.empty());
}

// Guards against an entry that never reports its load to the control thread.
TEST_CASE("the hook receives load reports") {
  TrafficFixture f;
  CHECK(f.RunUntil([&] { return f.report.pools.contains(PoolId("main")); }));
  CHECK(f.report.pools.at(PoolId("main")).free_slots == 8);
  CHECK(f.report.state_version == f.version);
  RawCaller caller(f.context, f.server->port());
  caller.Write(kLayout);
  CHECK(f.RunUntil([&] { return caller.has("echo"); }));
}

}  // namespace
}  // namespace pomelomill
