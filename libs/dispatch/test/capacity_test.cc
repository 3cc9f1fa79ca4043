#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

Instant At(int ms) { return Instant(milliseconds(ms)); }

/// A dispatcher with one worker, "w", and a job of eight tasks of one core.
class OneWorker {
 public:
  OneWorker() {
    dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
    auto spec = std::make_shared<JobSpec>();
    StepSpec& step = spec->steps.emplace_back();
    step.tasks = 8;
    step.size = {.cpu_millis = 1'000, .memory_mb = 100};
    dispatcher.AddJob({.id = JobId("a"), .queue = QueueId("q"), .spec = spec},
                      At(0));
  }

  /// The store lists the worker with that many cores.
  void List(std::uint32_t cores, std::int64_t started_ms) {
    dispatcher.SetListedWorkers(
        {{.id = WorkerId("w"),
          .capacity = {.cpu_millis = cores * 1'000, .memory_mb = 10'000},
          .started_ms = started_ms}});
  }

  void Report(std::int64_t started_ms) {
    WorkerReport report{.clock_ms = ++clock, .started_ms = started_ms};
    for (const StartOrder& it : running)
      report.running.push_back({.key = it.key, .run = it.run});
    report.ended = ended;
    dispatcher.OnReport(WorkerId("w"), report, At(0), 0);
  }

  /// Ends the first of the running tasks.
  void End() {
    ended.push_back({.number = ended.size() + 1,
                     .key = running.front().key,
                     .run = running.front().run,
                     .outcome = RunOutcome::kDone});
    running.erase(running.begin());
  }

  /// Plans, and answers each start with `outcome`.
  std::size_t PlanStarts(StartOutcome outcome = StartOutcome::kStarted) {
    const DispatchPlan plan = dispatcher.Plan(At(0), 0);
    stops = plan.stops;
    for (const StartOrder& it : plan.starts) {
      running.push_back(it);
      dispatcher.OnStartResult(it.worker, it.key, it.run, outcome, ++clock,
                               At(0));
    }
    return plan.starts.size();
  }

  std::vector<std::string> events;
  Dispatcher dispatcher{DispatcherOptions{}, [this](const DispatchEvent& it) {
                          if (it.event == "worker-capacity")
                            events.push_back(it.detail);
                        }};
  std::vector<StartOrder> running;
  std::vector<EndedTask> ended;
  std::vector<StopOrder> stops;
  std::int64_t clock = 0;
};

}  // namespace

TEST_CASE("a new incarnation gets no tasks by the capacity of the former one") {
  // Guards against a worker over its capacity: a process that starts again
  // under a known id may be on a smaller VM, and answers before the store lists
  // it.
  OneWorker pool;
  pool.List(8, 100);
  SUBCASE("the worker starts again before its first report") {
    pool.Report(200);
  }
  SUBCASE("the worker starts again between two reports") {
    pool.dispatcher.SetListedWorkers({});
    pool.Report(100);
    pool.List(8, 100);
    pool.Report(200);
  }
  CHECK(pool.PlanStarts() == 0);
  pool.List(2, 200);
  CHECK(pool.PlanStarts() == 2);
}

TEST_CASE("a worker whose capacity has shrunk gets tasks only within it") {
  // Guards against a worker over its capacity. What runs there goes on: a stop
  // would throw away work that ends by itself.
  OneWorker pool;
  pool.List(4, 100);
  pool.Report(100);
  REQUIRE(pool.PlanStarts() == 4);
  pool.List(2, 100);
  CHECK(pool.events == std::vector<std::string>{
                           "cpu 4000/4000 to 2000 mem 400/10000 to 10000 gpu "
                           "0/0 to 0"});
  for (int running = 4; running > 2; --running) {
    CHECK(pool.PlanStarts() == 0);
    CHECK(pool.stops.empty());
    pool.End();
    pool.Report(100);
  }
  CHECK(pool.PlanStarts() == 0);
  pool.End();
  pool.Report(100);
  CHECK(pool.PlanStarts() == 1);
  SUBCASE("it grows again") {
    pool.List(4, 100);
    CHECK(pool.PlanStarts() == 2);
  }
  SUBCASE("it shrinks to nothing") {
    pool.List(0, 100);
    pool.End();
    pool.End();
    pool.Report(100);
    CHECK(pool.PlanStarts() == 0);
  }
}

TEST_CASE("a start without an answer counts when the capacity shrinks") {
  // The order may still be carried out, until a stop of its run is accepted.
  OneWorker pool;
  pool.List(4, 100);
  pool.Report(100);
  REQUIRE(pool.PlanStarts(StartOutcome::kUnknown) == 4);
  pool.running.clear();
  pool.List(2, 100);
  CHECK(pool.PlanStarts() == 0);
  const std::vector<StopOrder> stops = pool.stops;
  REQUIRE(stops.size() == 4);
  const std::vector<std::size_t> expected_starts = {0, 0, 1, 1};
  for (std::size_t i = 0; i < stops.size(); ++i) {
    pool.dispatcher.OnStopResult(stops[i].worker, stops[i].key, stops[i].run,
                                 ++pool.clock, At(0));
    pool.Report(100);
    CHECK(pool.PlanStarts() == expected_starts[i]);
  }
}

}  // namespace pomelomill
