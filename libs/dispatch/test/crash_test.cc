#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr int kStepMs = 10;
constexpr int kRunMs = 1'000;
/// A worker ends this long after it starts a task that crashes it.
constexpr int kCrashDelayMs = 10;
/// Its owner usually knows of the crash this long after it, and the worker is
/// back this long after it.
constexpr int kNoticeMs = 200;
constexpr int kRestartMs = 3'000;
constexpr std::size_t kWorkersPerRack = 4;

Instant At(int ms) { return Instant(milliseconds(ms)); }

AddedJob Job(const std::string& id, std::uint32_t tasks) {
  auto spec = std::make_shared<JobSpec>();
  StepSpec& step = spec->steps.emplace_back();
  step.tasks = tasks;
  step.size = {.cpu_millis = 1'000, .memory_mb = 100};
  step.estimate = milliseconds(kRunMs);
  return {.id = JobId(id), .queue = QueueId("q"), .spec = spec};
}

TaskKey Key(const std::string& job, std::uint32_t index = 0) {
  return {JobId(job), 0, 0, index};
}

/// Simulates a pool of workers with four cores, some of whose
/// tasks crash each worker that starts them.
class CrashingPool {
 public:
  explicit CrashingPool(std::size_t workers) : workers_(workers) {
    StartOwner(1, {});
  }

  /// Replaces the owner; the new one has the stored progress of `jobs`.
  void StartOwner(std::uint32_t first_run, const std::vector<AddedJob>& jobs) {
    events.clear();
    dispatcher = std::make_unique<Dispatcher>(
        DispatcherOptions{.first_run = first_run},
        [this](const DispatchEvent& it) { events.push_back(it); });
    dispatcher->SetQueue(QueueId("q"), {{.max_attempts = 2}});
    std::vector<WorkerSpec> specs;
    for (std::size_t i = 0; i < workers_.size(); ++i) specs.push_back(Spec(i));
    dispatcher->SetListedWorkers(specs);
    std::vector<WorkerId> ids;
    for (const WorkerSpec& it : specs) ids.push_back(it.id);
    dispatcher->AwaitWorkerReports(ids);
    for (const AddedJob& it : jobs) {
      AddedJob job = it;
      job.is_inherited = true;
      if (const auto found = stored.find(it.id); found != stored.end())
        job.progress = found->second;
      dispatcher->AddJob(job, At(now_ms));
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (workers_[i].crashed_at_ms < 0) {
        Report(i);
      } else {
        Notice(i, WorkerLoss::kConnectionsRefused);
      }
    }
  }

  static WorkerId Id(std::size_t i) {
    return WorkerId("w" + std::to_string(i));
  }

  static WorkerSpec Spec(std::size_t i) {
    return {.id = Id(i),
            .capacity = {.cpu_millis = 4'000, .memory_mb = 4'000},
            .rack = RackId("r" + std::to_string(i / kWorkersPerRack))};
  }

  /// Ends the worker's process; the owner learns of it after `kNoticeMs`.
  void Crash(std::size_t i) {
    if (drains_before_crash) SetDraining(i, true);
    const auto lost = std::exchange(workers_[i].running, {});
    workers_[i].crashed_at_ms = now_ms;
    workers_[i].is_noticed = false;
    if (!is_gang) return;
    for (const auto& [key, run] : lost) {
      for (Worker& it : workers_) {
        const auto members = it.running;
        for (const auto& [member, member_run] : members) {
          if (member.job == key.job) End(it, member, RunOutcome::kGangBroken);
        }
      }
    }
  }

  void Advance(int ms) {
    for (const int end_ms = now_ms + ms; now_ms < end_ms; now_ms += kStepMs)
      Step();
  }

  JobPhase Phase(const std::string& job) const {
    return dispatcher->ShownPhase(JobId(job)).value_or(JobPhase::kQueued);
  }

  std::size_t CountEvents(const std::string& event) const {
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [&](const auto& it) { return it.event == event; }));
  }

  std::unique_ptr<Dispatcher> dispatcher;
  std::vector<DispatchEvent> events;
  std::set<TaskKey> crashing;
  std::map<TaskKey, int> starts;
  /// Starts of each task that crashed its worker.
  std::map<TaskKey, int> crashes;
  std::map<JobId, JobProgress> stored;
  /// The stored progress had a crashed run at some time.
  bool has_stored_crash = false;
  /// What the owner is told when it notices a crash; nothing when the worker is
  /// back before it notices.
  std::optional<WorkerLoss> loss = WorkerLoss::kConnectionsRefused;
  /// The owner knows of a crash this long after it.
  int notice_ms = kNoticeMs;
  /// Workers are draining before Crash(), and not when they are back.
  bool drains_before_crash = false;
  /// The owner closes each worker that was given a task until it is back.
  bool closes_after_start = false;
  /// The tasks of each job form a gang.
  bool is_gang = false;
  int now_ms = 1'000;

 private:
  struct Run {
    StartOrder order;
    int started_at_ms = 0;
  };
  struct Worker {
    std::map<TaskKey, Run> running;
    std::vector<EndedTask> ended;
    std::uint64_t ends = 0;
    int born_at_ms = 0;
    int crashed_at_ms = -1;
    bool is_noticed = false;
  };

  void Notice(std::size_t i, WorkerLoss how) {
    workers_[i].is_noticed = true;
    dispatcher->OnWorkerGone(Id(i), how, At(now_ms), now_ms);
  }

  void SetDraining(std::size_t i, bool is_draining) {
    std::vector<WorkerSpec> specs;
    for (std::size_t n = 0; n < workers_.size(); ++n) specs.push_back(Spec(n));
    specs[i].is_draining = is_draining;
    dispatcher->SetListedWorkers(specs);
  }

  static void End(Worker& worker, const TaskKey& key, RunOutcome outcome) {
    worker.ended.push_back({.number = ++worker.ends,
                            .key = key,
                            .run = worker.running.at(key).order.run,
                            .outcome = outcome});
    worker.running.erase(key);
  }

  Worker& WorkerOf(const WorkerId& id) {
    return workers_[static_cast<std::size_t>(std::stoi(id.value().substr(1)))];
  }

  std::int64_t ClockMs(const Worker& worker) const {
    return now_ms - worker.born_at_ms + 1;
  }

  void Report(std::size_t i) {
    const Worker& worker = workers_[i];
    WorkerReport report{.clock_ms = ClockMs(worker),
                        .started_ms = worker.born_at_ms + 1};
    for (const auto& [key, run] : worker.running)
      report.running.push_back({.key = key, .run = run.order.run});
    report.ended = worker.ended;
    dispatcher->OnReport(Id(i), report, At(now_ms), now_ms);
  }

  void Step() {
    for (std::size_t i = 0; i < workers_.size(); ++i) StepWorker(i);
    const DispatchPlan plan = dispatcher->Plan(At(now_ms), now_ms);
    for (const StopOrder& it : plan.stops) {
      Worker& worker = WorkerOf(it.worker);
      std::optional<std::int64_t> clock_ms;
      if (worker.crashed_at_ms < 0) clock_ms = ClockMs(worker);
      worker.running.erase(it.key);
      dispatcher->OnStopResult(it.worker, it.key, it.run, clock_ms, At(now_ms));
    }
    for (const StartOrder& it : plan.starts) {
      Worker& worker = WorkerOf(it.worker);
      const bool is_up = worker.crashed_at_ms < 0;
      if (is_up) {
        ++starts[it.key];
        worker.running[it.key] = {it, now_ms};
      }
      dispatcher->OnStartResult(
          it.worker, it.key, it.run,
          is_up ? StartOutcome::kStarted : StartOutcome::kUnhealthy,
          ClockMs(worker), At(now_ms));
      dispatcher->OnStartSettled(it.key, it.run, true, At(now_ms));
      if (closes_after_start) dispatcher->CloseWorker(it.worker, At(now_ms));
    }
    const ProgressBatch batch = dispatcher->TakeBatch();
    for (const auto& it : batch.writes) {
      auto decoded = DecodeJobProgress(EncodeJobProgress(it.progress));
      REQUIRE(decoded);
      stored[it.job] = *decoded;
      for (const JobProgress::Task& task : decoded->tasks)
        has_stored_crash |= !task.crashed_runs.empty();
    }
    if (batch.number != 0) dispatcher->OnStored(batch.number);
  }

  void StepWorker(std::size_t i) {
    Worker& worker = workers_[i];
    if (worker.crashed_at_ms >= 0) {
      if (loss && !worker.is_noticed &&
          now_ms - worker.crashed_at_ms >= notice_ms)
        Notice(i, *loss);
      if (now_ms - worker.crashed_at_ms <
          std::max(kRestartMs, notice_ms + kStepMs))
        return;
      worker = {};
      worker.born_at_ms = now_ms;
      SetDraining(i, false);
      dispatcher->ReopenWorker(Id(i));
      return Report(i);
    }
    for (const auto& [key, run] : worker.running) {
      if (!crashing.contains(key) || now_ms - run.started_at_ms < kCrashDelayMs)
        continue;
      ++crashes[key];
      return Crash(i);
    }
    const auto running = worker.running;
    for (const auto& [key, run] : running) {
      if (now_ms - run.started_at_ms >= kRunMs)
        End(worker, key, RunOutcome::kDone);
    }
    Report(i);
  }

  std::vector<Worker> workers_;
};

}  // namespace

TEST_CASE("a task that crashes its workers is given up after the third") {
  // Guards against one task that ends worker after worker, and against jobs
  // that fail because their tasks ran beside it.
  CrashingPool pool(6);
  pool.crashing = {Key("bad")};
  pool.dispatcher->AddJob(Job("bad", 4), At(0));
  for (int i = 0; i < 12; ++i) {
    pool.dispatcher->AddJob(Job("good" + std::to_string(i), 4), At(0));
    pool.Advance(100);
  }
  pool.Advance(20'000);
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
  CHECK(pool.crashes[Key("bad")] == 3);
  CHECK(pool.starts[Key("bad")] == 3);
  for (int i = 0; i < 12; ++i)
    CHECK(pool.Phase("good" + std::to_string(i)) == JobPhase::kComplete);
}

TEST_CASE("a task that crashes its workers alone ends no other job's task") {
  // The third crash, which proves the cause, costs nobody else a run.
  CrashingPool pool(4);
  pool.crashing = {Key("bad")};
  pool.dispatcher->AddJob(Job("bad", 1), At(0));
  int lost_before = 0;
  for (int i = 0; i < 60; ++i) {
    pool.dispatcher->AddJob(Job("good" + std::to_string(i), 3),
                            At(pool.now_ms));
    pool.Advance(200);
    const auto lost = static_cast<int>(pool.CountEvents("task-lost"));
    if (pool.crashes[Key("bad")] < 3) lost_before = lost;
    if (pool.crashes[Key("bad")] == 3 && pool.Phase("bad") == JobPhase::kFailed)
      CHECK(lost == lost_before + 1);
  }
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
}

TEST_CASE("tasks that crash their workers at the same time are all given up") {
  // Guards against an excuse for crashes that look like the loss of a rack.
  CrashingPool pool(8);
  for (std::uint32_t i = 0; i < 8; ++i) pool.crashing.insert(Key("bad", i));
  AddedJob job = Job("bad", 8);
  auto spec = std::make_shared<JobSpec>(*job.spec);
  spec->steps[0].size.cpu_millis = 4'000;
  job.spec = spec;
  pool.dispatcher->AddJob(job, At(0));
  pool.Advance(30'000);
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
  for (const auto& [key, n] : pool.crashes) CHECK(n <= 4);
}

TEST_CASE("the loss of racks blames no task") {
  // Guards against jobs that fail, or wait for a worker of their own, because
  // workers lost power.
  CrashingPool pool(8);
  for (int i = 0; i < 8; ++i)
    pool.dispatcher->AddJob(Job("a" + std::to_string(i), 4), At(0));
  for (int i = 0; i < 2; ++i) {
    pool.Advance(500);
    for (std::size_t w = 0; w < 8; ++w) pool.Crash(w);
    pool.Advance(kRestartMs + 100);
  }
  pool.Advance(5'000);
  CHECK(pool.CountEvents("worker-reserved") == 0);
  for (int i = 0; i < 8; ++i)
    CHECK(pool.Phase("a" + std::to_string(i)) == JobPhase::kComplete);
}

TEST_CASE("workers that crash by themselves fail no job") {
  // Each task is lost with its worker twice.
  CrashingPool pool(2);
  pool.dispatcher->AddJob(Job("a", 8), At(0));
  for (int i = 0; i < 2; ++i) {
    pool.Advance(500);
    pool.Crash(0);
    pool.Advance(500);
    pool.Crash(1);
    pool.Advance(kRestartMs);
  }
  pool.Advance(20'000);
  CHECK(pool.Phase("a") == JobPhase::kComplete);
}

TEST_CASE("crashes count when the owner is replaced between them") {
  CrashingPool pool(1);
  pool.crashing = {Key("bad")};
  const std::vector<AddedJob> jobs = {Job("bad", 1)};
  pool.dispatcher->AddJob(jobs[0], At(0));
  for (std::uint32_t i = 1; i <= 3; ++i) {
    pool.Advance(kRestartMs / 2);
    pool.StartOwner(i * 100'000 + 1, jobs);
    pool.Advance(kRestartMs / 2 + kStepMs);
  }
  pool.Advance(20'000);
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
  CHECK(pool.starts[Key("bad")] == 3);
}

TEST_CASE("a crash counts when the owner is replaced before it has noticed") {
  // Guards against a task that crashes a worker under each owner. Only the
  // first crash may go unnoticed; later runs are stored.
  CrashingPool pool(6);
  pool.crashing = {Key("bad")};
  const std::vector<AddedJob> jobs = {Job("bad", 1)};
  pool.dispatcher->AddJob(jobs[0], At(0));
  pool.Advance(kNoticeMs + 50);
  for (std::uint32_t i = 1; i <= 6; ++i) {
    pool.StartOwner(i * 100'000 + 1, jobs);
    pool.Advance(100);
  }
  pool.Advance(10'000);
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
  CHECK(pool.starts[Key("bad")] <= 5);
}

TEST_CASE("a worker that is back before its owner has noticed has crashed") {
  CrashingPool pool(4);
  pool.loss = std::nullopt;
  pool.crashing = {Key("bad")};
  pool.dispatcher->AddJob(Job("bad", 1), At(0));
  pool.Advance(20'000);
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
  CHECK(pool.crashes[Key("bad")] == 3);
}

TEST_CASE("expired leases and planned ends are no crashes") {
  CrashingPool pool(4);
  pool.dispatcher->AddJob(Job("a", 4), At(0));
  SUBCASE("lease expired") { pool.loss = WorkerLoss::kLeaseExpired; }
  SUBCASE("a draining worker that leaves") { pool.drains_before_crash = true; }
  for (int i = 0; i < 6; ++i) {
    pool.Advance(100);
    for (std::size_t w = 0; w < 4; ++w) {
      pool.Crash(w);
      pool.Advance(400);
    }
    pool.Advance(kRestartMs);
  }
  CHECK(pool.CountEvents("task-lost") > 0);
  CHECK_FALSE(pool.has_stored_crash);
}

TEST_CASE("a crash after a long silence blames no task that had reported") {
  // Guards against a job that fails because its worker was cut off, and crashed
  // long after the task had ended there.
  CrashingPool pool(4);
  pool.dispatcher->AddJob(Job("a", 4), At(0));
  pool.notice_ms = 4'000;
  for (int i = 0; i < 6; ++i) {
    pool.Advance(100);
    for (std::size_t w = 0; w < 4; ++w) {
      pool.Crash(w);
      pool.Advance(400);
    }
    pool.Advance(pool.notice_ms + kRestartMs);
  }
  CHECK(pool.CountEvents("task-lost") > 0);
  CHECK_FALSE(pool.has_stored_crash);
}

TEST_CASE("a crash of a closed worker counts") {
  // Guards against a task that crashes worker after worker while they are
  // being emptied for a move.
  CrashingPool pool(4);
  pool.crashing = {Key("bad")};
  pool.dispatcher->AddJob(Job("bad", 1), At(0));
  pool.closes_after_start = true;
  pool.Advance(30'000);
  CHECK(pool.Phase("bad") == JobPhase::kFailed);
  CHECK(pool.crashes[Key("bad")] == 3);
}

TEST_CASE("a long-running task is blamed only for a crash after its start") {
  CrashingPool pool(4);
  AddedJob job = Job("a", 1);
  auto spec = std::make_shared<JobSpec>(*job.spec);
  spec->steps[0].is_long_running = true;
  job.spec = spec;
  const auto crash_its_worker = [&] {
    const auto start =
        std::find_if(pool.events.rbegin(), pool.events.rend(),
                     [](const auto& it) { return it.event == "task-start"; });
    REQUIRE(start != pool.events.rend());
    pool.Crash(
        static_cast<std::size_t>(std::stoi(start->worker.value().substr(1))));
  };
  pool.dispatcher->AddJob(job, At(0));
  SUBCASE("long after") {
    for (int i = 0; i < 6; ++i) {
      pool.Advance(800);
      // Longer than the probation; the simulated run ends sooner.
      pool.now_ms += 6'000;
      crash_its_worker();
      pool.Advance(kNoticeMs + 50);
    }
    CHECK_FALSE(IsFinal(pool.Phase("a")));
  }
  SUBCASE("each time") {
    pool.crashing = {Key("a")};
    pool.Advance(30'000);
    CHECK(pool.Phase("a") == JobPhase::kFailed);
    CHECK(pool.crashes[Key("a")] == 3);
  }
}

TEST_CASE("a gang is given up after its third crash") {
  CrashingPool pool(4);
  AddedJob job = Job("a", 3);
  auto spec = std::make_shared<JobSpec>(*job.spec);
  spec->steps[0].is_gang = true;
  job.spec = spec;
  pool.is_gang = true;
  pool.crashing = {Key("a", 1)};
  pool.dispatcher->AddJob(job, At(0));
  pool.Advance(30'000);
  CHECK(pool.Phase("a") == JobPhase::kFailed);
  CHECK(pool.crashes[Key("a", 1)] <= 3);
}

TEST_CASE("a reserved worker is released when its job is cancelled") {
  CrashingPool pool(1);
  pool.crashing = {Key("bad")};
  pool.dispatcher->AddJob(Job("bad", 1), At(0));
  pool.Advance(2 * kRestartMs + 100);
  pool.dispatcher->CancelJob(JobId("bad"), At(pool.now_ms), 0);
  pool.dispatcher->AddJob(Job("good", 4), At(pool.now_ms));
  pool.Advance(kRestartMs + 5'000);
  CHECK(pool.Phase("good") == JobPhase::kComplete);
}

}  // namespace pomelomill
