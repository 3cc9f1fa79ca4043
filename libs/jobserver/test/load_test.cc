#include <doctest/doctest.h>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("tasks that end close together share a progress write") {
  // Guards against one store write for each ended task: at peak load about a
  // hundred tasks of a pool end in a second, and one write for each of them in
  // all pools is more than the store can handle.
  JobWorld world({.workers_per_pool = 40, .run_time = seconds(2)});
  world.Advance(seconds(3));
  for (int i = 0; i < 140; ++i) {
    world.Submit(0, "job" + std::to_string(i), 0, ChainJob(1, 1));
    world.Advance(milliseconds(7));
  }
  // The jobs end two to three seconds after they have started.
  world.Advance(milliseconds(1100));
  const std::uint64_t before = world.store().calls();
  world.Advance(milliseconds(800));
  const std::uint64_t while_ending = world.store().calls() - before;
  world.Advance(seconds(3));
  for (int i = 0; i < 140; ++i)
    CHECK(world.Phase("job" + std::to_string(i), 0) == "complete");
  const std::uint64_t idle_from = world.store().calls();
  world.Advance(milliseconds(800));
  const std::uint64_t while_idle = world.store().calls() - idle_from;
  // One write every 40 ms in 800 ms, and up to six other calls that happen to
  // fall into only one of the two spans.
  CHECK(while_ending <= while_idle + 20 + 6);
}

}  // namespace pomelomill
