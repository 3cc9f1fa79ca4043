#include <doctest/doctest.h>

#include "traffic_fixture.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

/// Checks that the entry still serves other callers.
void CheckAlive(TrafficFixture& f) {
  RawCaller caller(f.context, f.server->port());
  caller.Write(Get("/proof/layout/alive"));
  CHECK(f.RunUntil([&] { return caller.has("echo /proof/layout/alive"); }));
}

// Guards against malformed input that reaches an endpoint, hangs the
// connection or ends the process.
TEST_CASE("malformed requests are answered or closed") {
  TrafficFixture f;
  for (const std::string& text : {
           std::string("nonsense\r\n\r\n"),
           std::string("GET / HTTP/9.9\r\n\r\n"),
           std::string("GET /proof/layout/1 HTTP/1.1\r\nContent-Length: -1\r\n"
                       "\r\n"),
           std::string("POST /proof/layout/1 HTTP/1.1\r\nContent-Length: 3\r\n"
                       "Transfer-Encoding: chunked\r\n\r\nabc"),
           std::string("POST /proof/layout/1 HTTP/1.1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
           std::string("GET /proof/layout/1 HTTP/1.1\r\nA\0b: 1\r\n\r\n", 40),
           std::string(2000, '\xff'),
       }) {
    CAPTURE(text);
    RawCaller caller(f.context, f.server->port());
    caller.Write(text);
    CHECK(f.RunUntil([&] {
      return caller.is_closed() || caller.has("HTTP/1.1 4") ||
             caller.has("HTTP/1.1 5");
    }));
  }
  CHECK(f.endpoint_requests.empty());
  CheckAlive(f);
}

// Guards against forwarding requests with an unknown queue, a forbidden method
// or malformed headers to an endpoint.
TEST_CASE("invalid requests get a 4xx response and outcome not-run") {
  TrafficFixture f;
  const std::vector<std::pair<std::string, std::string>> cases = {
      {Get("/"), "HTTP/1.1 404"},
      {Get("//"), "HTTP/1.1 404"},
      {Get("/proof"), "HTTP/1.1 404"},
      {Get("/proof/none/1"), "HTTP/1.1 404"},
      {Get("/proof/layout/1", "Pomelomill-Deadline-Ms: soon\r\n"),
       "HTTP/1.1 400"},
      {Get("/proof/layout/1", "Pomelomill-Deadline-Ms: 99999999999\r\n"),
       "HTTP/1.1 400"},
      {Get("/proof/layout/1",
           "Idempotency-Key: " + std::string(200, 'k') + "\r\n"),
       "HTTP/1.1 400"},
      {"OPTIONS /proof/layout/1 HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 405"},
  };
  for (const auto& it : cases) {
    const std::string& text = it.first;
    const std::string& status = it.second;
    CAPTURE(text);
    RawCaller caller(f.context, f.server->port());
    caller.Write(text);
    CHECK(f.RunUntil([&] { return caller.responses() == 1; }));
    CHECK(caller.received().starts_with(status));
    CHECK(caller.has("Pomelomill-Outcome: not-run"));
  }
  CHECK(f.endpoint_requests.empty());
}

// Guards against memory that grows with the size of headers.
TEST_CASE("oversize headers are refused") {
  TrafficFixture f;
  RawCaller many(f.context, f.server->port());
  std::string headers;
  for (int i = 0; i < 20; ++i)
    headers += "A: " + std::string(1000, 'a') + "\r\n";
  many.Write(Get("/proof/layout/1", headers));
  CHECK(f.RunUntil([&] { return many.has("HTTP/1.1 431"); }));
  RawCaller endless(f.context, f.server->port());
  for (int i = 0; i < 20 && !endless.is_closed(); ++i) {
    endless.Write((i == 0 ? "GET /" : "") + std::string(8000, 'x'));
    f.Run(milliseconds(2));
  }
  CHECK(f.RunUntil([&] { return endless.is_closed(); }));
  CHECK(f.endpoint_requests.empty());
  CheckAlive(f);
}

// Guards against memory that grows with the size of bodies, declared or
// chunked.
TEST_CASE("oversize bodies close the connection") {
  TrafficFixture f(
      [](TrafficOptions& options) { options.callers.max_body_bytes = 10000; });
  RawCaller declared(f.context, f.server->port());
  declared.Write(
      "POST /proof/layout/1 HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" +
      std::string(20000, 'b'));
  CHECK(f.RunUntil([&] { return declared.is_closed(); }));
  RawCaller chunked(f.context, f.server->port());
  chunked.Write(
      "POST /proof/layout/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 8 && !chunked.is_closed(); ++i) {
    chunked.Write("1000\r\n" + std::string(4096, 'c') + "\r\n");
    f.Run(milliseconds(2));
  }
  CHECK(f.RunUntil([&] { return chunked.is_closed(); }));
  CHECK(f.endpoint_requests.empty());
  CheckAlive(f);
}

// Guards against slow senders and idle connections that occupy connection
// slots.
TEST_CASE("slow senders and idle connections are closed") {
  TrafficFixture f([](TrafficOptions& options) {
    options.callers.message_timeout = std::chrono::milliseconds(300);
  });
  RawCaller idle(f.context, f.server->port());
  RawCaller slow(f.context, f.server->port());
  slow.Write("GET /proof/layout/1 HTTP/1.1\r\n");
  RawCaller body(f.context, f.server->port());
  body.Write("POST /proof/layout/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
  for (int i = 0; i < 100 && !slow.is_closed(); ++i) {
    slow.Write("a");
    body.Write(i < 8 ? "b" : "");
    f.Run(milliseconds(50));
  }
  CHECK(slow.is_closed());
  CHECK(f.RunUntil([&] { return idle.is_closed() && body.is_closed(); }));
  CHECK(f.endpoint_requests.empty());
  CheckAlive(f);
}

// Guards against more open connections than the limit, and against a limit that
// still counts closed connections.
TEST_CASE("the number of connections is bounded") {
  TrafficFixture f(
      [](TrafficOptions& options) { options.callers.max_connections = 4; });
  std::vector<std::unique_ptr<RawCaller>> callers;
  const auto connect = [&] {
    callers.push_back(std::make_unique<RawCaller>(f.context, f.server->port()));
    f.Run(milliseconds(10));
    callers.back()->Write(Get("/proof/layout/1"));
    f.Run(milliseconds(10));
  };
  for (int i = 0; i < 8; ++i) connect();
  for (int i = 0; i < 8; ++i) {
    CHECK(f.RunUntil([&] {
      return i < 4 ? callers[i]->has("echo") : callers[i]->is_closed();
    }));
  }
  CHECK(f.server->status().open_connections == 4);
  callers[0]->Close();
  f.Run(milliseconds(20));
  connect();
  CHECK(f.RunUntil([&] { return callers[8]->has("echo"); }));
  CHECK(f.server->status().open_connections == 4);
}

}  // namespace
}  // namespace pomelomill
