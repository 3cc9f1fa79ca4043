#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

Instant At(int ms) { return Instant{} + milliseconds(ms); }

/// Three workers that have reported, and a job with one task.
struct Pool {
  Pool() {
    dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
    std::vector<WorkerSpec> workers;
    for (const char* it : {"w0", "w1", "w2"}) {
      workers.push_back(
          {.id = WorkerId(it),
           .capacity = {.cpu_millis = 4'000, .memory_mb = 8'000}});
    }
    dispatcher.SetListedWorkers(workers);
    for (const WorkerSpec& it : workers)
      dispatcher.OnReport(it.id, {.clock_ms = 1, .started_ms = 1}, At(0), 0);
    auto spec = std::make_shared<JobSpec>();
    StepSpec& step = spec->steps.emplace_back();
    step.tasks = 1;
    step.size = {.cpu_millis = 1'000, .memory_mb = 100};
    dispatcher.AddJob({.id = JobId("a"), .queue = QueueId("q"), .spec = spec},
                      At(0));
  }

  /// Starts the task; a copy of the start is answered.
  StartOrder Start(int ms) {
    StartOrder start = dispatcher.Plan(At(ms), 0).starts.at(0);
    dispatcher.OnStartResult(start.worker, start.key, start.run,
                             StartOutcome::kStarted, 2, At(ms));
    return start;
  }

  Dispatcher dispatcher{DispatcherOptions{}};
};

}  // namespace

// Guards against TWICE: the next incarnation of a worker carries out a start
// that was sent to the former one, while the task runs elsewhere.
TEST_CASE("a task whose start is open is not started elsewhere") {
  Pool pool;
  const StartOrder start = pool.Start(0);
  const auto lose = [&](WorkerLoss loss) {
    pool.dispatcher.OnWorkerGone(start.worker, loss, At(1'000), 0);
  };
  const auto starts_at = [&](int ms) {
    return pool.dispatcher.Plan(At(ms), 0).starts.size();
  };
  SUBCASE("each copy was answered") {
    pool.dispatcher.OnStartSettled(start.key, start.run, true, At(0));
    lose(WorkerLoss::kConnectionsRefused);
    CHECK(starts_at(1'001) == 1);
  }
  SUBCASE("a copy is in transit") {
    lose(WorkerLoss::kConnectionsRefused);
    CHECK(starts_at(1'001) == 0);
    CHECK(starts_at(13'900) == 0);
    CHECK(starts_at(14'001) == 1);
  }
  SUBCASE("a copy got no answer") {
    pool.dispatcher.OnStartSettled(start.key, start.run, false, At(800));
    lose(WorkerLoss::kLeaseExpired);
    CHECK(starts_at(13'700) == 0);
    CHECK(starts_at(13'801) == 1);
  }
  SUBCASE("nothing can be carried out any more") {
    lose(WorkerLoss::kConnectionsRefused);
    CHECK(starts_at(1'001) == 0);
    pool.dispatcher.ReleaseHeldTasks(start.worker, At(1'002));
    CHECK(starts_at(1'002) == 1);
  }
  SUBCASE("a copy of an earlier run got no answer") {
    pool.dispatcher.OnStartSettled(start.key, start.run, false, At(800));
    pool.dispatcher.OnStartResult(start.worker, start.key, start.run,
                                  StartOutcome::kUnknown, 0, At(800));
    // The run failed on the worker meanwhile and was followed by another.
    WorkerReport report{.clock_ms = 5, .started_ms = 1};
    report.ended.push_back({.number = 1,
                            .key = start.key,
                            .run = start.run,
                            .outcome = RunOutcome::kFailed});
    pool.dispatcher.OnReport(start.worker, report, At(800), 0);
    const StartOrder second = pool.Start(900);
    pool.dispatcher.OnStartSettled(second.key, second.run, true, At(900));
    const auto& lost = start.worker;
    pool.dispatcher.OnWorkerGone(second.worker, WorkerLoss::kConnectionsRefused,
                                 At(1'000), 0);
    pool.dispatcher.OnWorkerGone(lost, WorkerLoss::kConnectionsRefused,
                                 At(1'000), 0);
    CHECK(starts_at(1'100) == 0);
    CHECK(starts_at(13'801) == 1);
  }
  SUBCASE("another worker is at the address") {
    lose(WorkerLoss::kConnectionsRefused);
    CHECK(starts_at(1'001) == 0);
    lose(WorkerLoss::kOtherIncarnation);
    CHECK(starts_at(1'002) == 1);
  }
  SUBCASE("the next incarnation runs it") {
    lose(WorkerLoss::kConnectionsRefused);
    WorkerReport report{.clock_ms = 5, .started_ms = 2};
    report.running.push_back({.key = start.key, .run = start.run});
    pool.dispatcher.OnReport(start.worker, report, At(1'200), 0);
    pool.dispatcher.ReleaseHeldTasks(start.worker, At(1'200));
    const DispatchPlan plan = pool.dispatcher.Plan(At(1'200), 0);
    CHECK(plan.starts.empty());
    CHECK(plan.stops.empty());
    CHECK(pool.dispatcher.running_tasks() == 1);
  }
}

}  // namespace pomelomill
