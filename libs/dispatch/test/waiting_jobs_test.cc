#include <doctest/doctest.h>

#include <memory>

#include "pomelomill/dispatch.h"

// These cases guard against MIXED: jobs that no worker has begun were shown as
// running and were missing in the count of waiting jobs.

namespace pomelomill {
namespace {

const WorkerId kWorker("w");
const JobId kJob("j");
const QueueId kQueue("q");

/// A pool with one worker of two cores and one job, whose tasks need a core.
struct Pool {
  explicit Pool(std::uint32_t tasks = 1, bool is_gang = false) {
    dispatcher.SetQueue(kQueue, {{.max_attempts = 4}});
    dispatcher.SetListedWorkers(
        {{.id = kWorker, .capacity = {.cpu_millis = 2'000}}});
    Report({});
    StepSpec step;
    step.tasks = tasks;
    step.size.cpu_millis = 1'000;
    step.is_gang = is_gang;
    step.max_per_worker = 1;
    auto spec = std::make_shared<JobSpec>();
    spec->steps = {step};
    dispatcher.AddJob({.id = kJob, .queue = kQueue, .spec = spec}, Instant{});
  }

  void Report(WorkerReport report) {
    report.clock_ms = ++clock_ms;
    report.started_ms = 1;
    dispatcher.OnReport(kWorker, report, Instant{}, 0);
  }

  StartOrder Start() {
    const DispatchPlan plan = dispatcher.Plan(Instant{}, 0);
    REQUIRE(plan.starts.size() == 1);
    return plan.starts[0];
  }

  void Answer(const StartOrder& start, StartOutcome outcome) {
    dispatcher.OnStartResult(start.worker, start.key, start.run, outcome,
                             ++clock_ms, Instant{});
  }

  void CheckWaits(bool waits) {
    CHECK(dispatcher.WaitingJobs(kQueue) == (waits ? 1 : 0));
    CHECK(dispatcher.ShownPhase(kJob) ==
          (waits ? JobPhase::kQueued : JobPhase::kRunning));
  }

  Dispatcher dispatcher{DispatcherOptions{}};
  std::int64_t clock_ms = 0;
};

}  // namespace

TEST_CASE("a job whose starts were refused waits") {
  for (const StartOutcome it :
       {StartOutcome::kStaleRun, StartOutcome::kDeadlinePassed,
        StartOutcome::kNoRoom, StartOutcome::kNoTicket,
        StartOutcome::kUnhealthy, StartOutcome::kNotSent,
        StartOutcome::kRejected, StartOutcome::kOtherIncarnation}) {
    CAPTURE(ToText(it));
    Pool pool;
    pool.CheckWaits(true);
    pool.Answer(pool.Start(), it);
    pool.CheckWaits(true);
  }
}

TEST_CASE("a job waits until an answer or a report shows that it has begun") {
  Pool pool;
  const StartOrder start = pool.Start();
  pool.CheckWaits(true);
  SUBCASE("the start is accepted") {
    pool.Answer(start, StartOutcome::kStarted);
    pool.CheckWaits(false);
  }
  SUBCASE("the start is not answered, and the worker lists the run") {
    pool.Answer(start, StartOutcome::kUnknown);
    pool.CheckWaits(true);
    pool.Report({.running = {{.key = start.key, .run = start.run}}});
    pool.CheckWaits(false);
  }
  SUBCASE("the worker lists the end of the run before its answer is read") {
    pool.Report({.ended = {{.number = 1,
                            .key = start.key,
                            .run = start.run,
                            .outcome = RunOutcome::kStopped}}});
    pool.CheckWaits(false);
  }
}

TEST_CASE("a job whose only start was lost with its worker waits") {
  Pool pool;
  pool.Start();
  pool.dispatcher.OnWorkerGone(kWorker, WorkerLoss::kConnectionsRefused,
                               Instant{}, 0);
  pool.CheckWaits(true);
  // The run counts as crashed, since the worker may have begun it.
  const ProgressBatch batch = pool.dispatcher.TakeBatch();
  REQUIRE(batch.writes.size() == 1);
  CHECK(batch.writes[0].progress.phase == JobPhase::kQueued);
  CHECK(batch.writes[0].progress.tasks.size() == 1);
}

TEST_CASE("a job whose gang was placed in part and taken back waits") {
  Pool pool(2, true);
  CHECK(pool.dispatcher.Plan(Instant{}, 0).starts.empty());
  pool.CheckWaits(true);
}

TEST_CASE("the phase of a job that has begun is stored for the next owner") {
  Pool pool;
  const StartOrder start = pool.Start();
  pool.Answer(start, StartOutcome::kStarted);
  pool.dispatcher.OnWorkerGone(kWorker, WorkerLoss::kConnectionsRefused,
                               Instant{}, 0);
  const ProgressBatch batch = pool.dispatcher.TakeBatch();
  REQUIRE(batch.writes.size() == 1);
  const auto stored =
      DecodeJobProgress(EncodeJobProgress(batch.writes[0].progress));
  REQUIRE(stored);
  CHECK(stored->phase == JobPhase::kRunning);
}

TEST_CASE("a stored phase of an earlier version needs a run that proves it") {
  // Earlier versions stored the phase of a job whose starts were refused as
  // running.
  const auto phase = [](const char* text) {
    const auto progress = DecodeJobProgress(text);
    REQUIRE(progress);
    return progress->phase;
  };
  CHECK(phase(R"({"phase":"running"})") == JobPhase::kQueued);
  CHECK(phase(R"({"phase":"running","tasks":[[0,0,0,false,[],"",[1],0]]})") ==
        JobPhase::kQueued);
  CHECK(phase(R"({"phase":"running","tasks":[[0,0,0,true,[],""]]})") ==
        JobPhase::kRunning);
  CHECK(phase(R"({"phase":"running","tasks":[[0,0,0,false,[4],""]]})") ==
        JobPhase::kRunning);
  CHECK(phase(R"({"phase":"running","tasks":[[0,0,0,false,[],"s"]]})") ==
        JobPhase::kRunning);
  CHECK(phase(R"({"phase":"running","begun":true})") == JobPhase::kRunning);
  CHECK(phase(R"({"phase":"complete"})") == JobPhase::kComplete);
}

}  // namespace pomelomill
