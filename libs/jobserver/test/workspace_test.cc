#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "job_world.h"

// Caps of workspaces over pools that different entries own.

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& it : lines) text += it + "\n";
  return text;
}

/// Cores in thousandths that run at `when`, by the records of the workers.
std::uint64_t RunningCpu(const JobWorld& world, Instant when) {
  std::uint64_t sum = 0;
  for (const RunRecord& it : world.workers().runs())
    sum += it.began <= when && it.ended > when ? 1'000U : 0U;
  return sum;
}

/// The most that ran at any time from `from` on.
std::uint64_t MostRunningCpu(const JobWorld& world, Instant from) {
  std::uint64_t most = 0;
  for (const RunRecord& it : world.workers().runs())
    if (it.began >= from) most = std::max(most, RunningCpu(world, it.began));
  return most;
}

class CappedRun {
 public:
  explicit CappedRun(std::uint64_t seed)
      : world_({.seed = seed, .entries = 3, .workers_per_pool = 5}),
        random_(seed * 104'729) {
    world_.PutCaps({{"a", 9'000}, {"b", 5'000}});
  }

  void Run() {
    world_.Advance(seconds(2));
    for (int step = 0; step < 60; ++step) {
      Disturb();
      SubmitSome(step);
      if (random_.Chance(0.05))
        world_.PutCaps({{"a", 3'000 + 1'000 * random_.Below(10)},
                        {"b", 2'000 + 1'000 * random_.Below(6)}});
      world_.Advance(milliseconds(100 + random_.Below(400)));
    }
    for (std::size_t i = 0; i < 3; ++i) {
      if (world_.is_running(i)) {
        world_.ResumeEntry(i);
      } else {
        world_.StartEntry(i);
      }
      world_.store_faults(i) = {};
      world_.worker_faults(i) = {};
    }
    world_.Advance(seconds(60));
  }

  void Check() {
    INFO(world_.History());
    INFO(Join(world_.Violations("QUOTA")));
    CHECK(world_.Violations("QUOTA").empty());
    for (const auto& it : jobs_) {
      const std::string& job = it.first;
      if (world_.outcome(job) != AcceptOutcome::kAccepted) continue;
      CAPTURE(job);
      CHECK(world_.Phase(job, it.second) == "complete");
    }
  }

 private:
  void SubmitSome(int step) {
    for (std::uint64_t n = random_.Below(4); n > 0; --n) {
      const std::size_t entry = random_.Below(3);
      if (!world_.is_running(entry)) continue;
      const std::string job =
          "job" + std::to_string(step) + "." + std::to_string(n);
      const std::size_t pool = random_.Below(2);
      world_.Submit(
          entry, job, pool,
          ChainJob(1, 1 + static_cast<std::uint32_t>(random_.Below(6))),
          random_.Chance(0.6) ? "a" : "b");
      jobs_[job] = pool;
    }
  }

  void Disturb() {
    const std::size_t i = random_.Below(3);
    switch (random_.Below(12)) {
      case 0:
        world_.KillEntry(i);
        break;
      case 1:
        if (!world_.is_running(i)) world_.StartEntry(i);
        break;
      case 2:
        if (world_.is_running(i)) world_.PauseEntry(i);
        break;
      case 3:
      case 4:
        if (world_.is_running(i)) world_.ResumeEntry(i);
        break;
      case 5:
        world_.store_faults(i).loses_answers = true;
        break;
      case 6:
        world_.store_faults(i).is_cut = true;
        break;
      case 7:
      case 8:
        world_.store_faults(i) = {};
        break;
      case 9:
        world_.worker_faults(i).late_share = 0.2;
        break;
      default:
        world_.worker_faults(i) = {};
    }
  }

  JobWorld world_;
  Random random_;
  std::map<std::string, std::size_t> jobs_;
};

}  // namespace

TEST_CASE("a workspace uses its whole cap in whichever pool has work") {
  // Guards against capacity that stays idle behind the share of a pool without
  // work.
  JobWorld world({.workers_per_pool = 4, .run_time = seconds(1)});
  world.PutCaps({{"a", 8'000}});
  world.Advance(seconds(2));
  world.Submit(0, "first", 0, ChainJob(1, 40), "a");
  world.Advance(seconds(8));
  CHECK(world.Phase("first", 0) == "complete");
  CHECK(MostRunningCpu(world, Instant()) == 8'000);
  const Instant second = world.now();
  world.Submit(1, "second", 1, ChainJob(1, 40), "a");
  world.Advance(seconds(8));
  CHECK(world.Phase("second", 1) == "complete");
  CHECK(MostRunningCpu(world, second) == 8'000);
  INFO(Join(world.Violations()));
  CHECK(world.Violations().empty());
}

TEST_CASE("a cap that is lowered far below what runs is kept as tasks end") {
  JobWorld world({.workers_per_pool = 4, .run_time = seconds(2)});
  world.PutCaps({{"a", 16'000}});
  world.Advance(seconds(2));
  for (std::size_t pool = 0; pool < 2; ++pool)
    world.Submit(pool, "job" + std::to_string(pool), pool, ChainJob(1, 30),
                 "a");
  world.Advance(milliseconds(1'500));
  world.PutCaps({{"a", 2'000}});
  world.Advance(seconds(4));
  CHECK(MostRunningCpu(world, world.now() - seconds(1)) <= 2'000);
  world.Advance(seconds(120));
  for (std::size_t pool = 0; pool < 2; ++pool)
    CHECK(world.Phase("job" + std::to_string(pool), pool) == "complete");
  INFO(Join(world.Violations()));
  CHECK(world.Violations().empty());
}

TEST_CASE("work that waits for a cap starts when the cap is removed") {
  // Guards against a limit that outlives its cap.
  JobWorld world({.workers_per_pool = 4, .run_time = seconds(1)});
  // Less than one task.
  world.PutCaps({{"a", 500}});
  world.Advance(seconds(2));
  world.Submit(0, "job", 0, ChainJob(1, 8), "a");
  world.Advance(seconds(2));
  CHECK(world.workers().runs().empty());
  world.PutCaps({{"a", 0}});
  world.Advance(seconds(5));
  CHECK(world.Phase("job", 0) == "complete");
}

TEST_CASE("two pools with steady work share a cap") {
  // Guards against the pool that came first and that replaces each task that
  // ends before it gives its part back.
  JobWorld world({.workers_per_pool = 4, .run_time = milliseconds(600)});
  world.PutCaps({{"a", 8'000}});
  world.Advance(seconds(2));
  world.Submit(0, "first", 0, ChainJob(1, 400), "a");
  world.Advance(seconds(3));
  world.Submit(1, "second", 1, ChainJob(1, 400), "a");
  world.Advance(seconds(8));
  const Instant from = world.now();
  world.Advance(seconds(5));
  std::map<JobId, int> started;
  for (const RunRecord& it : world.workers().runs())
    if (it.began >= from) ++started[it.key.job];
  CAPTURE(started[JobId("first")]);
  CAPTURE(started[JobId("second")]);
  CHECK(started[JobId("first")] * 2 >= started[JobId("second")]);
  CHECK(started[JobId("second")] * 2 >= started[JobId("first")]);
  CHECK(world.Violations("QUOTA").empty());
}

TEST_CASE(
    "accepted jobs run after their workspace has left the configuration") {
  JobWorld world({});
  world.PutCaps({{"a", 2'000}});
  world.Advance(seconds(2));
  world.Submit(0, "job", 0, ChainJob(2, 4), "a");
  world.Advance(milliseconds(300));
  world.PutCaps({});
  world.Advance(seconds(1));
  // The next owner has never seen the workspace.
  world.StartEntry(static_cast<std::size_t>(world.Owner(0)));
  world.Advance(seconds(30));
  CHECK(world.Phase("job", 0) == "complete");
}

TEST_CASE("caps hold through faults, hand-overs and late orders") {
  for (const std::uint64_t seed : SeedsToRun(8)) {
    CAPTURE(seed);
    CappedRun run(seed);
    run.Run();
    run.Check();
  }
}

}  // namespace pomelomill
