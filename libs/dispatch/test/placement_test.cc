#include "placement.h"

#include <doctest/doctest.h>

#include <chrono>
#include <tuple>

#include "pomelomill/base/random.h"
#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

const Instant kNow{milliseconds(10'000)};

/// Reference search without cached results: compares all workers for each task.
PoolWorker* ChooseByFullScan(WorkerTable& workers, const StepSpec& step,
                             const StepState& state, const TaskState& task) {
  const TaskSize size = CountedSize(step);
  const auto has_label = [&](const PoolWorker& it) {
    return step.required_label.empty() || it.HasLabel(step.required_label);
  };
  bool avoids_failed_worker = false;
  if (!task.failed_on.empty() && kNow < task.avoid_until) {
    for (const auto& [id, it] : workers.all()) {
      avoids_failed_worker |= id != task.failed_on && it.IsUsable(kNow) &&
                              it.CanEverFit(size) && has_label(it);
    }
  }
  const bool spreads_tasks = step.is_long_running || step.fills_idle_cores;
  using Rank = std::tuple<bool, bool, std::uint32_t, std::uint32_t, double>;
  PoolWorker* best = nullptr;
  Rank best_rank{};
  for (auto& [id, worker] : workers.all()) {
    if (!worker.IsUsable(kNow) || !worker.Fits(size) || !has_label(worker))
      continue;
    if (avoids_failed_worker && task.failed_on == id) continue;
    std::uint32_t on_worker = 0;
    std::uint32_t on_rack = 0;
    if (step.max_per_worker != 0 || step.is_long_running ||
        step.prefers_one_rack) {
      for (const TaskState& it : state.tasks) {
        if (!it.is_placed()) continue;
        on_worker += it.worker == id;
        on_rack += workers.Find(it.worker)->spec.rack == worker.spec.rack;
      }
    }
    if (step.max_per_worker != 0 && on_worker >= step.max_per_worker) continue;
    const double free_cpu_share =
        1.0 - static_cast<double>(worker.used.cpu_millis) /
                  worker.spec.capacity.cpu_millis;
    const std::uint32_t tasks_off_rack =
        step.prefers_one_rack ? step.tasks - std::min(step.tasks, on_rack) : 0;
    const Rank rank{task.failed_on == id,
                    !step.data_rack.empty() && !worker.HasLabel(step.data_rack),
                    spreads_tasks ? on_worker : 0,
                    spreads_tasks ? on_rack : tasks_off_rack, free_cpu_share};
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &worker;
    best_rank = rank;
  }
  return best;
}

std::uint32_t Below(Random& random, std::uint32_t n) {
  return static_cast<std::uint32_t>(random.Below(n));
}

WorkerId WorkerAt(std::uint32_t i) { return WorkerId("w" + std::to_string(i)); }

void AddRandomWorkers(Random& random, WorkerTable& workers, std::uint32_t n) {
  for (std::uint32_t i = 0; i < n; ++i) {
    PoolWorker& it = workers.GetOrAdd(WorkerAt(i));
    const std::string rack = "r" + std::to_string(i / 4);
    it.spec = {.id = WorkerAt(i),
               .capacity = {8'000, 16'000, random.Chance(0.2) ? 2U : 0U},
               .labels = {rack},
               .rack = RackId(rack),
               .is_draining = random.Chance(0.05)};
    if (random.Chance(0.3)) it.spec.labels.emplace_back("ssd");
    it.is_listed = !random.Chance(0.05);
    it.has_reported_fully = !random.Chance(0.05);
    it.is_unresponsive = random.Chance(0.05);
    if (random.Chance(0.1)) it.blocked_until = kNow + milliseconds(100);
    it.used = {1'000 * Below(random, 9), 1'000 * Below(random, 17), 0};
  }
}

StepSpec RandomStep(Random& random) {
  StepSpec step;
  step.tasks = 1 + Below(random, 6);
  step.size = {500 * (1 + Below(random, 12)), 500 * (1 + Below(random, 12)),
               random.Chance(0.1) ? 1U : 0U};
  if (random.Chance(0.2)) step.required_label = "ssd";
  if (random.Chance(0.2))
    step.data_rack = "r" + std::to_string(random.Below(5));
  if (random.Chance(0.2)) step.max_per_worker = 1 + Below(random, 2);
  step.is_long_running = random.Chance(0.1);
  step.fills_idle_cores = random.Chance(0.1);
  step.prefers_one_rack = random.Chance(0.2);
  step.is_gang = random.Chance(0.3);
  return step;
}

/// Places the tasks of one step by both searches and returns the number of
/// differences.
int PlaceStepByBothSearches(Random& random, WorkerTable& workers,
                            PlacementSearch& search, const StepSpec& step,
                            std::uint32_t number) {
  int differences = 0;
  StepState state;
  state.tasks.resize(step.tasks);
  const JobId job("j" + std::to_string(number));
  const bool may_fit = search.MayFitAll(step, step.is_gang ? step.tasks : 1);
  if (step.is_gang && may_fit) search.BeginGang();
  std::uint32_t placed = 0;
  for (; placed < step.tasks; ++placed) {
    TaskState& task = state.tasks[placed];
    if (random.Chance(0.2)) {
      task.failed_on = WorkerAt(Below(random, 20));
      task.avoid_until = kNow + milliseconds(random.Chance(0.5) ? 100 : 0);
    }
    PoolWorker* const expected = ChooseByFullScan(workers, step, state, task);
    // A gang that cannot fit is not searched for.
    if (!step.is_gang || may_fit)
      differences += search.Choose(step, state, task) != expected;
    if (expected == nullptr) break;
    workers.ReserveCapacity(*expected, {job, 0, 0, placed}, step);
    task.worker = expected->spec.id;
    task.phase = RunPhase::kStarting;
  }
  const bool is_whole = placed == step.tasks;
  if (!may_fit) differences += step.is_gang ? is_whole : placed > 0;
  if (!step.is_gang || is_whole) return differences;
  if (may_fit) search.RollBackGang();
  for (std::uint32_t i = 0; i < placed; ++i)
    workers.ReleaseCapacity(state.tasks[i].worker, {job, 0, 0, i}, step);
  return differences;
}

}  // namespace

// Guards against a sum that wraps: a task of nearly 2^32 thousandths of a core
// seems to fit on a worker in use.
TEST_CASE("a task of the largest size fits on no worker") {
  constexpr std::uint32_t kMost = 4'294'967'295;
  PoolWorker worker;
  worker.spec.capacity = {.cpu_millis = 4'000, .memory_mb = 4'000, .gpus = 2};
  worker.used = {.cpu_millis = 1'000, .memory_mb = 1'000, .gpus = 1};
  CHECK(worker.Fits({.cpu_millis = 3'000, .memory_mb = 3'000, .gpus = 1}));
  CHECK_FALSE(worker.Fits({.cpu_millis = 3'001}));
  CHECK_FALSE(worker.Fits({.cpu_millis = kMost}));
  CHECK_FALSE(worker.Fits({.memory_mb = kMost}));
  CHECK_FALSE(worker.Fits({.gpus = kMost}));
  // The capacity of a new incarnation may be less than what is in use.
  worker.used.cpu_millis = 5'000;
  CHECK_FALSE(worker.Fits({.cpu_millis = 1}));
  CHECK_FALSE(worker.Fits({.memory_mb = 1}));
}

TEST_CASE("tasks that were lost in a crash are spread over the workers") {
  // Guards against lost tasks that travel together with the one that crashes
  // its workers: the fullest worker is otherwise preferred.
  WorkerTable workers;
  for (std::uint32_t i = 0; i < 2; ++i) {
    PoolWorker& it = workers.GetOrAdd(WorkerAt(i));
    it.spec = {.id = WorkerAt(i), .capacity = {4'000, 4'000, 0}};
    it.is_listed = it.has_reported_fully = true;
  }
  StepSpec step;
  step.size = {.cpu_millis = 1'000, .memory_mb = 100};
  const StepState state{.tasks = {TaskState{}}};
  workers.ReserveCapacity(*workers.Find(WorkerAt(1)), {JobId("lost")}, step);
  PlacementSearch search(workers, kNow);
  TaskState task;
  CHECK(search.Choose(step, state, task)->spec.id == WorkerAt(1));
  workers.Find(WorkerAt(1))->crash_suspects.insert({JobId("lost")});
  CHECK(search.Choose(step, state, task)->spec.id == WorkerAt(1));
  task.crashed_runs = {1};
  CHECK(search.Choose(step, state, task)->spec.id == WorkerAt(0));
}

TEST_CASE("a worker that was reserved during a plan gets no other task") {
  WorkerTable workers;
  PoolWorker& worker = workers.GetOrAdd(WorkerAt(0));
  worker.spec = {.id = WorkerAt(0), .capacity = {4'000, 4'000, 0}};
  worker.is_listed = worker.has_reported_fully = true;
  StepSpec step;
  step.size = {.cpu_millis = 1'000, .memory_mb = 100};
  const StepState state{.tasks = {TaskState{}}};
  PlacementSearch search(workers, kNow);
  CHECK(search.Choose(step, state, state.tasks[0]) == &worker);
  worker.reserved_for = TaskKey{JobId("other")};
  CHECK(search.Choose(step, state, state.tasks[0]) == nullptr);
}

TEST_CASE("remembered failed searches do not change where tasks are placed") {
  // Guards against a task that stays unplaced, or is placed on another worker,
  // because of a failed search for an earlier task of the plan.
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    WorkerTable workers;
    AddRandomWorkers(random, workers, 20);
    PlacementSearch search(workers, kNow);
    int differences = 0;
    for (std::uint32_t i = 0; i < 60; ++i) {
      differences += PlaceStepByBothSearches(random, workers, search,
                                             RandomStep(random), i);
    }
    CHECK(differences == 0);
  }
}

TEST_CASE(
    "the work of one plan is linear in workers plus jobs, not their product") {
  // Guards against plans that take so long that they delay the renewal of the
  // owner's lease: 600 jobs wait for 1,700 full workers, and one worker becomes
  // free.
  constexpr std::size_t kWorkers = 1'700;
  constexpr std::size_t kJobs = 600;
  Dispatcher dispatcher{DispatcherOptions{}};
  std::vector<WorkerSpec> workers;
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    workers.push_back({.id = WorkerAt(i), .capacity = {8'000, 16'000, 0}});
  dispatcher.SetListedWorkers(workers);
  std::int64_t clock = 1;
  for (const WorkerSpec& it : workers)
    dispatcher.OnReport(it.id, {.clock_ms = clock, .started_ms = 1}, kNow, 0);
  const auto add = [&](std::size_t number, std::uint32_t cpu_millis) {
    auto spec = std::make_shared<JobSpec>();
    StepSpec step;
    step.tasks = 4;
    step.size = {cpu_millis, 500};
    step.estimate = milliseconds(1'000);
    spec->steps = {step};
    dispatcher.AddJob({.id = JobId("j" + std::to_string(number)),
                       .queue = QueueId("q"),
                       .spec = spec},
                      kNow);
  };
  for (std::size_t i = 0; i < kWorkers / 4; ++i) add(i, 8'000);
  StartOrder last;
  for (bool has_started = true; has_started;) {
    const DispatchPlan plan = dispatcher.Plan(kNow, 0);
    has_started = !plan.starts.empty();
    for (const StartOrder& it : plan.starts) {
      dispatcher.OnStartResult(it.worker, it.key, it.run,
                               StartOutcome::kStarted, ++clock, kNow);
      last = it;
    }
  }
  REQUIRE(dispatcher.running_tasks() == kWorkers);
  Random random(1);
  for (std::size_t i = 0; i < kJobs; ++i)
    add(kWorkers + i, 500 + 500 * Below(random, 12));
  CHECK(dispatcher.Plan(kNow, 0).starts.empty());
  WorkerReport report{.clock_ms = ++clock, .started_ms = 1};
  report.ended.push_back({.number = 1,
                          .key = last.key,
                          .run = last.run,
                          .outcome = RunOutcome::kDone});
  dispatcher.OnReport(last.worker, report, kNow, 0);
  const auto began = std::chrono::steady_clock::now();
  const DispatchPlan plan = dispatcher.Plan(kNow, 0);
  MESSAGE("examined " << plan.examined << " in "
                      << std::chrono::duration_cast<std::chrono::microseconds>(
                             std::chrono::steady_clock::now() - began)
                             .count()
                      << " us");
  CHECK_FALSE(plan.starts.empty());
  CHECK(plan.examined <= 8 * (kWorkers + kJobs));
}

}  // namespace pomelomill
