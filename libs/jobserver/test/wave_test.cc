#include <doctest/doctest.h>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& it : lines) text += it + "\n";
  return text;
}

void CheckAllMaintainedOnce(JobWorld& world) {
  INFO(world.History());
  INFO(Join(world.vms().violations()));
  CHECK(world.vms().violations().empty());
  CHECK(world.vms().maintained().size() == 6);
  for (const auto& entry : world.vms().maintained()) {
    CAPTURE(entry.first.value());
    CHECK(entry.second == 1);
  }
}

/// Checks that no listed worker is closed and that no evacuation key is left.
void CheckNothingIsClosed(JobWorld& world) {
  const std::string kind = "evacuations/";
  for (const std::string& it : world.store().Keys("")) {
    CAPTURE(it);
    CHECK(!it.starts_with("emptied/"));
    const std::size_t at = it.find(kind);
    CHECK(at == std::string::npos);
    if (at == std::string::npos) continue;
    const std::string worker = it.substr(at + kind.size());
    CHECK(world.store().Value("servers/" + worker).empty());
  }
}

JobSpec LongRunningJob(std::uint32_t tasks, std::uint32_t max_unavailable) {
  JobSpec spec = ChainJob(1, tasks);
  spec.steps[0].is_long_running = true;
  spec.steps[0].max_unavailable = max_unavailable;
  return spec;
}

}  // namespace

TEST_CASE("a wave empties each VM, maintains it once, and completes") {
  JobWorld world({.run_time = seconds(1)});
  world.Advance(seconds(2));
  world.StartWave("1", 2);
  for (int i = 0; i < 20; ++i) {
    world.Submit(0, "job" + std::to_string(i), 0, ChainJob(1, 2));
    world.Advance(seconds(1));
  }
  world.Advance(seconds(10));
  CHECK(world.WaveState("1") == "complete");
  CheckAllMaintainedOnce(world);
  // The maintenance interrupted no run.
  for (const RunRecord& it : world.workers().runs())
    CHECK(it.outcome == RunOutcome::kDone);
}

TEST_CASE("a wave continues under the next owner of the fleet") {
  JobWorld world({.run_time = seconds(1)});
  world.Advance(seconds(2));
  world.StartWave("1", 2);
  for (std::size_t i = 0; i < 3; ++i) {
    world.Advance(seconds(3));
    world.KillEntry(i);
    world.Advance(milliseconds(500));
    world.StartEntry(i);
  }
  world.Advance(seconds(40));
  CHECK(world.WaveState("1") == "complete");
  CheckAllMaintainedOnce(world);
}

TEST_CASE("lost platform responses do not make a VM be maintained twice") {
  JobWorld world({});
  world.Advance(seconds(2));
  for (std::size_t i = 0; i < 3; ++i) world.vm_faults(i).loses_answers = true;
  world.StartWave("1", 1);
  world.Advance(seconds(20));
  for (std::size_t i = 0; i < 3; ++i) world.vm_faults(i).loses_answers = false;
  world.Advance(seconds(60));
  CHECK(world.WaveState("1") == "complete");
  CheckAllMaintainedOnce(world);
}

TEST_CASE("a wave stops at most max_unavailable tasks of a long-running step") {
  // Two of the five tasks may be stopped at a time; the fake workers report
  // every task as working.
  JobWorld world({.workers_per_pool = 3, .run_time = seconds(500)});
  world.Advance(seconds(2));
  world.Submit(0, "job", 0, LongRunningJob(5, 2));
  world.Advance(seconds(2));
  world.StartWave("1", 2);
  std::size_t fewest = 5;
  for (int i = 0; i < 800; ++i) {
    world.Advance(milliseconds(50));
    std::size_t running = 0;
    for (const RunRecord& it : world.workers().runs())
      running += it.ended == Instant::max();
    fewest = std::min(fewest, running);
  }
  INFO(world.History());
  CHECK(fewest >= 3);
  CHECK(world.WaveState("1") == "complete");
  CheckAllMaintainedOnce(world);
}

TEST_CASE(
    "reordered status writes do not turn a complete wave back to running") {
  // Guards against "running" overwriting "complete" because two writes of a
  // wave's state were in flight at the same time.
  for (int i = 0; i < 40; ++i) {
    CAPTURE(i);
    // In the second half of the cases, writes get no response for a while and
    // are carried out late.
    const bool has_late_writes = i >= 20;
    JobWorld world({.run_time = milliseconds(300)});
    world.Advance(seconds(2) + milliseconds(150 * (i % 20)));
    for (std::size_t n = 0; n < 3; ++n)
      world.store_faults(n).jitter = milliseconds(30);
    world.StartWave("1", 2);
    if (has_late_writes) {
      world.Advance(milliseconds(400 * (i % 20)));
      for (std::size_t n = 0; n < 3; ++n)
        world.store_faults(n).late = milliseconds(2500);
      world.Advance(milliseconds(400));
      for (std::size_t n = 0; n < 3; ++n) world.store_faults(n).late = {};
    }
    world.Advance(seconds(25));
    CHECK(world.WaveState("1") == "complete");
    CheckAllMaintainedOnce(world);
    CheckNothingIsClosed(world);
  }
}

TEST_CASE(
    "the next fleet owner reopens workers that its predecessor left closed") {
  // Guards against workers that stay closed forever: the owner was killed while
  // they were being emptied for a move, and no other process knew of the move.
  for (int i = 0; i < 12; ++i) {
    CAPTURE(i);
    JobWorld world({.workers_per_pool = 8, .run_time = seconds(1)});
    world.Advance(seconds(3));
    for (int n = 0; n < 40; ++n)
      world.Submit(0, "job" + std::to_string(n), 0, ChainJob(1, 4));
    // A slow store keeps the requests to empty workers in flight.
    for (std::size_t n = 0; n < 3; ++n)
      world.store_faults(n).latency = milliseconds(200);
    world.Advance(milliseconds(300 + 50 * i));
    const int owner = world.FleetOwner();
    REQUIRE(owner >= 0);
    world.KillEntry(static_cast<std::size_t>(owner));
    for (std::size_t n = 0; n < 3; ++n)
      world.store_faults(n).latency = milliseconds(4);
    world.Advance(seconds(40));
    CheckNothingIsClosed(world);
  }
}

TEST_CASE(
    "the next fleet owner sends no orders before its predecessor's expire") {
  // Guards against a late order of the previous owner that takes effect on a
  // worker which the next owner has reopened and which runs tasks again, and
  // against orders of two successive owners for one VM within 3 s.
  const auto is_order = [](const std::string& line) {
    return line.find(" fleet worker-reopen") != std::string::npos ||
           line.find(" fleet move ") != std::string::npos ||
           line.find(" fleet maintain ") != std::string::npos;
  };
  for (int i = 0; i < 12; ++i) {
    CAPTURE(i);
    JobWorld world({.workers_per_pool = 8, .run_time = seconds(1)});
    world.Advance(seconds(6));
    world.StartWave("1", 4);
    for (int n = 0; n < 40; ++n)
      world.Submit(0, "job" + std::to_string(n), 0, ChainJob(1, 4));
    world.Advance(milliseconds(300 + 50 * i));
    const int owner = world.FleetOwner();
    REQUIRE(owner >= 0);
    world.KillEntry(static_cast<std::size_t>(owner));
    while (world.FleetOwner() < 0 || world.FleetOwner() == owner)
      world.Advance(milliseconds(50));
    const std::size_t before = world.events().size();
    world.Advance(milliseconds(2'900));
    for (std::size_t n = before; n < world.events().size(); ++n) {
      INFO(world.events()[n]);
      CHECK_FALSE(is_order(world.events()[n]));
    }
    world.Advance(seconds(40));
    CHECK(world.WaveState("1") == "complete");
    CheckNothingIsClosed(world);
  }
}

}  // namespace pomelomill
