// Guards against a job that is judged or ranked by a default, or by an older
// configuration, because its queue is missing from the configuration in force.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

const QueueId kQueue("q");

Instant At(int ms) { return Instant(std::chrono::milliseconds(ms)); }

AddedJob Job(const std::string& id, const StepSpec& step = {}) {
  auto spec = std::make_shared<JobSpec>();
  spec->steps = {step};
  return {.id = JobId(id), .queue = kQueue, .spec = spec};
}

AddedJob Job(const std::string& id, const QueueTerms& terms) {
  AddedJob job = Job(id);
  job.terms = terms;
  return job;
}

QueueTerms Attempts(std::uint32_t attempts, std::uint64_t revision) {
  return {{.max_attempts = attempts}, Revision(revision)};
}

/// A dispatcher with two workers of one core, which fail all that they start.
class FailingPool {
 public:
  FailingPool() {
    std::vector<WorkerSpec> specs;
    for (const char* it : {"w0", "w1"})
      specs.push_back({.id = WorkerId(it), .capacity = {1'000, 1'000, 0}});
    dispatcher.SetListedWorkers(specs);
    for (const WorkerSpec& it : specs) Report(it.id, {});
  }

  /// Makes one plan and ends each started run as failed; returns the starts.
  std::vector<StartOrder> RunOnce() {
    // Past the delays that follow a failed run.
    now_ms_ += 10'000;
    const DispatchPlan plan = dispatcher.Plan(At(now_ms_), 0);
    for (const StartOrder& it : plan.starts) {
      dispatcher.OnStartResult(it.worker, it.key, it.run,
                               StartOutcome::kStarted, ++clock_, At(now_ms_));
    }
    for (const StartOrder& it : plan.starts) {
      Report(it.worker, {{.number = ++ends_,
                          .key = it.key,
                          .run = it.run,
                          .outcome = RunOutcome::kFailed}});
    }
    return plan.starts;
  }

  /// Returns the number of runs until no more are started.
  int CountRuns() {
    int n = 0;
    while (n < 20 && !RunOnce().empty()) ++n;
    return n;
  }

  JobPhase Phase(const std::string& job) {
    dispatcher.OnStored(dispatcher.TakeBatch().number);
    return *dispatcher.ShownPhase(JobId(job));
  }

  Dispatcher dispatcher{DispatcherOptions{}};

 private:
  void Report(const WorkerId& worker, std::vector<EndedTask> ended) {
    dispatcher.OnReport(
        worker,
        {.clock_ms = ++clock_, .started_ms = 1, .ended = std::move(ended)},
        At(now_ms_), 0);
  }

  std::uint64_t ends_ = 0;
  std::int64_t clock_ = 0;
  int now_ms_ = 0;
};

}  // namespace

TEST_CASE("a job of a queue that no configuration names has its own terms") {
  FailingPool pool;
  pool.dispatcher.AddJob(Job("a", Attempts(3, 1)), At(0));
  CHECK(pool.CountRuns() == 3);
  CHECK(pool.Phase("a") == JobPhase::kFailed);
}

TEST_CASE("the terms of the higher revision apply") {
  struct {
    std::uint64_t configured;
    std::uint64_t accepted;
    int runs;
  } const cases[] = {{5, 4, 2}, {5, 5, 2}, {5, 6, 4}};
  for (const auto& it : cases) {
    CAPTURE(it.accepted);
    FailingPool pool;
    pool.dispatcher.SetQueue(kQueue, Attempts(2, it.configured));
    pool.dispatcher.AddJob(Job("a", Attempts(4, it.accepted)), At(0));
    CHECK(pool.CountRuns() == it.runs);
  }
}

TEST_CASE("a configuration of a lower revision is ignored") {
  FailingPool pool;
  pool.dispatcher.SetQueue(kQueue, Attempts(3, 5));
  pool.dispatcher.SetQueue(kQueue, Attempts(1, 4));
  pool.dispatcher.AddJob(Job("a", Attempts(2, 2)), At(0));
  CHECK(pool.CountRuns() == 3);
}

TEST_CASE("a task that has used up lowered attempts is not started again") {
  FailingPool pool;
  pool.dispatcher.SetQueue(kQueue, Attempts(4, 1));
  pool.dispatcher.AddJob(Job("a", Attempts(4, 1)), At(0));
  pool.RunOnce();
  pool.RunOnce();
  pool.dispatcher.SetQueue(kQueue, Attempts(2, 2));
  CHECK(pool.RunOnce().empty());
  CHECK(pool.Phase("a") == JobPhase::kFailed);
}

TEST_CASE("a new owner starts no task that has used up its attempts") {
  FailingPool pool;
  AddedJob job = Job("a", Attempts(2, 1));
  job.is_inherited = true;
  job.progress.phase = JobPhase::kRunning;
  job.progress.tasks = {{.failed_runs = {1, 2}}};
  pool.dispatcher.AddJob(job, At(0));
  CHECK(pool.RunOnce().empty());
  CHECK(pool.Phase("a") == JobPhase::kFailed);
}

TEST_CASE("while its attempts are unknown, a failed task waits") {
  for (const bool is_gang : {false, true}) {
    CAPTURE(is_gang);
    FailingPool pool;
    StepSpec step;
    step.size.cpu_millis = 1'000;
    step.tasks = 2;
    step.is_gang = is_gang;
    pool.dispatcher.AddJob(Job("a", step), At(0));
    CHECK(pool.CountRuns() == 1);
    CHECK(pool.Phase("a") == JobPhase::kRunning);
    pool.dispatcher.SetQueue(kQueue, Attempts(2, 1));
    CHECK(pool.CountRuns() == 1);
    CHECK(pool.Phase("a") == JobPhase::kFailed);
  }
}

TEST_CASE("a failed task that is to run alone waits for its terms as well") {
  FailingPool pool;
  AddedJob job = Job("a");
  job.progress.phase = JobPhase::kRunning;
  job.progress.tasks = {{.failed_runs = {3}, .crashed_runs = {1, 2}}};
  SUBCASE("unknown") {
    pool.dispatcher.AddJob(job, At(0));
    CHECK(pool.RunOnce().empty());
  }
  SUBCASE("known") {
    job.terms = Attempts(4, 1);
    pool.dispatcher.AddJob(job, At(0));
    CHECK(pool.RunOnce().size() == 1);
  }
}

TEST_CASE("a long-running task is restarted while its attempts are unknown") {
  FailingPool pool;
  StepSpec step;
  step.is_long_running = true;
  pool.dispatcher.AddJob(Job("a", step), At(0));
  CHECK(pool.CountRuns() == 20);
}

TEST_CASE("a job is ranked by its own terms when its queue is not configured") {
  // Jobs of equal rank are ordered by id.
  bool has_terms = true;
  SUBCASE("both have terms") { has_terms = true; }
  SUBCASE("the other has none") { has_terms = false; }
  FailingPool pool;
  StepSpec step;
  step.size.cpu_millis = 1'000;
  step.tasks = 2;
  AddedJob late = Job("a", step);
  if (has_terms)
    late.terms = QueueTerms{{.priority = 1, .max_attempts = 9}, Revision(1)};
  AddedJob first = Job("b", step);
  first.terms = QueueTerms{{.priority = 0, .max_attempts = 9}, Revision(1)};
  pool.dispatcher.AddJob(late, At(0));
  pool.dispatcher.AddJob(first, At(0));
  const auto starts = pool.RunOnce();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].key.job == JobId("b"));
  CHECK(starts[1].key.job == JobId("b"));
}

}  // namespace pomelomill
