#include "pomelomill/dispatch/backlog.h"

#include <doctest/doctest.h>

#include <string>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QueueId kQueue("q");
/// Time 0 stands for an unknown start of a run.
constexpr Instant kBegin{seconds(1)};

JobSpec MakeSpec(std::uint32_t tasks, Duration estimate) {
  JobSpec spec;
  StepSpec step;
  step.tasks = tasks;
  step.size = {.cpu_millis = 1'000, .memory_mb = 10};
  step.estimate = estimate;
  spec.steps = {step};
  return spec;
}

/// A dispatcher with two workers of four cores.
struct Pool {
  Pool() {
    dispatcher.SetQueue(
        kQueue,
        {{.max_attempts = 3, .stretch = 10, .target_latency = seconds(100)}});
    for (const char* id : {"w0", "w1"}) {
      workers.push_back({.id = WorkerId(id), .capacity = {4'000, 10'000, 0}});
    }
    dispatcher.SetListedWorkers(workers);
  }

  void Report() {
    for (const WorkerSpec& it : workers)
      dispatcher.OnReport(it.id, {.clock_ms = 1, .started_ms = 1}, kBegin, 0);
  }

  void Add(const std::string& id, const JobSpec& spec) {
    dispatcher.AddJob({.id = JobId(id),
                       .queue = kQueue,
                       .spec = std::make_shared<JobSpec>(spec)},
                      kBegin);
  }

  /// Starts what fits, all at kBegin.
  void Start() {
    for (const StartOrder& it : dispatcher.Plan(kBegin, 0).starts) {
      dispatcher.OnStartResult(it.worker, it.key, it.run,
                               StartOutcome::kStarted, 2, kBegin);
      dispatcher.OnStartSettled(it.key, it.run, true, kBegin);
    }
  }

  std::vector<WorkerSpec> workers;
  Dispatcher dispatcher{DispatcherOptions{}};
};

}  // namespace

TEST_CASE("a pool whose tasks all run has no backlog") {
  // Guards against rejections while cores are free.
  Pool pool;
  pool.Report();
  pool.Add("a", MakeSpec(6, seconds(10)));
  pool.Start();
  const auto backlog = pool.dispatcher.backlog(kBegin);
  REQUIRE(backlog);
  CHECK(backlog->cpu_millis == 8'000);
  CHECK(backlog->DrainTime() == Duration(0));
}

TEST_CASE("work that waits for its own earlier steps is no backlog") {
  // Guards against rejections in a pool with idle cores.
  Pool pool;
  pool.Report();
  JobSpec chain = MakeSpec(1, seconds(60));
  for (std::uint32_t i = 0; i < 9; ++i) {
    chain.steps.push_back(chain.steps[0]);
    chain.steps.back().after = {i};
  }
  for (int i = 0; i < 4; ++i) pool.Add("a" + std::to_string(i), chain);
  pool.Start();
  const auto backlog = pool.dispatcher.backlog(kBegin);
  REQUIRE(backlog);
  CHECK(backlog->DrainTime() == Duration(0));
}

TEST_CASE("work beyond the limit of its workspace is no backlog") {
  // Guards against rejections of all because one workspace is at its cap.
  Pool pool;
  pool.Report();
  const WorkspaceId workspace("w");
  constexpr std::uint64_t kAll = ResourceAmount::kUnlimited;
  pool.dispatcher.SetWorkspaceLimits(workspace,
                                     {.placed = {2'000, kAll, kAll}});
  pool.dispatcher.AddJob(
      {.id = JobId("a"),
       .queue = kQueue,
       .spec = std::make_shared<JobSpec>(MakeSpec(100, seconds(10))),
       .workspace = workspace},
      kBegin);
  pool.Start();
  const auto backlog = pool.dispatcher.backlog(kBegin);
  REQUIRE(backlog);
  CHECK(backlog->DrainTime() == Duration(0));
}

TEST_CASE("work of a workspace beyond its part delays no other") {
  // Guards against rejections of all because one workspace sends too much.
  Pool pool;
  pool.Report();
  const auto add = [&](const char* id, const char* workspace,
                       std::uint32_t tasks) {
    pool.dispatcher.AddJob(
        {.id = JobId(id),
         .queue = kQueue,
         .spec = std::make_shared<JobSpec>(MakeSpec(tasks, seconds(10))),
         .workspace = WorkspaceId(workspace)},
        kBegin);
  };
  add("running", "much", 8);
  pool.Start();
  add("more", "much", 100);
  add("other", "little", 8);
  pool.Start();
  const auto backlog = pool.dispatcher.backlog(kBegin);
  REQUIRE(backlog);
  // The 80 core-seconds of the other workspace, and half of those that run.
  CHECK(backlog->DrainTime() == seconds(15));
}

TEST_CASE("the backlog of a job depends on its size") {
  // Guards against one delay for all: small jobs are served first.
  Pool pool;
  pool.Report();
  pool.Add("a", MakeSpec(8, seconds(10)));
  pool.Start();
  for (int i = 0; i < 10; ++i)
    pool.Add("b" + std::to_string(i), MakeSpec(16, seconds(10)));
  const auto backlog = pool.dispatcher.backlog(kBegin);
  REQUIRE(backlog);
  CHECK(backlog->DelayOf(0, 1'000) == Duration(0));
  // The waiting 1,600 core-seconds take 200 s, and half of each run of 10 s.
  CHECK(backlog->DrainTime() == seconds(205));
  CHECK(backlog->DelayOf(0, 10'000'000) == seconds(205));
  const Duration same_size = backlog->DelayOf(0, 160'000);
  CHECK(same_size > Duration(0));
  CHECK(same_size < seconds(205));
  // A newcomer of another priority waits for all jobs, or for none.
  CHECK(backlog->DelayOf(1, 1'000) == seconds(205));
}

TEST_CASE("runs that are nearly over delay no newcomer") {
  Pool pool;
  pool.Report();
  pool.Add("a", MakeSpec(8, seconds(10)));
  pool.Start();
  pool.Add("b", MakeSpec(8, seconds(10)));
  const auto begun = pool.dispatcher.backlog(kBegin);
  const auto later = pool.dispatcher.backlog(kBegin + seconds(9));
  REQUIRE(begun);
  REQUIRE(later);
  CHECK(begun->DrainTime() == seconds(15));
  CHECK(later->DrainTime() == seconds(10));
}

TEST_CASE("the backlog is not known during a takeover and without cores") {
  // Guards against rejections by an owner that does not know its workers.
  Pool pool;
  pool.dispatcher.AwaitWorkerReports({WorkerId("w0")});
  pool.Add("a", MakeSpec(100, seconds(10)));
  CHECK_FALSE(pool.dispatcher.backlog(kBegin));
  pool.Report();
  CHECK(pool.dispatcher.backlog(kBegin + seconds(1)));
  for (const WorkerSpec& it : pool.workers)
    pool.dispatcher.OnWorkerUnresponsive(it.id);
  CHECK_FALSE(pool.dispatcher.backlog(kBegin + seconds(2)));
}

TEST_CASE("long-running tasks reduce the usable cores and are no backlog") {
  Pool pool;
  pool.Report();
  JobSpec service = MakeSpec(4, seconds(10));
  service.steps[0].is_long_running = true;
  pool.Add("service", service);
  pool.Start();
  CHECK_FALSE(DemandOf(service, Duration(0)));
  const auto backlog = pool.dispatcher.backlog(kBegin);
  REQUIRE(backlog);
  CHECK(backlog->cpu_millis == 4'000);
  CHECK(backlog->DrainTime() == Duration(0));
}

TEST_CASE("the backlog is computed at most every 200 ms") {
  Pool pool;
  pool.Report();
  REQUIRE(pool.dispatcher.backlog(kBegin));
  pool.Add("a", MakeSpec(100, seconds(10)));
  CHECK(pool.dispatcher.backlog(kBegin + milliseconds(199))->DrainTime() ==
        Duration(0));
  CHECK(pool.dispatcher.backlog(kBegin + milliseconds(200))->DrainTime() >
        Duration(0));
}

TEST_CASE("the demand of a job is its longest chain and its work") {
  JobSpec spec = MakeSpec(3, seconds(2));
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].after = {0};
  const auto demand = DemandOf(spec, Duration(0));
  REQUIRE(demand);
  CHECK(demand->critical_path == seconds(4));
  CHECK(demand->core_ms == 12'000);
  // The mean of the estimate and the measured run time.
  CHECK(DemandOf(spec, seconds(4))->critical_path == seconds(6));
  spec.occurrences = 2;
  CHECK_FALSE(DemandOf(spec, Duration(0)));
}

}  // namespace pomelomill
