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
    dispatcher.SetQueue(QueueId("q"), {.max_attempts = 2});
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
    dispatcher.OnReport(WorkerId("w"),
                        {.clock_ms = ++clock, .started_ms = started_ms}, At(0),
                        0);
  }

  std::size_t PlanStarts() { return dispatcher.Plan(At(0), 0).starts.size(); }

  Dispatcher dispatcher{DispatcherOptions{}};
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

}  // namespace pomelomill
