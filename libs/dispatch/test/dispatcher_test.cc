#include <doctest/doctest.h>

#include <map>
#include <memory>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TaskSize kCapacity{.cpu_millis = 4'000, .memory_mb = 4'000};

Instant At(int ms) { return Instant(milliseconds(ms)); }

StepSpec Tasks(std::uint32_t n, std::uint32_t cpu_millis = 1'000) {
  StepSpec step;
  step.tasks = n;
  step.size = {.cpu_millis = cpu_millis, .memory_mb = 100};
  step.estimate = milliseconds(500);
  return step;
}

AddedJob Job(const std::string& id, std::vector<StepSpec> steps) {
  auto spec = std::make_shared<JobSpec>();
  spec->payload = "p";
  spec->steps = std::move(steps);
  return {.id = JobId(id), .queue = QueueId("q"), .spec = spec};
}

/// A dispatcher with workers "w0", "w1", ... that have reported once.
class Pool {
 public:
  explicit Pool(std::size_t workers, std::uint32_t max_attempts = 2) {
    dispatcher.SetQueue(QueueId("q"), {.max_attempts = max_attempts});
    std::vector<WorkerSpec> specs;
    for (std::size_t i = 0; i < workers; ++i) {
      specs.push_back({.id = Worker(i),
                       .capacity = kCapacity,
                       .labels = {"a", "r" + std::to_string(i / 2)},
                       .rack = RackId("r" + std::to_string(i / 2))});
    }
    dispatcher.SetListedWorkers(specs);
    for (std::size_t i = 0; i < workers; ++i) Report(i, {});
  }

  static WorkerId Worker(std::size_t i) {
    return WorkerId("w" + std::to_string(i));
  }

  void Report(std::size_t i, WorkerReport report, std::int64_t started_ms = 1) {
    report.clock_ms = ++clock;
    report.started_ms = started_ms;
    dispatcher.OnReport(Worker(i), report, At(now_ms), 0);
  }

  void ReportEnd(const StartOrder& start, RunOutcome outcome) {
    WorkerReport report;
    report.ended.push_back({.number = ++ends[start.worker],
                            .key = start.key,
                            .run = start.run,
                            .outcome = outcome});
    // Everything else that was started there still runs.
    for (const StartOrder& it : started) {
      if (it.worker == start.worker && !(it.key == start.key))
        report.running.push_back({.key = it.key, .run = it.run});
    }
    std::erase_if(started, [&](const StartOrder& it) {
      return it.key == start.key && it.run == start.run;
    });
    report.clock_ms = ++clock;
    report.started_ms = 1;
    dispatcher.OnReport(start.worker, report, At(now_ms), 0);
  }

  /// Plans and answers every start with success.
  std::vector<StartOrder> Start() {
    auto plan = dispatcher.Plan(At(now_ms), 0);
    for (const StartOrder& it : plan.starts) {
      dispatcher.OnStartResult(it.worker, it.key, it.run,
                               StartOutcome::kStarted, ++clock, At(now_ms));
      started.push_back(it);
    }
    return plan.starts;
  }

  void Store() { dispatcher.OnStored(dispatcher.TakeBatch().number); }

  Dispatcher dispatcher{DispatcherOptions{}};
  std::vector<StartOrder> started;
  std::map<WorkerId, std::uint64_t> ends;
  std::int64_t clock = 0;
  int now_ms = 0;
};

}  // namespace

TEST_CASE("a worker's capacity is never exceeded, by tasks that stop neither") {
  Pool pool(1);
  pool.dispatcher.AddJob(Job("a", {Tasks(6)}), At(0));
  CHECK(pool.Start().size() == 4);
  pool.dispatcher.CancelJob(JobId("a"), At(1), 0);
  pool.dispatcher.AddJob(Job("b", {Tasks(2)}), At(1));
  const DispatchPlan plan = pool.dispatcher.Plan(At(1), 0);
  CHECK(plan.stops.size() == 4);
  CHECK(plan.starts.empty());
}

TEST_CASE("a step starts only after all tasks of the steps before it") {
  Pool pool(2);
  StepSpec second = Tasks(1);
  second.after = {0};
  pool.dispatcher.AddJob(Job("a", {Tasks(2), second}), At(0));
  const auto first = pool.Start();
  REQUIRE(first.size() == 2);
  pool.ReportEnd(first[0], RunOutcome::kDone);
  CHECK(pool.Start().empty());
  pool.ReportEnd(first[1], RunOutcome::kDone);
  const auto last = pool.Start();
  REQUIRE(last.size() == 1);
  CHECK(last[0].key.step == 1);
}

TEST_CASE("complete is shown, and an end acknowledged, only once stored") {
  // A caller that was told so must not lose it when the owner dies.
  Pool pool(1);
  pool.dispatcher.AddJob(Job("a", {Tasks(1)}), At(0));
  const auto starts = pool.Start();
  REQUIRE(starts.size() == 1);
  pool.ReportEnd(starts[0], RunOutcome::kDone);
  CHECK(pool.dispatcher.ShownPhase(JobId("a")) == JobPhase::kRunning);
  CHECK(pool.dispatcher.AckLimit(Pool::Worker(0)) == 0);
  pool.Store();
  CHECK(pool.dispatcher.ShownPhase(JobId("a")) == JobPhase::kComplete);
  CHECK(pool.dispatcher.AckLimit(Pool::Worker(0)) == 1);
}

TEST_CASE("an order without an answer is stopped before the task runs again") {
  Pool pool(2);
  pool.dispatcher.AddJob(Job("a", {Tasks(1)}), At(0));
  const auto plan = pool.dispatcher.Plan(At(0), 0);
  REQUIRE(plan.starts.size() == 1);
  const StartOrder& start = plan.starts[0];
  pool.dispatcher.OnStartResult(start.worker, start.key, start.run,
                                StartOutcome::kUnknown, 0, At(10));
  auto again = pool.dispatcher.Plan(At(10), 0);
  CHECK(again.starts.empty());
  REQUIRE(again.stops.size() == 1);
  pool.dispatcher.OnStopResult(start.worker, start.key, start.run, ++pool.clock,
                               At(20));
  CHECK(pool.dispatcher.Plan(At(20), 0).starts.empty());
  // A report after the stop that does not list the run closes it.
  pool.Report(start.worker == Pool::Worker(0) ? 0 : 1, {});
  again = pool.dispatcher.Plan(At(30), 0);
  REQUIRE(again.starts.size() == 1);
  CHECK(again.starts[0].run > start.run);
}

TEST_CASE(
    "a long-running task is not stopped because its start had no answer") {
  // Guards against a step that misses more tasks than it may: the starts were
  // carried out, only their answers were late.
  Pool pool(2);
  StepSpec step = Tasks(2);
  step.is_long_running = true;
  step.max_unavailable = 1;
  pool.dispatcher.AddJob(Job("a", {step}), At(0));
  const auto plan = pool.dispatcher.Plan(At(0), 0);
  REQUIRE(plan.starts.size() == 2);
  for (const StartOrder& it : plan.starts) {
    pool.dispatcher.OnStartResult(it.worker, it.key, it.run,
                                  StartOutcome::kUnknown, 0, At(800));
  }
  CHECK(pool.dispatcher.Plan(At(800), 0).stops.empty());
  // The first was carried out, the second not.
  const StartOrder& first = plan.starts[0];
  const StartOrder& second = plan.starts[1];
  REQUIRE(first.worker != second.worker);
  WorkerReport report;
  report.running.push_back({.key = first.key, .run = first.run});
  pool.Report(first.worker == Pool::Worker(0) ? 0 : 1, report);
  pool.Report(second.worker == Pool::Worker(0) ? 0 : 1, {});
  const auto next = pool.dispatcher.Plan(At(900), 0);
  CHECK(next.starts.empty());
  REQUIRE(next.stops.size() == 1);
  CHECK(next.stops[0].key == second.key);
}

TEST_CASE("a new owner waits for its predecessor's stops before it disrupts") {
  // Guards against a step that misses more tasks than it may: a task that the
  // predecessor has stopped is still listed as running for a moment.
  Dispatcher dispatcher({});
  dispatcher.SetQueue(QueueId("q"), {.max_attempts = 2});
  std::vector<WorkerSpec> specs;
  for (std::size_t i = 0; i < 3; ++i)
    specs.push_back({.id = Pool::Worker(i), .capacity = kCapacity});
  dispatcher.AwaitWorkerReports({Pool::Worker(0), Pool::Worker(1)});
  dispatcher.SetListedWorkers(specs);
  StepSpec step = Tasks(2);
  step.is_long_running = true;
  step.max_unavailable = 1;
  AddedJob job = Job("a", {step});
  job.is_inherited = true;
  dispatcher.AddJob(job, At(0));
  std::int64_t clock = 0;
  const auto report_all = [&](int ms) {
    ++clock;
    for (std::uint32_t i = 0; i < 3; ++i) {
      WorkerReport report{.clock_ms = clock, .started_ms = 1};
      if (i < 2) {
        report.running.push_back(
            {.key = {JobId("a"), 0, 0, i}, .run = 1, .speed_percent = 100});
      }
      dispatcher.OnReport(Pool::Worker(i), report, At(ms), 0);
    }
  };
  dispatcher.CloseWorker(Pool::Worker(0), At(0));
  report_all(100);
  CHECK(dispatcher.Plan(At(100), 0).stops.empty());
  report_all(1000);
  CHECK(dispatcher.Plan(At(1000), 0).stops.empty());
  report_all(2000);
  CHECK(dispatcher.Plan(At(2000), 0).stops.size() == 1);
}

TEST_CASE("a run is not missing while a report may lack ends") {
  // A worker lists its ends in parts. A task whose end is in a later part must
  // not be started again: the end is acknowledged afterwards.
  Pool pool(1);
  pool.dispatcher.AddJob(Job("a", {Tasks(1)}), At(0));
  const auto starts = pool.Start();
  REQUIRE(starts.size() == 1);
  WorkerReport part;
  part.ended.push_back({.number = 1,
                        .key = {JobId("other"), 0, 0, 0},
                        .run = 1,
                        .outcome = RunOutcome::kDone});
  part.may_lack_ends = true;
  std::int64_t started_ms = 1;
  SUBCASE("while the task is running") {
    pool.Report(0, part);
    CHECK(pool.Start().empty());
  }
  SUBCASE("while it is being stopped") {
    pool.dispatcher.CancelJob(JobId("a"), At(0), 0);
    pool.dispatcher.Plan(At(0), 0);
    pool.dispatcher.OnStopResult(starts[0].worker, starts[0].key, starts[0].run,
                                 ++pool.clock, At(0));
    pool.Report(0, part);
    CHECK_FALSE(pool.dispatcher.IsEmpty(starts[0].worker));
  }
  SUBCASE("in a new incarnation") {
    started_ms = 2;
    pool.Report(0, part, started_ms);
    CHECK(pool.Start().empty());
  }
  WorkerReport rest;
  rest.ended.push_back({.number = 2,
                        .key = starts[0].key,
                        .run = starts[0].run,
                        .outcome = RunOutcome::kDone});
  pool.Report(0, rest, started_ms);
  CHECK(pool.dispatcher.IsEmpty(starts[0].worker));
  CHECK(pool.Start().empty());
}

TEST_CASE("a job fails after its last attempt, and only by failed runs") {
  Pool pool(2, 2);
  pool.dispatcher.AddJob(Job("a", {Tasks(1)}), At(0));
  pool.ReportEnd(pool.Start().at(0), RunOutcome::kLeaseExpired);
  pool.now_ms = 1'000;
  pool.ReportEnd(pool.Start().at(0), RunOutcome::kFailed);
  pool.now_ms = 2'000;
  pool.ReportEnd(pool.Start().at(0), RunOutcome::kFailed);
  pool.Store();
  CHECK(pool.dispatcher.ShownPhase(JobId("a")) == JobPhase::kFailed);
  pool.now_ms = 3'000;
  CHECK(pool.Start().empty());
}

TEST_CASE("a new owner counts failed runs that workers report in any order") {
  // The latest run is reported first; the earlier ones count all the same, and
  // one that the last owner had stored does not count twice.
  Dispatcher dispatcher{DispatcherOptions{.first_run = 100}};
  dispatcher.SetQueue(QueueId("q"), {.max_attempts = 3});
  dispatcher.AwaitWorkerReports(
      {WorkerId("w0"), WorkerId("w1"), WorkerId("w2")});
  AddedJob job = Job("a", {Tasks(1)});
  job.is_inherited = true;
  job.progress.phase = JobPhase::kRunning;
  job.progress.tasks = {{.failed_runs = {1}}};
  dispatcher.AddJob(job, At(0));
  const auto report = [&](const char* worker, std::uint32_t run) {
    WorkerReport it{.clock_ms = 5, .started_ms = 1};
    it.ended.push_back({.number = 1,
                        .key = {JobId("a"), 0, 0, 0},
                        .run = run,
                        .outcome = RunOutcome::kFailed});
    dispatcher.OnReport(WorkerId(worker), it, At(0), 0);
  };
  report("w0", 3);
  report("w1", 1);
  dispatcher.OnStored(dispatcher.TakeBatch().number);
  CHECK(dispatcher.ShownPhase(JobId("a")) == JobPhase::kRunning);
  report("w2", 2);
  dispatcher.OnStored(dispatcher.TakeBatch().number);
  CHECK(dispatcher.ShownPhase(JobId("a")) == JobPhase::kFailed);
}

TEST_CASE("a long-running task is started again however it ends") {
  Pool pool(2, 1);
  StepSpec step = Tasks(2);
  step.is_long_running = true;
  pool.dispatcher.AddJob(Job("a", {step}), At(0));
  auto starts = pool.Start();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].worker != starts[1].worker);
  for (const RunOutcome it : {RunOutcome::kDone, RunOutcome::kFailed,
                              RunOutcome::kFailed, RunOutcome::kLeaseExpired}) {
    pool.ReportEnd(starts[0], it);
    pool.now_ms += 1'000;
    starts = pool.Start();
    REQUIRE(starts.size() == 1);
  }
}

TEST_CASE("a gang starts as a whole or not at all, with one run number") {
  Pool pool(1);
  StepSpec step = Tasks(5);
  step.is_gang = true;
  pool.dispatcher.AddJob(Job("wide", {step}), At(0));
  CHECK(pool.Start().empty());
  step.tasks = 3;
  pool.dispatcher.AddJob(Job("narrow", {step}), At(0));
  const auto starts = pool.Start();
  REQUIRE(starts.size() == 3);
  CHECK(starts[0].run == starts[1].run);
  CHECK(starts[1].run == starts[2].run);
}

TEST_CASE("inherited tasks wait for every worker that may run them") {
  // A worker that has not reported may run the task for an earlier owner.
  Dispatcher dispatcher{DispatcherOptions{.first_run = 100}};
  dispatcher.AwaitWorkerReports({WorkerId("w0"), WorkerId("w1")});
  dispatcher.SetListedWorkers({{.id = WorkerId("w0"), .capacity = kCapacity},
                               {.id = WorkerId("w1"), .capacity = kCapacity}});
  AddedJob job = Job("a", {Tasks(1)});
  job.is_inherited = true;
  dispatcher.AddJob(job, At(0));
  dispatcher.OnReport(WorkerId("w0"), {.clock_ms = 5, .started_ms = 1}, At(0),
                      0);
  CHECK(dispatcher.Plan(At(0), 0).starts.empty());
  SUBCASE("the other worker runs the task: the run is adopted") {
    WorkerReport report{.clock_ms = 5, .started_ms = 1};
    report.running.push_back({.key = {JobId("a"), 0, 0, 0}, .run = 7});
    dispatcher.OnReport(WorkerId("w1"), report, At(0), 0);
    CHECK(dispatcher.Plan(At(0), 0).starts.empty());
    CHECK(dispatcher.running_tasks() == 1);
  }
  SUBCASE("the other worker is gone") {
    dispatcher.OnWorkerGone(WorkerId("w1"), At(0));
    const auto plan = dispatcher.Plan(At(0), 0);
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].run == 100);
  }
}

TEST_CASE("a new owner waits for all ends of the workers that it finds") {
  // The end of an inherited task may be in a later part of the list: until then
  // the task is not started and the worker does not count as empty, since the
  // ends that it lists would be lost with it.
  Dispatcher dispatcher{DispatcherOptions{.first_run = 100}};
  dispatcher.AwaitWorkerReports({WorkerId("w0"), WorkerId("w1")});
  dispatcher.SetListedWorkers({{.id = WorkerId("w0"), .capacity = kCapacity},
                               {.id = WorkerId("w1"), .capacity = kCapacity}});
  AddedJob job = Job("a", {Tasks(1)});
  job.is_inherited = true;
  dispatcher.AddJob(job, At(0));
  dispatcher.OnReport(WorkerId("w0"), {.clock_ms = 5, .started_ms = 1}, At(0),
                      0);
  dispatcher.OnReport(WorkerId("w1"),
                      {.clock_ms = 5, .started_ms = 1, .may_lack_ends = true},
                      At(0), 0);
  CHECK(dispatcher.Plan(At(0), 0).starts.empty());
  CHECK_FALSE(dispatcher.is_takeover_complete());
  CHECK(dispatcher.IsEmpty(WorkerId("w0")));
  CHECK_FALSE(dispatcher.IsEmpty(WorkerId("w1")));
  WorkerReport rest{.clock_ms = 6, .started_ms = 1};
  rest.ended.push_back({.number = 501,
                        .key = {JobId("a"), 0, 0, 0},
                        .run = 7,
                        .outcome = RunOutcome::kDone});
  dispatcher.OnReport(WorkerId("w1"), rest, At(1), 0);
  CHECK(dispatcher.is_takeover_complete());
  CHECK(dispatcher.IsEmpty(WorkerId("w1")));
  CHECK(dispatcher.Plan(At(1), 0).starts.empty());
  dispatcher.OnStored(dispatcher.TakeBatch().number);
  CHECK(dispatcher.ShownPhase(JobId("a")) == JobPhase::kComplete);
}

TEST_CASE("a new life of a worker: listed runs go on, others are stopped") {
  // An order may have reached the new life before its first report was read,
  // and been carried out after that report was written.
  Pool pool(1);
  pool.dispatcher.AddJob(Job("a", {Tasks(2)}), At(0));
  const auto starts = pool.Start();
  REQUIRE(starts.size() == 2);
  WorkerReport report;
  report.running.push_back({.key = starts[0].key, .run = starts[0].run});
  pool.Report(0, report, 2);
  const auto plan = pool.dispatcher.Plan(At(10), 0);
  CHECK(plan.starts.empty());
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].key == starts[1].key);
}

TEST_CASE("a run that belongs to no task is stopped") {
  Pool pool(1);
  WorkerReport report;
  report.running.push_back({.key = {JobId("unknown"), 0, 0, 0}, .run = 3});
  pool.Report(0, report);
  pool.dispatcher.AddJob(Job("a", {Tasks(1)}), At(0));
  const auto plan = pool.dispatcher.Plan(At(0), 0);
  REQUIRE(plan.stops.size() == 1);
  // Its size is unknown: nothing is started beside it.
  CHECK(plan.starts.empty());
}

TEST_CASE("a worker that fails all it starts is left alone for a while") {
  Pool pool(2, 9);
  for (int i = 0; i < 3; ++i) {
    pool.dispatcher.AddJob(Job("job" + std::to_string(i), {Tasks(1, 4'000)}),
                           At(0));
  }
  std::size_t starts_on_failing_worker = 0;
  for (int round = 0; round < 20; ++round) {
    pool.now_ms += 100;
    for (const StartOrder& it : pool.Start()) {
      if (it.worker != Pool::Worker(0)) continue;
      ++starts_on_failing_worker;
      pool.ReportEnd(it, RunOutcome::kFailed);
    }
  }
  CHECK(starts_on_failing_worker <= 4);
}

TEST_CASE("planned work counts tasks on silent workers as away") {
  // A crashed worker's tasks are missing before its owner knows of the crash;
  // taking another one would exceed the step's limit.
  Pool pool(3);
  StepSpec step = Tasks(3);
  step.is_long_running = true;
  step.max_unavailable = 1;
  pool.dispatcher.AddJob(Job("a", {step}), At(0));
  const auto starts = pool.Start();
  REQUIRE(starts.size() == 3);
  for (const StartOrder& it : starts) {
    WorkerReport report;
    report.running.push_back(
        {.key = it.key, .run = it.run, .speed_percent = 100});
    pool.Report(static_cast<std::size_t>(it.worker.value().back() - '0'),
                report);
  }
  pool.dispatcher.CloseWorker(Pool::Worker(0), At(0));
  SUBCASE("all are at work") {
    CHECK(pool.dispatcher.Plan(At(0), 0).stops.size() == 1);
  }
  SUBCASE("one worker does not answer") {
    pool.dispatcher.OnWorkerUnresponsive(Pool::Worker(1));
    CHECK(pool.dispatcher.Plan(At(0), 0).stops.empty());
  }
  SUBCASE("one has not reported lately") {
    CHECK(pool.dispatcher.Plan(At(2'000), 0).stops.empty());
  }
}

TEST_CASE("timed jobs start no occurrence before it is due") {
  Pool pool(2);
  auto spec = std::make_shared<JobSpec>();
  spec->steps = {Tasks(1)};
  spec->occurrences = 2;
  spec->first_due_ms = 1'000;
  spec->interval = milliseconds(500);
  pool.dispatcher.AddJob(
      {.id = JobId("t"), .queue = QueueId("q"), .spec = spec}, At(0));
  CHECK(pool.dispatcher.WaitingJobs(QueueId("q")) == 0);
  auto plan = pool.dispatcher.Plan(At(0), 900);
  CHECK(plan.starts.empty());
  CHECK(plan.next_plan_at == At(100));
  plan = pool.dispatcher.Plan(At(100), 1'000);
  REQUIRE(plan.starts.size() == 1);
  CHECK(plan.starts[0].key.occurrence == 0);
  plan = pool.dispatcher.Plan(At(600), 1'500);
  REQUIRE(plan.starts.size() == 1);
  CHECK(plan.starts[0].key.occurrence == 1);
}

TEST_CASE("the load counts tasks that need memory rather than cores") {
  // Guards against a pool that gets no VMs although its tasks wait for memory:
  // a long-running task then waits for ever.
  Pool pool(1);
  StepSpec step = Tasks(6, 500);
  step.size.memory_mb = 2'000;
  pool.dispatcher.AddJob(Job("j", {step}), At(0));
  pool.dispatcher.Plan(At(0), 0);
  const DispatchLoad load = pool.dispatcher.load();
  // Two tasks run and four wait; each takes half of a worker's memory.
  CHECK(load.running_cpu_millis == 4'000);
  CHECK(load.waiting_cpu_millis == 8'000);
}

TEST_CASE("start delays and run times are measured once each") {
  std::vector<std::pair<DispatchTiming, Duration>> times;
  Dispatcher dispatcher(
      {}, {}, [&](DispatchTiming kind, const QueueId& queue, Duration took) {
        CHECK(queue == QueueId("q"));
        times.emplace_back(kind, took);
      });
  dispatcher.SetQueue(QueueId("q"), {.max_attempts = 2});
  dispatcher.SetListedWorkers({{.id = WorkerId("w"), .capacity = kCapacity}});
  dispatcher.OnReport(WorkerId("w"), {.clock_ms = 1, .started_ms = 1}, At(0),
                      0);
  dispatcher.AddJob(Job("j", {Tasks(2)}), At(100));
  const auto starts = dispatcher.Plan(At(350), 0).starts;
  REQUIRE(starts.size() == 2);
  // One for the job, not one for each task.
  REQUIRE(times.size() == 1);
  CHECK(times[0] ==
        std::pair(DispatchTiming::kStartDelay, Duration(milliseconds(250))));
  dispatcher.OnStartResult(WorkerId("w"), starts[0].key, starts[0].run,
                           StartOutcome::kStarted, 2, At(360));
  WorkerReport report{.clock_ms = 3, .started_ms = 1};
  report.ended.push_back({.number = 1,
                          .key = starts[0].key,
                          .run = starts[0].run,
                          .outcome = RunOutcome::kDone});
  report.running.push_back({.key = starts[1].key, .run = starts[1].run});
  dispatcher.OnReport(WorkerId("w"), report, At(950), 0);
  REQUIRE(times.size() == 2);
  CHECK(times[1] ==
        std::pair(DispatchTiming::kRunTime, Duration(milliseconds(600))));
}

}  // namespace pomelomill
