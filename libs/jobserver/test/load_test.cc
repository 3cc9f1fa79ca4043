#include <doctest/doctest.h>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("ends that come close together share a write") {
  // Load pattern: in a peak a pool ends some hundred tasks a second. Guards
  // against a write for each, which for all pools together is more than the
  // store takes.
  JobWorld world({.workers_per_pool = 40, .run_time = seconds(2)});
  world.Advance(seconds(3));
  for (int i = 0; i < 140; ++i) {
    world.Submit(0, "job" + std::to_string(i), 0, ChainJob(1, 1));
    world.Advance(milliseconds(7));
  }
  // The jobs end from two to three seconds after their starts.
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
  // One write each 40 ms, and a few calls that fall into one of the spans.
  CHECK(while_ending <= while_idle + 20 + 6);
}

}  // namespace pomelomill
