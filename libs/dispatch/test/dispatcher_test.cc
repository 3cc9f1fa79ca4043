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

/// A dispatcher whose workers "w0", "w1", ... have each reported once.
class Pool {
 public:
  explicit Pool(std::size_t workers, std::uint32_t max_attempts = 2) {
    dispatcher.SetQueue(QueueId("q"), {{.max_attempts = max_attempts}});
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
    // All other tasks that were started on the worker still run.
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

  /// Makes a plan, answers every start with success and returns the starts.
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

TEST_CASE("stopping tasks still count against the capacity of their worker") {
  Pool pool(1);
  pool.dispatcher.AddJob(Job("a", {Tasks(6)}), At(0));
  CHECK(pool.Start().size() == 4);
  pool.dispatcher.CancelJob(JobId("a"), At(1), 0);
  pool.dispatcher.AddJob(Job("b", {Tasks(2)}), At(1));
  const DispatchPlan plan = pool.dispatcher.Plan(At(1), 0);
  CHECK(plan.stops.size() == 4);
  CHECK(plan.starts.empty());
}

TEST_CASE("a step starts only after all tasks of its preceding steps") {
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

TEST_CASE("a job is shown as complete, and its end acknowledged, once stored") {
  // Guards against a completion that a caller has seen and that is lost when
  // the owner crashes before the store has it.
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

TEST_CASE("an unanswered start is stopped before the task is started again") {
  // Guards against two runs of a task: the first order may be carried out late.
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
  // A report written after the stop that does not list the run proves that the
  // run is over.
  pool.Report(start.worker == Pool::Worker(0) ? 0 : 1, {});
  again = pool.dispatcher.Plan(At(30), 0);
  REQUIRE(again.starts.size() == 1);
  CHECK(again.starts[0].run > start.run);
}

TEST_CASE(
    "a long-running task is not stopped because its start was not answered") {
  // Guards against more unavailable tasks than max_unavailable: the starts were
  // carried out, and only their answers were late.
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
  // The first start was carried out, the second was lost.
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

TEST_CASE(
    "a new owner evacuates only after the previous owner's stops have taken "
    "effect") {
  // Guards against more unavailable tasks than max_unavailable: a task that the
  // previous owner has stopped is reported as running until it ends.
  Dispatcher dispatcher({});
  dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
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

TEST_CASE("a new owner stops no task that it may not start elsewhere") {
  // Guards against LOST: long-running tasks on draining workers are stopped
  // right after a takeover, and none is started until the lease of a silent
  // worker has lapsed, 11.3 s later.
  Dispatcher dispatcher({});
  dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
  const WorkerId silent = Pool::Worker(2);
  dispatcher.AwaitWorkerReports({Pool::Worker(0), silent});
  dispatcher.SetListedWorkers(
      {{.id = Pool::Worker(0), .capacity = kCapacity, .is_draining = true},
       {.id = Pool::Worker(1), .capacity = kCapacity}});
  StepSpec step = Tasks(1);
  step.is_long_running = true;
  AddedJob job = Job("a", {step});
  job.is_inherited = true;
  dispatcher.AddJob(job, At(0));
  std::int64_t clock = 0;
  const auto report = [&](int ms) {
    WorkerReport it{.clock_ms = ++clock, .started_ms = 1};
    dispatcher.OnReport(Pool::Worker(1), it, At(ms), 0);
    it.running.push_back(
        {.key = {JobId("a"), 0, 0, 0}, .run = 1, .speed_percent = 100});
    dispatcher.OnReport(Pool::Worker(0), it, At(ms), 0);
  };
  report(100);
  CHECK(dispatcher.Plan(At(100), 0).stops.empty());
  report(5'000);
  CHECK(dispatcher.Plan(At(5'000), 0).stops.empty());
  dispatcher.OnWorkerGone(silent, WorkerLoss::kLeaseExpired, At(6'000), 0);
  CHECK(dispatcher.Plan(At(6'000), 0).stops.size() == 1);
}

TEST_CASE("a run that a truncated report does not list is not over") {
  // Guards against a second run of a finished task. A worker reports its ends
  // in parts, and a later part may contain the end of a task that is not
  // listed.
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
  SUBCASE("while the task is stopping") {
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

TEST_CASE(
    "only failed runs count as attempts, and max_attempts of them fail the "
    "job") {
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
  // The latest run is reported first. The earlier runs still count, and a run
  // that the previous owner has stored does not count twice.
  Dispatcher dispatcher{DispatcherOptions{.first_run = 100}};
  dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 3}});
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

TEST_CASE("a long-running task is restarted however its run ends") {
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

TEST_CASE("inherited tasks start only when all awaited workers have reported") {
  // Guards against two runs of a task: a worker that has not reported may run
  // it on an order of an earlier owner.
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
    dispatcher.OnWorkerGone(WorkerId("w1"), WorkerLoss::kConnectionsRefused,
                            At(0), 0);
    const auto plan = dispatcher.Plan(At(0), 0);
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].run == 100);
  }
}

TEST_CASE("a takeover is complete only after untruncated reports") {
  // The end of an inherited task may be in a later part of a worker's list of
  // ends. Until the last part has arrived, the task must not be started, or it
  // could run twice, and the worker must not count as empty, or its removal
  // would lose the ends.
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

TEST_CASE("after a worker restart, runs that it does not list are stopped") {
  // Guards against two runs of a task: a start order may reach the new
  // incarnation before its first report is read, and be carried out after that
  // report was written.
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

TEST_CASE("a run of an unknown job is stopped") {
  Pool pool(1);
  WorkerReport report;
  report.running.push_back({.key = {JobId("unknown"), 0, 0, 0}, .run = 3});
  pool.Report(0, report);
  pool.dispatcher.AddJob(Job("a", {Tasks(1)}), At(0));
  const auto plan = pool.dispatcher.Plan(At(0), 0);
  REQUIRE(plan.stops.size() == 1);
  // The size of the run is unknown, so nothing else is started on the worker.
  CHECK(plan.starts.empty());
}

TEST_CASE("a worker on which every task fails is suspended") {
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

TEST_CASE("evacuations count tasks on unresponsive workers as unavailable") {
  // Guards against more unavailable tasks than max_unavailable: the tasks of a
  // crashed worker are unavailable before its owner detects the crash.
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
  SUBCASE("all tasks serve requests") {
    CHECK(pool.dispatcher.Plan(At(0), 0).stops.size() == 1);
  }
  SUBCASE("one worker does not answer") {
    pool.dispatcher.OnWorkerUnresponsive(Pool::Worker(1));
    CHECK(pool.dispatcher.Plan(At(0), 0).stops.empty());
  }
  SUBCASE("the last reports are older than the limit") {
    CHECK(pool.dispatcher.Plan(At(2'000), 0).stops.empty());
  }
}

TEST_CASE("timed jobs start no occurrence before its due time") {
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

TEST_CASE("the load counts the dominant resource of a task, here memory") {
  // Guards against a pool that gets no VMs although its tasks wait for memory;
  // a long-running task would then wait forever.
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

TEST_CASE(
    "the start delay is measured once for each job, the run time for each "
    "run") {
  std::vector<std::pair<DispatchTiming, Duration>> times;
  Dispatcher dispatcher(
      {}, {}, [&](DispatchTiming kind, const QueueId& queue, Duration took) {
        CHECK(queue == QueueId("q"));
        times.emplace_back(kind, took);
      });
  dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
  dispatcher.SetListedWorkers({{.id = WorkerId("w"), .capacity = kCapacity}});
  dispatcher.OnReport(WorkerId("w"), {.clock_ms = 1, .started_ms = 1}, At(0),
                      0);
  dispatcher.AddJob(Job("j", {Tasks(2)}), At(100));
  const auto starts = dispatcher.Plan(At(350), 0).starts;
  REQUIRE(starts.size() == 2);
  // The start delay is measured once for the job, not for each task.
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
