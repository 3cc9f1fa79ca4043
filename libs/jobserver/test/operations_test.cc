#include <doctest/doctest.h>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

/// Lines of the event log that contain all of `words`: the search by `grep`
/// that docs/OPERATIONS.md tells operators to use.
std::vector<std::string> Grep(const JobWorld& world,
                              const std::vector<std::string>& words) {
  std::vector<std::string> found;
  for (const std::string& line : world.events()) {
    const bool has_all =
        std::all_of(words.begin(), words.end(), [&](const std::string& it) {
          return line.find(it) != std::string::npos;
        });
    if (has_all) found.push_back(line);
  }
  return found;
}

}  // namespace

TEST_CASE("operations guide: the log of a failed job names each failed run") {
  JobWorld world({.fail_share = 1});
  world.Advance(seconds(2));
  world.Submit(0, "job", 0, ChainJob(1, 1));
  world.Advance(seconds(30));
  CHECK(Grep(world, {"owner job-known", "job=job "}).size() == 1);
  const auto ends =
      Grep(world, {"owner task-end", "job=job ", "detail=failed"});
  CHECK(ends.size() == 4);
  for (const std::string& it : ends)
    CHECK(it.find("worker=p0w") != std::string::npos);
  CHECK(Grep(world, {"owner job-failed", "job=job ", "4 failed runs"}).size() ==
        1);
  CHECK(Grep(world, {"owner job-ended", "job=job ", "failed"}).size() == 1);
}

TEST_CASE(
    "operations guide: a late job's log shows the new owner and lost worker") {
  JobWorld world({.run_time = seconds(8)});
  world.Advance(seconds(2));
  world.Submit(0, "job", 0, ChainJob(1, 6));
  world.Advance(seconds(1));
  const auto owner = static_cast<std::size_t>(world.Owner(0));
  world.KillEntry(owner);
  world.workers().Crash(world.worker(0, 0));
  world.Advance(seconds(60));
  CHECK(world.Phase("job", 0) == "complete");
  CHECK(Grep(world, {"ownership acquired", "pool=p0"}).size() == 2);
  CHECK_FALSE(Grep(world, {"owner task-adopted", "job=job "}).empty());
  CHECK_FALSE(
      Grep(world, {"owner worker-lost", "worker=p0w0", "reason="}).empty());
  // The next owner restarted the tasks of the crashed worker. Each owner has
  // 100000 run numbers, so the runs of the second start at 100001.
  CHECK_FALSE(
      Grep(world, {"owner task-start ", "job=job ", "run=100001"}).empty());
}

}  // namespace pomelomill
