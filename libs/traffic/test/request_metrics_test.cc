#include "pomelomill/traffic/request_metrics.h"

#include <doctest/doctest.h>

#include <string>

#include "traffic_fixture.h"

namespace pomelomill {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against a metrics page and memory that grow with every team name that
// callers make up.
TEST_CASE("teams and queues that are not declared share one series") {
  Declarations declarations;
  declarations.queues[QueueId("s/q")] = {};
  declarations.teams[TeamId("t")] = {};
  RequestMetrics metrics;
  const auto end = [&](const std::string& queue, const std::string& team) {
    metrics.SeriesFor(QueueId(queue), TeamId(team), declarations)
        .RecordEnd(Outcome::kNotRun, OutcomeReason::kQuota, Duration(0));
  };
  end("s/q", "t");
  end("s/q", "");
  for (int i = 0; i < 100; ++i) end("s/q", "x" + std::to_string(i));
  for (int i = 0; i < 100; ++i) end("x/" + std::to_string(i), "t");
  const std::string text = metrics.Snapshot()->Text();
  const std::string tail = "outcome=\"not-run\",reason=\"quota\"} ";
  CHECK(Has(text, "{queue=\"s/q\",team=\"t\"," + tail + "1\n"));
  CHECK(Has(text, "{queue=\"s/q\",team=\"none\"," + tail + "1\n"));
  CHECK(Has(text, "{queue=\"s/q\",team=\"other\"," + tail + "100\n"));
  CHECK(Has(text, "{queue=\"other\",team=\"t\"," + tail + "100\n"));
  CHECK_FALSE(Has(text, "x1"));
}

// Guards against memory that grows with every change of the declared teams.
TEST_CASE("the number of pairs of queue and team is bounded") {
  RequestMetrics metrics;
  Declarations declarations;
  declarations.queues[QueueId("s/q")] = {};
  for (std::size_t i = 0; i < RequestMetrics::kMaxPairs + 50; ++i) {
    const TeamId team("t" + std::to_string(i));
    declarations.teams = {{team, {}}};
    metrics.SeriesFor(QueueId("s/q"), team, declarations)
        .RecordEarlyEnd({}, EarlyEndReason::kCancelled);
  }
  CHECK(Has(metrics.Snapshot()->Text(),
            "{queue=\"other\",team=\"other\",outcome=\"cancelled\","
            "reason=\"cancelled\"} 50\n"));
}

// Guards against requests that are not counted, or counted twice.
TEST_CASE("each request of a caller is counted once") {
  TrafficFixture f;
  RawCaller caller(f.context, f.server->port());
  const auto count = [&](const std::string& labels) {
    return Has(f.server->metrics()->Text(),
               "pomelomill_requests_total{" + labels + "} 1\n");
  };
  caller.Write("GET /proof/layout/1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return caller.responses() == 1; }));
  CHECK(count(R"(queue="proof/layout",team="none",outcome="answered",)"
              R"(reason="complete")"));
  CHECK(Has(f.server->metrics()->Text(),
            "pomelomill_request_seconds_count{queue=\"proof/layout\","
            "team=\"none\"} 1\n"));
  caller.Write("GET /proof/nothing/1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return caller.responses() == 2; }));
  CHECK(count(R"(queue="other",team="none",outcome="not-run",)"
              R"(reason="bad_request")"));
  caller.Write(
      "GET /proof/layout/1 HTTP/1.1\r\nHost: x\r\nPomelomill-Team: z\r\n"
      "Idempotency-Key: k\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return caller.responses() == 3; }));
  CHECK(count(R"(queue="proof/layout",team="other",outcome="not-run",)"
              R"(reason="key")"));
  // The endpoint never responds, so the caller closes its connection first.
  f.handler = [](const IncomingRequest&, const RespondHook&) {};
  caller.Write("GET /proof/layout/2 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return f.endpoint_requests.size() == 2; }));
  caller.Close();
  REQUIRE(f.RunUntil([&] {
    return count(R"(queue="proof/layout",team="none",outcome="cancelled",)"
                 R"(reason="cancelled")");
  }));
}

}  // namespace
}  // namespace pomelomill
