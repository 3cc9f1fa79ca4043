#include "endpoint_records.h"

#include <doctest/doctest.h>

namespace pomelomill::load {
namespace {

using std::chrono::milliseconds;

Declarations OneQueue(double availability) {
  Declarations declarations;
  const QueueId id("shop/quote");
  declarations.queues[id] = {.id = id,
                             .service = ServiceId("shop"),
                             .deadline = milliseconds(500),
                             .availability = availability,
                             .window = std::chrono::seconds(10),
                             .mean_rate = 0.1};
  return declarations;
}

CallRecord Call(CallResult result, Duration latency = milliseconds(10)) {
  return {.queue = "shop/quote", .result = result, .latency = latency};
}

QueueReport Report(const std::map<std::string, CallRecord>& calls,
                   const std::map<std::string, int>& runs,
                   double availability = 0.5) {
  return Compare(calls, runs, OneQueue(availability)).at("shop/quote");
}

// Guards against a report that misses a request that ran although its caller
// was told "not run".
TEST_CASE("a false not-run is counted") {
  const std::map<std::string, CallRecord> calls = {
      {"a", Call(CallResult::kNotRun)}, {"b", Call(CallResult::kNotRun)}};
  CHECK(Report(calls, {}).false_not_run == 0);
  CHECK(Report(calls, {{"b", 1}}).false_not_run == 1);
}

// Guards against a report that misses a second run of an order.
TEST_CASE("an order that ran twice is counted") {
  CallRecord order = Call(CallResult::kUnknown);
  order.is_order = true;
  CHECK(Report({{"a", order}}, {{"a", 1}}).duplicated == 0);
  CHECK(Report({{"a", order}}, {{"a", 2}}).duplicated == 1);
  const CallRecord repeatable = Call(CallResult::kAnsweredWhole);
  CHECK(Report({{"a", repeatable}}, {{"a", 2}}).duplicated == 0);
}

// Guards against a response that no endpoint gave.
TEST_CASE("a whole answer without a run is counted") {
  const std::map<std::string, CallRecord> calls = {
      {"a", Call(CallResult::kAnsweredWhole)}};
  CHECK(Report(calls, {{"a", 1}}).answered_without_run == 0);
  CHECK(Report(calls, {}).answered_without_run == 1);
}

// Guards against late answers that count as served, and against a budget that
// is larger than declared.
TEST_CASE("the budget counts everything that is not whole and in time") {
  const std::map<std::string, CallRecord> calls = {
      {"a", Call(CallResult::kAnsweredWhole)},
      {"b", Call(CallResult::kAnsweredWhole, milliseconds(501))},
      {"c", Call(CallResult::kNotRun)},
      {"d", Call(CallResult::kAnsweredWhole)}};
  const QueueReport report =
      Report(calls, {{"a", 1}, {"b", 1}, {"d", 1}}, 0.75);
  CHECK(report.sent == 4);
  CHECK(report.in_time == 2);
  CHECK(report.budget == 1);
  // 10 s at the declared rate are one request, fewer than were sent.
  Declarations busy = OneQueue(0.75);
  busy.queues.begin()->second.mean_rate = 2;
  CHECK(Compare(calls, {}, busy).at("shop/quote").budget == 5);
}

// Guards against refusals that nobody can explain.
TEST_CASE("reasons are counted") {
  CallRecord refused = Call(CallResult::kNotRun);
  refused.reason = "the queue is full";
  const QueueReport report = Report({{"a", refused}, {"b", refused}}, {});
  CHECK(report.reasons.at("the queue is full") == 2);
}

// Guards against a record format that is read wrongly.
TEST_CASE("records of endpoints are summed by request") {
  const auto runs =
      CountRuns({"r1 - /a done\nr2 k /b done\n", "r1 - /a open\n"});
  CHECK(runs.at("r1") == 2);
  CHECK(runs.at("r2") == 1);
}

}  // namespace
}  // namespace pomelomill::load
