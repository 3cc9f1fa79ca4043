#include <doctest/doctest.h>

#include <memory>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kFirstDueMs = 1'000;
const WorkerId kWorker("w");
const JobId kJob("t");

/// A new owner of a pool with one worker and one inherited job, whose three
/// occurrences of two tasks are due every 500 ms.
struct Takeover {
  explicit Takeover(JobProgress progress = {}) {
    dispatcher.SetQueue(QueueId("q"), {});
    dispatcher.SetListedWorkers(
        {{.id = kWorker, .capacity = {.cpu_millis = 9'000}}});
    dispatcher.AwaitWorkerReports({kWorker});
    StepSpec step;
    step.tasks = 2;
    step.size.cpu_millis = 1'000;
    auto spec = std::make_shared<JobSpec>();
    spec->steps = {step};
    spec->occurrences = 3;
    spec->first_due_ms = kFirstDueMs;
    spec->interval = milliseconds(500);
    dispatcher.AddJob({.id = kJob,
                       .queue = QueueId("q"),
                       .spec = spec,
                       .progress = std::move(progress),
                       .is_inherited = true},
                      Instant{});
  }

  static TaskKey Key(std::uint32_t occurrence, std::uint32_t index) {
    return {.job = kJob, .occurrence = occurrence, .index = index};
  }

  void Report(WorkerReport report, std::int64_t wall_ms) {
    report.clock_ms = ++clock_ms;
    report.started_ms = 1;
    dispatcher.OnReport(kWorker, report, Instant{}, wall_ms);
  }

  /// Returns the tasks that are started, which the worker accepts.
  std::vector<TaskKey> Start(std::int64_t wall_ms) {
    const DispatchPlan plan = dispatcher.Plan(Instant{}, wall_ms);
    CHECK(plan.stops.empty());
    std::vector<TaskKey> keys;
    for (const StartOrder& it : plan.starts) {
      dispatcher.OnStartResult(it.worker, it.key, it.run,
                               StartOutcome::kStarted, ++clock_ms, Instant{});
      keys.push_back(it.key);
    }
    return keys;
  }

  Dispatcher dispatcher{DispatcherOptions{.first_run = 100'001}};
  std::int64_t clock_ms = 0;
};

}  // namespace

TEST_CASE("a report before a new owner's first plan counts for timed jobs") {
  // Guards against TWICE: an end was acknowledged as that of an unknown task,
  // and a run stopped, since the plan had not created the occurrence yet.
  Takeover it;
  it.Report({.running = {{.key = Takeover::Key(0, 1), .run = 1}},
             .ended = {{.number = 1,
                        .key = Takeover::Key(0, 0),
                        .run = 1,
                        .outcome = RunOutcome::kDone}}},
            kFirstDueMs + 100);
  CHECK(it.dispatcher.AckLimit(kWorker) == 0);
  CHECK(it.Start(kFirstDueMs + 100).empty());
  it.dispatcher.OnStored(it.dispatcher.TakeBatch().number);
  CHECK(it.dispatcher.AckLimit(kWorker) == 1);
  CHECK(it.dispatcher.running_tasks() == 1);
  CHECK(it.Start(kFirstDueMs + 500) ==
        std::vector{Takeover::Key(1, 0), Takeover::Key(1, 1)});
}

TEST_CASE("an occurrence that is due by the former owner's clock is kept") {
  // Guards against TWICE where the former owner's clock was ahead, and against
  // ORDER: nothing else of that occurrence starts before it is due here.
  Takeover it;
  it.Report({.ended = {{.number = 1,
                        .key = Takeover::Key(2, 0),
                        .run = 1,
                        .outcome = RunOutcome::kDone}}},
            kFirstDueMs);
  CHECK(it.dispatcher.AckLimit(kWorker) == 0);
  CHECK(it.Start(kFirstDueMs) ==
        std::vector{Takeover::Key(0, 0), Takeover::Key(0, 1)});
  CHECK(it.Start(kFirstDueMs + 999) ==
        std::vector{Takeover::Key(1, 0), Takeover::Key(1, 1)});
  CHECK(it.Start(kFirstDueMs + 1'000) == std::vector{Takeover::Key(2, 1)});
}

TEST_CASE("a task that ran alone waits for its due time, too") {
  // Guards against ORDER: tasks that crashed their workers are planned apart
  // from the others.
  Takeover it({.phase = JobPhase::kRunning,
               .tasks = {{.occurrence = 1, .crashed_runs = {1, 2}}}});
  it.Report({.ended = {{.number = 1,
                        .key = Takeover::Key(1, 1),
                        .run = 3,
                        .outcome = RunOutcome::kDone}}},
            kFirstDueMs);
  CHECK(it.Start(kFirstDueMs) ==
        std::vector{Takeover::Key(0, 0), Takeover::Key(0, 1)});
}

TEST_CASE("reports of finished occurrences and impossible tasks are settled") {
  // Guards against ends that are never acknowledged and block those after them.
  Takeover it({.tasks = {{.index = 0, .is_done = true},
                         {.index = 1, .is_done = true}}});
  it.Report({.ended = {{.number = 1, .key = Takeover::Key(0, 1), .run = 1},
                       {.number = 2, .key = Takeover::Key(0, 2), .run = 1},
                       {.number = 3, .key = Takeover::Key(3, 0), .run = 1}}},
            kFirstDueMs);
  CHECK(it.dispatcher.AckLimit(kWorker) == 3);
  CHECK(it.Start(kFirstDueMs + 400).empty());
}

}  // namespace pomelomill
