#include <doctest/doctest.h>

#include <functional>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Keeps more work in both pools than their workers can run, while `disturb`
/// acts on them, and checks that no worker is given more than its capacity.
void RunFullPools(const std::function<void(JobWorld&, Random&)>& disturb) {
  for (const std::uint64_t seed : SeedsToRun(6)) {
    CAPTURE(seed);
    JobWorld world({.seed = seed, .run_time = milliseconds(900)});
    Random random(seed * 7919);
    world.Advance(seconds(2));
    for (int i = 0; i < 40; ++i) {
      for (std::size_t pool = 0; pool < 2; ++pool) {
        world.Submit(random.Below(3),
                     "job" + std::to_string(i) + "-" + std::to_string(pool),
                     pool, ChainJob(1, 10));
      }
      world.Advance(milliseconds(200 + static_cast<int>(random.Below(400))));
      disturb(world, random);
    }
    world.Advance(seconds(10));
    INFO(world.History());
    CHECK(world.workers().runs().size() > 300);
    for (const std::string& it : world.Violations()) {
      INFO(it);
      CHECK(false);
    }
  }
}

TaskSize RandomCapacity(Random& random) {
  return {
      .cpu_millis = 1'000 + 1'000 * static_cast<std::uint32_t>(random.Below(4)),
      .memory_mb = 8'000};
}

}  // namespace

TEST_CASE("workers that start again with another capacity are not overloaded") {
  RunFullPools([](JobWorld& world, Random& random) {
    if (!random.Chance(0.5)) return;
    const WorkerId worker = world.worker(random.Below(2), random.Below(3));
    world.workers().Crash(worker);
    world.Advance(milliseconds(100 + static_cast<int>(random.Below(800))));
    world.workers().Restart(worker, RandomCapacity(random));
  });
}

TEST_CASE("workers whose capacity shrinks and grows are not overloaded") {
  RunFullPools([](JobWorld& world, Random& random) {
    for (std::size_t i = 0; i < 3; ++i)
      world.worker_faults(i).late_share = random.Chance(0.3) ? 0.2 : 0;
    if (random.Chance(0.1)) {
      const auto i = static_cast<std::size_t>(random.Below(3));
      world.KillEntry(i);
      world.StartEntry(i);
    }
    if (random.Chance(0.7)) {
      world.workers().SetCapacity(
          world.worker(random.Below(2), random.Below(3)),
          RandomCapacity(random));
    }
  });
}

}  // namespace pomelomill
