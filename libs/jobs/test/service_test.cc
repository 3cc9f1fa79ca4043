#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <optional>

#include "fleet.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kUrgentTargetSeconds = 7.9;

/// Fills the fleet to 95% with normal work of many sizes and returns the
/// longest wait of 20 urgent tasks that are submitted one by one; infinity
/// when one never starts. `lost` counts messages from the submission on.
double LongestUrgentWait(const JobSettings& job_settings, std::uint64_t seed,
                         std::optional<std::uint64_t> lost,
                         double checkpointable = 0.7) {
  WorldSettings settings;
  settings.workers = 16;
  settings.seed = seed;
  Fleet fleet(settings, job_settings);
  JobWorld& world = fleet.world;
  world.Send(TestTeams(4, 128));
  Random random(seed);
  constexpr double kCores = 16 * 32;
  std::vector<std::pair<JobId, double>> normal;
  double cores = 0;
  for (int i = 0; cores < 1.05 * kCores; ++i) {
    const auto n = 1 + static_cast<std::uint32_t>(random.Below(8));
    JobClassDeclaration c = TestClass("n" + std::to_string(i),
                                      "t" + std::to_string(i % 4), n, hours(2));
    c.can_checkpoint = random.Chance(checkpointable);
    c.can_throttle = random.Chance(0.2);
    world.Submit("n" + std::to_string(i), c);
    cores += n;
    normal.emplace_back("n" + std::to_string(i), n);
  }
  world.RunFor(seconds(10));
  // Cancellations at random spread the free 5% over the workers, so that no
  // urgent task finds room by itself.
  std::vector<JobId> cancelled;
  while (cores > 0.95 * kCores) {
    const std::size_t i = random.Below(normal.size());
    cores -= normal[i].second;
    cancelled.push_back(normal[i].first);
    normal.erase(normal.begin() + static_cast<std::ptrdiff_t>(i));
  }
  world.Cancel(cancelled);
  world.RunFor(seconds(20));
  REQUIRE(world.running_cores() >= 0.93 * kCores);
  double longest = 0;
  for (int i = 0; i < 20; ++i) {
    JobClassDeclaration c = TestClass("u" + std::to_string(i), "t0",
                                      12 + 12 * (i % 2), seconds(20));
    c.is_urgent = true;
    const std::uint64_t first = world.messages();
    if (lost) {
      world.loses_message = [first, &lost](std::uint64_t n) {
        return n == first + *lost;
      };
    }
    const std::size_t before = world.urgent_start_s.size();
    world.Submit("u" + std::to_string(i), c);
    world.RunFor(milliseconds(60'000 + random.Below(1000)));
    if (world.urgent_start_s.size() == before)
      return std::numeric_limits<double>::infinity();
    longest = std::max(longest, world.urgent_start_s.back());
  }
  CHECK(world.violations.empty());
  return longest;
}

// Guards against urgent work that waits for longer than its target when no
// message is lost.
TEST_CASE("urgent work starts in time at 95% full") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    CHECK(LongestUrgentWait({}, seed, std::nullopt) <= kUrgentTargetSeconds);
  }
}

// Guards against a step on the way to an urgent start that cannot bear the
// loss of its message; each message after the submission is lost once.
TEST_CASE("urgent work starts in time when any one message is lost") {
  for (std::uint64_t lost = 0; lost < 12; ++lost) {
    CAPTURE(lost);
    CHECK(LongestUrgentWait({}, 100 + lost, lost) <= kUrgentTargetSeconds);
  }
}

// Guards against fleets in which nothing can write a checkpoint.
TEST_CASE("urgent work starts in time when every victim must be stopped") {
  CHECK(LongestUrgentWait({}, 7, std::nullopt, 0) <= kUrgentTargetSeconds);
  CHECK(LongestUrgentWait({}, 8, 0, 0) <= kUrgentTargetSeconds);
}

// Guards against a check that passes without preemption.
TEST_CASE("a scheduler without preemption misses the urgent target") {
  JobSettings broken;
  broken.preemption_candidates = 0;
  CHECK(LongestUrgentWait(broken, 1, std::nullopt) > kUrgentTargetSeconds);
}

/// Time until a team gets its quota back that another team has borrowed;
/// infinity when that takes more than 10 minutes.
double QuotaReturnSeconds(const JobSettings& job_settings, std::uint64_t seed,
                          bool can_checkpoint) {
  WorldSettings settings;
  settings.workers = 12;
  settings.seed = seed;
  settings.loss = 0.01;
  Fleet fleet(settings, job_settings);
  JobWorld& world = fleet.world;
  world.Send(TestTeams(2, 192));
  JobClassDeclaration borrower = TestClass("b", "t0", 4, hours(5));
  borrower.can_checkpoint = can_checkpoint;
  world.Submit("b", borrower, 200);
  world.RunFor(minutes(1));
  CHECK(world.TeamCores(TeamId("t0")) == 384);
  world.Submit("o", TestClass("o", "t1", 8, hours(5)), 100);
  for (int i = 0; i < 600; ++i) {
    world.RunFor(seconds(1));
    if (world.TeamCores(TeamId("t1")) >= 192) {
      // The other team keeps its own quota.
      world.RunFor(minutes(3));
      CHECK(world.TeamCores(TeamId("t0")) >= 192 - 8);
      CHECK(world.TeamCores(TeamId("t1")) >= 192 - 8);
      CHECK(world.violations.empty());
      return i + 1;
    }
  }
  return std::numeric_limits<double>::infinity();
}

// Guards against borrowed room that is never returned, and against a return
// that goes below the borrower's own quota.
TEST_CASE("borrowed quota is returned within a minute") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    CHECK(QuotaReturnSeconds({}, seed, true) <= 60);
    CHECK(QuotaReturnSeconds({}, seed, false) <= 60);
  }
}

// Guards against a check that passes without any return.
TEST_CASE("a scheduler that returns no quota is detected") {
  JobSettings broken;
  broken.max_returns_per_pass = 0;
  CHECK(QuotaReturnSeconds(broken, 1, true) > 60);
}

/// Wait of a task that needs a whole worker while small tasks never cease.
double LargeTaskWait(const JobSettings& job_settings, std::uint64_t seed) {
  WorldSettings settings;
  settings.workers = 8;
  settings.seed = seed;
  Fleet fleet(settings, job_settings);
  JobWorld& world = fleet.world;
  world.Send(TestTeams(1, 256));
  world.truth = [](const JobClassDeclaration& c, Random& random) {
    const Duration spread = milliseconds(random.Below(10'000));
    return TaskTruth{
        {static_cast<double>(c.cores), static_cast<double>(c.memory_mb), 0},
        c.run_time + spread,
        false};
  };
  world.Submit("first", TestClass("s", "t0", 4, seconds(20)), 64);
  world.RunFor(seconds(10));
  world.Submit("large", TestClass("l", "t0", 32, seconds(20)));
  // Later work must not pass the large task for ever.
  for (int i = 0; i < 20; ++i)
    world.Submit("s" + std::to_string(i), TestClass("s", "t0", 4, seconds(20)),
                 200);
  const Instant submitted = world.now();
  while (world.now() - submitted < minutes(10)) {
    world.RunFor(seconds(1));
    if (world.attempts.contains(JobId("large")))
      return ToSeconds(world.now() - submitted);
  }
  return std::numeric_limits<double>::infinity();
}

// Guards against large tasks that starve because small ones take every gap.
// Bound: the wait before a worker is held, the longest run and a reserve for
// reports and passes.
TEST_CASE("a task that needs a whole worker does not starve") {
  const double bound = ToSeconds(JobSettings{}.reserve_after) + 30 + 10;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    CHECK(LargeTaskWait({}, seed) <= bound);
  }
}

// Guards against a check that passes without reservations.
TEST_CASE("a scheduler without reservations starves large tasks") {
  JobSettings broken;
  broken.reserve_after = hours(10);
  CHECK(LargeTaskWait(broken, 1) > 100);
}

// Guards against normal work that gets nothing while urgent work never ceases.
TEST_CASE("urgent work leaves a share to normal work") {
  WorldSettings settings;
  settings.workers = 8;
  Fleet fleet(settings, {});
  JobWorld& world = fleet.world;
  world.Send(TestTeams(2, 256));
  JobClassDeclaration urgent = TestClass("u", "t0", 4, hours(1));
  urgent.is_urgent = true;
  world.Submit("u", urgent, 200);
  world.Submit("n", TestClass("n", "t1", 4, hours(1)), 200);
  world.RunFor(minutes(2));
  CHECK(world.TeamCores(TeamId("t0")) <= 0.8 * 256);
  CHECK(world.TeamCores(TeamId("t1")) >= 0.15 * 256);
}

// Guards against endless attempts of a job that can never run, and against
// workers that are blamed for it.
TEST_CASE("a job that can never run stops and no worker is blamed") {
  WorldSettings settings;
  settings.workers = 12;
  Fleet fleet(settings, {});
  JobWorld& world = fleet.world;
  world.truth = [](const JobClassDeclaration& c, Random&) {
    return TaskTruth{{1, 100, 0}, seconds(5), c.id == "bad"};
  };
  world.Submit("good", TestClass("good", "t0", 2, seconds(5)), 2000);
  world.RunFor(seconds(30));
  const JobClassDeclaration bad = TestClass("bad", "t0", 2, seconds(5));
  for (int i = 0; i < 5; ++i) world.Submit("bad" + std::to_string(i), bad);
  std::size_t most = 0;
  for (int i = 0; i < 300; ++i) {
    world.RunFor(seconds(1));
    most = std::max(most, fleet.scheduler.evidence().quarantined());
  }
  CHECK(most == 0);
  for (int i = 0; i < 5; ++i) {
    const JobId id("bad" + std::to_string(i));
    REQUIRE(world.failed.contains(id));
    CHECK(world.attempts[id] <= bad.max_attempts);
    CHECK(world.failed[id].reason.find("failures on") != std::string::npos);
  }
}

// Guards against a worker that fails everything and gives up sound jobs with
// it, against quarantine of more than the allowed share, and against a worker
// that never returns.
TEST_CASE("workers that fail everything are quarantined, bounded and probed") {
  WorldSettings settings;
  settings.workers = 40;
  Fleet fleet(settings, {});
  JobWorld& world = fleet.world;
  for (std::uint32_t i = 0; i < 6; ++i) world.SetFailing(i * 5, true);
  for (int i = 0; i < 60; ++i)
    world.Submit("j" + std::to_string(i), TestClass("c", "t0", 4, seconds(10)),
                 40);
  std::size_t most = 0;
  for (int i = 0; i < 60; ++i) {
    world.RunFor(seconds(1));
    most = std::max(most, fleet.scheduler.evidence().quarantined());
  }
  CHECK(most == 4);
  CHECK(world.failed.empty());
  for (std::uint32_t i = 0; i < 6; ++i) world.SetFailing(i * 5, false);
  world.RunFor(minutes(20));
  CHECK(world.finished.size() == 60);
  world.Submit("last", TestClass("c", "t0", 4, seconds(10)), 1500);
  world.RunFor(minutes(20));
  CHECK(fleet.scheduler.evidence().quarantined() == 0);
}

// Guards against a job that waits forever for a worker that does not exist.
TEST_CASE("a job that is larger than every worker fails with the reason") {
  Fleet fleet({}, {});
  JobClassDeclaration c = TestClass("c", "t0", 2, seconds(10));
  c.accelerators = 4;
  fleet.world.Submit("j", c);
  fleet.world.RunFor(minutes(2));
  REQUIRE(fleet.world.failed.contains(JobId("j")));
  CHECK(fleet.world.failed[JobId("j")].failure == JobFailure::kUnplaceable);
  CHECK(fleet.world.failed[JobId("j")].reason.find("4.000000 accelerators") !=
        std::string::npos);
}

// Guards against a new holder of the control lease that runs tasks twice or
// loses the queue.
TEST_CASE("a new holder continues without a second run") {
  WorldSettings settings;
  settings.workers = 8;
  DecisionLog decisions;
  auto scheduler =
      std::make_unique<JobScheduler>(JobSettings{}, Epoch(1), &decisions);
  JobWorld world(settings, [&](const JobEvent& event, Instant now) {
    return scheduler->Handle(event, now);
  });
  const JobClassDeclaration c = TestClass("c", "t0", 8, minutes(2));
  world.Submit("j", c, 60);
  world.RunFor(seconds(50));
  const auto state = DecodeJobState(EncodeJobState(scheduler->Snapshot()));
  REQUIRE(state.has_value());
  scheduler =
      std::make_unique<JobScheduler>(JobSettings{}, Epoch(2), &decisions);
  REQUIRE(scheduler->Restore(*state, {{"c", c}}, world.now()).has_value());
  world.RunFor(seconds(10));
  CHECK(scheduler->places().places() == 32);
  world.RunFor(minutes(10));
  CHECK(world.violations.empty());
  CHECK(world.finished.contains(JobId("j")));

  CHECK(world.attempts[JobId("j")] == 60);
}

}  // namespace
}  // namespace pomelomill
