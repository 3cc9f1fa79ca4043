#include <doctest/doctest.h>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsFirstTaskOfBadJob(const TaskKey& key) {
  return key.job.value().starts_with("bad") && key.step == 0 && key.index == 0;
}

/// Submits jobs, two of which have a task that crashes its workers, while
/// `disturb` acts on the deployment. Checks the rules, and that exactly these
/// two jobs fail.
void RunWithCrashingTasks(
    std::uint64_t seed,
    const std::function<void(JobWorld&, Random&)>& disturb) {
  CAPTURE(seed);
  JobWorld world({.seed = seed,
                  .entries = 4,
                  .workers_per_pool = 5,
                  .run_time = milliseconds(900),
                  .crashes_worker = IsFirstTaskOfBadJob});
  Random random(seed * 7919);
  world.Advance(seconds(2));
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    const bool is_bad = i == 5 || i == 15;
    jobs.push_back((is_bad ? "bad" : "good") + std::to_string(i));
    for (std::size_t n = 0; n < 4; ++n)
      if (!world.is_running(n)) world.StartEntry(n);
    world.Submit(random.Below(4), jobs.back(), 0, ChainJob(2, 3));
    world.Advance(milliseconds(200 + static_cast<int>(random.Below(300))));
    disturb(world, random);
  }
  for (std::size_t n = 0; n < 4; ++n) {
    if (!world.is_running(n)) world.StartEntry(n);
    world.ResumeEntry(n);
  }
  world.Advance(seconds(60));
  INFO(world.History());
  for (const std::string& it : world.Violations()) {
    INFO(it);
    CHECK(false);
  }
  for (const std::string& job : jobs) {
    CAPTURE(job);
    if (world.outcome(job) != AcceptOutcome::kAccepted) continue;
    CHECK(world.Phase(job, 0) ==
          (job.starts_with("bad") ? "failed" : "complete"));
  }
}

void RunSeeds(const std::function<void(JobWorld&, Random&)>& disturb) {
  for (const std::uint64_t seed : SeedsToRun(6))
    RunWithCrashingTasks(seed, disturb);
}

}  // namespace

TEST_CASE("a task that crashes worker after worker is given up") {
  RunSeeds([](JobWorld&, Random&) {});
}

TEST_CASE("a crashing task is given up though its owner is killed or paused") {
  RunSeeds([](JobWorld& world, Random& random) {
    if (!random.Chance(0.15)) return;
    const int owner = world.Owner(0);
    if (owner < 0) return;
    const auto i = static_cast<std::size_t>(owner);
    if (random.Chance(0.5)) return world.KillEntry(i);
    if (!world.is_running(i)) return;
    world.PauseEntry(i);
    world.Advance(milliseconds(2'000 + static_cast<int>(random.Below(4'000))));
    world.ResumeEntry(i);
  });
}

}  // namespace pomelomill
