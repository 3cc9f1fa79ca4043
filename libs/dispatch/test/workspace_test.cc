#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

const WorkspaceId kA("a");
const WorkspaceId kB("b");

/// A dispatcher with one worker of 20 cores.
class Pool {
 public:
  Pool() {
    dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
    dispatcher.SetListedWorkers(
        {{.id = WorkerId("w"), .capacity = {20'000, 100'000, 0}}});
    Report();
  }

  void Add(const std::string& job, const WorkspaceId& workspace,
           std::uint32_t tasks, bool is_gang = false) {
    auto spec = std::make_shared<JobSpec>();
    StepSpec& step = spec->steps.emplace_back();
    step.tasks = tasks;
    step.size = {.cpu_millis = 1'000, .memory_mb = 100};
    step.estimate = std::chrono::seconds(5);
    step.is_gang = is_gang;
    dispatcher.AddJob({.id = JobId(job),
                       .queue = QueueId("q"),
                       .spec = spec,
                       .workspace = workspace},
                      now);
  }

  /// Limits what is placed of the workspace, in cores.
  void Limit(const WorkspaceId& workspace, std::uint64_t cores,
             std::uint64_t cap) {
    constexpr std::uint64_t kAll = ResourceAmount::kUnlimited;
    dispatcher.SetWorkspaceLimits(
        workspace, {{cores * 1'000, kAll, kAll}, {cap * 1'000, kAll, kAll}});
  }

  std::size_t Start() {
    const DispatchPlan plan = dispatcher.Plan(now, 0);
    for (const StartOrder& it : plan.starts) {
      running.push_back(it);
      dispatcher.OnStartResult(it.worker, it.key, it.run,
                               StartOutcome::kStarted, ++clock, now);
    }
    return plan.starts.size();
  }

  void End(std::size_t tasks) {
    for (std::size_t i = 0; i < tasks; ++i) {
      ended.push_back({.number = ended.size() + 1,
                       .key = running[i].key,
                       .run = running[i].run,
                       .outcome = RunOutcome::kDone});
    }
    running.erase(running.begin(),
                  running.begin() + static_cast<std::ptrdiff_t>(tasks));
    Report();
  }

  void Report() {
    WorkerReport report{.clock_ms = ++clock, .started_ms = 1};
    for (const StartOrder& it : running)
      report.running.push_back({.key = it.key, .run = it.run});
    report.ended = ended;
    dispatcher.OnReport(WorkerId("w"), report, now, 0);
  }

  Dispatcher dispatcher{DispatcherOptions{}};
  std::vector<StartOrder> running;
  std::vector<EndedTask> ended;
  std::int64_t clock = 0;
  Instant now{};
};

}  // namespace

TEST_CASE("no task starts beyond the limit of its workspace") {
  Pool pool;
  pool.Limit(kA, 3, 3);
  pool.Add("a", kA, 10);
  pool.Add("b", kB, 2);
  CHECK(pool.Start() == 5);
  CHECK(pool.dispatcher.workspace_uses()[kA].used.cpu_millis == 3'000);
  CHECK(pool.Start() == 0);
  pool.End(5);
  CHECK(pool.Start() == 3);
  // A higher limit takes effect with the next plan.
  pool.Limit(kA, 5, 5);
  CHECK(pool.Start() == 2);
  // A lower one stops nothing and starts nothing.
  pool.Limit(kA, 1, 1);
  CHECK(pool.Start() == 0);
  CHECK(pool.dispatcher.workspace_uses()[kA].used.cpu_millis == 5'000);
}

TEST_CASE("a gang starts only when its workspace's limit admits all of it") {
  Pool pool;
  pool.Limit(kA, 3, 3);
  pool.Add("a", kA, 4, true);
  CHECK(pool.Start() == 0);
  pool.Limit(kA, 4, 4);
  CHECK(pool.Start() == 4);
}

TEST_CASE("the pool does not grow for work beyond a workspace's cap") {
  Pool pool;
  pool.Limit(kA, 3, 5);
  pool.Add("a", kA, 10);
  CHECK(pool.dispatcher.load().waiting_cpu_millis == 5'000);
  pool.Start();
  CHECK(pool.dispatcher.load().running_cpu_millis == 3'000);
  CHECK(pool.dispatcher.load().waiting_cpu_millis == 2'000);
}

TEST_CASE("waiting workspaces get cores by weight") {
  // Guards against the workspace whose jobs are shortest, or came first, and
  // that gets all cores for as long as it has work.
  Pool pool;
  pool.dispatcher.SetWorkspaceWeights({{kA, 1}, {kB, 3}});
  for (int i = 0; i < 50; ++i) {
    pool.Add("a" + std::to_string(i), kA, 1);
    pool.Add("b" + std::to_string(i), kB, 2);
  }
  CHECK(pool.Start() == 20);
  const auto uses = pool.dispatcher.workspace_uses();
  // The parts are 5 and 15 cores; a workspace may have twice its part first.
  CHECK(uses.at(kA).used.cpu_millis <= 10'000);
  CHECK(uses.at(kB).used.cpu_millis >= 10'000);
}

TEST_CASE("cores that others do not need go to a workspace beyond its part") {
  Pool pool;
  pool.dispatcher.SetWorkspaceWeights({{kA, 1}, {kB, 9}});
  pool.Add("a", kA, 30);
  pool.Add("b", kB, 4);
  CHECK(pool.Start() == 20);
  const auto uses = pool.dispatcher.workspace_uses();
  CHECK(uses.at(kA).used.cpu_millis == 16'000);
  CHECK(uses.at(kB).used.cpu_millis == 4'000);
}

TEST_CASE("a share is asked for only as far as the pool has resources") {
  // Guards against capacity of other pools that is idle behind a share of work
  // for which this pool has no workers.
  Pool pool;
  pool.Limit(kA, 5, 100);
  pool.Add("b", kB, 12);
  REQUIRE(pool.Start() == 12);
  pool.Add("a", kA, 500);
  CHECK(pool.Start() == 5);
  const WorkspaceUse use = pool.dispatcher.workspace_uses()[kA];
  CHECK(use.used.cpu_millis == 5'000);
  CHECK(use.waiting.cpu_millis == 8'000);
}

TEST_CASE("weights hold after an idle day") {
  // Guards against charges that overflow with the time since the last plan.
  Pool pool;
  pool.Add("first", kA, 1);
  REQUIRE(pool.Start() == 1);
  pool.End(1);
  pool.now += std::chrono::hours(24);
  pool.dispatcher.SetWorkspaceWeights({{kA, 1}, {kB, 9}});
  pool.Add("a", kA, 30);
  pool.Add("b", kB, 4);
  CHECK(pool.Start() == 20);
  const auto uses = pool.dispatcher.workspace_uses();
  CHECK(uses.at(kA).used.cpu_millis == 16'000);
  CHECK(uses.at(kB).used.cpu_millis == 4'000);
}

}  // namespace pomelomill
